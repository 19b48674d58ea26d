"""Effects that a replica asks its host to carry out, in order.

Everything that an effect persists must be synced before a message of a later
:class:`SendMessage` or an answer due to :class:`ApplyEntries` leaves the host.
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
    """Persist a snapshot; the log before it is no longer needed."""

    snapshot: Snapshot


class RestoreSnapshot(NamedTuple):
    """Replace the state machine."""

    snapshot: Snapshot


class SendMessage(NamedTuple):
    """Send a message to a replica."""

    to: str
    message: ConsensusMessage


class ApplyEntries(NamedTuple):
    """Apply committed entries to the state machine."""

    entries: tuple[LogEntry, ...]


class ChangeLeadership(NamedTuple):
    """Tells that the replica became leader of a term, or stopped being it."""

    term: int
    is_leader: bool


class ReportRegressedReplica(NamedTuple):
    """A replica lost entries that it had acknowledged."""

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
