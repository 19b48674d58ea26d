from collections.abc import Sequence

import pytest

from heathertack.controllers._overload import OverloadControl
from heathertack.policy import QueuedItem
from heathertack_fakes.measure._overload_simulation import (
    CallRecord,
    OverloadSimulation,
)
from heathertack_fakes.measure._overload_workload import LONG, SHORT, draw_calls
from heathertack_fakes.measure.overload import CAPACITY_PER_ENGINE, Run, run_overload

ENGINES = 6
SEEDS = range(1, 5)


def share(records: Sequence[CallRecord], outcome: str) -> float:
    return sum(r.outcome == outcome for r in records) / max(len(records), 1)


@pytest.fixture(scope="module")
def records() -> list[CallRecord]:
    """Return the requests of runs at twice the load that 6 engines can serve."""
    runs = [Run(2.0, seed, ENGINES, 40.0) for seed in SEEDS]
    return [record for run in runs for record in run_overload(run)]


class TestOverload:
    """Bursts, reclaims, one large account, and callers that come back."""

    def test_urgent_kind_is_served_no_less_often(
        self, records: list[CallRecord]
    ) -> None:
        short = [r for r in records if r.call.kind == SHORT]
        long = [r for r in records if r.call.kind == LONG]
        assert share(short, "served") > share(long, "served")

    def test_large_account_does_not_starve_others(
        self, records: list[CallRecord]
    ) -> None:
        for kind in (SHORT, LONG):
            of_kind = [r for r in records if r.call.kind == kind]
            large = [r for r in of_kind if r.call.account == "account-0"]
            others = [r for r in of_kind if r.call.account != "account-0"]
            assert share(others, "served") >= share(large, "served")

    def test_running_streams_are_not_lost_to_new_ones(
        self, records: list[CallRecord]
    ) -> None:
        """Guards against the loss of every eighth stream at this load."""
        long = [r for r in records if r.call.kind == LONG]
        assert share(long, "lost") < 0.03

    def test_callers_are_refused_early(self, records: list[CallRecord]) -> None:
        """Guards against waits of 3.6 s that end in a refusal."""
        delays = [delay for r in records for delay in r.refusal_delays]
        assert delays
        assert sum(delays) / len(delays) < 0.8

    def test_large_requests_are_served_at_least_half_as_often(
        self, records: list[CallRecord]
    ) -> None:
        for kind in (SHORT, LONG):
            of_kind = sorted(
                (r for r in records if r.call.kind == kind), key=lambda r: r.call.size
            )
            large = of_kind[-len(of_kind) // 10 :]
            assert share(large, "served") >= 0.5 * share(of_kind, "served")


class TestRequestsThatFit:
    def test_are_placed_as_without_the_control(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against changes for deployments that are not overloaded."""

        def run() -> list[tuple[float | None, int, str]]:
            calls = draw_calls(
                0.5 * CAPACITY_PER_ENGINE * ENGINES, 30.0, 1, has_bursts=False
            )
            simulation = OverloadSimulation(calls, ENGINES, 1)
            return [(r.granted_at, r.engine, r.outcome) for r in simulation.run(60.0)]

        def is_old(
            control: OverloadControl, queued: QueuedItem[object], now: float
        ) -> bool:
            del control
            return now - queued.queued_at >= 6.0

        controlled = run()
        monkeypatch.setattr(OverloadControl, "refuse_unservable", lambda *_: ())
        monkeypatch.setattr(OverloadControl, "is_old", is_old)
        assert run() == controlled
        assert {outcome for _, _, outcome in controlled} <= {"served", "late", "lost"}
