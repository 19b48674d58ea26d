"""Clocks of the daemon."""

import time


def monotonic() -> float:
    """Return a clock that never goes back, seconds.

    It counts the time that the machine was suspended, so that a lease that ran
    out meanwhile is not taken for valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_time() -> float:
    """Return the time since the epoch, seconds."""
    return time.time()
