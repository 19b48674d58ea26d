"""Limits how often lines of one kind are logged."""

from __future__ import annotations

from collections.abc import Hashable

#: Maximum number of kinds that are told apart.
_MAX_KINDS = 200


class LineLimit:
    """Admits the first line of each kind in an interval, and counts the others.

    Parameters
    ----------
    interval : float
        Time after a line in which no further one of its kind is admitted, seconds.
    """

    def __init__(self, interval: float) -> None:
        self._interval = interval
        self._next_at: dict[Hashable, float] = {}
        self._counts: dict[Hashable, int] = {}

    def admit(self, kind: Hashable, now: float) -> int:
        """Return how many lines one line stands for, 0 if it must not be logged.

        Parameters
        ----------
        kind : Hashable
            What the line has in common with others.
        now : float
            Monotonic clock, seconds.
        """
        count = self._counts.get(kind, 0) + 1
        if now < self._next_at.get(kind, now):
            self._counts[kind] = count
            return 0
        if kind not in self._next_at and len(self._next_at) >= _MAX_KINDS:
            self._next_at.clear()
            self._counts.clear()
        self._next_at[kind] = now + self._interval
        self._counts[kind] = 0
        return count
