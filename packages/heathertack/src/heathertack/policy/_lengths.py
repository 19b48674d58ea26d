"""Estimates of answer lengths from observed ones."""

from __future__ import annotations

import math
from array import array
from collections.abc import Iterator

_BUCKETS_PER_OCTAVE = 4
_OCTAVES = 17
_BUCKETS = _BUCKETS_PER_OCTAVE * _OCTAVES
_DECAY_FACTOR = 0.998
_RENORMALISE_ABOVE = 1e6
_SERVICE_PSEUDO_COUNT = 8.0
_PRIOR_PSEUDO_COUNT = 2.0


class _Histogram:
    """Histogram of lengths in logarithmic buckets, with exponential decay."""

    def __init__(self) -> None:
        self.counts = array("d", bytes(8 * _BUCKETS))
        self.total = 0.0
        self._weight = 1.0

    def add(self, bucket: int) -> None:
        """Count a length."""
        self._weight /= _DECAY_FACTOR
        self.counts[bucket] += self._weight
        self.total += self._weight
        if self._weight > _RENORMALISE_ABOVE:
            self._renormalise()

    def scale_factor(self, total: float) -> float:
        """Return the factor that scales the counts to a total."""
        return total / self.total if self.total else 0.0

    def unit_factor(self) -> float:
        """Return the factor that scales the latest count to 1."""
        return 1.0 / self._weight

    def _renormalise(self) -> None:
        for bucket in range(_BUCKETS):
            self.counts[bucket] /= self._weight
        self.total /= self._weight
        self._weight = 1.0


class LengthEstimator:
    """Predicts how many tokens a generation will still produce.

    Keeps a histogram of lengths for each client account and class of a service.
    Accounts with few observations are blended with the whole service and class.
    """

    def __init__(self) -> None:
        self._histograms: dict[tuple[str, str, str], _Histogram] = {}

    def observe(self, service: str, account: str, class_name: str, length: int) -> None:
        """Record the length of a finished answer, tokens."""
        bucket = _bucket_of(length)
        for key in ((service, account, class_name), (service, "", class_name)):
            self._histograms.setdefault(key, _Histogram()).add(bucket)

    def predict_remaining(
        self,
        service: str,
        account: str,
        class_name: str,
        *,
        generated_tokens: int,
        limit: int,
        quantile: float,
    ) -> int:
        """Predict the number of tokens still to be generated.

        Parameters
        ----------
        service, account, class_name : str
            Service, client account and class whose observed lengths are used.
        generated_tokens : int
            Number of tokens already generated.
        limit : int
            Maximum length of the answer, tokens.
        quantile : float
            Quantile of the remaining length, given the tokens already generated.

        Returns
        -------
        int
            Tokens, at least 1.
        """
        counts = list(self._blend(service, account, class_name))
        first = _bucket_of(generated_tokens + 1)
        total = sum(counts[first:])
        threshold = quantile * total
        cumulative = 0.0
        length = float(limit)
        for bucket in range(first, _BUCKETS):
            count = counts[bucket]
            if count and cumulative + count >= threshold:
                low = max(_lower_edge(bucket), generated_tokens + 1.0)
                high = _lower_edge(bucket + 1)
                length = low + (high - low) * max(threshold - cumulative, 0.0) / count
                break
            cumulative += count
        return max(1, min(int(length), limit) - generated_tokens)

    def _blend(self, service: str, account: str, class_name: str) -> Iterator[float]:
        own = self._histograms.get((service, account, class_name))
        shared = self._histograms.get((service, "", class_name))
        prior = _PRIOR_PSEUDO_COUNT / _BUCKETS
        own_factor = own.unit_factor() if own is not None else 0.0
        shared_factor = (
            shared.scale_factor(_SERVICE_PSEUDO_COUNT) if shared is not None else 0.0
        )
        own_counts = own.counts if own is not None else _NO_COUNTS
        shared_counts = shared.counts if shared is not None else _NO_COUNTS
        for own_count, shared_count in zip(own_counts, shared_counts, strict=True):
            yield own_factor * own_count + shared_factor * shared_count + prior


_NO_COUNTS = array("d", bytes(8 * _BUCKETS))


def _bucket_of(length: int) -> int:
    bucket = int(math.log2(max(length, 1)) * _BUCKETS_PER_OCTAVE)
    return min(bucket, _BUCKETS - 1)


def _lower_edge(bucket: int) -> float:
    edge: float = 2.0 ** (bucket / _BUCKETS_PER_OCTAVE)
    return edge
