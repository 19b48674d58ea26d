"""Rates at which queued requests of each band are served, measured under backlog."""

from __future__ import annotations

import math
import zlib
from collections import deque
from collections.abc import Collection, Mapping
from typing import NamedTuple

#: Window over which a rate is measured, seconds. Bursts last several seconds and
#: engines leave every few seconds; a longer window would describe the time before.
_WINDOW_SECONDS = 2.0
#: Time for which a band must have had a backlog before its rate is known, seconds. Its
#: requests are otherwise served as they arrive, which says nothing of the capacity.
_MIN_BACKLOG_SECONDS = 0.5
#: Retry delays are lengthened by up to this part, so that callers that were refused
#: together don't return together.
_RETRY_SPREAD = 0.5


class Band(NamedTuple):
    """Requests of one account between which only the age decides who is first."""

    #: Whether the requests have missed their latency objective.
    is_late: bool
    priority: int
    account: str


class BandRates:
    """Measures how many requests of each band are served per second."""

    def __init__(self) -> None:
        self._grants: dict[Band, deque[float]] = {}
        self._backlog_since: Mapping[Band, float] = {}

    def record_grant(self, band: Band, now: float) -> None:
        """Record that a request of a band was assigned to a target."""
        self._grants.setdefault(band, deque()).append(now)

    def record_backlog(self, bands: Collection[Band], now: float) -> None:
        """Record the bands that have queued requests left after a dispatch."""
        since = self._backlog_since
        self._backlog_since = {band: since.get(band, now) for band in bands}
        limit = now - _WINDOW_SECONDS
        for band, grants in tuple(self._grants.items()):
            while grants and grants[0] < limit:
                grants.popleft()
            if not grants:
                del self._grants[band]

    def expected_wait(self, band: Band, ahead: int, now: float) -> float:
        """Return the expected wait of a request, seconds; 0 if there is no rate yet.

        Parameters
        ----------
        band : Band
            Band of the request.
        ahead : int
            Number of requests of the band that are served first.
        now : float
            Monotonic clock, seconds.
        """
        count, seconds = self._measure(band, now)
        if seconds < _MIN_BACKLOG_SECONDS:
            return 0.0
        return (ahead + 1) * seconds / count if count else math.inf

    def shortest_wait(self, band: Band, ahead: int, now: float) -> float:
        """Return the wait that a request is likely to have at least, seconds.

        The grants of the window are taken as one standard deviation fewer than
        usual: a request that waits in vain costs its caller the wait, whereas one that
        is refused for nothing may leave a target idle.

        Parameters
        ----------
        band : Band
            Band of the request.
        ahead : int
            Number of requests of the band that are served first.
        now : float
            Monotonic clock, seconds.
        """
        count, seconds = self._measure(band, now)
        if seconds < _MIN_BACKLOG_SECONDS:
            return 0.0
        return (ahead + 1) * seconds / (count + math.sqrt(count + 1))

    def _measure(self, band: Band, now: float) -> tuple[int, float]:
        """Return the number of grants under backlog, and in what time, seconds."""
        since = max(self._backlog_since.get(band, now), now - _WINDOW_SECONDS)
        count = sum(at >= since for at in self._grants.get(band, ()))
        return count, now - since


def spread_retry(key: str, seconds: float) -> float:
    """Return a retry delay that differs between requests, seconds.

    Parameters
    ----------
    key : str
        Name of the request.
    seconds : float
        Time at which there is likely to be capacity, from now.
    """
    fraction = zlib.crc32(key.encode()) / 2**32
    return seconds * (1 + _RETRY_SPREAD * fraction)
