"""Readiness of an instance to serve callers."""

from __future__ import annotations

from heathertack.blackboard import BUNDLE, DRAIN, LEASE, Blackboard


def is_ready(board: Blackboard, now: float) -> bool:
    """Return whether an instance has a confirmed bundle and is not leaving.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    now : float
        Monotonic clock, seconds.
    """
    has_bundle = board.read(BUNDLE).bundle is not None
    is_leaving = board.read(DRAIN).leaving
    return has_bundle and not is_leaving and board.read(LEASE).is_valid(now)
