"""Replication of the control log as a pure state machine."""

from heathertack.consensus._effects import (
    AppendEntries,
    ApplyEntries,
    ChangeLeadership,
    Effect,
    ReportRegressedReplica,
    RestoreSnapshot,
    SaveHardState,
    SaveSnapshot,
    SendMessage,
    TruncateLog,
)
from heathertack.consensus._log import ReplicatedLog
from heathertack.consensus._messages import (
    AppendRequest,
    AppendResponse,
    ConsensusMessage,
    SnapshotRequest,
    VoteRequest,
    VoteResponse,
)
from heathertack.consensus._replica import Proposal, ProposalError, Replica
from heathertack.consensus._types import (
    DurableState,
    EntryKind,
    HardState,
    LogEntry,
    Membership,
    RandomSource,
    ReplicaTimings,
    Role,
    Snapshot,
)

__all__ = [
    "AppendEntries",
    "AppendRequest",
    "AppendResponse",
    "ApplyEntries",
    "ChangeLeadership",
    "ConsensusMessage",
    "DurableState",
    "Effect",
    "EntryKind",
    "HardState",
    "LogEntry",
    "Membership",
    "Proposal",
    "ProposalError",
    "RandomSource",
    "Replica",
    "ReplicaTimings",
    "ReplicatedLog",
    "ReportRegressedReplica",
    "RestoreSnapshot",
    "Role",
    "SaveHardState",
    "SaveSnapshot",
    "SendMessage",
    "Snapshot",
    "SnapshotRequest",
    "TruncateLog",
    "VoteRequest",
    "VoteResponse",
]
