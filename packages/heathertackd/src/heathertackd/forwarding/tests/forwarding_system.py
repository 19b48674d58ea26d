"""One instance that forwards to scripted targets on loopback."""

import asyncio
import hashlib
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import aiohttp
from aiohttp import web
from multidict import CIMultiDict
from returns.result import Result

from heathertack.blackboard import TARGETS, Blackboard
from heathertack.bundle import Bundle, ForwardingRoute, digest_content, pack_bundle
from heathertack.controllers import LeaseDue
from heathertack.messages import (
    BundlePush,
    LeaseGrant,
    MemberRecord,
    MemberState,
    TableVersion,
    TargetRecord,
    TargetState,
    TargetVersion,
    TargetVersions,
)
from heathertack.policy import ADMISSION_TUNING
from heathertack.settings import Settings
from heathertackd import Instance, configure_logs, monotonic
from heathertackd.forwarding import (
    ForwardAttempt,
    Forwarder,
    GenerationSize,
    Headers,
    KvCacheMover,
    RequestHead,
    StandardDialect,
    open_forwarding_session,
)

HOST = "127.0.0.1"
CALLER_KEY = "caller-key"
INSTANCE_NAME = "127.0.0.1:1"


class Received(NamedTuple):
    """A request as a target received it."""

    line: str
    headers: CIMultiDict[str]
    body: bytes


Script = Callable[[Received, asyncio.StreamWriter], Awaitable[None]]


class ScriptedTarget:
    """A target that runs a script for each connection."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.received: list[Received] = []
        #: Set when the other side closes a connection before its script has ended.
        self.caller_left = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            received = await _read(reader)
            self.received.append(received)
            script = asyncio.ensure_future(self.script(received, writer))
            closing = asyncio.ensure_future(reader.read(1))
            await asyncio.wait((script, closing), return_when=asyncio.FIRST_COMPLETED)
            if not script.done():
                self.caller_left.set()
                script.cancel()
            elif isinstance(script.exception(), ConnectionError):
                self.caller_left.set()
            closing.cancel()
        except (ConnectionError, asyncio.IncompleteReadError):
            self.caller_left.set()
        finally:
            writer.close()


async def _read(reader: asyncio.StreamReader) -> Received:
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    line, *lines = head.strip().split("\r\n")
    headers: CIMultiDict[str] = CIMultiDict()
    for field in lines:
        name, _, value = field.partition(": ")
        headers.add(name, value)
    length = int(headers.get("Content-Length", "0"))
    return Received(line, headers, await reader.readexactly(length))


def respond(body: bytes = b"done", status: int = 200, **headers: str | None) -> Script:
    """Return a script that sends one response; ``None`` omits a header."""

    async def script(received: Received, writer: asyncio.StreamWriter) -> None:
        values: dict[str, str | None] = {
            "X-Request-Id": received.headers["X-Request-Id"],
            "Content-Length": str(len(body)),
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        lines = [f"{name}: {v}" for name, v in values.items() if v is not None]
        head = "\r\n".join((f"HTTP/1.1 {status} X", *lines, "", ""))
        writer.write(head.encode() + body)
        await writer.drain()

    return script


def stream(
    *events: int, breaks: bool = False, rest: bytes = b"", is_leaving: bool = False
) -> Script:
    """Return a script that streams numbered events, complete or broken off."""

    async def script(received: Received, writer: asyncio.StreamWriter) -> None:
        request_id = received.headers["X-Request-Id"]
        leaving = b"X-Heathertack-Leaving: 1\r\n" if is_leaving else b""
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            + leaving
            + b"Transfer-Encoding: chunked\r\nX-Request-Id: "
            + request_id.encode()
            + b"\r\n\r\n"
        )
        for number in events:
            _write_chunk(writer, f"id: {number}\ndata: t{number}\n\n".encode())
            await writer.drain()
            await asyncio.sleep(0.01)
        if rest:
            _write_chunk(writer, rest)
        if not breaks:
            writer.write(b"0\r\n\r\n")
        await writer.drain()

    return script


def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")


async def never_respond(received: Received, writer: asyncio.StreamWriter) -> None:
    """Keep the connection open and never respond."""
    del received, writer
    await asyncio.sleep(30.0)


async def close_connection(received: Received, writer: asyncio.StreamWriter) -> None:
    """Close the connection without a response."""
    del received
    writer.transport.abort()


def route(kind: Any, **values: Any) -> ForwardingRoute:
    built: ForwardingRoute = {
        "host": "a.example",
        "path_prefix": "/x/",
        "kind": kind,
        "services": {"portal": 1},
        "timeout": 5.0,
        "priority": 0,
        "max_attempts": 2,
        "public": False,
        **values,  # type: ignore[typeddict-item]
    }
    return built


class RecordingDialect(StandardDialect):
    """Records the parameters of each attempt."""

    def __init__(self) -> None:
        self.attempts: list[ForwardAttempt] = []
        #: Maximum number of tokens that a request generates.
        self.max_tokens = 400
        #: Estimate of the length that callers send, 0 for none.
        self.expected_tokens = 0

    def read_request(self, headers: Headers) -> Result[RequestHead, str]:
        """Treat every request as a generation with a prompt of 100 tokens."""
        size = GenerationSize(100, self.max_tokens, self.expected_tokens)
        return super().read_request(headers).map(lambda head: head._replace(size=size))

    def encode_request(
        self, head: RequestHead, attempt: ForwardAttempt
    ) -> CIMultiDict[str]:
        self.attempts.append(attempt)
        return super().encode_request(head, attempt)


class ForwardingSystem(NamedTuple):
    """A running forwarder."""

    instance: Instance
    dialect: RecordingDialect
    targets: tuple[ScriptedTarget, ...]
    addresses: tuple[str, ...]
    session: aiohttp.ClientSession
    url: str
    forwarder: Forwarder

    def request(self, method: str = "POST", **values: Any) -> Any:
        headers = {
            "Host": "a.example",
            "X-Request-Id": "r1",
            "Authorization": f"Bearer {CALLER_KEY}",
            **values.pop("headers", {}),
        }
        path = values.pop("path", "/x/1")
        return self.session.request(
            method, f"{self.url}{path}", headers=headers, **values
        )

    def mark_leaving(self, target: str) -> None:
        """Mark a target as leaving, as the platform's list of targets would."""
        self._change_target(target, state=TargetState.LEAVING)

    def mark_gone(self, target: str) -> None:
        """Mark a target as gone, as the platform's list of targets would."""
        self._change_target(target, state=TargetState.GONE)

    def set_address(self, target: str, address: str) -> None:
        """Give a target another address."""
        self._change_target(target, address=address)

    def _change_target(self, target: str, **values: Any) -> None:
        records = tuple(
            record._replace(**values) if record.name == target else record
            for record in self.instance.board.read(TARGETS).values()
        )
        granted = grant(self.instance, None, records, 2)
        self.instance.receive(INSTANCE_NAME, publish_versions(records))
        self.instance.receive(INSTANCE_NAME, granted._replace(bundle_index=1))

    def count_received(self) -> int:
        return sum(len(target.received) for target in self.targets)


def build_bundle(bundle_route: ForwardingRoute, *, backups: bool) -> Bundle:
    bundle: Bundle = {
        "version": 1,
        "services": {"portal": {"kind": "forwarding"}},
        "classes": {"c": 0},
        "accounts": {
            "school": {
                "key_sha256": hashlib.sha256(CALLER_KEY.encode()).hexdigest(),
                "share": 1.0,
                "max_in_progress": 10,
                "default_class": "c",
            }
        },
        "routes": {"r": bundle_route},
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1000,
            "header_timeout": 1.0,
            "idle_timeout": 1.0,
        },
    }
    if backups:
        bundle["services"]["portal"]["engine"] = {
            "slots": 8,
            "cache_tokens": 10000,
            "backups": True,
        }
    return bundle


def publish_versions(targets: tuple[TargetRecord, ...]) -> TargetVersions:
    """Return what the leader sends before a grant if the platform names no versions."""
    return TargetVersions(1, tuple(TargetVersion(t.name, "") for t in targets))


def grant(
    instance: Instance,
    bundle: Bundle | None,
    targets: tuple[TargetRecord, ...],
    sequence: int = 1,
) -> LeaseGrant:
    """Return the grant that a leader would send to a cluster of one instance."""
    member = MemberRecord(
        INSTANCE_NAME,
        instance.incarnation,
        MemberState.ALIVE,
        f"{HOST}:1",
        "nairobi-a",
        1,
        0,
    )
    push = None
    if bundle is not None:
        push = BundlePush(1, digest_content(bundle), 0, pack_bundle(bundle))
    return LeaseGrant(
        term=1,
        leader=INSTANCE_NAME,
        incarnation=instance.incarnation,
        bundle_index=1 if bundle is not None else 0,
        bundle=push,
        duration=60.0,
        sent_at=monotonic(),
        table=TableVersion(1, sequence),
        is_full=True,
        is_settled=True,
        members=(member,),
        targets=targets,
        suspects=(),
    )


@asynccontextmanager
async def run_system(
    bundle_route: ForwardingRoute,
    *scripts: Script,
    backups: bool = False,
    has_room: bool = True,
    mover: KvCacheMover | None = None,
    without_bundle: bool = False,
    leaving_grace: float | None = None,
) -> AsyncIterator[ForwardingSystem]:
    """Run a forwarder with one target for each script."""
    settings: Settings = {
        "instance": INSTANCE_NAME,
        "cluster": "test",
        "failure_domain": "nairobi-a",
        "http": {"host": HOST, "port": 1},
        "peer": {"host": HOST, "port": 1},
        "peers": [],
        "membership": {"seeds": [INSTANCE_NAME]},
        "operator_keys": {},
        "platform_url": "",
    }
    if leaving_grace is not None:
        settings["timings"] = {"leaving_grace": leaving_grace}
    logger = configure_logs(INSTANCE_NAME, "critical")
    limit = ADMISSION_TUNING.backup_limit if has_room else 0.0
    tuning = ADMISSION_TUNING._replace(takeover_delay=0.0, backup_limit=limit)
    instance = Instance(settings, None, Blackboard(), logger, tuning)
    targets = tuple(ScriptedTarget(script) for script in scripts)
    addresses = tuple([await target.start() for target in targets])
    records = tuple(
        TargetRecord(
            f"t{n}",
            "portal",
            address,
            "nairobi-a",
            TargetState.LIVE,
            10000 if backups else 0,
            8,
        )
        for n, address in enumerate(addresses)
    )
    bundle = None if without_bundle else build_bundle(bundle_route, backups=backups)
    instance.receive(INSTANCE_NAME, publish_versions(records))
    instance.receive(INSTANCE_NAME, grant(instance, bundle, records))
    instance.lease_holder.handle(LeaseDue(), monotonic())
    dialect = RecordingDialect()
    async with open_forwarding_session() as outgoing:
        forwarder = Forwarder(instance, outgoing, dialect, mover)
        server = web.Server(
            forwarder.handle, handler_cancellation=True, auto_decompress=False
        )
        listener = await asyncio.get_running_loop().create_server(server, HOST, 0)
        port = listener.sockets[0].getsockname()[1]
        monitor = asyncio.create_task(forwarder.monitor_streams())
        async with aiohttp.ClientSession() as session:
            url = f"http://{HOST}:{port}"
            yield ForwardingSystem(
                instance, dialect, targets, addresses, session, url, forwarder
            )
        monitor.cancel()
        listener.close()
        await server.shutdown(0.0)
        for target in targets:
            target.stop()
        await instance.stop()
