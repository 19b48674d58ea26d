"""Limit on the retries of all instances together."""

from __future__ import annotations

from typing import NamedTuple


class RetryAllowance(NamedTuple):
    """Retries that all instances together may send to the targets of a service."""

    #: Retries allowed for each request.
    ratio: float = 0.2
    #: Additional retries allowed in a time window.
    reserve: float = 100.0
