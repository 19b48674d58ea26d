"""Moves the KV cache of a running generation to another target."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from returns.result import Result

from heathertack.blackboard import TARGETS, Blackboard
from heathertack.controllers import TargetChosen, keeps_running
from heathertack.messages import TargetState


class MoveFailure(NamedTuple):
    """Why a KV cache was not moved."""

    detail: str
    #: Whether the destination had no room for it; another target may have.
    is_destination_full: bool = False


class KvCacheMover(Protocol):
    """Calls to engines that copy the KV cache of generations."""

    async def copy(
        self, source: str, request_id: str, destination: str
    ) -> Result[None, MoveFailure]:
        """Copy the KV cache of a run while the run continues.

        Parameters
        ----------
        source, destination : str
            ``ip:port`` of the engines.
        request_id : str
            Id of the running request.
        """
        ...

    async def hand_over(
        self, source: str, request_id: str, destination: str
    ) -> Result[str, MoveFailure]:
        """Stop a run, copy the rest of its KV cache and return the id of the copy."""
        ...

    async def discard(self, address: str, copy_id: str) -> Result[None, str]:
        """Free a copy that is no longer needed at the engine with this address."""
        ...


class Continuation(NamedTuple):
    """Where an interrupted stream can continue."""

    #: Target that holds a copy of the KV cache, empty for a new run.
    target: str
    #: Address of the engine that handed the run over, and the id of the copy; both
    #: empty for the backup that a target has kept since the run started.
    copy_address: str = ""
    copy_id: str = ""
    #: Placement that admission has already granted; ``None`` to request one.
    placement: TargetChosen | None = None


def must_move(board: Blackboard, placement: TargetChosen) -> bool:
    """Return whether a stream must move so as not to be lost with its target.

    A run that loses only its backup does not move while its target is live: the
    copies of all runs share the network links, and moving each of those runs would
    delay the copies of the others. Nor does one whose target is evacuated, which runs
    on.
    """
    backup = board.read(TARGETS).get(placement.backup)
    if backup is not None and backup.state is TargetState.LIVE:
        return False
    return not keeps_running(board, placement.target)
