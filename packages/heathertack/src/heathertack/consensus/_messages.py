"""Messages between replicas."""

from __future__ import annotations

from typing import NamedTuple

from heathertack.consensus._types import LogEntry, Snapshot


class VoteRequest(NamedTuple):
    """Requests a vote; with ``pre_vote``, asks whether one would be granted."""

    term: int
    candidate: str
    last_index: int
    last_term: int
    pre_vote: bool


class VoteResponse(NamedTuple):
    """Response to a :class:`VoteRequest`."""

    term: int
    voter: str
    granted: bool
    pre_vote: bool


class AppendRequest(NamedTuple):
    """Sends entries to a follower; without entries, serves as a heartbeat."""

    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    #: Leader's clock when the message was sent, echoed in the response.
    sent_at: float


class AppendResponse(NamedTuple):
    """Response to an :class:`AppendRequest` or a :class:`SnapshotRequest`."""

    term: int
    follower: str
    success: bool
    #: Last index known to match the leader's log; after a failure, the last index
    #: at which the logs may match.
    match_index: int
    sent_at: float


class SnapshotRequest(NamedTuple):
    """Sends a snapshot to a replica whose missing entries were compacted."""

    term: int
    leader: str
    snapshot: Snapshot
    sent_at: float


ConsensusMessage = (
    VoteRequest | VoteResponse | AppendRequest | AppendResponse | SnapshotRequest
)
