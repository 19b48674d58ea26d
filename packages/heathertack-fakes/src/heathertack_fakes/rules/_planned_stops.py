"""LOST around a planned stop."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from heathertack_fakes.rules._records import (
    ClientAttempt,
    EngineWork,
    Stop,
    StopBounds,
    Violation,
)

#: Time after the grace period for which the rule holds.
_AFTER_GRACE_SECONDS = 1.0
#: Share of the grace period at whose end engines may be at work without a loss.
_EXCUSED_SHARE = 1 / 6
#: A request that is sent later than this after SIGTERM is not excused.
_MAX_EXCUSED_SENDING_SECONDS = 3.0


def find_lost_requests(
    attempts: Iterable[ClientAttempt],
    works: Iterable[EngineWork],
    stops: Iterable[Stop],
    bounds: StopBounds,
) -> tuple[Violation, ...]:
    """Return the requests that a planned stop lost.

    Lost is a request that was read whole and whose connection ends without a complete
    answer, once it has been passed on to an engine, or later than the slack after its
    last byte. The records must hold no unplanned disturbance.

    Parameters
    ----------
    attempts : iterable of ClientAttempt
        Requests whose connection was accepted.
    works : iterable of EngineWork
        What engines did.
    stops : iterable of Stop
        One for each process that was stopped.
    bounds : StopBounds
        Bounds of the deployment.

    References
    ----------
    The users' rules, section "Draining and shutdown".
    """
    works_by_id: dict[str, list[EngineWork]] = {}
    for work in works:
        works_by_id.setdefault(work.request_id, []).append(work)
    stops_by_instance: dict[str, list[Stop]] = {}
    for stop in stops:
        stops_by_instance.setdefault(stop.instance, []).append(stop)
    found = (
        _check_attempt(attempt, works_by_id.get(attempt.request_id, ()), stop, bounds)
        for attempt in attempts
        for stop in stops_by_instance.get(attempt.instance, ())
    )
    return tuple(violation for violation in found if violation is not None)


def _check_attempt(
    attempt: ClientAttempt,
    works: Sequence[EngineWork],
    stop: Stop,
    bounds: StopBounds,
) -> Violation | None:
    end = stop.at + bounds.grace
    if (
        attempt.is_whole
        or not stop.at <= attempt.ended_at <= end + _AFTER_GRACE_SECONDS
    ):
        return None
    used = attempt.ended_at - attempt.sent_at
    if used >= attempt.time_budget or any(work.broke_off for work in works):
        return None
    if not works and used <= bounds.loss_slack:
        return None
    is_sent_in_time = attempt.sent_at <= stop.at + _MAX_EXCUSED_SENDING_SECONDS
    last_sixth = end - bounds.grace * _EXCUSED_SHARE
    if is_sent_in_time and any(work.ended_at >= last_sixth for work in works):
        return None
    state = "was passed on" if works else "was not passed on"
    detail = (
        f"{state}, sent {attempt.sent_at - stop.at:.2f} s after SIGTERM to "
        f"{stop.instance}, and ended without a complete answer "
        f"{attempt.ended_at - stop.at:.2f} s after it"
    )
    return Violation("LOST", attempt.request_id, detail)
