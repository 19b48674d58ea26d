"""Log of decisions about recent requests, for operators."""

from __future__ import annotations

from typing import NamedTuple

from heathertackd import _clock

_MAX_REQUESTS = 2000


class Explanation(NamedTuple):
    """One event in the handling of a request."""

    #: Wall clock, seconds since the epoch.
    at: float
    event: str
    detail: str


class ExplanationLog:
    """Stores the decisions about the latest 2,000 requests."""

    def __init__(self) -> None:
        self._explanations: dict[str, list[Explanation]] = {}

    def add(self, request_id: str, event: str, detail: str) -> None:
        """Add an event of a request, with its explanation."""
        entries = self._explanations.setdefault(request_id, [])
        entries.append(Explanation(_clock.wall_time(), event, detail))
        while len(self._explanations) > _MAX_REQUESTS:
            del self._explanations[next(iter(self._explanations))]

    def find(self, request_id: str) -> tuple[Explanation, ...]:
        """Return the stored events of a request, oldest first."""
        return tuple(self._explanations.get(request_id, ()))
