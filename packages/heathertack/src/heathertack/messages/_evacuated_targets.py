"""Messages about targets that get no requests, or fewer, by order of an operator.

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
