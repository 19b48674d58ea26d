"""Commands of the replicated state machine."""

from __future__ import annotations

from typing import NamedTuple

from heathertack.bundle import SignedBundle
from heathertack.messages import MessageCodec
from heathertack.state._records import CallOutcome, TargetLoss


class ApplyBundle(NamedTuple):
    """Puts a checked bundle in force."""

    version: int
    digest: str
    signed: SignedBundle
    at: float = 0.0


class ClaimCall(NamedTuple):
    """Reserves the only execution of a call."""

    account: str
    key: str
    service: str
    body_digest: str
    claim_id: str
    owner: str
    owner_incarnation: int
    at: float = 0.0


class RecordOutcome(NamedTuple):
    """Records how a claimed call ended; no outcome means that it did not run."""

    account: str
    key: str
    claim_id: str
    outcome: CallOutcome | None
    #: Whether the call may have run without an answer.
    is_unknown: bool = False


class MarkOwnerLost(NamedTuple):
    """Marks the running calls of a lost process as unknown."""

    instance: str
    #: Incarnations up to this one are lost.
    incarnation: int


class SettleCall(NamedTuple):
    """Records what an operator found out about an unknown call."""

    account: str
    key: str
    #: Whether the call ran.
    ran: bool
    note: str


class ReportTargetLoss(NamedTuple):
    """Counts a target that was lost while it ran a request."""

    fingerprint: str
    account: str
    loss: TargetLoss
    at: float = 0.0


class ClearQuarantine(NamedTuple):
    """Forgets the losses of a request."""

    fingerprint: str


class ExpireRecords(NamedTuple):
    """Removes old records; unknown calls stay."""

    calls_before: float
    losses_before: float


class SetDraining(NamedTuple):
    """Marks an instance as leaving, or as staying after all."""

    instance: str
    draining: bool


class BarReplica(NamedTuple):
    """Keeps a removed replica from joining again."""

    replica: str


Command = (
    ApplyBundle
    | ClaimCall
    | RecordOutcome
    | MarkOwnerLost
    | SettleCall
    | ReportTargetLoss
    | ClearQuarantine
    | ExpireRecords
    | SetDraining
    | BarReplica
)

#: Codec of commands in the log.
COMMAND_CODEC: MessageCodec[Command] = MessageCodec(
    (
        ApplyBundle,
        ClaimCall,
        RecordOutcome,
        MarkOwnerLost,
        SettleCall,
        ReportTargetLoss,
        ClearQuarantine,
        ExpireRecords,
        SetDraining,
        BarReplica,
    )
)
