import asyncio
import socket

import pytest
import zmq
import zmq.asyncio

from heathertack.messages import (
    PEER_CODEC,
    ControlRequest,
    LeaderHint,
    PeerMessage,
)
from heathertack.settings import Settings
from heathertack_fakes import HOST, find_free_ports
from heathertackd import configure_logs
from heathertackd._metrics import Metrics
from heathertackd._peers import PeerNetwork
from heathertackd._supervision import FailureLog

_PARTITION_SECONDS = 7.5


def build_settings(port: int, name: str) -> Settings:
    return {
        "instance": name,
        "cluster": "test",
        "failure_domain": "a",
        "http": {"host": HOST, "port": 1},
        "peer": {"host": HOST, "port": port},
        "peers": [],
        "membership": {"seeds": []},
        "operator_keys": {},
        "platform_url": "",
    }


class Peer:
    """A peer network that records the messages it receives."""

    def __init__(self, port: int, name: str = "") -> None:
        self.name = name or f"{HOST}:{port}"
        self.received: list[tuple[str, PeerMessage]] = []
        metrics = Metrics()
        logger = configure_logs("test", "critical")
        self.network = PeerNetwork(
            build_settings(port, self.name),
            self._receive,
            metrics,
            logger,
            FailureLog(logger, metrics),
        )
        #: The handler of this message raises an error.
        self.fails_on: PeerMessage | None = None
        self._task: asyncio.Task[None] | None = None

    def _receive(self, sender: str, message: PeerMessage) -> None:
        if message == self.fails_on:
            raise RuntimeError(f"can't handle {message}")
        self.received.append((sender, message))

    async def start(self) -> None:
        await self.network.start()
        self._task = asyncio.create_task(self.network.receive_all())

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
        await self.network.stop()

    async def wait_for_message(self, seconds: float) -> None:
        async with asyncio.timeout(seconds):
            while not self.received:
                await asyncio.sleep(0.02)


class UnreachablePort:
    """A port whose accept queue is full, so that connecting to it hangs."""

    def __init__(self, port: int) -> None:
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((HOST, port))
        self._listener.listen(0)
        self._fillers = [socket.socket() for _ in range(4)]
        for filler in self._fillers:
            filler.setblocking(False)
            filler.connect_ex((HOST, port))

    def close(self) -> None:
        for opened in (*self._fillers, self._listener):
            opened.close()


class TestNamedByAddress:
    async def test_message_carries_the_name_of_its_sender(self) -> None:
        first, second = (Peer(port) for port in find_free_ports(2))
        await first.start()
        await second.start()
        first.network.send(second.name, LeaderHint("x"))
        await second.wait_for_message(5.0)
        assert second.received == [(first.name, LeaderHint("x"))]
        await first.stop()
        await second.stop()

    async def test_message_to_a_name_that_is_no_address_is_dropped(self) -> None:
        (port,) = find_free_ports(1)
        peer = Peer(port)
        await peer.start()
        peer.network.send("entry-1", LeaderHint("x"))
        await peer.stop()


class TestUnreachablePeers:
    async def test_message_arrives_soon_after_a_partition_ends(self) -> None:
        """A connection attempt that began in a partition must not delay the link.

        The kernel retries it each second at first, then only after 7, 11 and 19 s.
        """
        own, other = find_free_ports(2)
        sender = Peer(own)
        await sender.start()
        unreachable = UnreachablePort(other)
        receiver = Peer(other)
        sender.network.send(receiver.name, LeaderHint("x"))
        await asyncio.sleep(_PARTITION_SECONDS)
        unreachable.close()
        await receiver.start()
        await receiver.wait_for_message(2.0)
        await sender.stop()
        await receiver.stop()


class EarlierBuild:
    """A peer that sends its messages in one frame and reads only the last frame."""

    def __init__(self, port: int, peer: Peer) -> None:
        self.name = f"{HOST}:{port}"
        context = zmq.asyncio.Context.instance()
        self._listener = context.socket(zmq.PULL)
        self._listener.bind(f"tcp://{self.name}")
        self._sender = context.socket(zmq.PUSH)
        self._sender.connect(f"tcp://{peer.name}")

    async def send(self, message: PeerMessage) -> None:
        await self._sender.send_multipart(
            (self.name.encode(), PEER_CODEC.encode(message))
        )

    async def receive(self) -> PeerMessage:
        async with asyncio.timeout(5.0):
            frames = await self._listener.recv_multipart()
        return PEER_CODEC.decode(frames[-1]).unwrap()

    def close(self) -> None:
        for opened in (self._listener, self._sender):
            opened.close(linger=0)


class TestEarlierBuilds:
    # Guards against large messages that an instance of an earlier build can't read.
    async def test_large_message_stays_in_one_frame(self) -> None:
        own, other = find_free_ports(2)
        peer = Peer(own)
        await peer.start()
        earlier = EarlierBuild(other, peer)
        large = ControlRequest("r", bytes(200_000))
        peer.network.send(earlier.name, large)
        assert await earlier.receive() == large
        await earlier.send(LeaderHint("x"))
        await peer.wait_for_message(5.0)
        assert peer.received == [(earlier.name, LeaderHint("x"))]
        peer.network.send(earlier.name, large)
        assert await earlier.receive() == large
        earlier.close()
        await peer.stop()

    async def test_peer_that_returns_with_an_earlier_build_gets_one_frame(self) -> None:
        own, other = find_free_ports(2)
        peer, later = Peer(own), Peer(other)
        await peer.start()
        await later.start()
        later.network.send(peer.name, LeaderHint("x"))
        await peer.wait_for_message(5.0)
        large = ControlRequest("r", bytes(200_000))
        peer.network.send(later.name, large)
        await later.wait_for_message(5.0)
        assert later.received == [(peer.name, large)]
        await later.stop()
        peer.received.clear()
        earlier = EarlierBuild(other, peer)
        await earlier.send(LeaderHint("y"))
        await peer.wait_for_message(5.0)
        peer.network.send(earlier.name, large)
        assert await earlier.receive() == large
        earlier.close()
        await peer.stop()


class TestOddMessages:
    # Guards against one message that ends the receiver, so that the instance hears of
    # no other one any more.
    @pytest.mark.parametrize(
        "frames",
        [
            (b"127.0.0.1:1",),
            (b"127.0.0.1:1", b""),
            (b"127.0.0.1:1", b"", b"", b""),
            (b"127.0.0.1:1", b"p"),
            (b"127.0.0.1:1", b"z", b"no packed data"),
            (b"127.0.0.1:1", b"p", b"\x91" * 100_000),
            (b"127.0.0.1:1", b"\x92\xabLeaderHint\x91\xa2\xff\xfe"),
            (b"\xff" * 10_000, b"p", PEER_CODEC.encode(LeaderHint("fails"))),
        ],
        ids=lambda frames: repr(frames)[:60],
    )
    async def test_later_messages_are_received(self, frames: tuple[bytes, ...]) -> None:
        peer = Peer(find_free_ports(1)[0])
        peer.fails_on = LeaderHint("fails")
        await peer.start()
        context = zmq.asyncio.Context()
        sender = context.socket(zmq.PUSH)
        try:
            sender.connect(f"tcp://{peer.name}")
            await sender.send_multipart(frames)
            await sender.send_multipart(
                (b"127.0.0.1:1", b"p", PEER_CODEC.encode(LeaderHint("x")))
            )
            await peer.wait_for_message(5.0)
            assert peer.received == [("127.0.0.1:1", LeaderHint("x"))]
        finally:
            sender.close()
            await peer.stop()
            context.destroy(linger=0)

    # Guards against a name that is no address and ends the task that answers it.
    @pytest.mark.parametrize(
        "name",
        [
            "",
            "a:80",
            "127.0.0.1:99999",
            "127.0.0.1:²",
            "127.0.0.1:0",
            "a b\n:1",
            "x" * 999,
        ],
    )
    async def test_message_for_no_address_is_dropped(self, name: str) -> None:
        peer = Peer(find_free_ports(1)[0])
        await peer.start()
        peer.network.send(name, LeaderHint("x"))
        await peer.stop()
