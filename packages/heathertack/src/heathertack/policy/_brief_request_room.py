"""Cache that long requests leave free for brief ones.

Load: a burst of requests with long outputs fills the caches of all targets. None of
them ends for seconds, so that requests with short outputs, which need their memory only
for a moment, can't start in time although they are more urgent.
"""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

from heathertack.policy._ledger import LedgerEntry

#: A class is brief in comparison with one whose outputs are this many times as long.
_MIN_LENGTH_RATIO = 8.0
#: Window in which the arrivals of a class are counted, seconds.
_RATE_WINDOW_SECONDS = 2.0
#: Number of requests of a class whose sizes are remembered.
_REMEMBERED_REQUESTS = 32
#: Quantile of the sizes of a class for which room is kept.
_SIZE_QUANTILE = 0.8
#: Room for more requests than run at one time on average, since arrivals vary.
_CONCURRENCY_MARGIN = 1.5
#: Weight of the latest request in the mean time that requests of a class run.
_RUN_WEIGHT = 0.1
#: Assumed before a request of the class has ended, seconds.
_FIRST_RUN_SECONDS = 0.5


class _Class:
    """Recent requests of one class."""

    def __init__(self) -> None:
        self._entries: deque[LedgerEntry] = deque(maxlen=_REMEMBERED_REQUESTS)
        self._arrivals: deque[float] = deque()
        self._run_seconds = _FIRST_RUN_SECONDS

    @property
    def mean_length(self) -> float:
        """Mean predicted output, tokens."""
        return sum(entry.remaining for entry in self._entries) / len(self._entries)

    @property
    def size(self) -> int:
        """Cache that most requests need, tokens."""
        sizes = sorted(entry.cached + entry.remaining for entry in self._entries)
        return sizes[int(_SIZE_QUANTILE * (len(sizes) - 1))]

    def add(self, entry: LedgerEntry, now: float) -> None:
        """Add a request."""
        self._entries.append(entry)
        self._arrivals.append(now)

    def record_run(self, seconds: float) -> None:
        """Record how long a request ran."""
        self._run_seconds += _RUN_WEIGHT * (seconds - self._run_seconds)

    def concurrency(self, now: float) -> float:
        """Return how many requests run at one time if none waits."""
        while self._arrivals and self._arrivals[0] < now - _RATE_WINDOW_SECONDS:
            self._arrivals.popleft()
        return len(self._arrivals) / _RATE_WINDOW_SECONDS * self._run_seconds


class _Room(NamedTuple):
    """Room that requests of one class leave."""

    found_at: float
    #: Number of targets.
    targets: int
    #: Cache on each of them, tokens.
    tokens: int


class BriefRequestRoom:
    """Finds on how many targets, and how much of a cache, long requests leave free."""

    def __init__(self) -> None:
        self._classes: dict[str, _Class] = {}
        #: Class and start of each request that runs.
        self._running: dict[str, tuple[str, float]] = {}
        #: By class. One decision considers many targets at the same time.
        self._rooms: dict[str, _Room] = {}

    def record_request(self, class_name: str, entry: LedgerEntry, now: float) -> None:
        """Record the predicted cache use of a new request.

        Parameters
        ----------
        class_name : str
            Class of the request.
        entry : LedgerEntry
            Its prompt and its predicted output, tokens.
        now : float
            Monotonic clock, seconds.
        """
        self._classes.setdefault(class_name, _Class()).add(entry, now)

    def record_sent(self, key: str, class_name: str, now: float) -> None:
        """Record that a request is about to be sent to a target."""
        self._running[key] = (class_name, now)

    def record_ended(self, key: str, now: float) -> None:
        """Record that a request has ended."""
        class_name, started_at = self._running.pop(key, ("", now))
        known = self._classes.get(class_name)
        if known is not None:
            known.record_run(now - started_at)

    def find(self, class_name: str, position: int, now: float) -> int:
        """Return the cache that a request leaves free on a target, tokens.

        Parameters
        ----------
        class_name : str
            Class of the request.
        position : int
            Position of the target among those of its group, from 0. Room is kept on
            the first ones.
        now : float
            Monotonic clock, seconds.
        """
        room = self._rooms.get(class_name)
        if room is None or room.found_at != now:
            room = self._find_room(class_name, now)
            self._rooms[class_name] = room
        return room.tokens if position < room.targets else 0

    def _find_room(self, class_name: str, now: float) -> _Room:
        own = self._classes.get(class_name)
        if own is None:
            return _Room(now, 0, 0)
        length = own.mean_length
        brief = [
            other
            for other in self._classes.values()
            if other.mean_length * _MIN_LENGTH_RATIO <= length
        ]
        concurrency = sum(other.concurrency(now) for other in brief)
        targets = math.ceil(concurrency * _CONCURRENCY_MARGIN)
        return _Room(now, targets, max((other.size for other in brief), default=0))
