"""Limits on callers, from the bundle or else from the settings."""

from __future__ import annotations

from typing import NamedTuple

from heathertack.bundle import Bundle
from heathertack.settings import Limits
from heathertackd._connection_guard import ConnectionBounds


class CallerLimits(NamedTuple):
    """Limits on one request and its connection."""

    #: Maximum size of the request header.
    max_header_bytes: int
    #: Maximum size of the request body.
    max_body_bytes: int
    #: Maximum time until the first request of a connection, seconds.
    header_timeout: float
    #: Maximum time for a body, and between two requests, seconds.
    idle_timeout: float


def choose_caller_limits(bundle: Bundle | None, limits: Limits) -> CallerLimits:
    """Return the limits in force.

    Parameters
    ----------
    bundle : Bundle or None
        Bundle in force; its limits take precedence.
    limits : Limits
        Limits from the settings.
    """
    chosen = bundle.get("limits") if bundle is not None else None
    if chosen is not None:
        return CallerLimits(**chosen)
    timeout = limits.request_read_timeout
    return CallerLimits(
        limits.max_header_bytes, limits.max_body_bytes, timeout, timeout
    )


def choose_connection_bounds(bundle: Bundle | None, limits: Limits) -> ConnectionBounds:
    """Return the connection limits in force."""
    chosen = choose_caller_limits(bundle, limits)
    return ConnectionBounds(
        limits.max_connections, chosen.header_timeout, chosen.idle_timeout
    )
