"""Callers that leave while their connection is not being read."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

import pytest
from aiohttp import web

from heathertackd._bounded_server import BoundedServer
from heathertackd._hangups import HangupWatcher

#: The users' rule: no work half a second after a caller has left.
_MAX_NOTICE_SECONDS = 0.5
_RUNNING = b"GET /run HTTP/1.1\r\nHost: a.example\r\n\r\n"
_NEXT = b"POST /next HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3000000\r\n\r\n"
#: Closes with a reset, without what is still to be sent.
_RESET = struct.pack("ii", 1, 0)


class _Serving(NamedTuple):
    port: int
    begun: asyncio.Event
    ended: asyncio.Event


@asynccontextmanager
async def serve() -> AsyncIterator[_Serving]:
    """Serve requests that run until their callers leave."""
    begun, ended = asyncio.Event(), asyncio.Event()

    async def run(request: web.BaseRequest) -> web.StreamResponse:
        begun.set()
        try:
            await asyncio.sleep(60.0)
        finally:
            ended.set()
        return web.Response()

    server = BoundedServer(run, handler_cancellation=True, access_log=None)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, "127.0.0.1", 0)
    try:
        yield _Serving(listener.sockets[0].getsockname()[1], begun, ended)
    finally:
        listener.close()
        await server.shutdown(0.05)


class TestCallersThatLeave:
    # GONE: a request ran on for a caller that had left after it had begun to send the
    # body of its next one.
    @pytest.mark.parametrize("is_reset", [True, False], ids=["reset", "closed"])
    @pytest.mark.parametrize("next_bytes", [0, 10_000, 600_000])
    async def test_request_ends(self, next_bytes: int, is_reset: bool) -> None:
        async with serve() as serving:
            caller = socket.create_connection(("127.0.0.1", serving.port))
            caller.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(caller, _RUNNING)
            if next_bytes:
                await loop.sock_sendall(caller, _NEXT + b"x" * next_bytes)
            await asyncio.wait_for(serving.begun.wait(), 5.0)
            await asyncio.sleep(0.2)  # all that was sent has arrived
            if is_reset:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            caller.close()
            await asyncio.wait_for(serving.ended.wait(), _MAX_NOTICE_SECONDS)


class TestHangupWatcher:
    @pytest.fixture
    def pair(self) -> tuple[socket.socket, socket.socket]:
        return socket.socketpair()

    async def test_calls_back_once(
        self, pair: tuple[socket.socket, socket.socket]
    ) -> None:
        own, other = pair
        calls: list[int] = []
        watcher = HangupWatcher()
        watcher.watch(own.fileno(), lambda: calls.append(1))
        other.send(b"unread")
        await asyncio.sleep(0.05)
        assert calls == []
        other.close()
        await asyncio.sleep(0.05)
        assert calls == [1]
        watcher.forget(own.fileno())
        own.close()

    async def test_is_silent_about_a_forgotten_socket(
        self, pair: tuple[socket.socket, socket.socket]
    ) -> None:
        own, other = pair
        calls: list[int] = []
        watcher = HangupWatcher()
        watcher.watch(own.fileno(), lambda: calls.append(1))
        watcher.forget(own.fileno())
        other.close()
        await asyncio.sleep(0.05)
        assert calls == []
        own.close()
