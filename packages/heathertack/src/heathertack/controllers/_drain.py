"""Decides when a leaving instance refuses callers and when it may stop."""

from __future__ import annotations

import math
from typing import Any, ClassVar, NamedTuple, assert_never

from heathertack.blackboard import DRAIN, Blackboard, DrainView, Section


class RequestOpened(NamedTuple):
    """A request came in."""


class RequestClosed(NamedTuple):
    """A request has its final answer."""


class LeavingStarted(NamedTuple):
    """The instance was told to leave."""


Event = RequestOpened | RequestClosed | LeavingStarted


class DrainController:
    """Keeps the state of leaving.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    kept_answer_seconds : float
        Longest time for which a caller may still use this instance's address
        after the instance has started to leave, seconds.
    grace : float or None
        Time from the start of leaving after which the process is killed,
        seconds; ``None`` if it never is.
    """

    READS: ClassVar[tuple[Section[Any], ...]] = ()
    WRITES: ClassVar[tuple[Section[Any], ...]] = (DRAIN,)

    def __init__(
        self, board: Blackboard, kept_answer_seconds: float, grace: float | None = None
    ) -> None:
        self._board = board
        self._kept_answer_seconds = kept_answer_seconds
        self._grace = math.inf if grace is None else grace
        self._leaving_since: float | None = None
        board.register(self)

    def handle(self, event: Event, now: float) -> tuple[()]:
        """Note an event."""
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
            case _:
                assert_never(event)
        self._board.write(self, DRAIN, view)
        return ()

    def accepts_requests(self, now: float) -> bool:
        """Tell whether callers may still come."""
        kept = min(self._kept_answer_seconds, self._grace)
        return self._leaving_since is None or now < self._leaving_since + kept

    def may_stop(self, now: float) -> bool:
        """Tell whether stopping harms nobody, or the process is killed soon."""
        if self._leaving_since is None or self.accepts_requests(now):
            return False
        if not self._board.read(DRAIN).open_requests:
            return True
        return now >= self._leaving_since + self._grace
