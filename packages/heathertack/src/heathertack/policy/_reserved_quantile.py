"""Quantile of the remaining length that is reserved."""

from __future__ import annotations

from heathertack.policy._tuning import AdmissionTuning

_MOST_COUNTED_PREEMPTIONS = 3


class ReservedQuantile:
    """Rises with preemptions and falls back with time.

    Parameters
    ----------
    tuning : AdmissionTuning
        Parameters.
    now : float
        Monotonic clock, seconds.
    """

    def __init__(self, tuning: AdmissionTuning, now: float) -> None:
        self._tuning = tuning
        self._value = tuning.quantile
        self._changed_at = now

    @property
    def value(self) -> float:
        """Quantile in use."""
        return self._value

    def raise_for(self, preemptions: int) -> None:
        """Reserve more after preemptions."""
        highest = self._tuning.quantile_bounds[1]
        counted = min(preemptions, _MOST_COUNTED_PREEMPTIONS)
        raised = self._value + self._tuning.quantile_step * counted
        self._value = min(raised, highest)

    def decay(self, now: float) -> None:
        """Fall back towards the quantile at the start."""
        lowest = max(self._tuning.quantile, self._tuning.quantile_bounds[0])
        elapsed = now - self._changed_at
        self._changed_at = now
        lowered = self._value - self._tuning.quantile_decay * elapsed
        self._value = max(lowered, lowest)
