"""Estimates of the wait in the queue of one group."""

from __future__ import annotations

from collections import deque

_MIN_BACKLOG_SECONDS = 3.0
_MIN_GRANTS_PER_SECOND = 0.1


class WaitEstimator:
    """Estimates waits from the rate at which requests are granted.

    Parameters
    ----------
    window : float
        Window over which the rate of grants is measured, seconds.
    """

    def __init__(self, window: float) -> None:
        self._window = window
        self._grant_times: deque[float] = deque()
        self._backlog_since: float | None = None

    def record_grant(self, now: float) -> None:
        """Record a grant."""
        self._grant_times.append(now)
        self._evict_old_grants(now)

    def record_queue_length(self, length: int, now: float) -> None:
        """Record the number of requests left in the queue after a dispatch."""
        if not length:
            self._backlog_since = None
        elif self._backlog_since is None:
            self._backlog_since = now

    def estimate(self, ahead: int, now: float) -> float:
        """Return the expected wait behind other requests, seconds.

        The estimate is 0 until there has been a backlog for several seconds, since
        there is no data to base it on before that.
        """
        since = self._backlog_since
        if since is None or now - since < _MIN_BACKLOG_SECONDS:
            return 0.0
        return self.drain_time(ahead + 1, now)

    def drain_time(self, length: int, now: float) -> float:
        """Return the time that a queue of a given length takes to drain, seconds."""
        self._evict_old_grants(now)
        rate = len(self._grant_times) / self._window
        return length / max(rate, _MIN_GRANTS_PER_SECOND)

    def _evict_old_grants(self, now: float) -> None:
        limit = now - self._window
        while self._grant_times and self._grant_times[0] < limit:
            self._grant_times.popleft()
