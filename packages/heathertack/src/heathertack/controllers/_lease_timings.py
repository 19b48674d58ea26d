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


def derive_lease_timings(
    propagation: float | None, disconnected_service: float | None
) -> LeaseTimings:
    """Derive the intervals from the bounds of a deployment.

    Parameters
    ----------
    propagation : float or None
        Time in which a bundle must be in force at connected instances, seconds.
    disconnected_service : float or None
        Time after which an instance without contact must not serve, seconds.

    Returns
    -------
    LeaseTimings
        A lease lasts for 0.6 of the time that an instance may serve without
        contact, which leaves room for clocks that drift by a tenth and for requests
        on their way. Requests are repeated four times in the shorter of the bounds.
    """
    timings = LeaseTimings()
    if disconnected_service is not None:
        timings = timings._replace(duration=0.6 * disconnected_service)
    bounds = [timings.duration]
    if propagation is not None:
        bounds.append(propagation)
    renewal = min(bounds) / 4
    return timings._replace(renewal=min(max(renewal, 0.1), 1.0))


#: Intervals that the daemon uses.
LEASE_TIMINGS = LeaseTimings()
