"""Effects that a replica asks its host to carry out, in order.

The host must sync the data that an effect persists before it sends the message of
a later :class:`SendMessage` or the result of a command from :class:`ApplyEntries`.
"""

from __future__ import annotations

from typing import NamedTuple

from heathertack.consensus._messages import ConsensusMessage
from heathertack.consensus._types import HardState, LogEntry, Snapshot


class SaveHardState(NamedTuple):
    """Persist term and vote."""

    hard_state: HardState


class AppendEntries(NamedTuple):
    """Persist entries at the end of the log."""

    entries: tuple[LogEntry, ...]


class TruncateLog(NamedTuple):
    """Remove the persisted entries from an index on."""

    first_index: int


class SaveSnapshot(NamedTuple):
    """Persist a snapshot; the entries that it covers are no longer needed."""

    snapshot: Snapshot


class RestoreSnapshot(NamedTuple):
    """Replace the state of the state machine with a snapshot."""

    snapshot: Snapshot


class SendMessage(NamedTuple):
    """Send a message to a replica."""

    to: str
    message: ConsensusMessage


class ApplyEntries(NamedTuple):
    """Apply committed entries to the state machine."""

    entries: tuple[LogEntry, ...]


class ChangeLeadership(NamedTuple):
    """Report that the replica became the leader of a term or stepped down."""

    term: int
    is_leader: bool


class ReportRegressedReplica(NamedTuple):
    """Report that a replica lost entries that it had acknowledged."""

    replica: str
    acknowledged_index: int
    reported_index: int


Effect = (
    SaveHardState
    | AppendEntries
    | TruncateLog
    | SaveSnapshot
    | RestoreSnapshot
    | SendMessage
    | ApplyEntries
    | ChangeLeadership
    | ReportRegressedReplica
)
