"""Delivers the events of a stream to its caller, from one or several targets."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from aiohttp import web
from prometheus_client import Histogram

from heathertackd import _clock
from heathertackd.forwarding._dialect import ResponseHead
from heathertackd.forwarding._event_splitter import StreamEvent


class CallerEvents:
    """Response to the caller of a stream, with a record of the delivered events.

    Parameters
    ----------
    request : web.BaseRequest
        Request of the caller.
    last_event_id : str
        Id of the last event that the caller already has, empty for none.
    gap_histogram : Histogram
        Records the times between two events, seconds.
    must_close : callable
        Returns whether the connection is closed after the response.
    """

    def __init__(
        self,
        request: web.BaseRequest,
        last_event_id: str,
        gap_histogram: Histogram,
        must_close: Callable[[], bool],
    ) -> None:
        self._request = request
        self._must_close = must_close
        self._gap_histogram = gap_histogram
        self._response: web.StreamResponse | None = None
        self._last_event_id = last_event_id
        self._last_event_at = 0.0
        self._count = 0
        self._longest_gap = 0.0

    @property
    def response(self) -> web.StreamResponse | None:
        """The response; ``None`` before the first event."""
        return self._response

    @property
    def last_event_id(self) -> str:
        """Id of the last event that the caller received, empty for none."""
        return self._last_event_id

    @property
    def count(self) -> int:
        """Number of delivered events."""
        return self._count

    @property
    def longest_gap(self) -> float:
        """Longest time between two events, seconds."""
        return self._longest_gap

    def select_new(self, events: Sequence[StreamEvent]) -> tuple[StreamEvent, ...]:
        """Return the events that the caller does not have yet."""
        if not self._last_event_id.isdigit():
            return tuple(events)
        last = int(self._last_event_id)
        return tuple(
            event
            for event in events
            if not event.event_id.isdigit() or int(event.event_id) > last
        )

    def check_continuation(self, events: Sequence[StreamEvent]) -> None:
        """Check that a run that goes on sends events of the stream.

        Raises
        ------
        ValueError
            If one has no id, although those before it have one.
        """
        if not self._last_event_id.isdigit():
            return
        for event in events:
            if not event.event_id.isdigit():
                raise ValueError(
                    f"an event with the id {event.event_id!r} after event "
                    f"{self._last_event_id}, expected a number"
                )

    async def write(self, head: ResponseHead, events: Sequence[StreamEvent]) -> None:
        """Deliver events; the response headers come from the first target.

        Parameters
        ----------
        head : ResponseHead
            Header of the target's response that the events belong to.
        events : sequence of StreamEvent
            At least one event.
        """
        now = _clock.monotonic()
        if self._response is None:
            self._response = web.StreamResponse(
                status=head.status, headers=head.headers
            )
            if self._must_close():
                self._response.force_close()
            await self._response.prepare(self._request)
        else:
            gap = now - self._last_event_at
            self._longest_gap = max(self._longest_gap, gap)
            self._gap_histogram.observe(gap)
        self._last_event_at = now
        self._count += len(events)
        self._last_event_id = events[-1].event_id or self._last_event_id
        await self._response.write(b"".join(event.data for event in events))

    def abort(self) -> None:
        """Drop the caller's connection, so that the stream is seen as incomplete."""
        if self._request.transport is not None:
            self._request.transport.abort()
