"""Events handled by the control log controller."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from heathertack.consensus import ConsensusMessage
from heathertack.messages import EvacuationRequest, JoinRequest
from heathertack.state import Command


class ConsensusReceived(NamedTuple):
    """A consensus message arrived from another replica."""

    message: ConsensusMessage


class JoinReceived(NamedTuple):
    """A replica requested to receive the control log."""

    request: JoinRequest


class CommandSubmitted(NamedTuple):
    """A command was submitted to the control log."""

    request_id: str
    #: Instance that submitted the command, empty for this instance.
    requester: str
    command: Command
    #: Wall clock, seconds since the epoch.
    wall_time: float


class EvacuationReceived(NamedTuple):
    """An instance sent an order to evacuate or readmit a failure domain."""

    sender: str
    request: EvacuationRequest


class ProposalsDue(NamedTuple):
    """The submitted commands are to be proposed as one batch."""


class ReplicaOperation(StrEnum):
    """Membership change requested by an operator."""

    ADD = "add"
    REMOVE = "remove"


class ChangeReplicas(NamedTuple):
    """An operator requested a membership change."""

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
    | EvacuationReceived
    | ProposalsDue
    | ChangeReplicas
    | TimePassed
)
