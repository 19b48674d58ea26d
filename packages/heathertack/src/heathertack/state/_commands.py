"""Commands of the replicated state machine."""

from __future__ import annotations

from typing import NamedTuple

from heathertack.bundle import SignedBundle
from heathertack.messages import MessageCodec
from heathertack.state._records import CallOutcome, TargetLoss


class ApplyBundle(NamedTuple):
    """Makes a validated bundle the current one."""

    version: int
    digest: str
    signed: SignedBundle
    at: float = 0.0


class ClaimCall(NamedTuple):
    """Claims the right to execute a call once."""

    account: str
    key: str
    service: str
    body_digest: str
    claim_id: str
    owner: str
    owner_incarnation: int
    at: float = 0.0


class RecordOutcome(NamedTuple):
    """Records the outcome of a claimed call; without one, the call did not run."""

    account: str
    key: str
    claim_id: str
    outcome: CallOutcome | None
    #: Whether the call may have run although its response was not received.
    is_unknown: bool = False


class MarkOwnerLost(NamedTuple):
    """Marks the running calls of a lost process as unknown."""

    instance: str
    #: Incarnations up to this one are lost.
    incarnation: int


class SettleCall(NamedTuple):
    """Records what an operator determined about a call with an unknown outcome."""

    account: str
    key: str
    #: Whether the call ran.
    ran: bool
    note: str


class ReportTargetLoss(NamedTuple):
    """Records a target that was lost while it ran a request."""

    fingerprint: str
    account: str
    loss: TargetLoss
    at: float = 0.0


class ClearQuarantine(NamedTuple):
    """Deletes the target losses recorded for a request."""

    fingerprint: str


class ExpireRecords(NamedTuple):
    """Removes old records; keeps running calls and those with unknown outcome."""

    calls_before: float
    losses_before: float


class SetDraining(NamedTuple):
    """Marks an instance as draining, or removes the mark."""

    instance: str
    draining: bool


class BarReplica(NamedTuple):
    """Prevents a removed replica from joining again."""

    replica: str


class RecordServiceVersions(NamedTuple):
    """Records the software versions that the targets of each service have now."""

    #: Service and version of all targets that the platform lists.
    listed: tuple[tuple[str, str], ...]
    at: float = 0.0


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
    | RecordServiceVersions
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
        RecordServiceVersions,
    )
)
