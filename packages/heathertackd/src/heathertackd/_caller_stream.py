"""The streamed response to one caller."""

from __future__ import annotations

import asyncio
import socket

from aiohttp import web

_SEND_BUFFER_BYTES = 64 * 1024
#: A write of fewer bytes to an idle connection never waits.
_UNBLOCKED_BYTES = 32 * 1024


class CallerStream:
    """Collects server-sent events and writes them to a caller.

    The response starts with the first write, so that a refusal before it keeps its
    own HTTP status.

    Parameters
    ----------
    request : web.Request
        Request of the caller.
    request_id : str
        Name of the generation.
    write_timeout : float
        Longest time that one write may block, seconds.
    """

    def __init__(
        self, request: web.Request, request_id: str, write_timeout: float
    ) -> None:
        self._request = request
        self._request_id = request_id
        self._write_timeout = write_timeout
        self._response: web.StreamResponse | None = None
        self._unsent = bytearray()

    @property
    def response(self) -> web.StreamResponse | None:
        """The response, once it has started."""
        return self._response

    @property
    def is_empty(self) -> bool:
        """Whether nothing was written or collected yet."""
        return self._response is None and not self._unsent

    def add(self, events: bytes) -> None:
        """Collect events for the next write."""
        self._unsent += events

    def discard(self) -> None:
        """Forget collected events."""
        self._unsent.clear()

    async def flush(self) -> None:
        """Write what was collected; a slow caller holds back the engine.

        Raises
        ------
        TimeoutError
            If the caller does not read for too long.
        ConnectionError
            If the caller has left.
        """
        if not self._unsent:
            return
        response = await self._start()
        data = bytes(self._unsent)
        self._unsent.clear()
        transport = self._request.transport
        is_idle = transport is not None and not transport.get_write_buffer_size()
        if is_idle and len(data) < _UNBLOCKED_BYTES:
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
            self._bound_send_buffer()
            await self._response.prepare(self._request)
        return self._response

    def _bound_send_buffer(self) -> None:
        """Bound what the kernel holds for a caller that reads slowly."""
        if self._request.transport is not None:
            sock = self._request.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES)
