"""A record that breaks each rule, and records that keep it at its bound."""

import pytest

from heathertack_fakes.rules import (
    ClientAttempt,
    EngineWork,
    Stop,
    StopBounds,
    find_lost_requests,
    find_repeated_runs,
    find_untrue_refusals,
    find_wrong_streams,
)

STOP = Stop("entry-1", 100.0)
BOUNDS = StopBounds(grace=6.0, loss_slack=0.2)


def attempt(
    sent_at: float = 99.0, ended_at: float = 101.0, **values: object
) -> ClientAttempt:
    """Return an attempt that was cut while it streamed."""
    base = ClientAttempt("r", "entry-1", sent_at, ended_at, 200, False, 39.0)
    return base._replace(**values)  # type: ignore[arg-type]


def work(until: float = 101.0, **values: object) -> EngineWork:
    base = EngineWork("r", "engine-1", 99.1, until)
    return base._replace(**values)  # type: ignore[arg-type]


class TestPlannedStops:
    @pytest.mark.parametrize(
        ("cut", "works", "is_lost"),
        [
            pytest.param(attempt(), [work()], True, id="cut while it runs"),
            pytest.param(attempt(is_whole=True), [work()], False, id="answered"),
            pytest.param(
                attempt(ended_at=99.9), [work(99.9)], False, id="before the stop"
            ),
            pytest.param(
                attempt(103.1, 106.0), [work(106.0)], True, id="sent too late"
            ),
            pytest.param(
                attempt(103.0, 105.0), [work(105.0)], False, id="sent in time, excused"
            ),
            pytest.param(
                attempt(103.0, 104.9), [work(104.9)], True, id="before the last sixth"
            ),
            pytest.param(
                attempt(104.0, 107.0), [work(107.0)], True, id="1 s after the grace"
            ),
            pytest.param(
                attempt(104.0, 107.1), [work(107.1)], False, id="later than that"
            ),
            pytest.param(
                attempt(100.5, 100.69, status=0), [], False, id="crosses the end"
            ),
            pytest.param(
                attempt(100.5, 100.71, status=0), [], True, id="read, not passed on"
            ),
            pytest.param(
                attempt(), [work(broke_off=True)], False, id="the engine broke off"
            ),
            pytest.param(
                attempt(time_budget=2.0), [work()], False, id="at its time budget"
            ),
            pytest.param(
                attempt(time_budget=2.1), [work()], True, id="before its time budget"
            ),
            pytest.param(
                attempt(instance="entry-2"), [work()], False, id="another instance"
            ),
        ],
    )
    def test_lost_requests(
        self, cut: ClientAttempt, works: list[EngineWork], is_lost: bool
    ) -> None:
        found = find_lost_requests([cut], works, [STOP], BOUNDS)
        assert [violation.rule for violation in found] == ["LOST"] * is_lost


class TestRequests:
    @pytest.mark.parametrize(
        ("status", "is_idempotent", "has_run", "is_broken"),
        [
            (503, False, True, True),
            (408, False, True, True),
            (421, False, True, True),
            (429, False, True, True),
            (502, False, True, False),
            (504, False, True, False),
            (503, True, True, False),
            (503, False, False, False),
        ],
    )
    def test_untrue_refusals(
        self, status: int, is_idempotent: bool, has_run: bool, is_broken: bool
    ) -> None:
        refused = attempt(status=status, is_whole=True, is_idempotent=is_idempotent)
        found = find_untrue_refusals([refused], [work()] * has_run)
        assert [violation.rule for violation in found] == ["REFUSED"] * is_broken

    @pytest.mark.parametrize(
        ("works", "is_idempotent", "is_broken"),
        [
            ([work(), work()], False, True),
            ([work()], False, False),
            ([work(), work(continues_run=True)], False, False),
            ([work(), work()], True, False),
            ([work(), work(request_id="other")], False, False),
        ],
    )
    def test_repeated_runs(
        self, works: list[EngineWork], is_idempotent: bool, is_broken: bool
    ) -> None:
        sent = attempt(is_idempotent=is_idempotent)
        found = find_repeated_runs([sent], works)
        assert [violation.rule for violation in found] == ["TWICE"] * is_broken

    @pytest.mark.parametrize(
        ("events", "is_whole", "is_broken"),
        [
            ((1, 2, 3), True, False),
            ((1, 2), False, False),
            ((), False, False),
            ((1, 2), True, True),
            ((1, 3), False, True),
            ((1, 2, 2, 3), True, True),
            ((2, 3), True, True),
        ],
    )
    def test_wrong_streams(
        self, events: tuple[int, ...], is_whole: bool, is_broken: bool
    ) -> None:
        got = attempt(events=events, is_whole=is_whole)
        found = find_wrong_streams([got], [work(last_event=3)])
        assert [violation.rule for violation in found] == ["ORDER"] * is_broken
