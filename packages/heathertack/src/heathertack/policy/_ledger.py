"""What the admission owner knows of the cache of one target."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

#: Reports come each half second, and tell what was up to a second ago.
_LAGGING_REPORTS = 3


class LedgerEntry(NamedTuple):
    """One generation that holds or will hold cache memory."""

    #: Tokens in the cache: prompt and answer so far.
    cached: int
    #: Predicted tokens still to come.
    remaining: int


def projected_peak(entries: Iterable[LedgerEntry]) -> int:
    """Return the highest cache use if every generation ends as predicted.

    All generations are taken to decode in step, one token each, and to free
    their memory at their predicted end.

    Parameters
    ----------
    entries : iterable of LedgerEntry
        Generations of one target.

    Returns
    -------
    int
        Tokens in the cache at the worst time.
    """
    peak = 0
    cached = 0
    latest_first = sorted(entries, key=_by_remaining, reverse=True)
    for count, entry in enumerate(latest_first, start=1):
        cached += entry.cached
        peak = max(peak, cached + count * entry.remaining)
    return peak


def _by_remaining(entry: LedgerEntry) -> int:
    return entry.remaining


class TargetLedger:
    """Reservations on one target, and its latest load report.

    Parameters
    ----------
    capacity : int
        Tokens that the cache holds.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._entries: dict[str, LedgerEntry] = {}
        self._copies: set[str] = set()
        self._waiting_prompts: dict[str, int] = {}
        self._own_tokens = 0
        self._waiting_tokens = 0
        self._foreign_tokens = 0
        #: Most tokens reserved since the latest report, and before the ones before.
        self._peak = 0
        self._peaks: deque[int] = deque(maxlen=_LAGGING_REPORTS)

    @property
    def count(self) -> int:
        """Number of reservations for runs; copies are not counted."""
        return len(self._entries) - len(self._copies)

    @property
    def is_empty(self) -> bool:
        """Whether nothing is reserved, and nothing else in the cache is known."""
        return not self._entries and not self._foreign_tokens

    @property
    def cached(self) -> int:
        """Tokens in the cache, as far as known."""
        return self._foreign_tokens + self._own_tokens

    @property
    def run_tokens(self) -> int:
        """Tokens in the cache that belong to runs, not to copies."""
        copies = sum(self._entries[key].cached for key in self._copies)
        return self._own_tokens - copies

    @property
    def waiting_prompt_tokens(self) -> int:
        """Prompt tokens of generations that have no first token yet."""
        return self._waiting_tokens

    @property
    def generation_ids(self) -> tuple[str, ...]:
        """Generations that hold a reservation."""
        return tuple(self._entries)

    def describe(self) -> str:
        """Return what is reserved, for logs and operators."""
        return f"{self.count} reserved, {self.cached}/{self.capacity} cached"

    def find(self, generation_id: str) -> LedgerEntry | None:
        """Return a reservation."""
        return self._entries.get(generation_id)

    def cached_of(self, generation_id: str) -> int:
        """Return the tokens that a reservation holds now, 0 without one."""
        entry = self._entries.get(generation_id)
        return entry.cached if entry is not None else 0

    def reserve_copy(self, key: str, entry: LedgerEntry) -> None:
        """Add or update the memory of a generation that runs elsewhere."""
        self.reserve(key, entry, started=True)
        self._copies.add(key)

    def reserve(self, generation_id: str, entry: LedgerEntry, *, started: bool) -> None:
        """Add or update a reservation."""
        self.release(generation_id)
        self._entries[generation_id] = entry
        self._own_tokens += entry.cached
        self._peak = max(self._peak, self._own_tokens)
        if not started:
            self._waiting_prompts[generation_id] = entry.cached
            self._waiting_tokens += entry.cached

    def release(self, generation_id: str) -> None:
        """Remove a reservation."""
        entry = self._entries.pop(generation_id, None)
        self._copies.discard(generation_id)
        if entry is not None:
            self._own_tokens -= entry.cached
        self._waiting_tokens -= self._waiting_prompts.pop(generation_id, 0)

    def record_reported_usage(self, reported_tokens: int, slack: int) -> None:
        """Account for cache use that no reservation explains.

        A report is some hundred milliseconds old and counts generations that have
        ended since, so it is held against the most that was reserved lately.

        Parameters
        ----------
        reported_tokens : int
            Use by running generations that the target reported.
        slack : int
            Difference that the lag of reports explains, tokens.
        """
        self._peaks.append(self._peak)
        self._peak = self._own_tokens
        explained = max(self._peaks) + slack
        self._foreign_tokens = max(0, reported_tokens - explained)

    def peak_with(self, candidate: LedgerEntry) -> int:
        """Return the projected peak if a generation is added."""
        return self._foreign_tokens + projected_peak(
            (*self._entries.values(), candidate)
        )
