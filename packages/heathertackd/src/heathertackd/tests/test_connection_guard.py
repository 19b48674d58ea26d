import asyncio
from contextlib import suppress
from typing import Any

import pytest
from aiohttp import web

from heathertack.bundle import Bundle, RequestLimits
from heathertack.settings import Limits
from heathertackd import ConnectionBounds, ConnectionGuard, choose_connection_bounds

BOUNDS = ConnectionBounds(max_connections=10, header_timeout=3.0, idle_timeout=15.0)


class _Transport:
    def __init__(self) -> None:
        self.is_closed = False

    def close(self) -> None:
        self.is_closed = True


class _Connection:
    def __init__(self) -> None:
        self.transport = _Transport()

    def close(self) -> None:
        """Do nothing: it would only end with its next response."""


class _Request:
    """The part of a request that the guard reads."""

    def __init__(self, connection: _Connection) -> None:
        self.protocol = connection


class _Clock:
    now = 100.0

    def monotonic(self) -> float:
        return self.now


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> _Clock:
    clock = _Clock()
    monkeypatch.setattr("heathertackd._connection_guard._clock", clock)
    return clock


async def serve(guard: ConnectionGuard, connection: _Connection) -> None:
    async def handler(request: Any) -> web.StreamResponse:
        del request
        return web.Response()

    await guard.wrap(handler)(_Request(connection))


class TestConnectionGuard:
    @pytest.mark.parametrize(
        ("has_served", "seconds", "is_closed"),
        [
            (False, 2.9, False),
            (False, 3.0, True),
            # A connection may stay idle for most of the idle timeout after a request.
            (True, 12.5, False),
            (True, 15.0, True),
        ],
    )
    async def test_closes_idle_connection_after_its_timeout(
        self, clock: _Clock, has_served: bool, seconds: float, is_closed: bool
    ) -> None:
        guard = ConnectionGuard(lambda: BOUNDS)
        connection = _Connection()
        guard.sweep([connection], clock.now)
        if has_served:
            await serve(guard, connection)
        guard.sweep([connection], clock.now + seconds)
        assert connection.transport.is_closed is is_closed

    async def test_keeps_connection_with_a_request_in_progress(
        self, clock: _Clock
    ) -> None:
        guard = ConnectionGuard(lambda: BOUNDS)
        connection = _Connection()

        async def handler(request: Any) -> web.StreamResponse:
            del request
            guard.sweep([connection], clock.now)
            guard.sweep([connection], clock.now + 1000.0)
            return web.Response()

        await guard.wrap(handler)(_Request(connection))
        assert not connection.transport.is_closed

    def test_closes_connections_above_the_limit(self, clock: _Clock) -> None:
        guard = ConnectionGuard(lambda: BOUNDS)
        connections = [_Connection() for _ in range(12)]
        guard.sweep(connections, clock.now)
        assert sum(c.transport.is_closed for c in connections) == 2

    def test_bounds_of_a_new_bundle_apply_to_open_connections(
        self, clock: _Clock
    ) -> None:
        bounds = [BOUNDS]
        guard = ConnectionGuard(lambda: bounds[0])
        connection = _Connection()
        guard.sweep([connection], clock.now)
        bounds[0] = BOUNDS._replace(header_timeout=1.0)
        guard.sweep([connection], clock.now + 1.0)
        assert connection.transport.is_closed


class TestBounds:
    def test_limits_of_the_bundle_override_the_settings(self) -> None:
        bundle = Bundle(version=1, services={}, classes={}, accounts={})
        limits = Limits(max_connections=7, request_read_timeout=20.0)
        expected = ConnectionBounds(7, 20.0, 20.0)
        assert choose_connection_bounds(None, limits) == expected
        assert choose_connection_bounds(bundle, limits) == expected
        bundle["limits"] = RequestLimits(
            max_header_bytes=1, max_body_bytes=2, header_timeout=3.0, idle_timeout=60.0
        )
        expected = ConnectionBounds(7, 3.0, 60.0)
        assert choose_connection_bounds(bundle, limits) == expected


class TestCloseIdle:
    # Guards against a connection that stays open and drops its request (LOST).
    async def test_connection_that_has_just_opened_ends(self) -> None:
        async def handler(request: Any) -> web.StreamResponse:
            del request
            return web.Response()

        guard = ConnectionGuard(lambda: BOUNDS)
        server = web.Server(guard.wrap(handler))
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(server, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        opening = asyncio.create_task(asyncio.open_connection("127.0.0.1", port))
        while not server.connections:
            await asyncio.sleep(0)
        guard.close_idle(server.connections)
        reader, writer = await opening
        writer.write(b"GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
        async with asyncio.timeout(2.0):
            with suppress(ConnectionError):
                assert await reader.read() == b""
        writer.close()
        listener.close()
        await server.shutdown(0.0)

    async def test_connection_with_a_request_stays_open(self, clock: _Clock) -> None:
        guard = ConnectionGuard(lambda: BOUNDS)
        connection = _Connection()

        async def handler(request: Any) -> web.StreamResponse:
            del request
            guard.close_idle([connection])
            assert not connection.transport.is_closed
            return web.Response()

        await guard.wrap(handler)(_Request(connection))
        guard.close_idle([connection])
        assert connection.transport.is_closed
