"""Counts of recent target failures by request."""

from __future__ import annotations

from typing import NamedTuple

#: Time after which target failures are no longer attributed to a request.
_LOSS_TTL_SECONDS = 60.0
#: Maximum number of fingerprints with recorded failures; the oldest are evicted.
_MAX_FINGERPRINTS = 10_000


class _Losses(NamedTuple):
    targets: int
    last_at: float


class TargetLossCounter:
    """Counts the targets that failed while running a request, by its fingerprint.

    Identical requests from different callers share a fingerprint. The count of a
    fingerprint is reset when such a request finishes successfully.
    """

    def __init__(self) -> None:
        self._losses: dict[str, _Losses] = {}

    def record_loss(self, fingerprint: str, now: float) -> None:
        """Record the failure of a target that ran a request."""
        targets = self.count(fingerprint, now) + 1
        self._losses.pop(fingerprint, None)
        self._losses[fingerprint] = _Losses(targets, now)
        while len(self._losses) > _MAX_FINGERPRINTS:
            del self._losses[next(iter(self._losses))]

    def clear(self, fingerprint: str) -> None:
        """Reset the count of a request that finished successfully."""
        self._losses.pop(fingerprint, None)

    def count(self, fingerprint: str, now: float) -> int:
        """Return the number of recent target failures of a request."""
        losses = self._losses.get(fingerprint)
        if losses is None or now - losses.last_at > _LOSS_TTL_SECONDS:
            return 0
        return losses.targets
