"""Counts open requests and decides when a leaving instance may stop."""

from __future__ import annotations

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
    """

    READS: ClassVar[tuple[Section[Any], ...]] = ()
    WRITES: ClassVar[tuple[Section[Any], ...]] = (DRAIN,)

    def __init__(self, board: Blackboard, kept_answer_seconds: float) -> None:
        self._board = board
        self._kept_answer_seconds = kept_answer_seconds
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
                self._leaving_since = self._leaving_since or now
            case _:
                assert_never(event)
        self._board.write(self, DRAIN, view)
        return ()

    def may_stop(self, now: float) -> bool:
        """Tell whether nobody can be harmed by stopping."""
        if self._leaving_since is None or self._board.read(DRAIN).open_requests:
            return False
        return now >= self._leaving_since + self._kept_answer_seconds
