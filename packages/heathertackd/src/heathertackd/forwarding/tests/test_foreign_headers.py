"""Requests whose headers hold bytes that can't be passed on."""

import asyncio

import pytest
from yarl import URL

from heathertackd.forwarding.tests.forwarding_system import (
    CALLER_KEY,
    respond,
    route,
    run_system,
)


async def exchange(url: str, *lines: bytes) -> bytes:
    """Send the lines of a request header, and return the response."""
    parsed = URL(url)
    reader, writer = await asyncio.open_connection(parsed.host, parsed.port)
    writer.write(b"\r\n".join((*lines, b"Connection: close", b"", b"")))
    async with asyncio.timeout(5.0):
        response = await reader.read()
    writer.close()
    return response


class TestForeignHeaders:
    # Guards against bytes that are not UTF-8 and end the request with an error of the
    # daemon, or are sent to one target after the other.
    @pytest.mark.parametrize(
        ("name", "value"),
        [
            (b"Authorization", b"Bearer \xff\xfe"),
            (b"X-Request-Id", b"r\xff"),
            (b"X-Other", b"\xe9"),
            (b"Last-Event-Id", b"\xed\xa0\x80"),
        ],
    )
    async def test_request_is_refused(self, name: bytes, value: bytes) -> None:
        headers = {
            b"Host": b"a.example",
            b"X-Request-Id": b"r1",
            b"Authorization": f"Bearer {CALLER_KEY}".encode(),
            name: value,
        }
        lines = (key + b": " + text for key, text in headers.items())
        async with run_system(route("idempotent"), respond()) as system:
            response = await exchange(system.url, b"GET /x/1 HTTP/1.1", *lines)
            assert response.startswith(b"HTTP/1.1 400 ")
            assert b"not_run" in response
            assert system.count_received() == 0

    async def test_text_in_utf8_is_passed_on(self) -> None:
        async with run_system(route("idempotent"), respond()) as system:
            response = await exchange(
                system.url,
                b"GET /x/1 HTTP/1.1",
                b"Host: a.example",
                b"X-Request-Id: r1",
                b"X-Other: \xc3\xa9",
                f"Authorization: Bearer {CALLER_KEY}".encode(),
            )
            assert response.startswith(b"HTTP/1.1 200 ")
