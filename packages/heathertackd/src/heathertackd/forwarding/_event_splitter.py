"""Splits a stream of server-sent events at their ends."""

from __future__ import annotations

import re
from typing import NamedTuple

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
#: A target that sends more without the end of an event is not believed.
_LARGEST_EVENT_BYTES = 1024 * 1024


class StreamEvent(NamedTuple):
    """One whole event."""

    #: Its id, empty without one.
    event_id: str
    #: Its bytes, the blank line at its end included.
    data: bytes


class EventSplitter:
    """Collects bytes until they are whole events."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes of an event whose end has not come."""
        return self._rest

    def feed(self, data: bytes) -> tuple[StreamEvent, ...]:
        """Add bytes and return the events that are whole now.

        Raises
        ------
        ValueError
            If an event is longer than 1 MiB.
        """
        self._rest += data
        events: list[StreamEvent] = []
        start = 0
        for end in _EVENT_END.finditer(self._rest):
            events.append(_read_event(self._rest[start : end.end()]))
            start = end.end()
        self._rest = self._rest[start:]
        if len(self._rest) > _LARGEST_EVENT_BYTES:
            raise ValueError(f"an event of more than {_LARGEST_EVENT_BYTES} bytes")
        return tuple(events)


def _read_event(data: bytes) -> StreamEvent:
    found = _EVENT_ID.search(data)
    event_id = found.group(1).decode(errors="replace") if found else ""
    return StreamEvent(event_id, data)
