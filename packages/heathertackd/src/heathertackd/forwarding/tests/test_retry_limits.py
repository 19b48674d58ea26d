from typing import Any, ClassVar

import pytest

from heathertack.blackboard import MEMBERS, Blackboard, Section
from heathertack.messages import MemberRecord, MemberState
from heathertackd._retry_allowance import RetryAllowance
from heathertackd.forwarding._retry_limits import RetryLimits

RESERVE = 64.0
SERVICE = "portal"


class Members:
    READS: ClassVar[tuple[Section[Any], ...]] = ()
    WRITES: ClassVar[tuple[Section[Any], ...]] = (MEMBERS,)

    def __init__(self) -> None:
        self.board = Blackboard()
        self.board.register(self)

    def set_count(self, count: int) -> None:
        records = {
            f"i{n}": MemberRecord(f"i{n}", 1, MemberState.ALIVE, "", "", 1, 0)
            for n in range(count)
        }
        self.board.write(self, MEMBERS, records)


def spend_all(limits: RetryLimits) -> int:
    spent = 0
    while limits.try_spend(SERVICE):
        spent += 1
    return spent


class TestRetryLimits:
    # Guards against a share of the retries that was computed before the other
    # instances were known, so that all together send many times the allowance.
    @pytest.mark.parametrize("before", [0, 1, 3])
    @pytest.mark.parametrize("count", [12, 63])
    def test_share_follows_the_number_of_instances(
        self, before: int, count: int
    ) -> None:
        members = Members()
        members.set_count(before)
        limits = RetryLimits(members.board, RetryAllowance(0.0, RESERVE))
        limits.record_request(SERVICE)
        members.set_count(count)
        assert spend_all(limits) <= max(RESERVE / 2 / count, 1.0)

    def test_share_grows_when_instances_are_gone(self) -> None:
        members = Members()
        members.set_count(12)
        limits = RetryLimits(members.board, RetryAllowance(0.2, RESERVE))
        limits.record_request(SERVICE)
        members.set_count(2)
        for _ in range(1000):
            limits.record_request(SERVICE)
        assert spend_all(limits) == RESERVE / 2 / 2
