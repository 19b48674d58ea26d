"""Messages between the instances of a cluster."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from heathertack.consensus import (
    AppendRequest,
    AppendResponse,
    SnapshotRequest,
    VoteRequest,
    VoteResponse,
)
from heathertack.messages._codec import MessageCodec
from heathertack.messages._reservations import (
    ReservationAnnounce,
    ReservationBlame,
    ReservationCopyDropped,
    ReservationGrant,
    ReservationProgress,
    ReservationQueued,
    ReservationRefusal,
    ReservationRelease,
    ReservationRequest,
    ReservationUnknown,
)


class MemberState(StrEnum):
    """Whether an instance takes new work."""

    ALIVE = "alive"
    LEAVING = "leaving"
    GONE = "gone"


class TargetState(StrEnum):
    """Whether a target takes new work."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class MemberRecord(NamedTuple):
    """One instance as the leader knows it."""

    instance: str
    #: Grows with every start of the process.
    incarnation: int
    state: MemberState
    #: ``ip:port`` for callers.
    http_address: str
    failure_domain: str
    #: Index of the bundle it has in force.
    bundle_index: int
    #: Power of two at or below its number of open requests.
    load: int


class TargetRecord(NamedTuple):
    """One target as the leader knows it."""

    name: str
    service: str
    #: ``ip:port``.
    address: str
    failure_domain: str
    state: TargetState
    #: Memory of an engine for cached tokens; 0 for a plain service.
    cache_tokens: int = 0
    #: Requests that it runs at one time; 0 where that is not known.
    slots: int = 0


class TableVersion(NamedTuple):
    """Version of the leader's tables of members and targets."""

    #: Term of the leader.
    term: int = 0
    #: Number of changes in that term.
    sequence: int = 0


class LeaseRequest(NamedTuple):
    """Asks the leader to confirm the current bundle."""

    instance: str
    incarnation: int
    http_address: str
    failure_domain: str
    #: Whether the instance leaves the cluster.
    leaving: bool
    #: Power of two at or below the number of open requests.
    load: int
    bundle_index: int
    table: TableVersion
    #: Clock of the requester, echoed in the grant.
    sent_at: float


class BundlePush(NamedTuple):
    """A committed bundle, whole or as changes of an earlier one."""

    #: Index of its log entry.
    log_index: int
    #: Digest of the whole bundle in its canonical form.
    digest: str
    #: Index of the bundle that the changes start from; 0 for a whole bundle.
    base_index: int
    #: Compressed bundle, or compressed changes.
    data: bytes


class LeaderHint(NamedTuple):
    """Tells who leads, in answer to a lease request."""

    #: Instance that leads, empty while unknown.
    leader: str


class LeaseGrant(NamedTuple):
    """Confirms a bundle for a while and carries changes of the tables."""

    term: int
    leader: str
    #: Incarnation of the requester.
    incarnation: int
    #: Index of the current bundle; 0 before the first one.
    bundle_index: int
    #: The bundle, where the requester lacks it.
    bundle: BundlePush | None
    #: Life of the lease from the request's ``sent_at`` on, seconds.
    duration: float
    #: ``sent_at`` of the latest request.
    sent_at: float
    #: Version after the changes below.
    table: TableVersion
    #: Whether the records below replace the whole tables.
    is_full: bool
    #: Whether the leader has had time to hear of every instance.
    is_settled: bool
    members: tuple[MemberRecord, ...]
    targets: tuple[TargetRecord, ...]
    #: Request fingerprints that lost targets, with the number lost; ``None``
    #: where they did not change.
    suspects: tuple[tuple[str, int], ...] | None


class TargetReport(NamedTuple):
    """An instance saw that a target is leaving."""

    target: str


class JoinRequest(NamedTuple):
    """A replica asks to receive the control log."""

    replica: str


class ControlStatus(StrEnum):
    """How the leader answers a control request."""

    DONE = "done"
    NOT_LEADER = "not_leader"
    UNAVAILABLE = "unavailable"


class ControlRequest(NamedTuple):
    """A command for the replicated state machine."""

    request_id: str
    command: bytes


class ControlReply(NamedTuple):
    """Answer to a control request."""

    request_id: str
    status: ControlStatus
    #: Instance that leads, where known.
    leader: str
    #: Encoded result of the command once committed.
    result: bytes


PeerMessage = (
    VoteRequest
    | VoteResponse
    | AppendRequest
    | AppendResponse
    | SnapshotRequest
    | LeaseRequest
    | LeaseGrant
    | LeaderHint
    | TargetReport
    | JoinRequest
    | ControlRequest
    | ControlReply
    | ReservationRequest
    | ReservationGrant
    | ReservationRefusal
    | ReservationQueued
    | ReservationAnnounce
    | ReservationProgress
    | ReservationUnknown
    | ReservationRelease
    | ReservationCopyDropped
    | ReservationBlame
)

#: Codec of control messages.
PEER_CODEC: MessageCodec[PeerMessage] = MessageCodec(
    (
        VoteRequest,
        VoteResponse,
        AppendRequest,
        AppendResponse,
        SnapshotRequest,
        LeaseRequest,
        LeaseGrant,
        LeaderHint,
        TargetReport,
        JoinRequest,
        ControlRequest,
        ControlReply,
        ReservationRequest,
        ReservationGrant,
        ReservationRefusal,
        ReservationQueued,
        ReservationAnnounce,
        ReservationProgress,
        ReservationUnknown,
        ReservationRelease,
        ReservationCopyDropped,
        ReservationBlame,
    )
)
