"""Cache that long requests leave free for brief ones while requests wait for memory.

Load: a burst of requests with long outputs fills the caches of all targets, so that
requests with short outputs, which need their memory only for a moment, wait until a
long one ends.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from heathertack.policy._ledger import LedgerEntry

#: Time for which room is kept after a request waited for memory, seconds. Long requests
#: end within some seconds of each other.
_CONTENTION_SECONDS = 5.0
#: Time after which a class without requests needs no room, seconds.
_CLASS_IDLE_SECONDS = 2.0
#: A class is brief in comparison with one whose outputs are this many times as long.
_MIN_LENGTH_RATIO = 8.0
#: Number of requests of a class whose sizes are remembered.
_REMEMBERED_REQUESTS = 32
#: Quantile of the sizes of a class for which room is kept.
_SIZE_QUANTILE = 0.8


class _Class(NamedTuple):
    """Recent requests of one class."""

    entries: deque[LedgerEntry]
    last_request_at: float

    @property
    def mean_length(self) -> float:
        """Mean predicted output, tokens."""
        return sum(entry.remaining for entry in self.entries) / len(self.entries)

    @property
    def size(self) -> int:
        """Cache that most requests need, tokens."""
        sizes = sorted(entry.cached + entry.remaining for entry in self.entries)
        return sizes[int(_SIZE_QUANTILE * (len(sizes) - 1))]


class BriefRequestRoom:
    """Finds how much of a cache the requests of each class leave free."""

    def __init__(self) -> None:
        self._classes: dict[str, _Class] = {}
        self._waited_at = float("-inf")

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
        known = self._classes.get(class_name)
        entries = known.entries if known is not None else deque[LedgerEntry]()
        entries.append(entry)
        if len(entries) > _REMEMBERED_REQUESTS:
            entries.popleft()
        self._classes[class_name] = _Class(entries, now)

    def record_memory_wait(self, now: float) -> None:
        """Record that a request waits for memory."""
        self._waited_at = now

    def find(self, class_name: str, now: float) -> int:
        """Return the cache that a request of a class leaves free, tokens.

        Parameters
        ----------
        class_name : str
            Class of the request.
        now : float
            Monotonic clock, seconds.
        """
        own = self._classes.get(class_name)
        if own is None or now - self._waited_at > _CONTENTION_SECONDS:
            return 0
        length = own.mean_length
        return max(
            (
                other.size
                for other in self._classes.values()
                if now - other.last_request_at <= _CLASS_IDLE_SECONDS
                and other.mean_length * _MIN_LENGTH_RATIO <= length
            ),
            default=0,
        )
