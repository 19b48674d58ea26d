from typing import Any, ClassVar

import pytest

from heathertack.blackboard import (
    BUNDLE,
    CONTROL,
    TARGETS,
    Blackboard,
    BundleView,
    ControlView,
    Section,
)
from heathertack.bundle import Bundle
from heathertack.controllers import (
    CordonTarget,
    EngineWeights,
    OrderAction,
    OrderController,
    OrdersDue,
    SendOrder,
    UncordonTarget,
    WeightsReported,
)
from heathertack.messages import TargetRecord, TargetState

OLD = EngineWeights("tutor", "1", ())
NEW = EngineWeights("tutor", "2", ())


class OrderHarness:
    """Order controller with a fake writer of the sections that it reads."""

    READS: ClassVar[tuple[Section[Any], ...]] = ()
    WRITES: ClassVar[tuple[Section[Any], ...]] = (BUNDLE, CONTROL, TARGETS)

    def __init__(self, engines: int) -> None:
        self.board = Blackboard()
        self.board.register(self)
        self.targets = {
            f"e{i}": TargetRecord(f"e{i}", "tutor", "a", "d", TargetState.LIVE, 1000)
            for i in range(engines)
        }
        bundle: Bundle = {
            "version": 1,
            "services": {
                "tutor": {
                    "kind": "generation",
                    "model": "tutor",
                    "model_version": "2",
                }
            },
            "classes": {},
            "accounts": {},
        }
        self.board.write(self, BUNDLE, BundleView(1, bundle))
        self.lead(term=1, number=5)
        self.publish()
        self.orders = OrderController(self.board)

    def lead(self, term: int, number: int, until: float = 1e9) -> None:
        view = ControlView(True, term, lease_until=until, fencing_number=number)
        self.board.write(self, CONTROL, view)

    def publish(self) -> None:
        self.board.write(self, TARGETS, dict(self.targets))

    def report(
        self, name: str, weights: EngineWeights, running: int = 0, loading: bool = False
    ) -> None:
        event = WeightsReported(name, weights, running, loading)
        self.orders.handle(event, 10.0)

    def plan(self, now: float) -> tuple[OrderAction, ...]:
        actions = self.orders.handle(OrdersDue(), now)
        for action in actions:
            if isinstance(action, CordonTarget | UncordonTarget):
                is_cordoned = isinstance(action, CordonTarget)
                state = TargetState.LEAVING if is_cordoned else TargetState.LIVE
                record = self.targets[action.target]
                self.targets[action.target] = record._replace(state=state)
        self.publish()
        return actions


@pytest.fixture
def harness() -> OrderHarness:
    prepared = OrderHarness(3)
    for name in prepared.targets:
        prepared.report(name, OLD)
    return prepared


class TestReloading:
    def test_one_engine_at_a_time_and_only_when_idle(
        self, harness: OrderHarness
    ) -> None:
        assert harness.plan(20.0) == (CordonTarget("e0"),)
        harness.report("e0", OLD, running=1)
        assert harness.plan(21.0) == ()
        harness.report("e0", OLD, running=0)
        (order,) = harness.plan(22.0)
        assert order == SendOrder("e0", "a", NEW, 5)
        harness.report("e0", OLD, loading=True)
        assert harness.plan(40.0) == ()
        harness.report("e0", NEW)
        assert harness.plan(41.0) == (UncordonTarget("e0"),)
        assert harness.plan(42.0) == (CordonTarget("e1"),)

    def test_lost_order_is_repeated(self, harness: OrderHarness) -> None:
        harness.plan(20.0)
        assert len(harness.plan(21.0)) == 1
        assert harness.plan(22.0) == ()
        assert len(harness.plan(27.0)) == 1

    def test_last_live_engine_is_not_reloaded(self, harness: OrderHarness) -> None:
        for name in ("e1", "e2"):
            record = harness.targets[name]
            harness.targets[name] = record._replace(state=TargetState.LEAVING)
        harness.publish()
        assert harness.plan(20.0) == ()

    def test_engines_with_the_desired_weights_are_not_reloaded(
        self, harness: OrderHarness
    ) -> None:
        for name in harness.targets:
            harness.report(name, NEW)
        assert harness.plan(20.0) == ()


class TestFencing:
    def test_leader_without_a_lease_sends_no_order(self, harness: OrderHarness) -> None:
        harness.plan(20.0)
        harness.lead(term=1, number=5, until=20.5)
        assert harness.plan(21.0) == ()

    def test_new_leader_waits_until_old_orders_have_expired(
        self, harness: OrderHarness
    ) -> None:
        harness.lead(term=2, number=9)
        for name in harness.targets:
            harness.report(name, OLD)
        assert harness.plan(10.0 + 1.5) == ()
        assert harness.plan(10.0 + 1.7) == (CordonTarget("e0"),)

    def test_order_carries_the_fencing_number_of_the_new_leader(
        self, harness: OrderHarness
    ) -> None:
        harness.lead(term=2, number=9)
        for name in harness.targets:
            harness.report(name, OLD)
        harness.plan(20.0)
        (order,) = harness.plan(21.0)
        assert isinstance(order, SendOrder)
        assert order.fencing_number == 9
