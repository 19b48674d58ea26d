"""What callers may send: the bundle's limits, or those of the settings."""

from __future__ import annotations

from typing import NamedTuple

from heathertack.bundle import Bundle
from heathertack.settings import Limits
from heathertackd._connection_guard import ConnectionBounds


class CallerLimits(NamedTuple):
    """Bounds of one request and its connection."""

    #: Largest request header, bytes.
    max_header_bytes: int
    #: Largest request body, bytes.
    max_body_bytes: int
    #: Longest time until the first request of a connection, seconds.
    header_timeout: float
    #: Longest time for a body, and between two requests, seconds.
    idle_timeout: float


def choose_caller_limits(bundle: Bundle | None, limits: Limits) -> CallerLimits:
    """Return the limits in force.

    Parameters
    ----------
    bundle : Bundle or None
        Bundle in force; its limits go first.
    limits : Limits
        Limits of the settings.
    """
    chosen = bundle.get("limits") if bundle is not None else None
    if chosen is not None:
        return CallerLimits(**chosen)
    timeout = limits.request_read_timeout
    return CallerLimits(
        limits.max_header_bytes, limits.max_body_bytes, timeout, timeout
    )


def choose_connection_bounds(bundle: Bundle | None, limits: Limits) -> ConnectionBounds:
    """Return the bounds of connections in force."""
    chosen = choose_caller_limits(bundle, limits)
    return ConnectionBounds(
        limits.max_connections, chosen.header_timeout, chosen.idle_timeout
    )
