"""Clocks of the daemon."""

import time


def monotonic() -> float:
    """Return a clock that never goes back, seconds."""
    return time.monotonic()


def wall_time() -> float:
    """Return the time since the epoch, seconds."""
    return time.time()
