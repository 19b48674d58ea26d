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
from heathertack.messages._evacuated_targets import ColdTargets, EvacuatedTargets
from heathertack.messages._evacuations import EvacuationReply, EvacuationRequest
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
from heathertack.messages._streams import (
    StreamOriginQuery,
    StreamOriginReply,
    StreamOrigins,
    TargetVersions,
)
from heathertack.messages._target_limits import TargetRates, TargetRejectionRates
from heathertack.messages._target_links import RelayedPause, UnreachableServices
from heathertack.messages._target_pauses import TargetPauses


class MemberState(StrEnum):
    """Whether an instance accepts new work."""

    ALIVE = "alive"
    LEAVING = "leaving"
    GONE = "gone"


class TargetState(StrEnum):
    """Whether a target accepts new work."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class MemberRecord(NamedTuple):
    """State of an instance as recorded by the leader."""

    instance: str
    #: Increases with every start of the process.
    incarnation: int
    state: MemberState
    #: Address for callers, ``ip:port``.
    http_address: str
    failure_domain: str
    #: Log index of the bundle in force on the instance.
    bundle_index: int
    #: Number of open requests, rounded down to a power of two.
    load: int


class TargetRecord(NamedTuple):
    """State of a target as recorded by the leader."""

    name: str
    service: str
    #: ``ip:port``.
    address: str
    failure_domain: str
    state: TargetState
    #: Cache capacity of an engine, tokens; 0 for a plain service.
    cache_tokens: int = 0
    #: Number of requests that it runs concurrently; 0 if unknown.
    slots: int = 0


class TableVersion(NamedTuple):
    """Version of the leader's tables of members and targets."""

    #: Term of the leader.
    term: int = 0
    #: Number of changes in that term.
    sequence: int = 0


class LeaseRequest(NamedTuple):
    """Asks the leader for a lease on the current bundle."""

    instance: str
    incarnation: int
    http_address: str
    failure_domain: str
    #: Whether the instance is leaving the cluster.
    leaving: bool
    #: Number of open requests, rounded down to a power of two.
    load: int
    bundle_index: int
    table: TableVersion
    #: Sending time on the clock of the requester, echoed in the grant.
    sent_at: float


class BundlePush(NamedTuple):
    """A committed bundle, complete or as changes to an earlier one."""

    #: Index of its log entry.
    log_index: int
    #: Digest of the complete bundle in its canonical form.
    digest: str
    #: Index of the bundle that the changes apply to; 0 for a complete bundle.
    base_index: int
    #: Compressed bundle, or compressed changes.
    data: bytes


class LeaderHint(NamedTuple):
    """Names the leader, in response to a lease request or as an announcement."""

    #: Instance that leads, empty while unknown.
    leader: str


class LeaseGrant(NamedTuple):
    """Grants a lease on a bundle and carries changes of the tables."""

    term: int
    leader: str
    #: Incarnation of the requester.
    incarnation: int
    #: Index of the current bundle; 0 before the first one.
    bundle_index: int
    #: The bundle, or ``None`` if the requester already has it.
    bundle: BundlePush | None
    #: Lease duration, counted from the request's ``sent_at``, seconds.
    duration: float
    #: ``sent_at`` of the latest request.
    sent_at: float
    #: Version of the tables after the changes below.
    table: TableVersion
    #: Whether the records below contain the complete tables.
    is_full: bool
    #: Whether the leader has had time to receive a request from every instance.
    is_settled: bool
    members: tuple[MemberRecord, ...]
    targets: tuple[TargetRecord, ...]
    #: Fingerprints of requests to which target losses are attributed, with the
    #: number of losses; ``None`` if unchanged.
    suspects: tuple[tuple[str, int], ...] | None


class TargetReport(NamedTuple):
    """Reports to the leader that a target is leaving."""

    target: str


class JoinRequest(NamedTuple):
    """Asks the leader to send the control log to a replica."""

    replica: str


class ControlStatus(StrEnum):
    """Outcome of a control request."""

    DONE = "done"
    NOT_LEADER = "not_leader"
    UNAVAILABLE = "unavailable"


class ControlRequest(NamedTuple):
    """A command for the replicated state machine."""

    request_id: str
    command: bytes


class ControlReply(NamedTuple):
    """Response to a control request."""

    request_id: str
    status: ControlStatus
    #: Instance that leads, empty if unknown.
    leader: str
    #: Encoded result of the command, empty unless it was committed.
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
    | TargetVersions
    | StreamOrigins
    | StreamOriginQuery
    | StreamOriginReply
    | TargetRates
    | TargetPauses
    | UnreachableServices
    | RelayedPause
    | TargetRejectionRates
    | EvacuationRequest
    | EvacuationReply
    | EvacuatedTargets
    | ColdTargets
)

#: Codec of the messages between instances.
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
        TargetVersions,
        StreamOrigins,
        StreamOriginQuery,
        StreamOriginReply,
        TargetRates,
        TargetPauses,
        UnreachableServices,
        RelayedPause,
        TargetRejectionRates,
        EvacuationRequest,
        EvacuationReply,
        EvacuatedTargets,
        ColdTargets,
    )
)
