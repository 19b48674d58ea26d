"""Counts how often the HTTP client sends a request to its target."""

from __future__ import annotations

from types import SimpleNamespace

import aiohttp


class TransmissionCount:
    """Number of connections on which a request was sent."""

    def __init__(self) -> None:
        self._value = 0

    @property
    def value(self) -> int:
        """Number of connections; a target may have received the request on each."""
        return self._value

    def increment(self) -> None:
        """Count a connection on which the header of the request was sent."""
        self._value += 1


def trace_transmissions() -> aiohttp.TraceConfig:
    """Return a trace that counts into the ``trace_request_ctx`` of a request."""
    trace: aiohttp.TraceConfig = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(_count)
    return trace


async def _count(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    params: aiohttp.TraceRequestHeadersSentParams,
) -> None:
    del session, params
    transmissions: TransmissionCount = context.trace_request_ctx
    transmissions.increment()
