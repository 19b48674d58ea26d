"""Splits a byte stream into server-sent events."""

from __future__ import annotations

import re
from typing import NamedTuple

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
#: A target that sends more bytes without ending an event is treated as faulty.
_MAX_EVENT_BYTES = 1024 * 1024


class StreamEvent(NamedTuple):
    """One complete event."""

    #: Event id, empty without one.
    event_id: str
    #: Bytes of the event, including the blank line at its end.
    data: bytes


class EventSplitter:
    """Buffers bytes until they form complete events."""

    def __init__(self) -> None:
        self._pending = b""

    @property
    def pending(self) -> bytes:
        """Buffered bytes of an incomplete event."""
        return self._pending

    def feed(self, data: bytes) -> tuple[StreamEvent, ...]:
        """Add bytes and return the events that they complete.

        Raises
        ------
        ValueError
            If an event is longer than 1 MiB.
        """
        self._pending += data
        events: list[StreamEvent] = []
        start = 0
        for end in _EVENT_END.finditer(self._pending):
            events.append(_read_event(self._pending[start : end.end()]))
            start = end.end()
        self._pending = self._pending[start:]
        if len(self._pending) > _MAX_EVENT_BYTES:
            raise ValueError(f"an event of more than {_MAX_EVENT_BYTES} bytes")
        return tuple(events)


def _read_event(data: bytes) -> StreamEvent:
    found = _EVENT_ID.search(data)
    event_id = found.group(1).decode(errors="replace") if found else ""
    return StreamEvent(event_id, data)
