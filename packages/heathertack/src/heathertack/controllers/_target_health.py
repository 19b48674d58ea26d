"""Health of targets as observed by an instance, and the choice of usable targets."""

from __future__ import annotations

from typing import Any, ClassVar, NamedTuple, assert_never

from heathertack.blackboard import (
    TARGET_HEALTH,
    TARGETS,
    Blackboard,
    Section,
    TargetHealth,
)
from heathertack.controllers._target_pauses import find_pause
from heathertack.messages import TargetRecord, TargetState

_INITIAL_BACKOFF_SECONDS = 0.5
_MAX_BACKOFF_SECONDS = 15.0
_GAP_SMOOTHING = 0.125
_MIN_STALL_TIMEOUT_SECONDS = 1.0
_MAX_STALL_TIMEOUT_SECONDS = 5.0
_STALL_GAP_MULTIPLE = 20.0
_STALL_DEVIATION_MULTIPLE = 8.0


class TargetFailed(NamedTuple):
    """A target was unreachable or ended a response early."""

    target: str


class TargetSucceeded(NamedTuple):
    """A target answered."""

    target: str


class StreamGapMeasured(NamedTuple):
    """The gap between the events of a stream was measured."""

    target: str
    #: Mean time between two events, seconds.
    mean_gap: float


Event = TargetFailed | TargetSucceeded | StreamGapMeasured


class TargetHealthController:
    """Tracks failures and stream gaps of targets.

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
        """Update the health record of a target."""
        health = self._board.read(TARGET_HEALTH).get(event.target, TargetHealth())
        match event:
            case TargetFailed():
                changed = _record_failure(health, now)
            case TargetSucceeded():
                changed = health._replace(failures=0, avoid_until=float("-inf"))
            case StreamGapMeasured():
                changed = _record_gap(health, event.mean_gap)
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

    If every live target is avoided, all of them are returned, so that failures alone
    never leave a service without targets. Targets that want no requests for a while are
    never returned.

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
        if target.service == service
        and target.state is TargetState.LIVE
        and not find_pause(board, target.name, now)
    )
    default = TargetHealth()
    usable = tuple(t for t in live if health.get(t.name, default).avoid_until <= now)
    return usable or live


def stall_timeout(health: TargetHealth) -> float:
    """Return the time without events after which a stream is resumed, seconds."""
    spread = _STALL_DEVIATION_MULTIPLE * health.gap_deviation
    estimated = _STALL_GAP_MULTIPLE * health.mean_gap + spread
    return min(max(estimated, _MIN_STALL_TIMEOUT_SECONDS), _MAX_STALL_TIMEOUT_SECONDS)


def _record_failure(health: TargetHealth, now: float) -> TargetHealth:
    failures = health.failures + 1
    backoff = _INITIAL_BACKOFF_SECONDS * 2.0 ** min(failures - 1, 10)
    avoid_until = now + min(backoff, _MAX_BACKOFF_SECONDS)
    return health._replace(failures=failures, avoid_until=avoid_until)


def _record_gap(health: TargetHealth, gap: float) -> TargetHealth:
    if health.mean_gap == 0.0:
        return health._replace(mean_gap=gap, gap_deviation=gap / 2)
    error = gap - health.mean_gap
    deviation_error = abs(error) - health.gap_deviation
    return health._replace(
        mean_gap=health.mean_gap + _GAP_SMOOTHING * error,
        gap_deviation=health.gap_deviation + _GAP_SMOOTHING * deviation_error,
    )
