"""A record that breaks each rule, and records that keep it at its bound."""

import pytest

from heathertack_fakes.rules import (
    BrittleTime,
    ClientAttempt,
    ColdBounds,
    ColdTime,
    EngineFall,
    EngineWork,
    Evacuation,
    OutOfTouch,
    Stop,
    StopBounds,
    TargetCut,
    TargetRequest,
    find_cold_overloads,
    find_evacuated_requests,
    find_excess_falls,
    find_lost_requests,
    find_repeated_runs,
    find_unserved_at_cut_instances,
    find_untrue_refusals,
    find_wrong_streams,
)

STOP = Stop("entry-1", 100.0)
BOUNDS = StopBounds(grace=6.0, loss_slack=0.2)
STABILITY_WINDOW = 3.0
CUT = TargetCut(frozenset({"entry-1", "entry-2"}), 100.0, 110.0)
#: Sent once the stability window is over.
AFTER_WINDOW = 103.0


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


def tries(
    served: int, failed: int, instance: str = "entry-1", **values: object
) -> list[ClientAttempt]:
    """Return first tries at an instance, some of which are refused a connection."""
    base = attempt(sent_at=AFTER_WINDOW, ended_at=AFTER_WINDOW, instance=instance)
    good = base._replace(status=200, is_whole=True)._replace(**values)  # type: ignore[arg-type]
    bad = base._replace(status=0, is_whole=False)._replace(**values)  # type: ignore[arg-type]
    return [good] * served + [bad] * failed


class TestCutInstances:
    @pytest.mark.parametrize(
        ("at_cut", "elsewhere", "is_broken"),
        [
            pytest.param(tries(0, 20), tries(80, 0, "entry-3"), True, id="none served"),
            pytest.param(
                tries(40, 20), tries(60, 0, "entry-3"), False, id="two thirds as often"
            ),
            pytest.param(
                tries(39, 20), tries(60, 0, "entry-3"), True, id="less than that"
            ),
            pytest.param(
                tries(16, 20), tries(60, 30, "entry-3"), False, id="others fail too"
            ),
            pytest.param(
                tries(15, 20), tries(60, 30, "entry-3"), True, id="fail less often"
            ),
            pytest.param(
                tries(0, 12), tries(88, 0, "entry-3"), False, id="10 + 1 in 50 of 100"
            ),
            pytest.param(
                tries(0, 13), tries(87, 0, "entry-3"), True, id="one more than that"
            ),
            pytest.param(
                [*tries(0, 7), *tries(0, 6, "entry-2")],
                tries(87, 0, "entry-3"),
                True,
                id="spread over the cut instances",
            ),
            pytest.param(
                tries(0, 13, sent_at=102.9),
                tries(87, 0, "entry-3"),
                False,
                id="within the stability window",
            ),
            pytest.param(
                tries(0, 13, sent_at=109.9),
                tries(87, 0, "entry-3"),
                True,
                id="at the end of the cut",
            ),
            pytest.param(
                tries(0, 13, sent_at=110.0),
                tries(87, 0, "entry-3"),
                False,
                id="after the cut",
            ),
            pytest.param(
                tries(0, 13, status=503, is_whole=True),
                tries(87, 0, "entry-3"),
                True,
                id="refused with an answer",
            ),
            pytest.param(
                tries(13, 0, is_whole=False),
                tries(87, 0, "entry-3"),
                True,
                id="an answer that breaks off",
            ),
            pytest.param(
                tries(0, 13, status=202, is_whole=True),
                tries(87, 0, "entry-3"),
                False,
                id="accepted for later",
            ),
            pytest.param(
                [*tries(0, 13), *tries(99, 0, status=202)],
                tries(87, 0, "entry-3"),
                True,
                id="beside work accepted for later",
            ),
            pytest.param(
                tries(0, 13, is_first_try=False),
                tries(87, 0, "entry-3"),
                False,
                id="no first tries",
            ),
            pytest.param(
                tries(0, 13, is_in_touch=False),
                tries(87, 0, "entry-3"),
                False,
                id="out of touch",
            ),
            pytest.param(tries(0, 99), [], False, id="no others"),
            pytest.param(
                tries(0, 99), tries(0, 99, "entry-3"), False, id="others serve none"
            ),
            pytest.param(
                tries(87, 0), tries(0, 13, "entry-3"), False, id="others do worse"
            ),
        ],
    )
    def test_first_tries_at_cut_instances(
        self,
        at_cut: list[ClientAttempt],
        elsewhere: list[ClientAttempt],
        is_broken: bool,
    ) -> None:
        found = find_unserved_at_cut_instances(
            [*at_cut, *elsewhere], [CUT], STABILITY_WINDOW
        )
        assert [violation.rule for violation in found] == ["RECOVER"] * is_broken

    def test_instances_that_another_cut_holds_are_no_others(self) -> None:
        cuts = [CUT, TargetCut(frozenset({"entry-3"}), 102.0, 104.0)]
        sent = [*tries(0, 20), *tries(0, 20, "entry-3"), *tries(20, 0, "entry-4")]
        found = find_unserved_at_cut_instances(sent, cuts, STABILITY_WINDOW)
        assert len(found) == 1
        assert "20 of 20 at the others" in found[0].detail


def falls(number: int, **values: object) -> tuple[EngineFall, ...]:
    """Return falls of different engines after requests of one instance."""
    base = EngineFall("portal", "", 20.0, ("entry-1",) * 3)
    return tuple(
        base._replace(engine=f"e{n}", **values)  # type: ignore[arg-type]
        for n in range(number)
    )


class TestBrittleEngines:
    @pytest.mark.parametrize(
        ("engines", "found", "is_broken"),
        [
            pytest.param(3, falls(2), False, id="few engines, at the bound"),
            pytest.param(3, falls(3), True, id="few engines, one more"),
            pytest.param(10, falls(3), False, id="ten engines, at the bound"),
            pytest.param(10, falls(4), True, id="ten engines, one more"),
            pytest.param(19, falls(3), False, id="a tenth is no whole number"),
            pytest.param(19, falls(4), True, id="more than that tenth"),
            pytest.param(40, falls(6), False, id="forty engines, at the bound"),
            pytest.param(40, falls(7), True, id="forty engines, one more"),
            pytest.param(3, falls(9, at=9.9), False, id="before the time"),
            pytest.param(3, falls(9, at=30.1), False, id="after the time"),
            pytest.param(3, falls(3, at=10.0), True, id="at its begin"),
            pytest.param(3, falls(3, at=30.0), True, id="at its end"),
            pytest.param(3, falls(9, service="book"), False, id="other service"),
            pytest.param(3, falls(1) * 3, True, id="one engine, again"),
        ],
    )
    def test_falls(
        self, engines: int, found: tuple[EngineFall, ...], is_broken: bool
    ) -> None:
        time = BrittleTime("portal", 10.0, 30.0, engines)
        violations = find_excess_falls([time], found)
        assert [v.rule for v in violations] == ["LIMIT"] * is_broken

    # Each time has its own bound.
    def test_two_times(self) -> None:
        times = [
            BrittleTime("portal", 10.0, 30.0, 3),
            BrittleTime("portal", 40.0, 60.0, 3),
        ]
        assert not find_excess_falls(times, falls(2) + falls(2, at=50.0))
        assert len(find_excess_falls(times, falls(3) + falls(3, at=50.0))) == 2

    @pytest.mark.parametrize(
        ("rejected", "begin", "end", "is_broken"),
        [
            pytest.param(("b", "b", "a"), 19.0, 21.0, False, id="most out of touch"),
            pytest.param(("a", "b"), 19.0, 21.0, False, id="half: not most in touch"),
            pytest.param(("a", "a", "b"), 19.0, 21.0, True, id="most in touch"),
            pytest.param(("b", "b", "b"), 21.0, 22.0, True, id="out of touch later"),
            pytest.param(("b", "b", "b"), 18.0, 19.0, True, id="in touch again"),
        ],
    )
    def test_instances_out_of_touch(
        self, rejected: tuple[str, ...], begin: float, end: float, is_broken: bool
    ) -> None:
        time = BrittleTime("portal", 10.0, 30.0, 3)
        excused = [OutOfTouch("b", begin, end)]
        violations = find_excess_falls([time], falls(3, rejected=rejected), excused)
        assert bool(violations) is is_broken


EVACUATION = Evacuation("zone-a", 100.0, 120.0)
EVACUATION_TIME = 5.0
ARRIVAL = TargetRequest("r", "engine-1", "zone-a", "entry-1", 110.0)


class TestEvacuations:
    @pytest.mark.parametrize(
        ("request_", "is_broken"),
        [
            pytest.param(ARRIVAL, True, id="during the evacuation"),
            pytest.param(ARRIVAL._replace(at=105.0), False, id="at the bound"),
            pytest.param(ARRIVAL._replace(at=105.01), True, id="after the bound"),
            pytest.param(ARRIVAL._replace(at=119.99), True, id="before readmission"),
            pytest.param(ARRIVAL._replace(at=120.0), False, id="at the readmission"),
            pytest.param(ARRIVAL._replace(domain="zone-b"), False, id="other domain"),
            pytest.param(ARRIVAL._replace(is_in_touch=False), False, id="no touch"),
            pytest.param(ARRIVAL._replace(status=421), False, id="wrong target"),
            pytest.param(ARRIVAL._replace(status=503), True, id="refused"),
        ],
    )
    def test_requests(self, request_: TargetRequest, is_broken: bool) -> None:
        found = find_evacuated_requests([request_], [EVACUATION], EVACUATION_TIME)
        assert [violation.rule for violation in found] == ["EVAC"] * is_broken


COLD = ColdTime("engine-1", 100.0, 103.0, 10.0)
#: Allow 20 requests a second to the cold target.
COLD_BOUNDS = ColdBounds(1.5, 5.0)


def arrivals(number: int, begin: float, **values: object) -> list[TargetRequest]:
    """Return requests that are spread over less than a second."""
    base = ARRIVAL._replace(**values)  # type: ignore[arg-type]
    return [base._replace(at=begin + 0.9 * n / number) for n in range(number)]


class TestColdTargets:
    @pytest.mark.parametrize(
        ("requests", "is_broken"),
        [
            pytest.param(arrivals(20, 101.0), False, id="at the bound"),
            pytest.param(arrivals(21, 101.0), True, id="one more"),
            pytest.param(arrivals(21, 101.5), True, id="across whole seconds"),
            pytest.param(arrivals(40, 103.0), False, id="warm again"),
            pytest.param(arrivals(40, 99.0), False, id="not cold yet"),
            pytest.param(arrivals(40, 101.0, target="e"), False, id="other target"),
            pytest.param(arrivals(40, 101.0, status=421), False, id="wrong target"),
            pytest.param(
                arrivals(20, 101.0) + arrivals(1, 101.5, is_in_touch=False),
                True,
                id="one of them out of touch",
            ),
            pytest.param(
                arrivals(20, 100.0) + arrivals(20, 101.0) + arrivals(20, 102.0),
                False,
                id="at the bound in each second",
            ),
        ],
    )
    def test_requests(self, requests: list[TargetRequest], is_broken: bool) -> None:
        found = find_cold_overloads(requests, [COLD], COLD_BOUNDS)
        assert [violation.rule for violation in found] == ["FAILBACK"] * is_broken
