"""Estimates what a connection holds, from the HTTP library's objects and sockets."""

from __future__ import annotations

import asyncio
import fcntl
import re
import select
import sys
import termios
from typing import Any, NamedTuple

from aiohttp.streams import EMPTY_PAYLOAD

#: Size of the result of a query of a socket's buffers.
_INT_BYTES = 4
#: Query of the bytes that have arrived and were not read.
_UNREAD = termios.FIONREAD
#: Memory of one header field besides its text, bytes: the parser makes a tuple, two
#: bytes objects, two strings and their places in a list and a dictionary.
_FIELD_BYTES = 400
#: Size of the shortest header field: a name, a colon and a line end.
_MIN_FIELD_BYTES = 3
#: The chunk that ends a body, before its trailers.
_LAST_CHUNK = re.compile(rb"(?:^|\r\n)0+(?:;[^\r\n]*)?\r\n")
#: Copies of a head: the text itself, and the decoded fields.
_HEAD_COPIES = 3
#: Memory of a piece of a body besides its bytes: a bytes object and its place.
_PIECE_OBJECT_BYTES = 48
#: Memory of the end of a chunk that the HTTP library remembers: a number and its place.
_CHUNK_END_BYTES = 40


class TrailerCount(NamedTuple):
    """Bytes behind the last chunk of a body that is being received.

    The parser keeps their fields as it keeps those of a head, and does not tell when
    they begin.
    """

    #: Whether the last chunk was read.
    has_begun: bool = False
    size: int = 0
    line_ends: int = 0

    @property
    def counts(self) -> tuple[int, int]:
        """Number of bytes and of line ends."""
        return self.size, self.line_ends

    def add(self, data: bytes, taken: int, is_chunked: bool) -> TrailerCount:
        """Return the count after a further piece.

        Payload after what looked like the last chunk shows that it was none.

        Parameters
        ----------
        data : bytes
            The piece.
        taken : int
            Number of its bytes that are payload.
        is_chunked : bool
            Whether the body has chunks.
        """
        if self.has_begun and not taken:
            return TrailerCount(
                True, self.size + len(data), self.line_ends + data.count(b"\n")
            )
        found = _LAST_CHUNK.search(data) if is_chunked else None
        if found is None:
            return TrailerCount()
        rest = data[found.end() :]
        return TrailerCount(True, len(rest), rest.count(b"\n"))


def measure_fields(size: int, line_ends: int) -> int:
    """Return the memory of bytes of header fields, bytes."""
    fields = min(line_ends, size // _MIN_FIELD_BYTES)
    return _HEAD_COPIES * size + _FIELD_BYTES * fields


def measure_head(message: Any) -> int:
    """Return the memory of a parsed head, or of the error of one, bytes."""
    fields = getattr(message, "raw_headers", ())
    text = sum(len(name) + len(value) for name, value in fields)
    path = len(getattr(message, "path", ""))
    return _HEAD_COPIES * (text + path) + _FIELD_BYTES * len(fields)


def measure_objects(payload: Any) -> int:
    """Return the memory of the objects for the part of a body that is not taken, bytes.

    The HTTP library keeps each piece as it was received, and the end of each chunk; it
    has no interface that tells how many.
    """
    if payload is EMPTY_PAYLOAD:
        return 0
    ends_bytes = _CHUNK_END_BYTES * len(payload._http_chunk_splits or ())
    return ends_bytes + _PIECE_OBJECT_BYTES * len(payload._buffer)


def measure_unread(payload: Any) -> int:
    """Return the memory of the part of a body that is not taken, bytes."""
    if payload is EMPTY_PAYLOAD:
        return 0
    return int(payload._size) + measure_objects(payload)


def count_queued_bytes(transport: asyncio.Transport | None) -> int:
    """Return how many bytes the buffers of a socket hold."""
    if transport is None or transport.is_closing():
        return 0
    opened = transport.get_extra_info("socket")
    return sum(_query(opened, request) for request in (termios.TIOCOUTQ, _UNREAD))


def _query(opened: Any, request: int) -> int:
    try:
        result = fcntl.ioctl(opened, request, bytes(_INT_BYTES))
    except OSError:
        return 0
    return int.from_bytes(result, sys.byteorder)


def has_unread_bytes(transport: asyncio.Transport | None) -> bool:
    """Return whether bytes have arrived that the event loop has not read yet."""
    if transport is None or transport.is_closing():
        return False
    return is_readable(transport.get_extra_info("socket"))


def count_untaken_bytes(transport: asyncio.Transport | None) -> int:
    """Return how many bytes the other side has not acknowledged."""
    if transport is None:
        return 0
    in_process = transport.get_write_buffer_size()
    # The kernel lets a process write only once a third of its buffer is free.
    opened = transport.get_extra_info("socket")
    return in_process + _query(opened, termios.TIOCOUTQ)


def is_readable(opened: Any) -> bool:
    poll = select.poll()
    poll.register(opened, select.POLLIN)
    return bool(poll.poll(0))


def discard(payload: Any, error: Exception) -> None:
    """Drop the part of a body that is not taken; the HTTP library has no such call.

    Parameters
    ----------
    payload : aiohttp.StreamReader
        The body.
    error : Exception
        Raised to a handler that reads on, which must not take the rest for the end.
    """
    if payload is not EMPTY_PAYLOAD:
        payload.set_exception(error)
        payload._buffer.clear()
        payload._http_chunk_splits = None
