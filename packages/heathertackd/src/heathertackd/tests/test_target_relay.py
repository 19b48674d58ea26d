"""Connections to targets through another instance, on loopback."""

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from typing import Any, ClassVar, NamedTuple

import aiohttp
import pytest

from heathertack.blackboard import MEMBERS, TARGETS, Blackboard, Section
from heathertack.controllers import (
    DirectAttempted,
    LeaseDue,
    LeavingStarted,
    PauseRequested,
    RelayAnswered,
    RelayOutcome,
    TargetLinkController,
)
from heathertack.messages import (
    EvacuatedTargets,
    MemberRecord,
    MemberState,
    TargetRecord,
    TargetState,
)
from heathertack.settings import Settings
from heathertack_fakes import find_free_ports
from heathertackd._clock import monotonic
from heathertackd._instance import Instance
from heathertackd._logs import configure_logs
from heathertackd._metrics import Metrics
from heathertackd._target_connections import (
    Reachability,
    TargetConnections,
    open_directly,
)
from heathertackd._target_relay import TargetRelay
from heathertackd._target_sessions import open_session
from heathertackd.forwarding.tests.forwarding_system import grant

HOST = "127.0.0.1"
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
UNTIL_CLOSE = b"HTTP/1.1 200 OK\r\n\r\nevent"


async def refuse(address: str) -> socket.socket:
    raise ConnectionRefusedError(address)


async def hang(address: str) -> socket.socket:
    del address
    await asyncio.sleep(60.0)
    raise TimeoutError


def build_target(address: str) -> TargetRecord:
    return TargetRecord("t1", "guide", address, "a", TargetState.LIVE)


def evacuate_all(relay: Instance) -> None:
    """Publish that the failure domain of the targets is evacuated."""
    targets = tuple(
        target._replace(state=TargetState.LEAVING)
        for target in relay.board.read(TARGETS).values()
    )
    names = tuple(target.name for target in targets)
    relay.receive(relay.name, EvacuatedTargets(1, names, ("a",)))
    relay.receive(relay.name, grant(relay, None, targets, 2))


class _Tables:
    """Writes the tables of members and targets to a blackboard."""

    READS: ClassVar[tuple[Section[Any], ...]] = ()
    WRITES: ClassVar[tuple[Section[Any], ...]] = (MEMBERS, TARGETS)

    def __init__(self, address: str, *relays: str) -> None:
        self.board = Blackboard()
        self.board.register(self)
        self.board.write(self, TARGETS, {"t1": build_target(address)})
        alive = MemberState.ALIVE
        members = {r: MemberRecord(r, 1, alive, "", "a", 1, 0) for r in relays}
        self.board.write(self, MEMBERS, members)


class RelaySystem(NamedTuple):
    """An instance without links, another one that relays, and a target."""

    address: str
    relay: Instance
    server: TargetRelay
    links: TargetLinkController
    connections: TargetConnections
    session: aiohttp.ClientSession

    async def get(self) -> bytes:
        async with self.session.get(f"http://{self.address}/") as response:
            return await response.read()


async def answer_once(answer: bytes, writer: asyncio.StreamWriter) -> None:
    writer.write(answer)
    await writer.drain()


def serve_answer(answer: bytes) -> Serve:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await answer_once(answer, writer)
        writer.close()

    return serve


@asynccontextmanager
async def run_relay(
    serve: Serve,
    connect: Callable[[str], Awaitable[socket.socket]] = refuse,
    *,
    is_listed: bool = True,
    is_target_up: bool = True,
    reaches_others: bool = False,
) -> AsyncIterator[RelaySystem]:
    target = await asyncio.start_server(serve, HOST, 0)
    address = f"{HOST}:{target.sockets[0].getsockname()[1]}"
    if not is_target_up:
        target.close()
        await target.wait_closed()
    port, relay_port = find_free_ports(2)
    name = f"{HOST}:{port}"
    settings: Settings = {
        "instance": name,
        "cluster": "test",
        "failure_domain": "a",
        "http": {"host": HOST, "port": 1},
        "peer": {"host": HOST, "port": port, "relay_port": relay_port},
        "peers": [],
        "membership": {"seeds": [name]},
        "operator_keys": {},
        "platform_url": "",
    }
    logger = configure_logs(name, "critical")
    relay = Instance(settings, None, Blackboard(), logger)
    listed = build_target(address if is_listed else f"{HOST}:1")
    other = await asyncio.start_server(serve, HOST, 0)
    records = [listed]
    if reaches_others:
        other_address = f"{HOST}:{other.sockets[0].getsockname()[1]}"
        records.append(listed._replace(name="t2", address=other_address))
    relay.receive(name, grant(relay, None, tuple(records)))
    relay.lease_holder.handle(LeaseDue(), monotonic())
    server = TargetRelay(relay)
    await server.start()
    links = TargetLinkController(_Tables(address, name).board, "e", "a")
    connections = TargetConnections(
        links,
        lambda actions: None,
        lambda instance: f"{HOST}:{relay_port}",
        Metrics(),
        logger,
        connect=connect,
    )
    try:
        async with open_session(connections) as session:
            yield RelaySystem(address, relay, server, links, connections, session)
    finally:
        server.stop()
        target.close()
        other.close()
        await relay.stop()


def find_closed(response: aiohttp.ClientResponse) -> asyncio.Future[None]:
    """Return the future that tells how the connection of a response ends."""
    assert response.connection is not None
    protocol = response.connection.protocol
    assert protocol is not None
    closed = protocol.closed
    assert closed is not None
    return closed


class TestImpossibleStatuses:
    # Guards against a status that is refused on direct connections only.
    @pytest.mark.parametrize("body", [b"", b"ok"])
    @pytest.mark.parametrize(
        "status", ["000", "99", "099", "600", "1000", "+20", "2 0", "abc"]
    )
    async def test_relayed_answer_is_an_error(self, status: str, body: bytes) -> None:
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
        async with run_relay(serve_answer(head.encode() + body)) as system:
            with pytest.raises(aiohttp.ClientError):
                await system.get()


class TestRelayedRequests:
    # Guards against an instance that serves nothing while its own links are cut.
    @pytest.mark.parametrize("connect", [refuse, hang])
    async def test_request_is_served_over_another_instance(
        self, connect: Callable[[str], Awaitable[socket.socket]]
    ) -> None:
        async with run_relay(serve_answer(WHOLE), connect) as system:
            assert await system.get() == b"ok"
            assert system.links.must_relay(system.address)
            began_at = monotonic()
            assert await system.get() == b"ok"
            assert monotonic() - began_at < 0.2

    async def test_calm_uses_no_relay(self) -> None:
        async with run_relay(serve_answer(WHOLE), open_directly) as system:
            assert await system.get() == b"ok"
            assert b"relay_requests_total{" not in system.relay.metrics.render()

    async def test_link_that_works_again_is_used(self) -> None:
        cut = True

        async def connect(address: str) -> socket.socket:
            return await (refuse if cut else open_directly)(address)

        async with run_relay(serve_answer(WHOLE), connect) as system:
            assert await system.get() == b"ok"
            cut = False
            probing = asyncio.create_task(system.connections.run_probes())
            async with asyncio.timeout(2.0):
                while system.links.must_relay(system.address):
                    await asyncio.sleep(0.01)
            probing.cancel()

    async def test_large_body_is_whole(self) -> None:
        body = bytes(range(256)) * 8192
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        async with run_relay(serve_answer(head.encode() + body)) as system:
            assert await system.get() == body


class TestEnds:
    """How the end of a response without a declared length comes through a relay."""

    async def test_orderly_end_is_complete(self) -> None:
        async with run_relay(serve_answer(UNTIL_CLOSE)) as system:
            url = f"http://{system.address}/"
            async with system.session.get(url) as response:
                closed = find_closed(response)
                assert await response.read() == b"event"
                assert closed.exception() is None

    # Guards against a broken response that looks complete.
    @pytest.mark.parametrize("breaks", ["target", "relay"])
    async def test_broken_end_is_an_error(self, breaks: str) -> None:
        has_answered = asyncio.Event()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await answer_once(UNTIL_CLOSE, writer)
            has_answered.set()
            if breaks == "target":
                connection = writer.get_extra_info("socket")
                linger = b"\1\0\0\0\0\0\0\0"
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                await asyncio.sleep(0.05)
                writer.transport.abort()
            else:
                await reader.read()

        async with run_relay(serve) as system:
            url = f"http://{system.address}/"
            async with system.session.get(url) as response:
                closed = find_closed(response)
                assert await response.content.readany() == b"event"
                await has_answered.wait()
                if breaks == "relay":
                    system.server.stop()
                await response.read()
                assert closed.exception() is not None

    async def test_target_sees_that_the_caller_left(self) -> None:
        has_seen_end = asyncio.Event()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await answer_once(UNTIL_CLOSE, writer)
            with suppress(ConnectionError):
                await reader.read()
            has_seen_end.set()

        async with run_relay(serve) as system:
            response = await system.session.get(f"http://{system.address}/")
            response.close()
            async with asyncio.timeout(0.5):
                await has_seen_end.wait()


class TestRefusals:
    """Cases in which an instance does not relay."""

    @pytest.mark.parametrize(
        "case", ["leaving", "paused", "evacuated", "unlisted", "cut"]
    )
    async def test_instance_does_not_relay(self, case: str) -> None:
        is_listed = case != "unlisted"
        async with run_relay(serve_answer(WHOLE), is_listed=is_listed) as system:
            relay, now = system.relay, monotonic()
            if case == "leaving":
                relay.drain.handle(LeavingStarted(), now)
            if case == "evacuated":
                evacuate_all(relay)
            if case == "paused":
                relay.pauses.handle(PauseRequested("t1", 5.0), now)
            if case == "cut":
                relay.links.handle(DirectAttempted(system.address, False), now)
                connected = RelayOutcome.CONNECTED
                answered = RelayAnswered(system.address, "other", connected)
                relay.links.handle(answered, now)
            with pytest.raises(aiohttp.ClientConnectorError):
                await system.get()

    @pytest.mark.parametrize(
        "request_line",
        [
            b"GET / HTTP/1.1\r\n\r\n",
            b"heathertack-relay/1 \n",
            b"heathertack-relay/1 engine.example:80\n",
            b"heathertack-relay/1 " + 200 * b"1" + b"\n",
            b"\xff\n",
        ],
    )
    async def test_other_bytes_are_not_answered(self, request_line: bytes) -> None:
        async with run_relay(serve_answer(WHOLE)) as system:
            port = system.relay.settings["peer"]["relay_port"]
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(request_line)
            async with asyncio.timeout(2.0):
                assert await reader.read() == b""
            writer.close()


class TestEvidence:
    """What is said of a target to which this instance can't connect."""

    # Guards against a cut link that is taken for the crash of a target.
    @pytest.mark.parametrize(
        ("is_target_up", "reaches_others", "expected"),
        [
            (True, True, Reachability.ACCEPTS),
            (False, True, Reachability.REFUSES),
            (False, False, Reachability.UNKNOWN),
        ],
    )
    async def test_target_is_judged_by_what_other_instances_see(
        self, is_target_up: bool, reaches_others: bool, expected: Reachability
    ) -> None:
        async with run_relay(
            serve_answer(WHOLE),
            is_target_up=is_target_up,
            reaches_others=reaches_others,
        ) as system:
            assert await system.connections.probe(system.address) is expected

    # Guards against a sound target that all instances avoid for one link.
    @pytest.mark.parametrize("reaches_others", [False, True])
    async def test_target_is_down_only_if_others_vouch_for_it(
        self, reaches_others: bool
    ) -> None:
        async with run_relay(
            serve_answer(WHOLE), is_target_up=False, reaches_others=reaches_others
        ) as system:
            with pytest.raises(aiohttp.ClientConnectorError):
                await system.get()
            is_down = system.connections.is_target_down(system.address)
            assert is_down is reaches_others
