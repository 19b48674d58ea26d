"""Queue of requests: usefulness, priority, fair shares between accounts, age."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, NamedTuple, TypeVar

Item = TypeVar("Item")


class QueuedItem(NamedTuple, Generic[Item]):
    """A request that waits."""

    key: str
    account: str
    #: The higher one goes first.
    priority: int
    #: Weight of the account.
    share: float
    queued_at: float
    item: Item
    #: When its answer loses most of its use.
    objective_deadline: float = float("inf")


class FairQueue(Generic[Item]):
    """Orders requests by priority, tokens charged to their account, and age.

    Requests that are late already come after all others: what is spent on them would
    make further ones late.

    An account is charged the tokens made for it, divided by its share. One that
    was idle starts level with the least charged account that waits, so that
    idling saves up nothing.
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
        """Charge an account for tokens made."""
        charged = max(self._charged.get(account, 0.0), self._floor)
        self._charged[account] = charged + tokens / share

    def ordered(self, now: float) -> Iterator[QueuedItem[Item]]:
        """Return the requests, the first one to be served first."""
        waiting = sorted(self._items.values(), key=lambda item: self._rank(item, now))
        if waiting:
            lowest = min(self._charged[queued.account] for queued in waiting)
            self._floor = max(self._floor, lowest)
        return iter(waiting)

    def evict_idle_accounts(self) -> None:
        """Drop accounts that are level with an idle one."""
        active = {queued.account for queued in self._items.values()}
        self._charged = {
            account: charged
            for account, charged in self._charged.items()
            if account in active or charged > self._floor
        }

    def _rank(
        self, queued: QueuedItem[Item], now: float
    ) -> tuple[bool, int, float, float]:
        return (
            now > queued.objective_deadline,
            -queued.priority,
            self._charged[queued.account],
            queued.queued_at,
        )
