"""Targets that stop in the middle of an answer's head and close the connection."""

import asyncio

import aiohttp
import pytest

from heathertackd.forwarding.tests.forwarding_system import (
    Received,
    Script,
    route,
    run_system,
)

ID = b"X-Request-Id: r1\r\n"
OK = b"HTTP/1.1 200 OK\r\n"


def send_and_close(data: bytes) -> Script:
    """Return a script that sends bytes and closes the connection."""

    async def script(received: Received, writer: asyncio.StreamWriter) -> None:
        del received
        writer.write(data)
        await writer.drain()

    return script


class TestTruncatedHeads:
    # Guards against an empty or short body that is framed as whole (MIXED, ORDER).
    @pytest.mark.parametrize("kind", ["not_repeatable", "idempotent", "streaming"])
    @pytest.mark.parametrize(
        "data",
        [
            b"HTTP/1.1 20",
            b"HTTP/1.1 200",
            OK,
            OK + b"X-Requ",
            OK + b"X-Request-Id: r",
            OK + ID,
            OK + ID + b"Content-Length: 0",
            OK + ID + b"Content-Length: 0\r\n",
            OK + ID + b"Content-Length: 4\r\n\r\ndo",
            OK + ID + b"Transfer-Encoding: chunked\r\n",
            OK + ID + b"Transfer-Encoding: chunked\r\n\r\n",
            OK + ID + b"Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n",
            b"HTTP/1.1 100 Continue\r\n\r\n",
            b"HTTP/1.1 100 Continue\r\n\r\n" + OK + ID,
        ],
    )
    async def test_caller_gets_no_success(self, kind: str, data: bytes) -> None:
        script = send_and_close(data)
        async with run_system(route(kind), script, script) as system:
            try:
                async with system.request(data=b"pay") as got:
                    await got.read()
                    assert got.status == 502
            except aiohttp.ClientError:
                assert kind == "streaming"
