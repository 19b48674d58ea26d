"""Expected waits in the queue of one group."""

from __future__ import annotations

from collections import deque

_BACKLOG_BEFORE_ESTIMATE_SECONDS = 3.0
_LEAST_RATE = 0.1


class WaitEstimator:
    """Measures how fast a queue drains.

    Parameters
    ----------
    window : float
        Span over which the rate of grants is measured, seconds.
    """

    def __init__(self, window: float) -> None:
        self._window = window
        self._grant_times: deque[float] = deque()
        self._backlog_since: float | None = None

    def record_grant(self, now: float) -> None:
        """Count a grant."""
        self._grant_times.append(now)
        self._forget_old_grants(now)

    def record_queue_length(self, length: int, now: float) -> None:
        """Note how many requests wait after all that fit were granted."""
        if not length:
            self._backlog_since = None
        elif self._backlog_since is None:
            self._backlog_since = now

    def estimate(self, ahead: int, now: float) -> float:
        """Return the expected wait behind other requests, seconds.

        Without a backlog of some seconds there is nothing to go by, and the
        estimate is 0.
        """
        since = self._backlog_since
        if since is None or now - since < _BACKLOG_BEFORE_ESTIMATE_SECONDS:
            return 0.0
        return self.drain_time(ahead + 1, now)

    def drain_time(self, length: int, now: float) -> float:
        """Return the time in which a queue of a length drains, seconds."""
        self._forget_old_grants(now)
        rate = len(self._grant_times) / self._window
        return length / max(rate, _LEAST_RATE)

    def _forget_old_grants(self, now: float) -> None:
        limit = now - self._window
        while self._grant_times and self._grant_times[0] < limit:
            self._grant_times.popleft()
