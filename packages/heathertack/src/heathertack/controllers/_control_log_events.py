"""Events that the control log of an instance acts on."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from heathertack.consensus import ConsensusMessage
from heathertack.messages import JoinRequest
from heathertack.state import Command


class ConsensusReceived(NamedTuple):
    """A message of another replica arrived."""

    message: ConsensusMessage


class JoinReceived(NamedTuple):
    """A replica asks to receive the log."""

    request: JoinRequest


class CommandSubmitted(NamedTuple):
    """Somebody wants a command committed."""

    request_id: str
    #: Instance that submitted it, empty for this one.
    requester: str
    command: Command
    #: Wall clock, seconds since the epoch.
    wall_time: float


class ProposalsDue(NamedTuple):
    """Submitted commands are to be appended together."""


class ReplicaOperation(StrEnum):
    """Change of the membership that an operator asks for."""

    ADD = "add"
    REMOVE = "remove"


class ChangeReplicas(NamedTuple):
    """An operator changes the membership."""

    request_id: str
    operation: ReplicaOperation
    replica: str


class TimePassed(NamedTuple):
    """The clock advanced."""

    #: Wall clock, seconds since the epoch.
    wall_time: float


Event = (
    ConsensusReceived
    | JoinReceived
    | CommandSubmitted
    | ProposalsDue
    | ChangeReplicas
    | TimePassed
)
