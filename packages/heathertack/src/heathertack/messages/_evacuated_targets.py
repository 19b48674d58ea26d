"""Messages about targets that get no requests, or fewer, for a while.

They are messages of their own, and not fields of older ones, since an instance of an
older build ignores messages of a type that it does not know.
"""

from __future__ import annotations

from typing import NamedTuple


class EvacuatedTargets(NamedTuple):
    """Evacuated failure domains, sent by the leader before the lease grant."""

    term: int
    #: Targets that would be live if their domain were not evacuated.
    targets: tuple[str, ...]
    #: All evacuated domains.
    domains: tuple[str, ...]


class ColdTarget(NamedTuple):
    """A target that handles few requests until it is warm."""

    target: str
    #: Time until it is warm, seconds.
    seconds: float
    #: Requests a second that it handles until then, from all instances together.
    rate: float


class ColdTargets(NamedTuple):
    """Cold targets, sent by the leader before the lease grant."""

    term: int
    targets: tuple[ColdTarget, ...]
