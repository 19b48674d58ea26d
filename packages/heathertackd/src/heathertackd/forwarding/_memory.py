"""Moving the memory of a running generation to another target."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from returns.result import Result

from heathertack.blackboard import TARGETS, Blackboard
from heathertack.controllers import TargetChosen
from heathertack.messages import TargetState


class MoveFailure(NamedTuple):
    """Why memory was not moved."""

    detail: str
    #: Whether the destination refused it; another one may have room.
    is_destination_full: bool = False


class KvCacheMover(Protocol):
    """Calls to engines that copy the memory of generations."""

    async def copy(
        self, source: str, request_id: str, destination: str
    ) -> Result[None, MoveFailure]:
        """Copy what a run holds, while it goes on.

        Parameters
        ----------
        source, destination : str
            ``ip:port`` of the engines.
        request_id : str
            Id of the request that runs.
        """
        ...

    async def hand_over(
        self, source: str, request_id: str, destination: str
    ) -> Result[str, MoveFailure]:
        """Stop a run, copy the rest and return the id of the copy."""
        ...

    async def discard(self, address: str, copy_id: str) -> Result[None, str]:
        """Free the memory of a copy that is of no use any more."""
        ...


class Continuation(NamedTuple):
    """Where a stream that broke off can go on."""

    #: Target that keeps a copy of the memory, empty for a new run.
    target: str
    #: Address that vouches for the copy, and the id of the copy; empty for the copy
    #: that a target keeps since the start of the run.
    copy_address: str = ""
    copy_id: str = ""
    #: The place that admission has already given.
    placed: TargetChosen | None = None


def must_move(board: Blackboard, placed: TargetChosen) -> bool:
    """Tell whether a stream will be lost with its target unless it moves.

    A run whose copy is lost stays while its target stays: links carry the copies of
    all runs, and moving each of those runs would delay the copies of the others.
    """
    targets = board.read(TARGETS)
    backup = targets.get(placed.backup)
    if backup is not None and backup.state is TargetState.LIVE:
        return False
    target = targets.get(placed.target)
    return target is None or target.state is not TargetState.LIVE
