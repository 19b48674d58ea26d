"""Estimates of the speeds of targets from the durations of calls without tokens."""

from __future__ import annotations

import math
from statistics import fmean, median_low, variance

from heathertack.policy._target_speed import USUAL_SPEED, TargetSpeed

#: Calls that end within this time count as one measurement, seconds. Targets have slow
#: periods of this length.
_PERIOD_SECONDS = 0.6
#: Age at which a call no longer counts, seconds. The durations of calls vary by
#: themselves, so that more of them are needed than of steps.
_WINDOW_SECONDS = 30.0
#: Periods with calls without which the speed of a target is unknown.
_MIN_PERIODS = 20
#: Targets whose speeds must be known before they are compared.
_MIN_COMPARED_TARGETS = 2
#: Durations up to this multiple of the usual one count as equal to it.
_EQUAL_WITHIN = 1.35
#: Standard errors by which a duration must differ from the usual one. With 3, equal
#: targets seemed uneven at times when the work of calls varied (log-normal, sigma 1).
_MIN_STANDARD_ERRORS = 4.0
#: Lowest relative speed. The highest is 1, because a faulty target may answer every
#: call with an error at once.
_MIN_SPEED = 0.25
#: Interval at which speeds are computed again, seconds.
_UPDATE_INTERVAL_SECONDS = 0.6


class CallDurations:
    """Speeds of the targets of a group whose requests are calls without tokens.

    A speed is the usual mean duration of calls divided by that of the target. Only slow
    targets differ, and only if chance and slow periods are unlikely to explain it.
    """

    def __init__(self) -> None:
        #: Sum and number of the durations that ended in each period, by target.
        self._durations: dict[str, dict[int, tuple[float, int]]] = {}
        self._started: dict[str, tuple[str, float]] = {}
        self._speeds: dict[str, TargetSpeed] = {}
        self._updated_at = float("-inf")

    def record_sent(self, call: str, target: str, now: float) -> None:
        """Record that a call is about to be sent to a target."""
        self._started[call] = (target, now)

    def record_ended(self, call: str, now: float, *, is_finished: bool) -> None:
        """Record that a call has left its target, and whether it is finished."""
        target, since = self._started.pop(call, ("", now))
        if is_finished and target:
            periods = self._durations.setdefault(target, {})
            period = int(now / _PERIOD_SECONDS)
            total, count = periods.get(period, (0.0, 0))
            periods[period] = (total + now - since, count + 1)

    def forget(self, target: str) -> None:
        """Forget a target that no longer exists."""
        self._durations.pop(target, None)

    def find(self, target: str, now: float) -> TargetSpeed:
        """Return the speed of a target relative to the others, 1 if it is unknown."""
        if now - self._updated_at >= _UPDATE_INTERVAL_SECONDS:
            self._updated_at = now
            self._update(now)
        return self._speeds.get(target, USUAL_SPEED)

    def _update(self, now: float) -> None:
        silent = now - _WINDOW_SECONDS
        self._started = {c: s for c, s in self._started.items() if s[1] >= silent}
        means: dict[str, float] = {}
        errors: dict[str, float] = {}
        for target, periods in self._durations.items():
            for period in tuple(periods):
                if period < silent / _PERIOD_SECONDS:
                    del periods[period]
            if len(periods) >= _MIN_PERIODS:
                averages = [total / count for total, count in periods.values()]
                means[target] = fmean(averages)
                errors[target] = math.sqrt(variance(averages) / len(averages))
        self._speeds = {}
        if len(means) < _MIN_COMPARED_TARGETS:
            return
        # Of two targets, the faster one is the usual one.
        usual = median_low(means.values())
        for target, mean in means.items():
            error = math.hypot(errors[target], _find_error(means, errors, usual))
            is_significant = mean - usual > _MIN_STANDARD_ERRORS * error
            if is_significant and mean > usual * _EQUAL_WITHIN:
                speed = max(usual / mean, _MIN_SPEED)
                self._speeds[target] = TargetSpeed(speed, speed)


def _find_error(
    means: dict[str, float], errors: dict[str, float], usual: float
) -> float:
    """Return the standard error of the usual duration, which is that of one target."""
    return min(errors[target] for target, mean in means.items() if mean == usual)
