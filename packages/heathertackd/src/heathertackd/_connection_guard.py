"""Closes connections of callers that send no request."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from heathertackd import _clock

_SWEEP_SECONDS = 0.5

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class ConnectionGuard:
    """Bounds the number of connections and the time for sending a request.

    Parameters
    ----------
    max_connections : int
        Most connections at one time.
    request_read_timeout : float
        Longest time a connection may be open without a request, seconds.
    """

    def __init__(self, max_connections: int, request_read_timeout: float) -> None:
        self._max_connections = max_connections
        self._request_read_timeout = request_read_timeout
        self._idle_since: dict[Any, float] = {}
        self._busy: set[Any] = set()

    @web.middleware
    async def middleware(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Note that a connection carries a request."""
        protocol = request.protocol
        self._busy.add(protocol)
        try:
            return await handler(request)
        finally:
            self._busy.discard(protocol)
            self._idle_since[protocol] = _clock.monotonic()

    async def run(self, server: web.Server) -> None:
        """Sweep the connections of a server until cancelled."""
        while True:
            self._sweep(server)
            await asyncio.sleep(_SWEEP_SECONDS)

    def _sweep(self, server: web.Server) -> None:
        now = _clock.monotonic()
        connections = server.connections
        open_connections = set(connections)
        self._idle_since = {
            connection: since
            for connection, since in self._idle_since.items()
            if connection in open_connections
        }
        excess = len(connections) - self._max_connections
        for connection in connections:
            if connection in self._busy:
                continue
            since = self._idle_since.setdefault(connection, now)
            is_late = now - since >= self._request_read_timeout
            if (is_late or excess > 0) and connection.transport is not None:
                excess -= 1
                connection.transport.close()
