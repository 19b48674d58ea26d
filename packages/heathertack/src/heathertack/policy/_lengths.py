"""Learnt lengths of answers."""

from __future__ import annotations

import math
from array import array
from collections.abc import Iterator

_BUCKETS_PER_OCTAVE = 4
_OCTAVES = 17
_BUCKETS = _BUCKETS_PER_OCTAVE * _OCTAVES
_FORGETTING = 0.998
_RENORMALISE_ABOVE = 1e6
_SERVICE_STRENGTH = 8.0
_PRIOR_STRENGTH = 2.0


class _Histogram:
    """Counts of lengths in logarithmic buckets; old ones weigh less."""

    def __init__(self) -> None:
        self.counts = array("d", bytes(8 * _BUCKETS))
        self.total = 0.0
        self._weight = 1.0

    def add(self, bucket: int) -> None:
        """Count a length."""
        self._weight /= _FORGETTING
        self.counts[bucket] += self._weight
        self.total += self._weight
        if self._weight > _RENORMALISE_ABOVE:
            self._renormalise()

    def scale(self, strength: float) -> float:
        """Return the factor that gives all counts together a strength."""
        return strength / self.total if self.total else 0.0

    def unit(self) -> float:
        """Return the factor that gives the latest count the weight one."""
        return 1.0 / self._weight

    def _renormalise(self) -> None:
        for bucket in range(_BUCKETS):
            self.counts[bucket] /= self._weight
        self.total /= self._weight
        self._weight = 1.0


class LengthEstimator:
    """Predicts how many tokens a generation will still make.

    Lengths are learnt for each client account and class of a service. Accounts
    with few lengths lean on those of the whole service and class.
    """

    def __init__(self) -> None:
        self._histograms: dict[tuple[str, str, str], _Histogram] = {}

    def observe(self, service: str, account: str, class_name: str, length: int) -> None:
        """Learn the length of a finished answer, tokens."""
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
        """Predict the tokens still to come.

        Parameters
        ----------
        service, account, class_name : str
            Whose lengths to go by.
        generated_tokens : int
            Tokens already made.
        limit : int
            Most tokens of the answer.
        quantile : float
            Quantile of the remaining length, given the tokens already made.

        Returns
        -------
        int
            Tokens, at least 1.
        """
        counts = list(self._blend(service, account, class_name))
        first = _bucket_of(generated_tokens + 1)
        total = sum(counts[first:])
        wanted = quantile * total
        seen = 0.0
        length = float(limit)
        for bucket in range(first, _BUCKETS):
            count = counts[bucket]
            if count and seen + count >= wanted:
                low = max(_lower_edge(bucket), generated_tokens + 1.0)
                high = _lower_edge(bucket + 1)
                length = low + (high - low) * max(wanted - seen, 0.0) / count
                break
            seen += count
        return max(1, min(int(length), limit) - generated_tokens)

    def _blend(self, service: str, account: str, class_name: str) -> Iterator[float]:
        own = self._histograms.get((service, account, class_name))
        shared = self._histograms.get((service, "", class_name))
        prior = _PRIOR_STRENGTH / _BUCKETS
        own_factor = own.unit() if own is not None else 0.0
        shared_factor = shared.scale(_SERVICE_STRENGTH) if shared is not None else 0.0
        own_counts = own.counts if own is not None else _EMPTY
        shared_counts = shared.counts if shared is not None else _EMPTY
        for mine, everyones in zip(own_counts, shared_counts, strict=True):
            yield own_factor * mine + shared_factor * everyones + prior


_EMPTY = array("d", bytes(8 * _BUCKETS))


def _bucket_of(length: int) -> int:
    bucket = int(math.log2(max(length, 1)) * _BUCKETS_PER_OCTAVE)
    return min(bucket, _BUCKETS - 1)


def _lower_edge(bucket: int) -> float:
    edge: float = 2.0 ** (bucket / _BUCKETS_PER_OCTAVE)
    return edge
