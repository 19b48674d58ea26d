"""Statistics of a run and over several runs."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

_BUCKETS_PER_DOUBLING = 16
_MIN_GAP_SECONDS = 0.001


class GapHistogram:
    """Counts gaps between tokens in logarithmic buckets, 16 per factor of two."""

    def __init__(self) -> None:
        self._counts: Counter[int] = Counter()

    @property
    def count(self) -> int:
        """Number of gaps counted."""
        return self._counts.total()

    def add(self, seconds: float) -> None:
        """Count a gap."""
        ratio = max(seconds, _MIN_GAP_SECONDS) / _MIN_GAP_SECONDS
        self._counts[int(math.log2(ratio) * _BUCKETS_PER_DOUBLING)] += 1

    def quantile(self, fraction: float) -> float:
        """Return a quantile, seconds."""
        remaining = fraction * self._counts.total()
        for bucket in sorted(self._counts):
            remaining -= self._counts[bucket]
            if remaining <= 0:
                exponent = (bucket + 0.5) / _BUCKETS_PER_DOUBLING
                return float(_MIN_GAP_SECONDS * 2.0**exponent)
        return 0.0


class RunFigures(NamedTuple):
    """Figures of one run; times are in seconds."""

    stall_p50: float
    stall_p99: float
    stall_max: float
    preemptions_per_1000: float
    gap_p99: float
    gap_p999: float
    first_token_short_p95: float
    first_token_long_p95: float
    #: Tokens of completed generations per second.
    goodput: float
    #: Fraction of the requests that were refused.
    refused: float
    #: Fraction of the requests that were lost with an engine.
    lost: float
    #: Lowest served fraction of an account, relative to that of all requests.
    fairness: float
    #: Messages between entries and owners per request.
    messages: float


def quantile(values: Sequence[float], fraction: float) -> float:
    """Return a quantile of values, 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]


def median_of(figures: Sequence[RunFigures]) -> RunFigures:
    """Return the median of each figure."""
    columns = zip(*figures, strict=True)
    return RunFigures(*(quantile(column, 0.5) for column in columns))


def range_of(figures: Sequence[RunFigures], name: str) -> tuple[float, float]:
    """Return the minimum and the maximum of a figure."""
    values = [getattr(item, name) for item in figures]
    return min(values), max(values)
