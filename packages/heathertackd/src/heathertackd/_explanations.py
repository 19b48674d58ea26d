"""Why things happened to recent requests."""

from __future__ import annotations

from typing import NamedTuple

from heathertackd import _clock

_MOST_REQUESTS = 2000


class Explanation(NamedTuple):
    """One thing that happened to a request."""

    #: Wall clock, seconds since the epoch.
    at: float
    event: str
    detail: str


class ExplanationLog:
    """Remembers the decisions about the latest 2,000 requests."""

    def __init__(self) -> None:
        self._explanations: dict[str, list[Explanation]] = {}

    def add(self, request_id: str, event: str, detail: str) -> None:
        """Remember why something happened to a request."""
        known = self._explanations.setdefault(request_id, [])
        known.append(Explanation(_clock.wall_time(), event, detail))
        while len(self._explanations) > _MOST_REQUESTS:
            del self._explanations[next(iter(self._explanations))]

    def find(self, request_id: str) -> tuple[Explanation, ...]:
        """Return what is remembered of a request."""
        return tuple(self._explanations.get(request_id, ()))
