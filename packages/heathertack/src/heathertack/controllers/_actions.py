"""Actions of the controllers that concern the whole instance."""

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


class ReplyToCommand(NamedTuple):
    """Answer whoever submitted a command."""

    request_id: str
    #: Instance that submitted it, empty for this one.
    requester: str
    status: ControlStatus
    #: Instance that leads, where known.
    leader: str
    #: Encoded result, empty unless the command is committed.
    result: bytes


class AnnounceBundle(NamedTuple):
    """Tell the grantor of leases that a bundle is committed."""

    accepted: AcceptedBundle


class AnnounceLeadership(NamedTuple):
    """Log that this instance became leader or stopped being it."""

    term: int
    is_leader: bool


class ConfirmBundleInForce(NamedTuple):
    """Tell operators that a bundle is in force everywhere."""

    log_index: int
