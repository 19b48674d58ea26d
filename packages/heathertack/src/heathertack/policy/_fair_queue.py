"""Fair queue ordered by latency objective, priority, account usage and age."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, NamedTuple, TypeVar

Item = TypeVar("Item")


class QueuedItem(NamedTuple, Generic[Item]):
    """A queued request."""

    key: str
    account: str
    #: Requests with a higher priority are served first.
    priority: int
    #: Weight of the account in fair queuing.
    share: float
    queued_at: float
    item: Item
    #: Time until which the request can still meet its latency objective.
    objective_deadline: float = float("inf")
    #: Whether the request already runs, waits for another target to move to, and is
    #: served first.
    is_running: bool = False


class FairQueue(Generic[Item]):
    """Orders requests by priority, tokens charged to their account, and age.

    Requests that already run are served first: they are lost with their target if
    they find no other one in time, and the work done for them with them.

    Requests that have missed their latency objective are served after all others,
    since serving them first would make further requests miss theirs.

    An account is charged the tokens generated for it, divided by its share. An
    account that was idle starts at the charge of the least charged account in the
    queue, so that it accumulates no credit while idle.
    """

    def __init__(self) -> None:
        self._items: dict[str, QueuedItem[Item]] = {}
        self._charged: dict[str, float] = {}
        self._floor = 0.0

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, key: str) -> bool:
        return key in self._items

    def add(self, queued: QueuedItem[Item]) -> None:
        """Add a request."""
        charged = self._charged.get(queued.account, 0.0)
        self._charged[queued.account] = max(charged, self._floor)
        self._items[queued.key] = queued

    def remove(self, key: str) -> QueuedItem[Item] | None:
        """Remove a request."""
        return self._items.pop(key, None)

    def charge(self, account: str, share: float, tokens: float) -> None:
        """Charge an account for generated tokens."""
        charged = max(self._charged.get(account, 0.0), self._floor)
        self._charged[account] = charged + tokens / share

    def ordered(self, now: float) -> Iterator[QueuedItem[Item]]:
        """Return the requests in the order in which they are to be served."""
        waiting = sorted(self._items.values(), key=lambda item: self._rank(item, now))
        if waiting:
            lowest = min(self._charged[queued.account] for queued in waiting)
            self._floor = max(self._floor, lowest)
        return iter(waiting)

    def evict_idle_accounts(self) -> None:
        """Remove accounts without requests whose charge is at the floor."""
        active = {queued.account for queued in self._items.values()}
        self._charged = {
            account: charged
            for account, charged in self._charged.items()
            if account in active or charged > self._floor
        }

    def _rank(
        self, queued: QueuedItem[Item], now: float
    ) -> tuple[bool, bool, int, float, float]:
        return (
            not queued.is_running,
            now > queued.objective_deadline,
            -queued.priority,
            self._charged[queued.account],
            queued.queued_at,
        )
