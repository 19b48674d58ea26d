"""Which requests brought targets down lately."""

from __future__ import annotations

from typing import NamedTuple

#: Time after which a request is no longer blamed for the targets that it lost.
_MEMORY_SECONDS = 60.0
#: Requests that are blamed at one time.
_MOST_REQUESTS = 10_000


class _Losses(NamedTuple):
    targets: int
    last_at: float


class TargetLossCounter:
    """Counts the targets that went down with a request, by its fingerprint.

    Requests that many callers send alike share a fingerprint. One that ends well is
    blamed no more.
    """

    def __init__(self) -> None:
        self._losses: dict[str, _Losses] = {}

    def record_loss(self, fingerprint: str, now: float) -> None:
        """Count a target that was lost."""
        targets = self.count(fingerprint, now) + 1
        self._losses.pop(fingerprint, None)
        self._losses[fingerprint] = _Losses(targets, now)
        while len(self._losses) > _MOST_REQUESTS:
            del self._losses[next(iter(self._losses))]

    def clear(self, fingerprint: str) -> None:
        """Forget the losses of a request that ended well."""
        self._losses.pop(fingerprint, None)

    def count(self, fingerprint: str, now: float) -> int:
        """Return the number of targets that a request lost lately."""
        losses = self._losses.get(fingerprint)
        if losses is None or now - losses.last_at > _MEMORY_SECONDS:
            return 0
        return losses.targets
