"""Data of the replicated log."""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import NamedTuple, Protocol


class EntryKind(IntEnum):
    """What a log entry carries."""

    #: Nothing; appended by each new leader.
    NOOP = 0
    #: A command of the replicated state machine.
    COMMAND = 1
    #: A :class:`Membership`.
    MEMBERSHIP = 2


class Role(StrEnum):
    """Part that a replica plays in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class LogEntry(NamedTuple):
    """One entry of the log."""

    #: Position in the log, from 1.
    log_index: int
    #: Term of the leader that appended it.
    term: int
    #: What the payload is.
    kind: EntryKind
    #: Encoded command or membership.
    payload: bytes


class Membership(NamedTuple):
    """Replicas of the log. A replica is an instance with one storage identity."""

    #: Replicas that vote.
    voters: tuple[str, ...]
    #: Replicas that receive the log and do not vote.
    learners: tuple[str, ...] = ()

    @property
    def quorum(self) -> int:
        """Number of voters that make a majority."""
        return len(self.voters) // 2 + 1

    @property
    def replicas(self) -> tuple[str, ...]:
        """All replicas, voters first."""
        return self.voters + self.learners


class HardState(NamedTuple):
    """What a replica must remember before it answers."""

    #: Highest term seen.
    term: int = 0
    #: Replica voted for in that term, empty for none.
    vote: str = ""


class Snapshot(NamedTuple):
    """State machine and membership as of one index."""

    #: Last index it covers.
    log_index: int
    #: Term of that entry.
    term: int
    #: Membership at that index.
    membership: Membership
    #: Encoded state machine.
    data: bytes


class DurableState(NamedTuple):
    """What storage gives back after a restart."""

    #: Term and vote.
    hard_state: HardState
    #: Latest snapshot.
    snapshot: Snapshot
    #: Entries after the snapshot.
    entries: tuple[LogEntry, ...]


class ReplicaTimings(NamedTuple):
    """Intervals of the replication protocol, seconds."""

    #: Between two heartbeats of a leader.
    heartbeat_interval: float = 0.15
    #: Shortest wait of a follower before it asks for votes.
    min_election_timeout: float = 0.8
    #: Longest wait of a follower before it asks for votes.
    max_election_timeout: float = 1.4
    #: Life of a leader lease after the sending of the confirmed heartbeat.
    #: Shorter than ``min_election_timeout`` by the bound on clock drift.
    lease_duration: float = 0.6
    #: Between two transmissions of a snapshot to one replica.
    snapshot_interval: float = 2.0


class RandomSource(Protocol):
    """Source of random waits."""

    def uniform(self, a: float, b: float) -> float:
        """Return a number between ``a`` and ``b``."""
        ...
