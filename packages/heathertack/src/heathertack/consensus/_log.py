"""Entries of the log that are held in memory."""

from __future__ import annotations

from collections.abc import Iterable

from heathertack.consensus._types import LogEntry


class ReplicatedLog:
    """Entries after the latest snapshot.

    Parameters
    ----------
    snapshot_index : int
        Last index that the snapshot covers.
    snapshot_term : int
        Term of the entry at ``snapshot_index``.
    entries : iterable of LogEntry
        Entries after the snapshot.
    """

    def __init__(
        self, snapshot_index: int, snapshot_term: int, entries: Iterable[LogEntry]
    ) -> None:
        self._snapshot_index = snapshot_index
        self._snapshot_term = snapshot_term
        self._entries = list(entries)
        self._size = sum(len(entry.payload) for entry in self._entries)

    @property
    def snapshot_index(self) -> int:
        """Last index that the snapshot covers."""
        return self._snapshot_index

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self._snapshot_index + len(self._entries)

    @property
    def size(self) -> int:
        """Total size of all payloads, in bytes."""
        return self._size

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self._snapshot_term

    def find_term(self, index: int) -> int | None:
        """Return the term at an index, or ``None`` if the log does not contain it."""
        if index == self._snapshot_index:
            return self._snapshot_term
        if self._snapshot_index < index <= self.last_index:
            return self._entries[index - self._snapshot_index - 1].term
        return None

    def slice(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Return the entries from ``first`` to ``last``, both included."""
        start = max(first - self._snapshot_index - 1, 0)
        return tuple(self._entries[start : last - self._snapshot_index])

    def append(self, entries: Iterable[LogEntry]) -> None:
        """Add entries at the end."""
        added = tuple(entries)
        self._entries.extend(added)
        self._size += sum(len(entry.payload) for entry in added)

    def truncate(self, first_index: int) -> None:
        """Remove the entries from an index on."""
        del self._entries[first_index - self._snapshot_index - 1 :]
        self._size = sum(len(entry.payload) for entry in self._entries)

    def compact(self, index: int, term: int) -> None:
        """Remove the entries up to an index that a snapshot covers."""
        if self.find_term(index) == term:
            self._entries = self._entries[index - self._snapshot_index :]
        else:
            self._entries = []
        self._snapshot_index = index
        self._snapshot_term = term
        self._size = sum(len(entry.payload) for entry in self._entries)
