"""REFUSED, TWICE and ORDER: what clients were told, and what engines ran."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from heathertack_fakes.rules._records import ClientAttempt, EngineWork, Violation

#: Statuses that promise that a request has not run, and never will.
_PROMISES = frozenset({408, 421, 429, 503})


def find_untrue_refusals(
    attempts: Iterable[ClientAttempt], works: Iterable[EngineWork]
) -> tuple[Violation, ...]:
    """Return the requests that ran once although their status promises otherwise.

    References
    ----------
    The users' rules, section "Requests and answers", REFUSED.
    """
    ran = {work.request_id for work in works}
    return tuple(
        Violation("REFUSED", a.request_id, f"ran, and was answered {a.status}")
        for a in attempts
        if not a.is_idempotent and a.status in _PROMISES and a.request_id in ran
    )


def find_repeated_runs(
    attempts: Iterable[ClientAttempt], works: Iterable[EngineWork]
) -> tuple[Violation, ...]:
    """Return the requests that ran more than once though they may run once.

    A run that goes on from a copy of its memory is the same run.

    References
    ----------
    The users' rules, section "Requests and answers", TWICE.
    """
    counts = Counter(work.request_id for work in works if not work.continues_run)
    return tuple(
        Violation("TWICE", a.request_id, f"ran {counts[a.request_id]} times")
        for a in attempts
        if not a.is_idempotent and counts[a.request_id] > 1
    )


def find_wrong_streams(
    attempts: Iterable[ClientAttempt], works: Iterable[EngineWork]
) -> tuple[Violation, ...]:
    """Return the streams with wrong events, and those that end before their last one.

    References
    ----------
    The users' rules, section "Streams", ORDER.
    """
    last_events: dict[str, int] = {}
    for work in works:
        last = max(work.last_event, last_events.get(work.request_id, 0))
        last_events[work.request_id] = last
    violations: list[Violation] = []
    for attempt in attempts:
        last = last_events.get(attempt.request_id, 0)
        if not last or attempt.status != 200:
            continue
        count = len(attempt.events)
        if attempt.events != tuple(range(1, count + 1)):
            detail = f"has the events {attempt.events}"
            violations.append(Violation("ORDER", attempt.request_id, detail))
        elif attempt.is_whole and count != last:
            detail = f"ends as complete after {count} of {last} events"
            violations.append(Violation("ORDER", attempt.request_id, detail))
    return tuple(violations)
