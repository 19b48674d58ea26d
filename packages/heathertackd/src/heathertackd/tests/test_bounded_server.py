"""Callers of one server that send bytes which are no payload."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from aiohttp import web

from heathertackd._bounded_server import BoundedServer

#: What may be sent before the connection ends, with what the sockets buffer.
MAX_SENT_BYTES = 16 * 1024 * 1024
START = b"POST / HTTP/1.1\r\nHost: a.example\r\n"
CHUNKED = START + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"10000\r\n" + b"x" * 65536 + b"\r\n"


async def echo_length(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(text=str(len(await request.content.read())))


@asynccontextmanager
async def serve() -> AsyncIterator[int]:
    """Serve as the daemon does on the platform, and yield the port."""
    fields = 64 * 1024
    server = BoundedServer(
        echo_length,
        handler_cancellation=True,
        access_log=None,
        max_line_size=fields,
        max_field_size=fields,
        max_headers=fields,
    )
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, "127.0.0.1", 0)
    try:
        yield listener.sockets[0].getsockname()[1]
    finally:
        listener.close()
        await server.shutdown(0.0)


class TestBoundedServer:
    # Guards against one caller that fills the memory of an instance, or keeps it busy.
    @pytest.mark.parametrize(
        ("beginning", "piece"),
        [
            pytest.param(START, b"X-Far: " + b"x" * 60000 + b"\r\n", id="fields"),
            pytest.param(START + b"X-Far: ", b"x" * 65536, id="one field"),
            pytest.param(CHUNKED + b"8;x=", b"y" * 65536, id="chunk extension"),
            pytest.param(CHUNKED + b"0\r\n", b"X-Far: 1\r\n" * 5000, id="trailers"),
            pytest.param(CHUNKED, b"0" * 65536, id="chunk size"),
        ],
    )
    async def test_connection_ends(self, beginning: bytes, piece: bytes) -> None:
        async with serve() as port:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(beginning)
            sent = 0
            with pytest.raises(ConnectionError):
                while sent <= MAX_SENT_BYTES:
                    writer.write(piece)
                    await writer.drain()
                    sent += len(piece)
                    await asyncio.sleep(0)
            writer.close()

    async def test_many_requests_of_one_connection_are_served(self) -> None:
        request = START + b"X-Far: " + b"x" * 8000 + b"\r\nContent-Length: 0\r\n\r\n"
        async with serve() as port:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            for _ in range(200):
                writer.write(request)
                head = await reader.readuntil(b"\r\n\r\n")
                assert b" 200 " in head
                assert await reader.readexactly(1) == b"0"
            writer.close()

    @pytest.mark.parametrize(
        ("chunk", "size"),
        [
            pytest.param(CHUNK, 65536, id="large chunks"),
            pytest.param(b"40\r\n" + b"x" * 64 + b"\r\n", 64, id="small chunks"),
        ],
    )
    async def test_body_in_chunks_is_served(self, chunk: bytes, size: int) -> None:
        count = 4 * 1024 * 1024 // size
        async with serve() as port:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(CHUNKED)
            for _ in range(count):
                writer.write(chunk)
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            assert b" 200 " in head
            assert int(await reader.readexactly(7)) == count * size
            writer.close()
