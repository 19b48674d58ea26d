"""Decides when a leaving instance stops accepting requests and when it exits."""

from __future__ import annotations

import math
from typing import Any, ClassVar, NamedTuple, assert_never

from heathertack.blackboard import DRAIN, Blackboard, DrainView, Section

#: Time before the process stops at which every request that is still open is answered,
#: so that its answer leaves before the process does, seconds.
_ANSWER_SECONDS = 0.3
#: Time before the process would be killed at which it stops, seconds.
_STOP_SECONDS = 0.4
#: Maximum share of the grace period that each of the two takes.
_MAX_RESERVED_SHARE = 1 / 16


class RequestOpened(NamedTuple):
    """A request was received."""


class RequestClosed(NamedTuple):
    """A request received its final response."""


class LeavingStarted(NamedTuple):
    """The instance started to leave the cluster."""


class StopStarted(NamedTuple):
    """The process is about to end, and serves no further request."""


Event = RequestOpened | RequestClosed | LeavingStarted | StopStarted


class DrainController:
    """Tracks the open requests of an instance and its shutdown.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    accept_seconds : float
        Time for which the instance accepts requests after it has started to leave,
        seconds. Callers may use its address from their caches for that long.
    grace : float or None
        Time after the instance has started to leave at which the process is
        killed, seconds; ``None`` if it never is.
    """

    READS: ClassVar[tuple[Section[Any], ...]] = ()
    WRITES: ClassVar[tuple[Section[Any], ...]] = (DRAIN,)

    def __init__(
        self, board: Blackboard, accept_seconds: float, grace: float | None = None
    ) -> None:
        self._board = board
        self._accept_seconds = accept_seconds
        self._stop_after, self._answer_after = _divide_grace(grace)
        self._leaving_since: float | None = None
        self._is_stopping = False
        board.register(self)

    def handle(self, event: Event, now: float) -> tuple[()]:
        """Update the number of open requests and the leaving state."""
        view = self._board.read(DRAIN)
        match event:
            case RequestOpened():
                view = view._replace(open_requests=view.open_requests + 1)
            case RequestClosed():
                view = view._replace(open_requests=view.open_requests - 1)
            case LeavingStarted():
                view = DrainView(True, view.open_requests)
                if self._leaving_since is None:
                    self._leaving_since = now
            case StopStarted():
                self._is_stopping = True
            case _:
                assert_never(event)
        self._board.write(self, DRAIN, view)
        return ()

    @property
    def is_leaving(self) -> bool:
        """Whether the instance has started to leave."""
        return self._leaving_since is not None

    @property
    def answer_deadline(self) -> float:
        """Time by which every open request must be answered, infinite if unlimited."""
        if self._leaving_since is None:
            return math.inf
        return self._leaving_since + self._answer_after

    def must_stop(self, now: float) -> bool:
        """Return whether no time is left, even for requests that are open."""
        since = self._leaving_since
        return since is not None and now >= since + self._stop_after

    def can_answer(self, deadline: float) -> bool:
        """Return whether a request with a deadline can be served to its end."""
        return not self._is_stopping and deadline <= self.answer_deadline

    def accepts_requests(self, now: float) -> bool:
        """Return whether the instance still accepts connections."""
        duration = min(self._accept_seconds, self._stop_after)
        return self._leaving_since is None or now < self._leaving_since + duration

    def may_stop(self, now: float) -> bool:
        """Return whether stopping loses no request, or no time is left for them."""
        if self._leaving_since is None or self.accepts_requests(now):
            return False
        return not self._board.read(DRAIN).open_requests or self.must_stop(now)


def _divide_grace(grace: float | None) -> tuple[float, float]:
    """Return when the process stops and when it answers what is open, seconds.

    Both are counted from the moment at which it starts to leave.
    """
    if grace is None:
        return math.inf, math.inf
    reserved = grace * _MAX_RESERVED_SHARE
    stop_after = grace - min(_STOP_SECONDS, reserved)
    return stop_after, stop_after - min(_ANSWER_SECONDS, reserved)
