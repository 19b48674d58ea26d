"""Messages between replicas."""

from __future__ import annotations

from typing import NamedTuple

from heathertack.consensus._types import LogEntry, Snapshot


class VoteRequest(NamedTuple):
    """Asks for a vote, or with ``pre_vote`` whether one would be given."""

    term: int
    candidate: str
    last_index: int
    last_term: int
    pre_vote: bool


class VoteResponse(NamedTuple):
    """Answers a :class:`VoteRequest`."""

    term: int
    voter: str
    granted: bool
    pre_vote: bool


class AppendRequest(NamedTuple):
    """Carries entries, or nothing as a heartbeat."""

    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    #: Clock of the leader when it sent the message, echoed in the response.
    sent_at: float


class AppendResponse(NamedTuple):
    """Answers an :class:`AppendRequest` or a :class:`SnapshotRequest`."""

    term: int
    follower: str
    success: bool
    #: Last index known to agree; after a failure, the last index worth trying.
    match_index: int
    sent_at: float


class SnapshotRequest(NamedTuple):
    """Replaces the log of a replica that is too far behind."""

    term: int
    leader: str
    snapshot: Snapshot
    sent_at: float


ConsensusMessage = (
    VoteRequest | VoteResponse | AppendRequest | AppendResponse | SnapshotRequest
)
