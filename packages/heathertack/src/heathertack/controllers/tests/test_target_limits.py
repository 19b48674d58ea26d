from typing import Any, ClassVar, NamedTuple

import pytest

from heathertack.blackboard import TARGET_LIMITS, TARGETS, Blackboard, Section
from heathertack.controllers import (
    LimitsDue,
    RatesReceived,
    TargetAnswered,
    TargetLimitController,
)
from heathertack.messages import TargetRate, TargetRates, TargetRecord, TargetState

MANY = 3000


class Case(NamedTuple):
    name: str
    #: Rates that answers named, with the times at which the requests were sent and
    #: the answers arrived.
    answers: tuple[tuple[float | None, float, float], ...]
    expected: float | None


CASES = [
    Case("no limit", ((None, 0.0, 1.0),), None),
    Case("limit", ((2.5, 0.0, 1.0),), 2.5),
    Case("other limit", ((2.5, 0.0, 1.0), (1.0, 0.5, 2.0)), 1.0),
    Case("limit ends", ((2.5, 0.0, 1.0), (None, 1.5, 2.0)), None),
    Case("late answer without it", ((2.5, 0.0, 1.0), (None, 0.5, 2.0)), 2.5),
    Case("ends and comes back", ((2.5, 0.0, 1.0), (None, 1.5, 2.0), (3.0, 2, 3)), 3.0),
]


class LimitSystem:
    READS: ClassVar[tuple[Section[Any], ...]] = ()
    WRITES: ClassVar[tuple[Section[Any], ...]] = (TARGETS,)

    def __init__(self, targets: int = 1) -> None:
        self.board = Blackboard()
        self.board.register(self)
        self.limits = TargetLimitController(self.board)
        self.set_targets(targets)

    def set_targets(self, count: int) -> None:
        names = [f"t{number}" for number in range(count)]
        records = {
            name: TargetRecord(name, "s", "", "", TargetState.LIVE) for name in names
        }
        self.board.write(self, TARGETS, records)

    def rate(self, target: str = "t0") -> float | None:
        limit = self.board.read(TARGET_LIMITS).get(target)
        return limit.rate if limit is not None else None


class TestTargetLimits:
    # Guards against a limit that is lost, or that outlives the answers that name it.
    @pytest.mark.parametrize("case", CASES, ids=[case.name for case in CASES])
    def test_newest_answer_decides(self, case: Case) -> None:
        system = LimitSystem()
        for rate, sent_at, now in case.answers:
            system.limits.handle(TargetAnswered("t0", rate, sent_at), now)
        assert system.rate() == case.expected

    def test_reports_only_changes(self) -> None:
        system = LimitSystem()
        answers = [(2.0, ("t0",)), (2.0, ()), (3.0, ("t0",)), (None, ("t0",))]
        for number, (rate, changed) in enumerate(answers):
            answer = TargetAnswered("t0", rate, number + 0.5)
            assert system.limits.handle(answer, number + 0.6) == changed

    def test_limits_of_targets_that_are_gone_are_forgotten(self) -> None:
        system = LimitSystem()
        system.limits.handle(TargetAnswered("t0", 2.0, 0.0), 0.1)
        system.set_targets(0)
        assert system.limits.handle(LimitsDue(), 1.0) == ("t0",)
        assert not system.board.read(TARGET_LIMITS)

    # Guards against an instance that forgets what it is told right after its start,
    # before it knows any target, and then assigns requests without a limit.
    def test_limits_of_targets_that_are_not_listed_yet_are_kept(self) -> None:
        system = LimitSystem(0)
        told = TargetRates((TargetRate("t0", 2.0, 1.0),))
        system.limits.handle(RatesReceived(told), 5.0)
        assert system.limits.handle(LimitsDue(), 5.1) == ()
        assert system.rate() == 2.0
        system.set_targets(1)
        assert system.limits.handle(LimitsDue(), 5.2) == ()
        assert system.rate() == 2.0
        system.set_targets(0)
        assert system.limits.handle(LimitsDue(), 5.3) == ("t0",)

    def test_unused_limits_expire(self) -> None:
        system = LimitSystem()
        system.limits.handle(TargetAnswered("t0", 2.0, 0.0), 0.1)
        assert system.limits.handle(LimitsDue(), 500.0) == ()
        assert system.limits.handle(LimitsDue(), 700.0) == ("t0",)

    def test_number_of_limits_is_bounded(self) -> None:
        system = LimitSystem(MANY)
        for number in range(MANY):
            answer = TargetAnswered(f"t{number}", 1.0, float(number))
            system.limits.handle(answer, number + 0.1)
        limits = system.board.read(TARGET_LIMITS)
        assert len(limits) == 1024
        assert f"t{MANY - 1}" in limits
