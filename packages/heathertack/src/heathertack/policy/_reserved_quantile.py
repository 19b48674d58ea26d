"""Adaptive quantile of the remaining length for which memory is reserved."""

from __future__ import annotations

from heathertack.policy._tuning import AdmissionTuning

_MAX_COUNTED_PREEMPTIONS = 3


class ReservedQuantile:
    """Quantile that rises with preemptions and decays over time.

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
        """Current quantile."""
        return self._value

    def raise_for(self, preemptions: int) -> None:
        """Raise the quantile after preemptions."""
        highest = self._tuning.quantile_bounds[1]
        counted = min(preemptions, _MAX_COUNTED_PREEMPTIONS)
        raised = self._value + self._tuning.quantile_step * counted
        self._value = min(raised, highest)

    def decay(self, now: float) -> None:
        """Lower the quantile towards its initial value."""
        lowest = max(self._tuning.quantile, self._tuning.quantile_bounds[0])
        elapsed = now - self._changed_at
        self._changed_at = now
        lowered = self._value - self._tuning.quantile_decay * elapsed
        self._value = max(lowered, lowest)
