"""Servers that drop callers who send too much that is no payload."""

from __future__ import annotations

from typing import Any

from aiohttp import web

#: Maximum size of a head, or of chunk headers and trailers beyond the size of their
#: payload, bytes. Limits on the header that a bundle sets are smaller.
_MAX_OVERHEAD_BYTES = 256 * 1024


class BoundedRequestHandler(web.RequestHandler):
    """Reads the requests of one connection within a limit on their overhead.

    The HTTP library bounds each header field, but neither their sum nor the size of
    chunk extensions, which it reads without end.
    """

    def __init__(self, manager: web.Server, **options: Any) -> None:
        super().__init__(manager, **options)
        self._received_bytes = 0
        self._seen_requests = 0
        self._body: Any = None

    def data_received(self, data: bytes) -> None:
        """Parse bytes, and abort the connection if they exceed the limit."""
        self._received_bytes += len(data)
        super().data_received(data)
        if self._request_count != self._seen_requests:
            self._seen_requests = self._request_count
            self._received_bytes = 0
            self._body = self._messages[-1][1] if self._messages else None
        payload_bytes = self._body.total_bytes if self._body is not None else 0
        overhead = self._received_bytes - 2 * payload_bytes
        if overhead > _MAX_OVERHEAD_BYTES and self.transport is not None:
            self.transport.abort()


class BoundedServer(web.Server):
    """Serves callers on connections with a limit on the overhead of requests."""

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return BoundedRequestHandler(self, loop=self._loop, **self._kwargs)


class BoundedAppRunner(web.AppRunner):
    """Runs an application on a bounded server."""

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        return BoundedServer(
            server.request_handler,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            loop=server._loop,
            **server._kwargs,
        )
