"""How often all instances together may repeat requests."""

from __future__ import annotations

from typing import NamedTuple


class RetryAllowance(NamedTuple):
    """Repeats that all instances together may send to the targets of a service."""

    #: Repeats for each request.
    ratio: float = 0.2
    #: Repeats beyond that in a time window.
    reserve: float = 100.0
