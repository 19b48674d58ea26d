"""Limits on sending requests to a second target."""

from __future__ import annotations

from collections.abc import Mapping

from heathertack.blackboard import MEMBERS, Blackboard
from heathertack.messages import MemberRecord, MemberState
from heathertack.policy import RetryBudget
from heathertackd._retry_allowance import RetryAllowance

#: Number of retries that every instance may accumulate.
_MIN_RESERVE = 1.0


class RetryLimits:
    """Retry budgets of one instance, one for each service.

    Half of the cluster-wide allowance is divided evenly among the live instances,
    because each instance counts its retries independently of the others.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    allowance : RetryAllowance
        Retries that all instances together may send.
    """

    def __init__(self, board: Blackboard, allowance: RetryAllowance) -> None:
        self._board = board
        self._allowance = allowance
        self._budgets: dict[str, RetryBudget] = {}
        self._last_members: Mapping[str, MemberRecord] | None = None
        self._reserve = _MIN_RESERVE

    def record_request(self, service: str) -> None:
        """Count a request that is forwarded for the first time."""
        self._budget(service).record_success()

    def try_spend(self, service: str) -> bool:
        """Spend one retry if the budget of the service has one."""
        return self._budget(service).try_spend()

    def _budget(self, service: str) -> RetryBudget:
        self._apply_member_changes()
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._allowance.ratio / 2, self._reserve)
            self._budgets[service] = budget
        return budget

    def _apply_member_changes(self) -> None:
        """Divide the reserve anew if the table of members has changed."""
        members = self._board.read(MEMBERS)
        if members is self._last_members:
            return
        self._last_members = members
        live_count = sum(m.state is not MemberState.GONE for m in members.values())
        share = self._allowance.reserve / (2 * max(live_count, 1))
        self._reserve = max(share, _MIN_RESERVE)
        for budget in self._budgets.values():
            budget.set_reserve(self._reserve)
