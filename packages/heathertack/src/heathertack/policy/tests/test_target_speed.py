import random

import pytest

from heathertack.policy import (
    REFERENCE_TARGET,
    USUAL_SPEED,
    GenerationProgress,
    TargetSpeed,
    TargetSpeeds,
)

PROMPT = 3000
RUNNING = 4
SLOW_PERIOD = 0.6


class Engines:
    """Engines whose speeds are measured from reports of their streams.

    A stream starts on every engine once a second, reads its prompt, reports its first
    token and twice more, and ends.
    """

    def __init__(self, speeds: dict[str, float], seed: int = 0) -> None:
        self.measured = TargetSpeeds()
        self.now = 0.0
        self._speeds = speeds
        self._rng = random.Random(seed)

    def run(self, seconds: int, slow_probability: float = 0.0) -> None:
        """Run streams for a time, and let the engines have slow periods."""
        reports: list[tuple[float, str, str, int]] = []
        for target, speed in self._speeds.items():
            factors = [
                speed / (2.5 if self._rng.random() < slow_probability else 1.0)
                for _ in range(int((seconds + 10) / SLOW_PERIOD))
            ]
            for number in range(seconds):
                key = f"g{number}-{target}"
                for at, tokens in _list_reports(factors, float(number)):
                    reports.append((at, key, target, tokens))
        for at, key, target, tokens in sorted(reports):
            if not tokens:
                self.measured.record_sent(key, target, PROMPT, at)
            progress = GenerationProgress(PROMPT, tokens, RUNNING)
            self.measured.record_progress(key, target, progress, at)
        self.now = max(report[0] for report in reports)


def _list_reports(factors: list[float], start: float) -> list[tuple[float, int]]:
    """Return the times and the tokens of the reports of a stream."""
    read = _find_work(factors, start) + REFERENCE_TARGET.read_seconds(PROMPT, RUNNING)
    first = _find_end(factors, read)
    reports = [(start, 0), (first, 1)]
    for at in (first + 1.0, first + 2.0):
        work = _find_work(factors, at) - read
        # The prompt of each later stream is read between the steps of this one.
        reads = (at - first) * PROMPT * REFERENCE_TARGET.per_prompt_token
        steps = max(work - reads, 0.0) / REFERENCE_TARGET.step_seconds(RUNNING)
        reports.append((at, 1 + int(steps)))
    return reports


def _find_work(factors: list[float], until: float) -> float:
    """Return the work of an engine up to a time, in seconds of speed 1."""
    whole, part = divmod(until, SLOW_PERIOD)
    return sum(factors[: int(whole)]) * SLOW_PERIOD + factors[int(whole)] * part


def _find_end(factors: list[float], work: float) -> float:
    """Return the time at which an engine has done some work."""
    low, high = 0.0, (len(factors) - 1) * SLOW_PERIOD
    for _ in range(40):
        middle = (low + high) / 2
        is_done = _find_work(factors, middle) >= work
        low, high = (low, middle) if is_done else (middle, high)
    return high


class TestTargetSpeeds:
    # Load pattern: engines of three speeds that are 2.5 times slower at times.
    @pytest.mark.parametrize("slow_probability", [0.0, 0.15])
    @pytest.mark.parametrize("seed", range(5))
    def test_speeds_are_found_in_spite_of_slow_periods(
        self, slow_probability: float, seed: int
    ) -> None:
        speeds = {f"e{n}": (0.6, 1.0, 1.6)[n % 3] for n in range(9)}
        engines = Engines(speeds, seed)
        engines.run(30, slow_probability)
        for target, speed in speeds.items():
            found = engines.measured.find(target, engines.now)
            assert found.step == pytest.approx(speed, rel=0.2)
            assert found.prompt == pytest.approx(speed, rel=0.2)

    # Guards against decisions that change where targets do not differ.
    @pytest.mark.parametrize("engine_speed", [0.6, 1.0, 1.6])
    def test_equal_targets_have_the_usual_speed(self, engine_speed: float) -> None:
        engines = Engines({f"e{n}": engine_speed for n in range(9)})
        engines.run(30)
        for target in (f"e{n}" for n in range(9)):
            assert engines.measured.find(target, engines.now) is USUAL_SPEED

    # Guards against placing by a single slow period.
    def test_one_slow_period_does_not_change_a_speed(self) -> None:
        engines = Engines({f"e{n}": 1.0 for n in range(3)})
        engines.run(12)
        now = engines.now
        engines.measured.record_sent("slow", "e0", PROMPT, now)
        work = REFERENCE_TARGET.read_seconds(PROMPT, RUNNING)
        progress = GenerationProgress(PROMPT, 1, RUNNING)
        engines.measured.record_progress("slow", "e0", progress, now + 2.5 * work)
        assert engines.measured.find("e0", now + 1.0) == USUAL_SPEED

    # Guards against a batch that makes its target look slow.
    def test_a_larger_batch_is_not_a_slower_target(self) -> None:
        speeds = TargetSpeeds()
        for target, running in (("small", 1), ("large", 20)):
            for report in range(12):
                tokens = 1 + int(report / REFERENCE_TARGET.step_seconds(running))
                progress = GenerationProgress(PROMPT, tokens, running)
                speeds.record_progress("g" + target, target, progress, float(report))
        assert speeds.find("large", 12.0) == USUAL_SPEED

    # Guards against prompts of other streams that make a target look slow.
    def test_prompts_read_between_steps_are_not_a_slower_target(self) -> None:
        speeds = TargetSpeeds()
        read = REFERENCE_TARGET.per_prompt_token * PROMPT
        step = REFERENCE_TARGET.step_seconds(RUNNING)
        for target, prompts_per_second in (("idle", 0), ("busy", 2)):
            for report in range(12):
                for number in range(prompts_per_second):
                    key = f"{target}-{report}-{number}"
                    at = report - 0.5
                    speeds.record_sent(key, target, 0, at)
                    short = GenerationProgress(PROMPT, 1, RUNNING)
                    speeds.record_progress(key, target, short, at)
                    speeds.record_ended(key)
                tokens = 1 + int(report * (1 - prompts_per_second * read) / step)
                progress = GenerationProgress(PROMPT, tokens, RUNNING)
                speeds.record_progress("g" + target, target, progress, float(report))
        assert speeds.find("busy", 12.0) == USUAL_SPEED

    # Guards against many reports at once that push out those of earlier periods.
    def test_reports_of_many_streams_are_kept_for_as_long_as_those_of_few(self) -> None:
        speeds = TargetSpeeds()
        for second in range(12):
            for target, speed in (("e0", 0.6), ("e1", 1.0), ("e2", 1.0)):
                for number in range(100):
                    tokens = 1 + second * speed / REFERENCE_TARGET.step_seconds(100)
                    progress = GenerationProgress(PROMPT, int(tokens), 100)
                    key = f"{target}-{number}"
                    speeds.record_progress(key, target, progress, float(second))
        assert speeds.find("e0", 12.0).step == pytest.approx(0.6, rel=0.05)

    # Guards against a usual speed of the fast targets, which report first.
    def test_targets_are_not_slow_beside_the_first_known_ones(self) -> None:
        speeds = TargetSpeeds()
        for second in range(18):
            for number in range(9):
                name = f"e{number}"
                speed, first = (
                    (1.6, 0) if number < 3 else (1.0, 3 if number == 3 else 6)
                )
                tokens = 1 + second * speed / REFERENCE_TARGET.step_seconds(RUNNING)
                if second >= first:
                    progress = GenerationProgress(PROMPT, int(tokens), RUNNING)
                    speeds.record_progress(name, name, progress, float(second))
            for number in range(3, 9):
                assert speeds.find(f"e{number}", float(second)) == USUAL_SPEED

    # Guards against two targets of which neither differs enough from their mean.
    def test_one_of_two_targets_is_slow(self) -> None:
        engines = Engines({"e0": 0.6, "e1": 1.0})
        engines.run(12)
        assert engines.measured.find("e0", engines.now).step == pytest.approx(0.6, 0.1)
        assert engines.measured.find("e1", engines.now) == USUAL_SPEED

    # Guards against short prompts, whose first token waits for the current step.
    def test_short_prompts_are_no_measurement(self) -> None:
        speeds = TargetSpeeds()
        for second in range(12):
            for target, seconds in (("e0", 0.06), ("e1", 0.03), ("e2", 0.03)):
                key = f"{target}-{second}"
                speeds.record_sent(key, target, 200, float(second))
                progress = GenerationProgress(200, 1, RUNNING)
                speeds.record_progress(key, target, progress, second + seconds)
        assert speeds.find("e0", 12.0) == USUAL_SPEED

    # Guards against the use of a speed that was measured long ago.
    def test_a_speed_expires(self) -> None:
        engines = Engines({"e0": 0.6, "e1": 1.0, "e2": 1.6})
        engines.run(12)
        assert engines.measured.find("e0", engines.now) != USUAL_SPEED
        assert engines.measured.find("e0", engines.now + 13.0) == USUAL_SPEED

    # Guards against a new owner that places by guesses.
    @pytest.mark.parametrize("seconds", [1, 3])
    def test_too_few_measurements_are_no_speed(self, seconds: int) -> None:
        engines = Engines({"e0": 0.6, "e1": 1.0, "e2": 1.6})
        engines.run(seconds)
        assert engines.measured.find("e0", engines.now) == USUAL_SPEED

    # Guards against speeds of a replaced target under the same name.
    def test_a_removed_target_is_forgotten(self) -> None:
        engines = Engines({"e0": 0.6, "e1": 1.0, "e2": 1.6})
        engines.run(12)
        engines.measured.forget("e0")
        assert engines.measured.find("e0", engines.now + 1.0) == USUAL_SPEED


class TestCost:
    @pytest.mark.parametrize(
        ("speed", "prompt", "length", "expected"),
        [
            (TargetSpeed(1.0, 1.0), 3000, 700, 1.0),
            (TargetSpeed(0.5, 1.0), 3000, 0, 2.0),
            (TargetSpeed(0.5, 1.0), 0, 700, 1.0),
            (TargetSpeed(1.0, 0.5), 3000, 0, 1.0),
            (TargetSpeed(1.0, 0.5), 0, 700, 4.0),
            (TargetSpeed(1.0, 2.0), 0, 700, 0.25),
            (TargetSpeed(0.5, 1.0), 0, 0, 1.0),
        ],
    )
    def test_counts_prompts_and_steps_by_their_own_speeds(
        self, speed: TargetSpeed, prompt: int, length: int, expected: float
    ) -> None:
        assert speed.find_cost(prompt, length, RUNNING) == pytest.approx(expected)

    # Guards against long streams on slow targets, where they pause.
    def test_slow_targets_cost_more_for_long_answers(self) -> None:
        slow = TargetSpeed(0.6, 0.6)
        short, long = (slow.find_cost(2500, length, 4) for length in (8, 700))
        assert 1 / 0.6 < short < long < 1 / 0.6**2
