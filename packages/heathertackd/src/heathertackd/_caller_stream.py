"""Streaming response to one caller."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from aiohttp import web

_SEND_BUFFER_BYTES = 64 * 1024
#: A write of fewer bytes to a connection without buffered data never blocks.
_MAX_NONBLOCKING_WRITE_BYTES = 32 * 1024


class CallerStream:
    """Buffers server-sent events and writes them to a caller.

    The response starts with the first write, so that a refusal before that can still
    be sent with its own HTTP status.

    Parameters
    ----------
    request : web.Request
        Request of the caller.
    request_id : str
        Identifier of the generation.
    write_timeout : float
        Timeout of one write, seconds.
    must_close : callable
        Returns whether the connection is closed after the response.
    """

    def __init__(
        self,
        request: web.Request,
        request_id: str,
        write_timeout: float,
        must_close: Callable[[], bool],
    ) -> None:
        self._request = request
        self._request_id = request_id
        self._write_timeout = write_timeout
        self._must_close = must_close
        self._response: web.StreamResponse | None = None
        self._buffer = bytearray()

    @property
    def response(self) -> web.StreamResponse | None:
        """The response, ``None`` before it has started."""
        return self._response

    @property
    def is_empty(self) -> bool:
        """Whether nothing has been written or buffered yet."""
        return self._response is None and not self._buffer

    def add(self, events: bytes) -> None:
        """Buffer events for the next write."""
        self._buffer += events

    def discard(self) -> None:
        """Discard the buffered events."""
        self._buffer.clear()

    async def flush(self) -> None:
        """Write the buffered events, blocking while the caller reads too slowly.

        Blocking applies backpressure to the engine.

        Raises
        ------
        TimeoutError
            If the write takes longer than the timeout.
        ConnectionError
            If the caller has disconnected.
        """
        if not self._buffer:
            return
        response = await self._start()
        data = bytes(self._buffer)
        self._buffer.clear()
        transport = self._request.transport
        is_idle = transport is not None and not transport.get_write_buffer_size()
        if is_idle and len(data) < _MAX_NONBLOCKING_WRITE_BYTES:
            await response.write(data)
            return
        async with asyncio.timeout(self._write_timeout):
            await response.write(data)

    async def _start(self) -> web.StreamResponse:
        if self._response is None:
            self._response = web.StreamResponse(
                headers={
                    "Content-Type": "text/event-stream",
                    "Cache-Control": "no-cache",
                    "X-Request-Id": self._request_id,
                }
            )
            if self._must_close():
                self._response.force_close()
            self._limit_send_buffer()
            await self._response.prepare(self._request)
        return self._response

    def _limit_send_buffer(self) -> None:
        """Limit the data that the kernel buffers for a slow caller."""
        if self._request.transport is not None:
            sock = self._request.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES)
