"""Estimates of the speeds of targets from the progress of their generations."""

from __future__ import annotations

from collections.abc import Iterable
from statistics import median, median_high
from typing import NamedTuple

#: Age at which a measurement no longer counts, seconds. A few slow periods of 0.6 s
#: don't matter among those of this time, and a changed speed is noticed soon.
_WINDOW_SECONDS = 12.0
#: Measurements within this time count as one, seconds. Engines have slow periods of
#: this length.
_PERIOD_SECONDS = 0.6
#: Periods with measurements of steps without which the speed of steps is unknown.
_MIN_STEP_PERIODS = 6
#: The same for prompts. A prompt may be read within one slow period, whereas steps are
#: measured over longer; with 6 periods, some equal targets seemed slow.
_MIN_PROMPT_PERIODS = 8
#: Periods after which a target may count as fast. Slow periods make no target seem
#: fast.
_MIN_FAST_PERIODS = 3
#: Prompt tokens whose reading is measured. For fewer, the wait for the end of the
#: current step matters more than the speed.
_MIN_READ_TOKENS = 1024
#: Quantile of the measurements that is the speed. Above the median, because engines
#: have slow periods but no fast ones.
_QUANTILE = 0.7
#: Measurements of one period that are kept.
_MAX_MEASUREMENTS = 8
#: Shortest time over which steps are measured, seconds. Over less, the delays of
#: messages and prompts that were read in between distort the result.
_MIN_STEP_SECONDS = 0.7
#: Targets whose speeds must be known before they are compared. It must also be half of
#: those with measurements, because fast targets are known first.
_MIN_COMPARED_TARGETS = 2
#: Speeds within this factor of the usual one count as equal to it. Measurements of
#: equal targets with slow periods of 0.6 s stay within it.
_EQUAL_WITHIN = 1.35
#: Bounds of a relative speed.
_MIN_SPEED = 0.25
_MAX_SPEED = 4.0
#: Interval at which speeds are computed again, seconds.
_UPDATE_INTERVAL_SECONDS = 0.25


class ReferenceTarget(NamedTuple):
    """Durations on a target of speed 1, with which progress is compared.

    Only the proportions matter, because speeds are relative to those of the other
    targets of the group.
    """

    #: Fixed duration of a step, seconds.
    step: float = 0.007
    #: Added to a step for each running generation, seconds.
    per_generation: float = 0.00012
    #: Time for each prompt token that is read, seconds.
    per_prompt_token: float = 1.0 / 14_000
    #: Prompt tokens that are read in one step.
    prompt_tokens_per_step: int = 512

    def read_seconds(self, prompt_tokens: int, running: float) -> float:
        """Return the time to read prompts between the steps of running generations."""
        steps = -(-prompt_tokens // self.prompt_tokens_per_step)
        work = prompt_tokens * self.per_prompt_token
        return work + steps * self.step_seconds(running)

    def step_seconds(self, running: float) -> float:
        """Return the duration of a step with a number of running generations."""
        return self.step + self.per_generation * running


REFERENCE_TARGET = ReferenceTarget()


class TargetSpeed(NamedTuple):
    """Speeds of a target relative to the usual ones of its group."""

    #: Speed of reading prompts.
    prompt: float = 1.0
    #: Speed of steps.
    step: float = 1.0

    def find_cost(
        self, prompt_tokens: int, generated_tokens: int, running: int
    ) -> float:
        """Return the cost of a request relative to a target of speed 1.

        Prompts cost the time in which they are read. Steps cost the square of their
        time: a stream takes longer on a slow target, and each of its steps waits longer
        while prompts of others are read.

        Parameters
        ----------
        prompt_tokens : int
            Prompt tokens that have to be read.
        generated_tokens : int
            Predicted length of the answer, tokens.
        running : int
            Number of other generations on the target.
        """
        if self == USUAL_SPEED:
            return 1.0
        read = REFERENCE_TARGET.read_seconds(prompt_tokens, running)
        steps = generated_tokens * REFERENCE_TARGET.step_seconds(running + 1)
        total = read + steps
        if total <= 0:
            return 1.0
        return (read / self.prompt + steps / self.step**2) / total


#: Speed of targets whose measurements are missing or like those of the others.
USUAL_SPEED = TargetSpeed()


class GenerationProgress(NamedTuple):
    """Progress of a generation, and the load of its target."""

    #: Prompt tokens that the target had to read.
    prompt_tokens: int
    #: Tokens generated so far.
    generated_tokens: int
    #: Number of generations on the target.
    running: int


class _Estimate(NamedTuple):
    #: Reference durations divided by the measured ones.
    speed: float
    #: Number of periods with measurements.
    periods: int


class _Periods:
    """Measurements of one kind of work of one target, by period."""

    def __init__(self) -> None:
        self._periods: dict[int, list[float]] = {}

    def add(self, expected: float, elapsed: float, now: float) -> None:
        """Add a measurement of work with an expected and a measured duration."""
        speeds = self._periods.setdefault(int(now / _PERIOD_SECONDS), [])
        if elapsed > 0 and len(speeds) < _MAX_MEASUREMENTS:
            speeds.append(expected / elapsed)

    def estimate(self, now: float) -> _Estimate | None:
        """Return the usual measurement, ``None`` without any.

        A slow period affects all generations of a target, so that measurements at the
        same time count only once.
        """
        oldest = (now - _WINDOW_SECONDS) / _PERIOD_SECONDS
        self._periods = {p: s for p, s in self._periods.items() if s and p >= oldest}
        if not self._periods:
            return None
        speeds = sorted(median(values) for values in self._periods.values())
        return _Estimate(speeds[int(_QUANTILE * len(speeds))], len(speeds))


class _Generation(NamedTuple):
    """What the next report of a generation is compared with."""

    target: str
    #: Prompt tokens that the target has to read before the first token, with those of
    #: other generations ahead; 0 after the first token, or if unknown.
    unread_tokens: int
    generated_tokens: int
    since: float
    #: Prompt tokens that the target had read for all its generations.
    read_tokens: int


class _Measurements:
    """Latest measurements of one target."""

    def __init__(self) -> None:
        self.prompt = _Periods()
        self.step = _Periods()
        #: Prompt tokens read so far.
        self.read_tokens = 0


class TargetSpeeds:
    """Speeds of the targets of a group.

    A measurement compares the time between two reports of a generation with the time
    that a target of speed 1 takes for the same work: the steps, and the prompts that
    were read in between. The median over several seconds leaves out slow periods.
    """

    def __init__(self) -> None:
        self._measurements: dict[str, _Measurements] = {}
        self._generations: dict[str, _Generation] = {}
        self._speeds: dict[str, TargetSpeed] = {}
        self._updated_at = float("-inf")

    def record_sent(
        self, generation_id: str, target: str, unread_tokens: int, now: float
    ) -> None:
        """Record that a request is about to be sent to a target.

        Parameters
        ----------
        generation_id : str
            Id of the request.
        target : str
            Name of the target.
        unread_tokens : int
            Prompt tokens that the target reads before the first token of the request,
            with those of earlier requests; 0 if its first token measures nothing.
        now : float
            Monotonic clock, seconds.
        """
        read_tokens = self._of(target).read_tokens
        self._generations[generation_id] = _Generation(
            target, unread_tokens, 0, now, read_tokens
        )

    def record_progress(
        self, generation_id: str, target: str, progress: GenerationProgress, now: float
    ) -> None:
        """Record the progress of a generation.

        Parameters
        ----------
        generation_id : str
            Id of the request.
        target : str
            Target that runs it.
        progress : GenerationProgress
            Its progress.
        now : float
            Monotonic clock, seconds.
        """
        if not progress.generated_tokens:
            return
        earlier = self._generations.get(generation_id)
        measurements = self._of(target)
        if earlier is not None and earlier.target == target:
            if not earlier.generated_tokens:
                _measure_prompt(measurements, earlier, progress, now)
            elif now - earlier.since < _MIN_STEP_SECONDS:
                return
            else:
                _measure_steps(measurements, earlier, progress, now)
        self._generations[generation_id] = _Generation(
            target, 0, progress.generated_tokens, now, measurements.read_tokens
        )

    def record_ended(self, generation_id: str) -> None:
        """Record that a request has left its target."""
        self._generations.pop(generation_id, None)

    def forget(self, target: str) -> None:
        """Forget a target that no longer exists."""
        self._measurements.pop(target, None)

    def find(self, target: str, now: float) -> TargetSpeed:
        """Return the speed of a target relative to the others, 1 if it is unknown."""
        if now - self._updated_at >= _UPDATE_INTERVAL_SECONDS:
            self._updated_at = now
            self._update(now)
        return self._speeds.get(target, USUAL_SPEED)

    def _update(self, now: float) -> None:
        silent = now - _WINDOW_SECONDS
        for key, generation in tuple(self._generations.items()):
            if generation.since < silent:
                del self._generations[key]
        prompts: dict[str, _Estimate] = {}
        steps: dict[str, _Estimate] = {}
        for target, measurements in self._measurements.items():
            if prompt := measurements.prompt.estimate(now):
                prompts[target] = prompt
            if step := measurements.step.estimate(now):
                steps[target] = step
        known = {t for t, step in steps.items() if step.periods >= _MIN_STEP_PERIODS}
        usual_step = _find_usual((steps[t].speed for t in known), len(steps))
        known_prompts = {
            target: prompt.speed
            for target, prompt in prompts.items()
            if prompt.periods >= _MIN_PROMPT_PERIODS
        }
        # Targets with much work are the first whose prompts are known. They may be the
        # fast ones, so that their prompts are compared with their steps.
        usual_prompt = _find_usual(
            speed * usual_step / steps[target].speed
            for target, speed in known_prompts.items()
            if usual_step and target in known
        ) or _find_usual(known_prompts.values(), len(prompts))
        self._speeds = {}
        for target in self._measurements:
            read = _compare(prompts.get(target), usual_prompt, _MIN_PROMPT_PERIODS)
            decode = _compare(steps.get(target), usual_step, _MIN_STEP_PERIODS)
            speed = TargetSpeed(read or decode or 1.0, decode or read or 1.0)
            if speed != USUAL_SPEED:
                self._speeds[target] = speed

    def _of(self, target: str) -> _Measurements:
        return self._measurements.setdefault(target, _Measurements())


def _measure_prompt(
    measurements: _Measurements,
    earlier: _Generation,
    progress: GenerationProgress,
    now: float,
) -> None:
    """Add a measurement at the first token of a generation."""
    measurements.read_tokens += progress.prompt_tokens
    elapsed = now - earlier.since
    if earlier.unread_tokens >= _MIN_READ_TOKENS:
        expected = REFERENCE_TARGET.read_seconds(
            earlier.unread_tokens, progress.running
        )
        measurements.prompt.add(expected, elapsed, now)


def _measure_steps(
    measurements: _Measurements,
    earlier: _Generation,
    progress: GenerationProgress,
    now: float,
) -> None:
    """Add a measurement of the steps between two reports of a generation."""
    steps = progress.generated_tokens - earlier.generated_tokens
    if steps <= 0:
        return
    read = measurements.read_tokens - earlier.read_tokens
    expected = steps * REFERENCE_TARGET.step_seconds(progress.running)
    expected += read * REFERENCE_TARGET.per_prompt_token
    measurements.step.add(expected, now - earlier.since, now)


def _find_usual(speeds: Iterable[float], measured: int = 0) -> float | None:
    """Return the median speed of the targets, ``None`` if too few are known.

    Of two targets, the faster one is the usual one.
    """
    known = tuple(speeds)
    if len(known) < max(_MIN_COMPARED_TARGETS, measured / 2):
        return None
    return median_high(known)


def _compare(
    estimate: _Estimate | None, usual: float | None, min_periods: int
) -> float | None:
    """Return a speed relative to the usual one, 1 if they are nearly equal.

    Returns ``None`` if there are too few measurements.
    """
    if estimate is None or not usual:
        return None
    ratio = estimate.speed / usual
    if ratio > _EQUAL_WITHIN and estimate.periods >= _MIN_FAST_PERIODS:
        return min(ratio, _MAX_SPEED)
    if estimate.periods < min_periods:
        return None
    return 1.0 if ratio >= 1 / _EQUAL_WITHIN else max(ratio, _MIN_SPEED)
