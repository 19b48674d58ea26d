import heapq
import random
from itertools import count

import pytest

from heathertack.controllers import AdmissionGroup, TargetCapacity
from heathertack.controllers.tests.test_target_speeds import GROUP, build_request
from heathertack.messages import (
    ReservationGrant,
    ReservationOutcome,
    ReservationRelease,
)
from heathertack.policy import (
    USUAL_SPEED,
    AdmissionTuning,
    CallDurations,
    LengthEstimator,
)

TUNING = AdmissionTuning(takeover_delay=0.0)
SLOTS = 6
CALLS_PER_SECOND = 56.0
WORK_SECONDS = 0.06
SLOW_PERIOD = 0.6
SECONDS = 60.0
WARM_UP_SECONDS = 20.0


class Calls:
    """Calls to plain targets that have slow periods, in virtual time."""

    def __init__(
        self,
        speeds: dict[str, float],
        *,
        compares_speeds: bool,
        slow_probability: float,
        sigma: float,
        seed: int,
    ) -> None:
        tuning = TUNING._replace(compares_speeds=compares_speeds)
        self.group = AdmissionGroup(GROUP, tuning, LengthEstimator(), 0.0)
        self.group.set_targets({name: TargetCapacity(0, SLOTS) for name in speeds})
        self.targets: list[str] = []
        self.durations: list[float] = []
        self._rng = rng = random.Random(seed)
        self._sigma = sigma
        self._factors = {
            name: [
                speed / (2.5 if rng.random() < slow_probability else 1.0)
                for _ in range(int(SECONDS / SLOW_PERIOD) + 1)
            ]
            for name, speed in speeds.items()
        }
        self._events: list[tuple[float, int, str, str]] = []
        self._numbers = count()
        self._asked_at: dict[str, float] = {}
        at = 0.0
        while (at := at + rng.expovariate(CALLS_PER_SECOND)) < SECONDS - 1:
            self._schedule(at, f"c{len(self._asked_at)}", "")
            self._asked_at[f"c{len(self._asked_at)}"] = at

    def run(self) -> None:
        while self._events and self._events[0][0] < SECONDS:
            now, _, key, target = heapq.heappop(self._events)
            if target:
                self.durations.extend(
                    [now - self._asked_at[key]] * (now >= WARM_UP_SECONDS)
                )
                finished = ReservationOutcome.FINISHED
                self.group.release(ReservationRelease(GROUP, key, 1, finished, 0), now)
                replies = self.group.dispatch(now)
            else:
                call = build_request(key)._replace(prompt_tokens=0, max_tokens=0)
                replies = self.group.request(call, "entry", 0, now)
            for addressed in replies:
                if isinstance(addressed.reply, ReservationGrant):
                    self._start(addressed.reply, now)

    def _start(self, grant: ReservationGrant, now: float) -> None:
        self.targets.append(grant.target)
        factor = self._factors[grant.target][int(now / SLOW_PERIOD)]
        work = WORK_SECONDS * self._rng.lognormvariate(0.0, self._sigma)
        self._schedule(now + work / factor, grant.generation_id, grant.target)

    def _schedule(self, at: float, key: str, target: str) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), key, target))


def run_calls(
    speeds: dict[str, float],
    seed: int,
    *,
    compares_speeds: bool,
    slow: float = 0.15,
    sigma: float = 0.0,
) -> Calls:
    calls = Calls(
        speeds,
        compares_speeds=compares_speeds,
        slow_probability=slow,
        sigma=sigma,
        seed=seed,
    )
    calls.run()
    return calls


class TestCallDurations:
    # Load pattern: calls of 60 ms to targets of three speeds with slow periods.
    @pytest.mark.parametrize("seed", range(3))
    def test_calls_take_less_time_on_uneven_targets(self, seed: int) -> None:
        speeds = {"e0": 0.6, "e1": 1.0, "e2": 1.6}
        before = run_calls(speeds, seed, compares_speeds=False)
        after = run_calls(speeds, seed, compares_speeds=True)
        mean_before = sum(before.durations) / len(before.durations)
        mean_after = sum(after.durations) / len(after.durations)
        assert mean_after < 0.96 * mean_before

    # Guards against decisions that change where targets do not differ, though the work
    # of their calls varies.
    @pytest.mark.parametrize(("slow", "sigma"), [(0.0, 0.0), (0.15, 0.0), (0.15, 1.0)])
    @pytest.mark.parametrize("seed", range(3))
    def test_equal_targets_are_used_as_without_speeds(
        self, seed: int, slow: float, sigma: float
    ) -> None:
        speeds = {"e0": 1.0, "e1": 1.0, "e2": 1.0}
        before, after = (
            run_calls(speeds, seed, compares_speeds=compares, slow=slow, sigma=sigma)
            for compares in (False, True)
        )
        assert after.targets == before.targets


class TestCallDurationEstimates:
    def measure(self, seconds: dict[str, float]) -> CallDurations:
        durations = CallDurations()
        for number in range(300):
            for target, duration in seconds.items():
                at = number / 10
                call = f"{target}-{number}"
                durations.record_sent(call, target, at)
                durations.record_ended(call, at + duration, is_finished=True)
        return durations

    def test_finds_speeds(self) -> None:
        durations = self.measure({"e0": 0.1, "e1": 0.06, "e2": 0.03})
        assert durations.find("e0", 30.0).step == pytest.approx(0.6)
        assert durations.find("e1", 30.0) == USUAL_SPEED

    # Guards against a faulty target that answers at once and attracts all calls.
    def test_no_target_counts_as_fast(self) -> None:
        durations = self.measure({"e0": 0.06, "e1": 0.06, "e2": 0.001})
        for target in ("e0", "e1", "e2"):
            assert durations.find(target, 30.0) == USUAL_SPEED

    def test_one_of_two_targets_is_slow(self) -> None:
        durations = self.measure({"e0": 0.1, "e1": 0.06})
        assert durations.find("e0", 30.0).step == pytest.approx(0.6)
        assert durations.find("e1", 30.0) == USUAL_SPEED

    # Guards against speeds that were measured long ago, or of a removed target.
    def test_speeds_expire_and_are_forgotten(self) -> None:
        durations = self.measure({"e0": 0.1, "e1": 0.06, "e2": 0.03})
        assert durations.find("e0", 30.0) != USUAL_SPEED
        durations.forget("e0")
        assert durations.find("e0", 31.0) == USUAL_SPEED
        assert durations.find("e1", 31.0).step == pytest.approx(0.5)
        assert durations.find("e1", 61.0) == USUAL_SPEED

    # Guards against targets that fail at once and seem to be fast.
    def test_failed_calls_are_no_measurement(self) -> None:
        durations = self.measure({"e0": 0.06, "e1": 0.06, "e2": 0.06})
        for number in range(300):
            durations.record_sent(f"f{number}", "e0", number / 10)
            durations.record_ended(f"f{number}", number / 10, is_finished=False)
        assert durations.find("e0", 30.0) == USUAL_SPEED
