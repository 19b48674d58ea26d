"""Figures of one run."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

_STEPS_PER_DOUBLING = 16
_SHORTEST_SECONDS = 0.001


class GapHistogram:
    """Counts times between tokens in narrow logarithmic buckets."""

    def __init__(self) -> None:
        self._counts: Counter[int] = Counter()

    @property
    def count(self) -> int:
        """Number of times counted."""
        return self._counts.total()

    def add(self, seconds: float) -> None:
        """Count a time."""
        ratio = max(seconds, _SHORTEST_SECONDS) / _SHORTEST_SECONDS
        self._counts[int(math.log2(ratio) * _STEPS_PER_DOUBLING)] += 1

    def quantile(self, part: float) -> float:
        """Return a quantile, seconds."""
        left = part * self._counts.total()
        for bucket in sorted(self._counts):
            left -= self._counts[bucket]
            if left <= 0:
                exponent = (bucket + 0.5) / _STEPS_PER_DOUBLING
                return float(_SHORTEST_SECONDS * 2.0**exponent)
        return 0.0


class RunFigures(NamedTuple):
    """Figures of one run, times in seconds."""

    stall_p50: float
    stall_p99: float
    stall_max: float
    preemptions_per_1000: float
    gap_p99: float
    gap_p999: float
    first_token_short_p95: float
    first_token_long_p95: float
    #: Tokens of whole answers per second.
    goodput: float
    #: Parts of the requests that were refused, and that were lost with an engine.
    refused: float
    lost: float
    #: Least served part of an account's requests beside that of all.
    fairness: float
    #: Messages between entries and owners for each request.
    messages: float


def quantile(values: Sequence[float], part: float) -> float:
    """Return a quantile of values, 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(int(part * len(ordered)), len(ordered) - 1)]


def median_of(figures: Sequence[RunFigures]) -> RunFigures:
    """Return the median of each figure."""
    columns = zip(*figures, strict=True)
    return RunFigures(*(quantile(column, 0.5) for column in columns))


def range_of(figures: Sequence[RunFigures], name: str) -> tuple[float, float]:
    """Return the least and the greatest value of a figure."""
    values = [getattr(item, name) for item in figures]
    return min(values), max(values)
