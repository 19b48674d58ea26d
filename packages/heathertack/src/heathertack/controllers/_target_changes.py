"""Which targets have changed since a request was compared with them."""

from __future__ import annotations


class TargetChanges:
    """Numbers the changes of the targets of one group."""

    def __init__(self) -> None:
        self._count = 0
        self._all_changed_at = 0
        #: Number of the latest change of each target, in ascending order.
        self._changed_at: dict[str, int] = {}

    @property
    def count(self) -> int:
        """Number of the latest change."""
        return self._count

    def record(self, target: str) -> None:
        """Record that a target has other room than before."""
        self._count += 1
        self._changed_at.pop(target, None)
        self._changed_at[target] = self._count

    def record_all(self) -> None:
        """Record that all targets may have other room than before."""
        self._count += 1
        self._all_changed_at = self._count
        self._changed_at.clear()

    def list_since(self, count: int) -> frozenset[str] | None:
        """Return the targets that have changed, ``None`` for all targets.

        Parameters
        ----------
        count : int
            Number of the latest change that is known.
        """
        if count < self._all_changed_at:
            return None
        changed: list[str] = []
        for target in reversed(self._changed_at):
            if self._changed_at[target] <= count:
                break
            changed.append(target)
        return frozenset(changed)
