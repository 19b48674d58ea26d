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


class Tables:
    """Stands for the writers of bundle, control view and targets."""

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
                held = isinstance(action, CordonTarget)
                state = TargetState.LEAVING if held else TargetState.LIVE
                record = self.targets[action.target]
                self.targets[action.target] = record._replace(state=state)
        self.publish()
        return actions


@pytest.fixture
def tables() -> Tables:
    prepared = Tables(3)
    for name in prepared.targets:
        prepared.report(name, OLD)
    return prepared


class TestReloading:
    def test_one_engine_at_a_time_and_only_when_idle(self, tables: Tables) -> None:
        assert tables.plan(20.0) == (CordonTarget("e0"),)
        tables.report("e0", OLD, running=1)
        assert tables.plan(21.0) == ()
        tables.report("e0", OLD, running=0)
        (order,) = tables.plan(22.0)
        assert order == SendOrder("e0", "a", NEW, 5)
        tables.report("e0", OLD, loading=True)
        assert tables.plan(40.0) == ()
        tables.report("e0", NEW)
        assert tables.plan(41.0) == (UncordonTarget("e0"),)
        assert tables.plan(42.0) == (CordonTarget("e1"),)

    def test_lost_order_is_repeated(self, tables: Tables) -> None:
        tables.plan(20.0)
        assert len(tables.plan(21.0)) == 1
        assert tables.plan(22.0) == ()
        assert len(tables.plan(27.0)) == 1

    def test_last_engine_in_use_is_not_taken(self, tables: Tables) -> None:
        for name in ("e1", "e2"):
            record = tables.targets[name]
            tables.targets[name] = record._replace(state=TargetState.LEAVING)
        tables.publish()
        assert tables.plan(20.0) == ()

    def test_right_engines_are_left_alone(self, tables: Tables) -> None:
        for name in tables.targets:
            tables.report(name, NEW)
        assert tables.plan(20.0) == ()


class TestFencing:
    def test_leader_without_a_lease_orders_nothing(self, tables: Tables) -> None:
        tables.plan(20.0)
        tables.lead(term=1, number=5, until=20.5)
        assert tables.plan(21.0) == ()

    def test_new_leader_waits_out_the_old_one(self, tables: Tables) -> None:
        tables.lead(term=2, number=9)
        for name in tables.targets:
            tables.report(name, OLD)
        assert tables.plan(10.0 + 1.5) == ()
        assert tables.plan(10.0 + 1.7) == (CordonTarget("e0"),)

    def test_number_grows_with_the_leader(self, tables: Tables) -> None:
        tables.lead(term=2, number=9)
        for name in tables.targets:
            tables.report(name, OLD)
        tables.plan(20.0)
        (order,) = tables.plan(21.0)
        assert isinstance(order, SendOrder)
        assert order.fencing_number == 9
