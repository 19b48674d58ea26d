"""Clocks of the daemon."""

import time


def monotonic() -> float:
    """Return the time of a monotonic clock, seconds.

    The clock includes the time that the machine is suspended, so that a lease that
    expires during a suspension does not count as valid afterwards.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_time() -> float:
    """Return the time since the epoch, seconds."""
    return time.time()
