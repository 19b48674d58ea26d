import asyncio
import contextlib
import secrets
from collections.abc import AsyncIterator

from heathertack.messages import ControlRequest, LeaderHint
from heathertack_fakes import HOST, find_free_ports
from heathertackd.tests.test_peers import Peer

_BYTES_PER_MEGABIT = 125_000
_LINK_MEGABITS = 5
_READ_BYTES = 8192
_PROXY_BUFFER_BYTES = 16_384
_WAIT_SECONDS = 20.0


class SlowLink:
    """Passes on the bytes of connections to a port at a limited rate."""

    def __init__(self, port: int, megabits: float) -> None:
        self._port = port
        self._rate = megabits * _BYTES_PER_MEGABIT
        self._tasks: set[asyncio.Task[None]] = set()
        self.connections = 0

    @contextlib.asynccontextmanager
    async def listen(self, port: int) -> AsyncIterator[None]:
        server = await asyncio.start_server(
            self._accept, HOST, port, limit=_PROXY_BUFFER_BYTES
        )
        try:
            yield
        finally:
            server.close()
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        answers, forward = await asyncio.open_connection(HOST, self._port)
        for passing in (
            self._pass_on(reader, forward, self._rate),
            self._pass_on(answers, writer, float("inf")),
        ):
            task = asyncio.create_task(passing)
            self._tasks.add(task)

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, rate: float
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(_READ_BYTES):
                await asyncio.sleep(len(data) / rate)
                writer.write(data)
                await writer.drain()
        writer.close()


class TestSlowLinks:
    # Guards against heartbeats that wait behind large messages, time out and close a
    # connection that still delivers; all that waits on it is lost then.
    async def test_busy_connection_loses_no_message(self) -> None:
        own, proxy, other = find_free_ports(3)
        sender, receiver = Peer(own), Peer(other, f"{HOST}:{proxy}")
        link = SlowLink(other, _LINK_MEGABITS)
        await receiver.start()
        await sender.start()
        try:
            async with link.listen(proxy):
                receiver.network.send(sender.name, LeaderHint("y"))
                await sender.wait_for_message(5.0)
                sent = [
                    ControlRequest(f"c{n}", secrets.token_bytes(945_647))
                    for n in range(4)
                ]
                for request in sent:
                    sender.network.send(receiver.name, request)
                    await asyncio.sleep(0.8)
                sender.network.send(receiver.name, LeaderHint("x"))
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(_WAIT_SECONDS):
                        while len(receiver.received) <= len(sent):
                            await asyncio.sleep(0.1)
        finally:
            await sender.stop()
            await receiver.stop()
        received = [message for _, message in receiver.received]
        assert [type(m).__name__ for m in received] == [
            *("ControlRequest" for _ in sent),
            "LeaderHint",
        ]
        assert link.connections == 1
