"""The admission owner's model of the KV cache of one target."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

#: Number of reports whose reserved peaks are kept. Reports arrive every 0.5 s and
#: describe a state that is up to 1 s old.
_PEAK_HISTORY_REPORTS = 3


class LedgerEntry(NamedTuple):
    """Cache use of one generation, now and predicted."""

    #: Tokens in the cache: the prompt and the tokens generated so far.
    cached: int
    #: Predicted number of tokens still to be generated.
    remaining: int


def projected_peak(entries: Iterable[LedgerEntry]) -> int:
    """Return the peak cache use if every generation ends as predicted.

    Assumes that all generations decode in lockstep, one token per step, and free
    their cache at their predicted end.

    Parameters
    ----------
    entries : iterable of LedgerEntry
        Generations of one target.

    Returns
    -------
    int
        Tokens in the cache at the peak.
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
        Capacity of the cache, tokens.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._entries: dict[str, LedgerEntry] = {}
        self._backup_keys: set[str] = set()
        self._waiting_prompts: dict[str, int] = {}
        self._reserved_tokens = 0
        self._waiting_prompt_total = 0
        self._unattributed_tokens = 0
        #: Peak of the reserved tokens since the latest report, and the peaks of the
        #: intervals before it.
        self._peak = 0
        self._peaks: deque[int] = deque(maxlen=_PEAK_HISTORY_REPORTS)

    @property
    def count(self) -> int:
        """Number of reservations for running generations, without backups."""
        return len(self._entries) - len(self._backup_keys)

    @property
    def is_empty(self) -> bool:
        """Whether there are no reservations and no unattributed cache use."""
        return not self._entries and not self._unattributed_tokens

    @property
    def cached(self) -> int:
        """Tokens in the cache: reserved ones and unattributed use."""
        return self._unattributed_tokens + self._reserved_tokens

    @property
    def run_tokens(self) -> int:
        """Reserved tokens of running generations, without backups."""
        backups = sum(self._entries[key].cached for key in self._backup_keys)
        return self._reserved_tokens - backups

    @property
    def waiting_prompt_tokens(self) -> int:
        """Prompt tokens of generations without a first token."""
        return self._waiting_prompt_total

    @property
    def generation_ids(self) -> tuple[str, ...]:
        """Generations with a reservation."""
        return tuple(self._entries)

    @property
    def backups(self) -> tuple[tuple[str, LedgerEntry], ...]:
        """Backups of generations that run on other targets, with their keys."""
        return tuple((key, self._entries[key]) for key in self._backup_keys)

    def describe(self) -> str:
        """Return a summary of the reservations, for logs and operators."""
        return f"{self.count} reserved, {self.cached}/{self.capacity} cached"

    def find(self, generation_id: str) -> LedgerEntry | None:
        """Return a reservation, ``None`` if there is none."""
        return self._entries.get(generation_id)

    def cached_of(self, generation_id: str) -> int:
        """Return the cached tokens of a reservation, 0 if there is none."""
        entry = self._entries.get(generation_id)
        return entry.cached if entry is not None else 0

    def reserve_backup(self, key: str, entry: LedgerEntry) -> None:
        """Add or update the backup of a generation that runs on another target."""
        self.reserve(key, entry, started=True)
        self._backup_keys.add(key)

    def reserve(self, generation_id: str, entry: LedgerEntry, *, started: bool) -> None:
        """Add or update a reservation."""
        self.release(generation_id)
        self._entries[generation_id] = entry
        self._reserved_tokens += entry.cached
        self._peak = max(self._peak, self._reserved_tokens)
        if not started:
            self._waiting_prompts[generation_id] = entry.cached
            self._waiting_prompt_total += entry.cached

    def release(self, generation_id: str) -> None:
        """Remove a reservation."""
        entry = self._entries.pop(generation_id, None)
        self._backup_keys.discard(generation_id)
        if entry is not None:
            self._reserved_tokens -= entry.cached
        self._waiting_prompt_total -= self._waiting_prompts.pop(generation_id, 0)

    def record_reported_usage(self, reported_tokens: int, slack: int) -> None:
        """Update the cache use that is not attributed to any reservation.

        A report is several hundred milliseconds old and includes generations that
        have ended since, so it is compared with the recent peak of reservations.

        Parameters
        ----------
        reported_tokens : int
            Cache use of running generations according to the target's report.
        slack : int
            Difference attributed to the delay of reports, tokens.
        """
        self._peaks.append(self._peak)
        self._peak = self._reserved_tokens
        attributed = max(self._peaks) + slack
        self._unattributed_tokens = max(0, reported_tokens - attributed)

    def peak_with(self, candidate: LedgerEntry) -> int:
        """Return the projected peak cache use with a generation added."""
        return self._unattributed_tokens + projected_peak(
            (*self._entries.values(), candidate)
        )
