"""Measures how late the event loop runs what is due."""

from __future__ import annotations

from collections.abc import Callable

from heathertackd import _clock
from heathertackd._line_limit import LineLimit
from heathertackd._logs import Logger
from heathertackd._metrics import Metrics

#: Minimum delay that is logged, seconds: callers that have left must be noticed within
#: half a second.
_MIN_LOGGED_SECONDS = 0.25
#: Interval at which delays are logged, seconds.
_LOG_INTERVAL_SECONDS = 1.0


class LoopDelay:
    """Delay of periodic work on the event loop, and the messages handled meanwhile.

    Sockets are read by the same loop, so that requests, events of streams and closed
    connections are noticed as late.

    Parameters
    ----------
    metrics : Metrics
        Shows the delays.
    logger : Logger
        Logger of the instance.
    count_messages : callable
        Returns the number of messages that were received from other instances.
    """

    def __init__(
        self, metrics: Metrics, logger: Logger, count_messages: Callable[[], int]
    ) -> None:
        self._metrics = metrics
        self._logger = logger
        self._count_messages = count_messages
        self._due_at: float | None = None
        self._message_count = 0
        self._line_limit = LineLimit(_LOG_INTERVAL_SECONDS)

    def expect(self, due_at: float) -> None:
        """Set when periodic work is due next, monotonic clock, seconds."""
        self._due_at = due_at
        self._message_count = self._count_messages()

    def find(self, now: float) -> float:
        """Return how late work is that is due and has not run yet, seconds."""
        return 0.0 if self._due_at is None else max(now - self._due_at, 0.0)

    def record(self) -> None:
        """Record that the work runs now."""
        now = _clock.monotonic()
        delay = self.find(now)
        self._metrics.loop_delay.observe(delay)
        if delay < _MIN_LOGGED_SECONDS:
            return
        count = self._line_limit.admit("", now)
        if count:
            self._logger.warning(
                "event_loop_late",
                seconds=round(delay, 3),
                messages=self._count_messages() - self._message_count,
                count=count,
            )
