"""What an instance saw of its targets, and which of them it uses."""

from __future__ import annotations

from typing import Any, ClassVar, NamedTuple, assert_never

from heathertack.blackboard import (
    TARGET_HEALTH,
    TARGETS,
    Blackboard,
    Section,
    TargetHealth,
)
from heathertack.messages import TargetRecord, TargetState

_FIRST_BACKOFF_SECONDS = 0.5
_LONGEST_BACKOFF_SECONDS = 15.0
_GAP_WEIGHT = 0.125
_SHORTEST_STALL_SECONDS = 1.0
_LONGEST_STALL_SECONDS = 5.0
_STALL_GAPS = 20.0
_STALL_DEVIATIONS = 8.0


class TargetFailed(NamedTuple):
    """A target could not be reached or broke off."""

    target: str


class TargetSucceeded(NamedTuple):
    """A target answered."""

    target: str


class StreamGapMeasured(NamedTuple):
    """Mean time between the events of a stream, seconds."""

    target: str
    mean_gap: float


Event = TargetFailed | TargetSucceeded | StreamGapMeasured


class TargetHealthController:
    """Keeps failures and step times of targets.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    """

    READS: ClassVar[tuple[Section[Any], ...]] = ()
    WRITES: ClassVar[tuple[Section[Any], ...]] = (TARGET_HEALTH,)

    def __init__(self, board: Blackboard) -> None:
        self._board = board
        board.register(self)

    def handle(self, event: Event, now: float) -> tuple[()]:
        """Note what was seen of a target."""
        health = self._board.read(TARGET_HEALTH).get(event.target, TargetHealth())
        match event:
            case TargetFailed():
                changed = _note_failure(health, now)
            case TargetSucceeded():
                changed = health._replace(failures=0, avoid_until=float("-inf"))
            case StreamGapMeasured():
                changed = _note_gap(health, event.mean_gap)
            case _:
                assert_never(event)
        if changed != health:
            contents = self._board.read(TARGET_HEALTH)
            changed_contents = {**contents, event.target: changed}
            self._board.write(self, TARGET_HEALTH, changed_contents)
        return ()


def find_usable_targets(
    board: Blackboard, service: str, now: float
) -> tuple[TargetRecord, ...]:
    """Return the live targets of a service that are not avoided.

    When every live target is avoided, all of them are returned: a service is
    never emptied because of failures alone.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    service : str
        Name of the service.
    now : float
        Monotonic clock, seconds.

    Returns
    -------
    tuple of TargetRecord
        Targets ordered by name.
    """
    health = board.read(TARGET_HEALTH)
    targets = sorted(board.read(TARGETS).values())
    live = tuple(
        target
        for target in targets
        if target.service == service and target.state is TargetState.LIVE
    )
    default = TargetHealth()
    usable = tuple(t for t in live if health.get(t.name, default).avoid_until <= now)
    return usable or live


def stall_timeout(health: TargetHealth) -> float:
    """Return how long a stream may be silent before it is resumed, seconds."""
    spread = _STALL_DEVIATIONS * health.gap_deviation
    learnt = _STALL_GAPS * health.mean_gap + spread
    return min(max(learnt, _SHORTEST_STALL_SECONDS), _LONGEST_STALL_SECONDS)


def _note_failure(health: TargetHealth, now: float) -> TargetHealth:
    failures = health.failures + 1
    backoff = _FIRST_BACKOFF_SECONDS * 2.0 ** min(failures - 1, 10)
    avoid_until = now + min(backoff, _LONGEST_BACKOFF_SECONDS)
    return health._replace(failures=failures, avoid_until=avoid_until)


def _note_gap(health: TargetHealth, gap: float) -> TargetHealth:
    if health.mean_gap == 0.0:
        return health._replace(mean_gap=gap, gap_deviation=gap / 2)
    error = gap - health.mean_gap
    deviation_error = abs(error) - health.gap_deviation
    return health._replace(
        mean_gap=health.mean_gap + _GAP_WEIGHT * error,
        gap_deviation=health.gap_deviation + _GAP_WEIGHT * deviation_error,
    )
