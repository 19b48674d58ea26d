"""Actions of the controllers that the instance executes."""

from __future__ import annotations

from typing import NamedTuple

from heathertack.messages import ControlStatus, PeerMessage
from heathertack.state import AcceptedBundle, Command


class SendToPeer(NamedTuple):
    """Send a message to an instance, which may be this one."""

    instance: str
    message: PeerMessage


class ProposeCommand(NamedTuple):
    """Submit a command to the control log on this instance."""

    command: Command


class CommitCommand(NamedTuple):
    """Commit a command through the leader; nobody waits for the result."""

    command: Command


class ReplyToCommand(NamedTuple):
    """Reply to the requester of a command."""

    request_id: str
    #: Instance that submitted the command, empty for this one.
    requester: str
    status: ControlStatus
    #: Instance that is the leader, empty if unknown.
    leader: str
    #: Encoded result, empty unless the command is committed.
    result: bytes


class AnnounceBundle(NamedTuple):
    """Notify the lease grantor that a bundle is committed."""

    accepted: AcceptedBundle


class AnnounceLeadership(NamedTuple):
    """Log that this instance became leader or lost leadership."""

    term: int
    is_leader: bool


class ReportEntryStored(NamedTuple):
    """Log that this replica stored a large entry."""

    log_index: int
    term: int
    #: Bytes of the entry's payload.
    size: int
    is_leader: bool


class ReportEntryCommitted(NamedTuple):
    """Log that a large entry is committed."""

    log_index: int
    #: Time since this replica stored the entry, seconds.
    elapsed: float
    is_leader: bool


class ConfirmBundleInForce(NamedTuple):
    """Report to operators that a bundle is in force on all instances."""

    log_index: int
