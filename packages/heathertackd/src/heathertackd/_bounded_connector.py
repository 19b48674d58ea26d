"""Connections that end when their responses hold too much that is no payload."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

#: Maximum number of interim responses before a final one.
_MAX_INTERIM_RESPONSES = 16
#: Maximum size of heads, chunk headers and trailers beyond that of the payload, bytes.
_MAX_OVERHEAD_BYTES = 64 * 1024
#: Size of the pieces in which heads are parsed: bounds the work on one connection
#: before its limits are checked, bytes.
_HEAD_PIECE_BYTES = 4 * 1024
_MIN_FINAL_STATUS = 200


class ResponseOverheadError(aiohttp.ClientError):
    """A response holds more bytes that are no payload than it may."""


class BoundedResponseHandler(ResponseHandler):
    """Reads the responses of one connection within limits on their overhead."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._received_bytes = 0
        self._interim_count = 0
        self._body: aiohttp.StreamReader | None = None
        self._is_over_limit = False

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the response to another request."""
        self._received_bytes = 0
        self._interim_count = 0
        self._body = None
        super().set_response_params(**params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Receive a parsed head and the reader of its body."""
        message, body = data
        if message.code < _MIN_FINAL_STATUS:
            self._interim_count += 1
        else:
            self._body = body
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse bytes, and abort the connection if they exceed a limit."""
        start = 0
        while start < len(data) and not self._is_over_limit:
            size = len(data) if self._body is not None else _HEAD_PIECE_BYTES
            piece = data[start : start + size]
            start += size
            self._received_bytes += len(piece)
            super().data_received(piece)
            self._check_limits()
        if not data:
            super().data_received(data)

    def _check_limits(self) -> None:
        payload_bytes = self._body.total_bytes if self._body is not None else 0
        overhead = self._received_bytes - 2 * payload_bytes
        if self._interim_count > _MAX_INTERIM_RESPONSES:
            self._give_up(f"more than {_MAX_INTERIM_RESPONSES} interim responses")
        elif overhead > _MAX_OVERHEAD_BYTES:
            self._give_up(
                f"{overhead} bytes more than twice the payload, "
                f"expected at most {_MAX_OVERHEAD_BYTES}"
            )

    def _give_up(self, detail: str) -> None:
        self._is_over_limit = True
        error = ResponseOverheadError(detail)
        if self._body is not None:
            self._body.set_exception(error)
        transport = self.transport
        self.set_exception(error)
        if transport is not None:
            transport.abort()


class BoundedConnector(aiohttp.TCPConnector):
    """Opens connections whose responses have a limit on their overhead."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # The base class has no parameter for the protocol of its connections.
        handler: type[ResponseHandler] = BoundedResponseHandler
        self._factory = partial(handler, loop=self._loop)
