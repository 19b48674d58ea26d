"""Closes idle and surplus connections of callers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, TypeVar

from aiohttp import web

from heathertackd import _clock

_SWEEP_INTERVAL_SECONDS = 0.5

RequestType = TypeVar("RequestType", bound=web.BaseRequest)
Handler = Callable[[RequestType], Awaitable[web.StreamResponse]]


class ConnectionBounds(NamedTuple):
    """Limits on the connections of callers."""

    #: Maximum number of open connections.
    max_connections: int
    #: Maximum time until the first request of a connection, seconds.
    header_timeout: float
    #: Maximum time between two requests, seconds.
    idle_timeout: float


class ConnectionGuard:
    """Limits the number of connections and their time without a request.

    Parameters
    ----------
    read_bounds : callable
        Returns the limits in force.
    """

    def __init__(self, read_bounds: Callable[[], ConnectionBounds]) -> None:
        self._read_bounds = read_bounds
        self._opened_at: dict[Any, float] = {}
        self._idle_since: dict[Any, float] = {}
        self._busy: set[Any] = set()

    def wrap(self, handler: Handler[RequestType]) -> Handler[RequestType]:
        """Return a handler that tracks which connections carry requests."""

        async def tracked(request: RequestType) -> web.StreamResponse:
            return await self._track(request, handler)

        return tracked

    @web.middleware
    async def middleware(
        self, request: web.Request, handler: Handler[web.Request]
    ) -> web.StreamResponse:
        """Middleware that tracks which connections carry requests."""
        return await self._track(request, handler)

    async def run(self, server: web.Server) -> None:
        """Check the connections of a server periodically until cancelled."""
        while True:
            self.sweep(server.connections, _clock.monotonic())
            await asyncio.sleep(_SWEEP_INTERVAL_SECONDS)

    def sweep(self, connections: list[Any], now: float) -> None:
        """Close connections without a request that exceed the limits."""
        bounds = self._read_bounds()
        self._remove_closed(connections)
        excess = len(connections) - bounds.max_connections
        for connection in connections:
            if connection in self._busy or connection.transport is None:
                continue
            if excess > 0 or self._is_timed_out(connection, bounds, now):
                excess -= 1
                connection.transport.close()

    def close_idle(self, connections: list[Any]) -> None:
        """Close the connections that carry no request.

        The others must close with their responses: the HTTP library drops what arrives
        of a request's body after a connection was told to close.
        """
        for connection in connections:
            if connection in self._busy:
                continue
            connection.close()
            # One that has just opened would only drop its first request otherwise.
            if connection.transport is not None:
                connection.transport.close()

    async def _track(
        self, request: RequestType, handler: Handler[RequestType]
    ) -> web.StreamResponse:
        protocol = request.protocol
        self._busy.add(protocol)
        try:
            return await handler(request)
        finally:
            self._busy.discard(protocol)
            self._idle_since[protocol] = _clock.monotonic()

    def _is_timed_out(
        self, connection: Any, bounds: ConnectionBounds, now: float
    ) -> bool:
        idle_since = self._idle_since.get(connection)
        if idle_since is not None:
            return now - idle_since >= bounds.idle_timeout
        opened_at = self._opened_at.setdefault(connection, now)
        return now - opened_at >= bounds.header_timeout

    def _remove_closed(self, connections: list[Any]) -> None:
        still_open = set(connections)
        for times in (self._opened_at, self._idle_since):
            for connection in times.keys() - still_open:
                del times[connection]
