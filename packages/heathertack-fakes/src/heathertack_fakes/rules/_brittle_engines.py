"""LIMIT of engines that say that they are brittle."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from heathertack_fakes.rules._records import (
    BrittleTime,
    EngineFall,
    OutOfTouch,
    Violation,
)

#: Falls that are allowed in any case.
_ALLOWED_FALLS = 2
#: Share of the engines that may fall besides.
_ALLOWED_SHARE = 0.1


def find_excess_falls(
    times: Iterable[BrittleTime],
    falls: Sequence[EngineFall],
    out_of_touch: Sequence[OutOfTouch] = (),
) -> tuple[Violation, ...]:
    """Return the times in which a service's brittle engines fell too often.

    A fall counts if most of what was turned away came from instances in touch.

    Parameters
    ----------
    times : iterable of BrittleTime
        When the engines of each service said that they are brittle.
    falls : sequence of EngineFall
        Engines that fell over.
    out_of_touch : sequence of OutOfTouch
        When instances did not count.

    References
    ----------
    The users' rules, LIMIT of brittle engines.
    """
    violations: list[Violation] = []
    for time in times:
        counted = [
            fall
            for fall in falls
            if fall.service == time.service
            and time.begin <= fall.at <= time.end
            and _counts(fall, out_of_touch)
        ]
        allowed = _ALLOWED_FALLS + _ALLOWED_SHARE * time.engines
        if len(counted) > allowed:
            names = ", ".join(f"{fall.engine} at {fall.at:.2f}" for fall in counted)
            detail = f"{len(counted)} falls, {allowed:g} allowed: {names}"
            violations.append(Violation("LIMIT", time.service, detail))
    return tuple(violations)


def _counts(fall: EngineFall, out_of_touch: Sequence[OutOfTouch]) -> bool:
    excused = sum(
        any(
            time.instance == instance and time.begin <= fall.at <= time.end
            for time in out_of_touch
        )
        for instance in fall.rejected
    )
    return 2 * excused < len(fall.rejected)
