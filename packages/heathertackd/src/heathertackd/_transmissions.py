"""Sends each request on one connection, and counts the connections."""

from __future__ import annotations

from types import SimpleNamespace

import aiohttp


class InterruptedTransmissionError(aiohttp.ClientError):
    """The connection failed after the request may have been sent."""


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
    """Return a trace that counts into the ``trace_request_ctx`` of a request.

    Requests without one are not counted.
    """
    trace: aiohttp.TraceConfig = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(_count)
    return trace


async def _count(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    params: aiohttp.TraceRequestHeadersSentParams,
) -> None:
    del session, params
    transmissions: TransmissionCount | None = context.trace_request_ctx
    if transmissions is not None:
        transmissions.increment()


async def prevent_resending(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep the HTTP client from sending a request on a second connection.

    It does so for idempotent methods by default. A method does not tell whether a
    request may run twice, and such a repetition would count nowhere.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise InterruptedTransmissionError(repr(error)) from error
