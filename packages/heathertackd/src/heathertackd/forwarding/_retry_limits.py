"""Bounds on sending requests to a second target."""

from __future__ import annotations

from heathertack.blackboard import MEMBERS, Blackboard
from heathertack.messages import MemberState
from heathertack.policy import RetryBudget
from heathertackd._retry_allowance import RetryAllowance


class RetryLimits:
    """The share of one instance in the repeats of each service.

    Half of the allowance is handed out, divided evenly among the instances, since
    each of them counts without knowing of the others.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    allowance : RetryAllowance
        What all instances together may repeat.
    """

    def __init__(self, board: Blackboard, allowance: RetryAllowance) -> None:
        self._board = board
        self._allowance = allowance
        self._budgets: dict[str, RetryBudget] = {}

    def note_request(self, service: str) -> None:
        """Count a request that was sent for the first time."""
        self._budget(service).record_success()

    def try_spend(self, service: str) -> bool:
        """Spend one repeat if this instance's share has one."""
        return self._budget(service).try_spend()

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            members = self._board.read(MEMBERS).values()
            live = sum(1 for m in members if m.state is not MemberState.GONE)
            reserve = max(self._allowance.reserve / (2 * max(live, 1)), 1.0)
            budget = RetryBudget(self._allowance.ratio / 2, reserve)
            self._budgets[service] = budget
        return budget
