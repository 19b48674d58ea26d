"""Closes connections of callers that send no request."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, TypeVar

from aiohttp import web

from heathertackd import _clock

_SWEEP_SECONDS = 0.5

RequestType = TypeVar("RequestType", bound=web.BaseRequest)
Handler = Callable[[RequestType], Awaitable[web.StreamResponse]]


class ConnectionBounds(NamedTuple):
    """What connections of callers may take."""

    #: Most connections at one time.
    max_connections: int
    #: Longest time until the first request of a connection, seconds.
    header_timeout: float
    #: Longest time between two requests, seconds.
    idle_timeout: float


class ConnectionGuard:
    """Bounds the number of connections and the time without a request.

    Parameters
    ----------
    read_bounds : callable
        Returns the bounds in force.
    """

    def __init__(self, read_bounds: Callable[[], ConnectionBounds]) -> None:
        self._read_bounds = read_bounds
        self._opened_at: dict[Any, float] = {}
        self._idle_since: dict[Any, float] = {}
        self._busy: set[Any] = set()

    def wrap(self, handler: Handler[RequestType]) -> Handler[RequestType]:
        """Return a handler that notes which connections carry requests."""

        async def noting(request: RequestType) -> web.StreamResponse:
            return await self._note(request, handler)

        return noting

    @web.middleware
    async def middleware(
        self, request: web.Request, handler: Handler[web.Request]
    ) -> web.StreamResponse:
        """Note that a connection carries a request."""
        return await self._note(request, handler)

    async def run(self, server: web.Server) -> None:
        """Sweep the connections of a server until cancelled."""
        while True:
            self.sweep(server.connections, _clock.monotonic())
            await asyncio.sleep(_SWEEP_SECONDS)

    def sweep(self, connections: list[Any], now: float) -> None:
        """Close the connections that are over the bounds."""
        bounds = self._read_bounds()
        self._forget_closed(connections)
        excess = len(connections) - bounds.max_connections
        for connection in connections:
            if connection in self._busy or connection.transport is None:
                continue
            if excess > 0 or self._is_late(connection, bounds, now):
                excess -= 1
                connection.transport.close()

    async def _note(
        self, request: RequestType, handler: Handler[RequestType]
    ) -> web.StreamResponse:
        protocol = request.protocol
        self._busy.add(protocol)
        try:
            return await handler(request)
        finally:
            self._busy.discard(protocol)
            self._idle_since[protocol] = _clock.monotonic()

    def _is_late(self, connection: Any, bounds: ConnectionBounds, now: float) -> bool:
        idle_since = self._idle_since.get(connection)
        if idle_since is not None:
            return now - idle_since >= bounds.idle_timeout
        opened_at = self._opened_at.setdefault(connection, now)
        return now - opened_at >= bounds.header_timeout

    def _forget_closed(self, connections: list[Any]) -> None:
        still_open = set(connections)
        for times in (self._opened_at, self._idle_since):
            for connection in times.keys() - still_open:
                del times[connection]
