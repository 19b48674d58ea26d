"""Closes idle and surplus connections of callers."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple, Protocol

from aiohttp import web

from heathertackd import _clock
from heathertackd._bounded_server import has_waiting_connections

_SWEEP_INTERVAL_SECONDS = 0.5
_CLOSE_POLL_SECONDS = 0.01


class ConnectionBounds(NamedTuple):
    """Limits on the connections of callers."""

    #: Maximum number of open connections.
    max_connections: int
    #: Maximum time until the first request of a connection, seconds.
    header_timeout: float
    #: Maximum time between two requests, seconds.
    idle_timeout: float


class GuardedConnection(Protocol):
    """What the guard knows of a connection of a caller."""

    @property
    def opened_at(self) -> float:
        """Time at which the connection opened, monotonic clock, seconds."""
        ...

    @property
    def answered_at(self) -> float | None:
        """Time of the last answer, monotonic clock, seconds; ``None`` before it.

        Later, where the caller was observed to take more of it.
        """
        ...

    @property
    def is_reading_head(self) -> bool:
        """Whether a part of the head of a request was read, and not its end."""
        ...

    @property
    def is_sending_rest(self) -> bool:
        """Whether an answer is complete of which the caller has yet to take a part."""
        ...

    @property
    def is_idle(self) -> bool:
        """Whether nothing of a request has arrived that is not answered yet."""
        ...

    def observe(self, now: float) -> None:
        """Note whether the caller has taken more of its answer since the last call."""
        ...

    def end(self) -> None:
        """Close the connection for good, without the rest of an answer."""
        ...


class ConnectionGuard:
    """Limits the number of connections and their time without a request.

    Parameters
    ----------
    read_bounds : callable
        Returns the limits in force.
    """

    def __init__(self, read_bounds: Callable[[], ConnectionBounds]) -> None:
        self._read_bounds = read_bounds

    async def run(self, server: web.Server) -> None:
        """Check the connections of a server periodically until cancelled."""
        while True:
            connections: list[Any] = server.connections
            self.sweep(connections, _clock.monotonic())
            await asyncio.sleep(_SWEEP_INTERVAL_SECONDS)

    def sweep(self, connections: Sequence[GuardedConnection], now: float) -> None:
        """Close connections without a request that exceed the limits."""
        bounds = self._read_bounds()
        excess = len(connections) - bounds.max_connections
        for connection in connections:
            connection.observe(now)
            is_late = _is_timed_out(connection, bounds, now)
            if not is_late and excess <= 0:
                continue
            # Callers that send a head without end, or take no answer, are not waited
            # for.
            is_stuck = connection.is_reading_head or connection.is_sending_rest
            must_end = (is_late and is_stuck) or connection.is_idle
            if must_end:
                excess -= 1
                connection.end()


def close_idle(connections: Iterable[GuardedConnection]) -> None:
    """Close the connections that carry no request, nor the beginning of one.

    The others must close with their responses: the HTTP library drops what arrives of a
    request's body after a connection was told to close.
    """
    for connection in connections:
        if connection.is_idle:
            connection.end()


def has_open_requests(server: web.Server, until: float = math.inf) -> bool:
    """Return whether anything has arrived on a server that is not answered yet.

    Parameters
    ----------
    server : web.Server
        Server of the connections.
    until : float
        Time on the monotonic clock, seconds, after which a new connection counts only
        with a complete head.
    """
    connections: list[Any] = server.connections
    return any(
        not connection.is_idle
        and (connection.opened_at <= until or not connection.is_reading_head)
        for connection in connections
    )


async def close_listener(
    listener: asyncio.Server, server: web.Server, timeout: float
) -> None:
    """Close a listener and its connections, once all that has arrived is answered.

    Parameters
    ----------
    listener : asyncio.Server
        Listener, which stays open while callers wait to be accepted.
    server : web.Server
        Server of the connections.
    timeout : float
        Maximum wait, seconds; connections with a request stay open after it.
    """
    end = _clock.monotonic() + timeout
    # The event loop accepts a connection in one iteration and opens its transport in
    # the next, which fails once the listener is closed. What a timer wakes runs later.
    await asyncio.sleep(_CLOSE_POLL_SECONDS)
    while listener.is_serving() or has_open_requests(server):
        if not has_waiting_connections(listener) or _clock.monotonic() >= end:
            listener.close()
        connections: list[Any] = server.connections
        close_idle(connections)
        if _clock.monotonic() >= end:
            break
        await asyncio.sleep(_CLOSE_POLL_SECONDS)


def _is_timed_out(
    connection: GuardedConnection, bounds: ConnectionBounds, now: float
) -> bool:
    answered_at = connection.answered_at
    if answered_at is not None:
        return now - answered_at >= bounds.idle_timeout
    return now - connection.opened_at >= bounds.header_timeout
