"""Intervals of bundle leases."""

from typing import NamedTuple


class LeaseTimings(NamedTuple):
    """Intervals of bundle leases, seconds."""

    #: Life of a lease from the sending of its request on.
    duration: float = 1.5
    #: Between two requests of an instance.
    renewal: float = 0.4
    #: Wait for a grant before another control instance is asked.
    answer_timeout: float = 0.5
    #: Silence after which the leader takes an instance for gone.
    member_timeout: float = 2.0
    #: Time that a new leader waits to hear of every instance.
    settling: float = 2.0


#: Intervals that the daemon uses.
LEASE_TIMINGS = LeaseTimings()
