"""Targets that answer with a status that is no final status of HTTP."""

import asyncio

import aiohttp
import pytest

from heathertackd.forwarding.tests.forwarding_system import (
    ForwardingSystem,
    Received,
    Script,
    respond,
    route,
    run_system,
    stream,
)

STATUSES = (
    "000",
    "99",
    "099",
    "101",
    "199",
    "600",
    "999",
    "1000",
    "0200",
    "+20",
    "2 0",
    "-20",
    "abc",
    "20",
    "\uff12\uff10\uff10",
)
BODIES = (b"", b"done", b"id: 1\ndata: t1\n\n")
STREAM_KINDS = ("streaming", "resumable")


def answer_with(status: str, body: bytes, fields: str = "") -> Script:
    """Return a script that sends a response with a status as it is."""

    async def script(received: Received, writer: asyncio.StreamWriter) -> None:
        request_id = received.headers["X-Request-Id"]
        head = (
            f"HTTP/1.1 {status} X\r\nX-Request-Id: {request_id}\r\n{fields}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        await writer.drain()

    return script


def break_then(answer: Script) -> Script:
    """Return a script that breaks off after two events, and answers what goes on."""

    async def script(received: Received, writer: asyncio.StreamWriter) -> None:
        if "Last-Event-Id" in received.headers:
            await answer(received, writer)
        else:
            await stream(1, 2, breaks=True)(received, writer)

    return script


async def fetch(system: ForwardingSystem) -> tuple[int, bytes]:
    async with system.request() as got:
        return got.status, await got.read()


class TestForwarding:
    """No caller may get such a status, whether or not a body follows it."""

    @pytest.mark.parametrize("status", STATUSES)
    @pytest.mark.parametrize("body", BODIES)
    @pytest.mark.parametrize("kind", ["not_repeatable", *STREAM_KINDS, "idempotent"])
    async def test_caller_gets_502(self, kind: str, status: str, body: bytes) -> None:
        script = answer_with(status, body)
        async with run_system(route(kind), script, script) as system:
            found, _ = await fetch(system)
            assert found == 502
            is_repeatable = kind in ("idempotent", "resumable")
            assert system.count_received() == (2 if is_repeatable else 1)

    @pytest.mark.parametrize("status", STATUSES)
    @pytest.mark.parametrize("body", BODIES)
    async def test_repeatable_request_goes_to_another_target(
        self, status: str, body: bytes
    ) -> None:
        # The target that gets the request first answers with the status, whichever
        # of the two it is.
        answers = [answer_with(status, body), respond(b"fine")]

        async def script(received: Received, writer: asyncio.StreamWriter) -> None:
            await answers.pop(0)(received, writer)

        async with run_system(route("idempotent"), script, script) as system:
            assert await fetch(system) == (200, b"fine")
            assert system.count_received() == 2

    # Guards against a request that runs twice since a head that can't be trusted says
    # that it did not run.
    @pytest.mark.parametrize("status", ["000", "600"])
    async def test_such_an_answer_does_not_say_that_nothing_ran(
        self, status: str
    ) -> None:
        script = answer_with(status, b"", "X-Heathertack-Not-Run: 1\r\n")
        async with run_system(route("not_repeatable"), script, script) as system:
            found, _ = await fetch(system)
            assert (found, system.count_received()) == (502, 1)


class TestContinuedStreams:
    # Guards against a body that is delivered as events, or an end that looks whole.
    @pytest.mark.parametrize("kind", STREAM_KINDS)
    @pytest.mark.parametrize("status", STATUSES)
    @pytest.mark.parametrize("body", [b"", b"id: 3\ndata: t3\n\n"])
    async def test_stream_looks_incomplete(
        self, kind: str, status: str, body: bytes
    ) -> None:
        script = break_then(answer_with(status, body))
        received = b""
        async with run_system(
            route(kind), script, script, backups=kind == "streaming"
        ) as system:
            with pytest.raises(aiohttp.ClientError):
                async with system.request() as got:
                    assert got.status == 200
                    async for chunk in got.content.iter_any():
                        received += chunk
        assert received == b"id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n"
