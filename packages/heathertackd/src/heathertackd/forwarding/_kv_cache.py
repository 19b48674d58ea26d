"""Moves the KV cache of a running generation to another target."""

from __future__ import annotations

from enum import StrEnum
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


class KvCacheCopy(NamedTuple):
    """A copy of the KV cache of a run, from which the same run can continue.

    The address is part of the copy, so that it can't change while a stream waits: the
    name of its target may later be unknown, or belong to another engine.
    """

    #: Target that holds the copy.
    target: str
    #: Address by which engines identify the copy: that of the engine that handed the
    #: run over, or of the target that has kept the backup since the run started.
    address: str
    #: Id of a copy that was handed over, empty for a backup.
    copy_id: str = ""


class Continuation(NamedTuple):
    """Where an interrupted stream can continue."""

    #: Copy that the run continues from; ``None`` for a new run.
    copy: KvCacheCopy | None = None
    #: Placement that admission has already granted; ``None`` to request one.
    placement: TargetChosen | None = None

    @property
    def target(self) -> str:
        """Target that holds the copy, empty for a new run."""
        return self.copy.target if self.copy is not None else ""


class CopyState(StrEnum):
    """What is known of the target that keeps a backup."""

    KEPT = "kept"
    #: The target has stopped.
    GONE = "gone"
    #: The table of targets does not hold it, as after a change of leader.
    UNLISTED = "unlisted"
    #: Another engine has its name, or it was started again elsewhere.
    REPLACED = "replaced"


def find_copy_state(board: Blackboard, copy: KvCacheCopy) -> CopyState:
    """Return whether the target of a backup can still hold it.

    A target that is not listed counts as lost: the table of a new leader does not hold
    the targets that stopped under the leader before.
    """
    record = board.read(TARGETS).get(copy.target)
    if record is None:
        return CopyState.UNLISTED
    if record.state is TargetState.GONE:
        return CopyState.GONE
    if record.address != copy.address:
        return CopyState.REPLACED
    return CopyState.KEPT


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
