"""Intervals of bundle leases."""

from typing import NamedTuple


class LeaseTimings(NamedTuple):
    """Intervals of bundle leases, seconds."""

    #: Lease duration, counted from when the request was sent.
    duration: float = 1.5
    #: Interval between two lease requests of an instance.
    renewal: float = 0.4
    #: Time to wait for a grant before the request goes to another instance.
    answer_timeout: float = 0.5
    #: Time without a request after which the leader marks an instance as gone.
    member_timeout: float = 2.0
    #: Time that a new leader waits for a request from every instance.
    settling: float = 2.0


def derive_lease_timings(
    propagation: float | None, disconnected_service: float | None
) -> LeaseTimings:
    """Derive the intervals from the bounds of a deployment.

    Parameters
    ----------
    propagation : float or None
        Time within which a bundle must be in force on connected instances, seconds.
    disconnected_service : float or None
        Time after which an instance without contact must not serve, seconds.

    Returns
    -------
    LeaseTimings
        The lease duration is 0.6 of ``disconnected_service``, which leaves a margin
        for a clock drift of 10 % and for requests in transit. Four requests are sent
        within the shorter of the lease duration and ``propagation``.
    """
    timings = LeaseTimings()
    if disconnected_service is not None:
        timings = timings._replace(duration=0.6 * disconnected_service)
    bounds = [timings.duration]
    if propagation is not None:
        bounds.append(propagation)
    renewal = min(bounds) / 4
    return timings._replace(renewal=min(max(renewal, 0.1), 1.0))


#: Default intervals of the daemon.
LEASE_TIMINGS = LeaseTimings()
