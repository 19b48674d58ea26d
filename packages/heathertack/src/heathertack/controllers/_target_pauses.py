"""Targets to which this instance sends nothing for a while, as they have asked."""

from __future__ import annotations

from typing import Any, ClassVar, NamedTuple, assert_never

from heathertack.blackboard import TARGET_PAUSES, TARGETS, Blackboard, Section
from heathertack.controllers._placement_types import PlacementDenied, build_denial
from heathertack.messages import ReservationRequest, TargetState

#: A target that asks for longer is asked again after this time, seconds.
_MAX_PAUSE_SECONDS = 3600.0
#: Maximum number of pauses that are remembered; those that end first are forgotten
#: first.
_MAX_PAUSES = 1024


class PauseRequested(NamedTuple):
    """A target turned a request away and named the time until the next one."""

    target: str
    #: Time for which it wants no requests from this instance, seconds.
    seconds: float


class PausesDue(NamedTuple):
    """The clock advanced."""


Event = PauseRequested | PausesDue


class TargetPauseController:
    """Keeps the time until which this instance sends each target nothing.

    A pause is never shortened: targets count the time of each of their answers, and the
    answers to requests that were sent together arrive in any order.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    """

    READS: ClassVar[tuple[Section[Any], ...]] = ()
    WRITES: ClassVar[tuple[Section[Any], ...]] = (TARGET_PAUSES,)

    def __init__(self, board: Blackboard) -> None:
        self._board = board
        board.register(self)

    def handle(self, event: Event, now: float) -> float:
        """Handle an event.

        Parameters
        ----------
        event : Event
            Event to handle.
        now : float
            Monotonic clock, seconds.

        Returns
        -------
        float
            Time for which the target is left alone, seconds; 0 if the event neither
            began nor extended a pause.
        """
        match event:
            case PauseRequested():
                return self._pause(event, now)
            case PausesDue():
                self._forget(now)
                return 0.0
            case _:
                assert_never(event)

    def _pause(self, event: PauseRequested, now: float) -> float:
        known = self._board.read(TARGET_PAUSES)
        seconds = min(event.seconds, _MAX_PAUSE_SECONDS)
        if now + seconds <= known.get(event.target, now):
            return 0.0
        pauses = {**known, event.target: now + seconds}
        for target in sorted(pauses, key=lambda name: pauses[name])[
            : max(len(pauses) - _MAX_PAUSES, 0)
        ]:
            del pauses[target]
        self._board.write(self, TARGET_PAUSES, pauses)
        return seconds

    def _forget(self, now: float) -> None:
        known = self._board.read(TARGET_PAUSES)
        kept = {target: until for target, until in known.items() if until > now}
        if len(kept) != len(known):
            self._board.write(self, TARGET_PAUSES, kept)


def find_pause(board: Blackboard, target: str, now: float) -> float:
    """Return for how long this instance must send a target nothing, seconds."""
    return max(board.read(TARGET_PAUSES).get(target, now) - now, 0.0)


def list_paused(board: Blackboard, service: str, now: float) -> tuple[str, ...]:
    """Return the targets of a service to which this instance sends nothing now."""
    pauses = board.read(TARGET_PAUSES)
    if not pauses:
        return ()
    targets = board.read(TARGETS)
    return tuple(
        sorted(
            name
            for name, until in pauses.items()
            if until > now and name in targets and targets[name].service == service
        )
    )


def find_service_pause(board: Blackboard, service: str, now: float) -> float:
    """Return the time until the first target of a service may be used, seconds.

    Returns 0 if a live target may be used now, or if none is live.
    """
    if not board.read(TARGET_PAUSES):
        return 0.0
    waits = (
        find_pause(board, target.name, now)
        for target in board.read(TARGETS).values()
        if target.service == service and target.state is TargetState.LIVE
    )
    return min(waits, default=0.0)


def deny_paused(
    board: Blackboard, request: ReservationRequest, now: float
) -> PlacementDenied | None:
    """Return the denial of a request for which no target may be used now."""
    pause = find_service_pause(board, request.service, now)
    if not pause:
        return None
    reason = f"all targets want no requests for at least {pause:.1f} s"
    return build_denial(request, "overloaded", pause, reason)
