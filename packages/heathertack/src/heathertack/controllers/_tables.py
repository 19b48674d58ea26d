"""Tables that track which records changed since an earlier version."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, NamedTuple, TypeVar

Record = TypeVar("Record")


class _Row(NamedTuple, Generic[Record]):
    """A record with the sequence number of its latest change."""

    record: Record
    sequence: int


class VersionedTable(Generic[Record]):
    """Records by name, each with the sequence number of its latest change.

    Parameters
    ----------
    next_sequence : callable
        Returns the sequence number of the next change.
    """

    def __init__(self, next_sequence: Callable[[], int]) -> None:
        self._rows: dict[str, _Row[Record]] = {}
        self._next_sequence = next_sequence

    def __iter__(self) -> Iterator[str]:
        return iter(self._rows)

    def find(self, name: str) -> Record | None:
        """Return a record, or ``None`` if there is none of that name."""
        row = self._rows.get(name)
        return row.record if row is not None else None

    def put(self, name: str, record: Record) -> bool:
        """Set a record and return whether its value changed."""
        if self.find(name) == record:
            return False
        self._rows[name] = _Row(record, self._next_sequence())
        return True

    def touch(self, name: str) -> None:
        """Publish a record again, if there is one of that name."""
        row = self._rows.get(name)
        if row is not None:
            self._rows[name] = _Row(row.record, self._next_sequence())

    def clear(self) -> None:
        """Remove all records."""
        self._rows.clear()

    def changes_since(self, sequence: int) -> tuple[Record, ...]:
        """Return the records that changed after a sequence number."""
        rows = self._rows.values()
        return tuple(row.record for row in rows if row.sequence > sequence)
