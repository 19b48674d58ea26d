"""EVAC and FAILBACK: targets of evacuated domains, and targets that are cold."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence

from heathertack_fakes.rules._records import (
    ColdBounds,
    ColdTime,
    Evacuation,
    TargetRequest,
    Violation,
)

#: The request reached another target than it was meant for, which refused it.
_WRONG_TARGET = 421
#: Length of the windows in which requests to a cold target are counted, seconds.
_WINDOW = 1.0


def find_evacuated_requests(
    requests: Iterable[TargetRequest],
    evacuations: Sequence[Evacuation],
    evacuation_time: float,
) -> tuple[Violation, ...]:
    """Return the requests that reached a target of an evacuated domain too late.

    Requests of instances out of touch, and those answered 421, do not count.

    Parameters
    ----------
    requests : iterable of TargetRequest
        Requests that reached targets.
    evacuations : sequence of Evacuation
        Which domains were evacuated, and when.
    evacuation_time : float
        Time after the confirmation within which requests may still arrive, seconds.

    References
    ----------
    The users' rules, EVAC.
    """
    return tuple(
        Violation(
            "EVAC",
            request.request_id,
            f"reached {request.target} from {request.instance} "
            f"{request.at - evacuation.confirmed_at:.2f} s after the order",
        )
        for request in requests
        for evacuation in evacuations
        if request.is_in_touch
        and request.status != _WRONG_TARGET
        and request.domain == evacuation.domain
        and evacuation.confirmed_at + evacuation_time < request.at
        and request.at < evacuation.withdrawn_at
    )


def find_cold_overloads(
    requests: Iterable[TargetRequest],
    cold_times: Sequence[ColdTime],
    bounds: ColdBounds,
) -> tuple[Violation, ...]:
    """Return the cold times in which a target got too many requests in a second.

    Requests of all instances count, also of those out of touch, except those answered
    421.

    Parameters
    ----------
    requests : iterable of TargetRequest
        Requests that reached targets.
    cold_times : sequence of ColdTime
        When targets were cold.
    bounds : ColdBounds
        How many requests a cold target may get in any second.

    References
    ----------
    The users' rules, FAILBACK.
    """
    arrivals: dict[str, list[float]] = defaultdict(list)
    for request in requests:
        if request.status != _WRONG_TARGET:
            arrivals[request.target].append(request.at)
    found = (_check_cold(time, arrivals[time.target], bounds) for time in cold_times)
    return tuple(violation for violation in found if violation is not None)


def _check_cold(
    time: ColdTime, arrivals: Sequence[float], bounds: ColdBounds
) -> Violation | None:
    allowed = time.rate * bounds.overshoot + bounds.slack
    during = sorted(at for at in arrivals if time.begin <= at < time.end)
    last = 0
    for first, at in enumerate(during):
        while last < len(during) and during[last] < at + _WINDOW:
            last += 1
        if last - first > allowed:
            detail = (
                f"{time.target} got {last - first} requests within a second from "
                f"{at:.2f} s, while cold, allowed {allowed:g}"
            )
            return Violation("FAILBACK", "", detail)
    return None
