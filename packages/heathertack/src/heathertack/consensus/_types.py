"""Data types of the replicated log."""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import NamedTuple, Protocol


class EntryKind(IntEnum):
    """Kind of payload in a log entry."""

    #: Empty; appended by each new leader at the start of its term.
    NOOP = 0
    #: A command of the replicated state machine.
    COMMAND = 1
    #: A :class:`Membership`.
    MEMBERSHIP = 2


class Role(StrEnum):
    """Role of a replica in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class LogEntry(NamedTuple):
    """One entry of the log."""

    #: Position in the log, starting at 1.
    log_index: int
    #: Term of the leader that appended it.
    term: int
    #: Kind of the payload.
    kind: EntryKind
    #: Encoded command or membership.
    payload: bytes


class Membership(NamedTuple):
    """Replicas of the log, each an instance with one storage identity."""

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
    """State that a replica must persist before it responds to a message."""

    #: Highest term seen.
    term: int = 0
    #: Replica voted for in that term, empty for none.
    vote: str = ""


class Snapshot(NamedTuple):
    """State machine and membership as of one index."""

    #: Last index that the snapshot covers.
    log_index: int
    #: Term of the entry at ``log_index``.
    term: int
    #: Membership at that index.
    membership: Membership
    #: Encoded state machine.
    data: bytes


class DurableState(NamedTuple):
    """State read from storage after a restart."""

    #: Term and vote.
    hard_state: HardState
    #: Latest snapshot.
    snapshot: Snapshot
    #: Entries after the snapshot.
    entries: tuple[LogEntry, ...]


class ReplicaTimings(NamedTuple):
    """Intervals of the replication protocol, in seconds."""

    #: Time between two heartbeats of a leader.
    heartbeat_interval: float = 0.15
    #: Minimum time without a leader before a follower requests votes.
    min_election_timeout: float = 0.8
    #: Maximum time without a leader before a follower requests votes.
    max_election_timeout: float = 1.4
    #: Duration of a leader lease, from when the confirmed heartbeat was sent.
    #: Shorter than ``min_election_timeout`` by the bound on clock drift.
    lease_duration: float = 0.6
    #: Minimum time between two transmissions of a snapshot to one replica.
    snapshot_interval: float = 2.0


class RandomSource(Protocol):
    """Source of random election timeouts."""

    def uniform(self, a: float, b: float) -> float:
        """Return a number between ``a`` and ``b``."""
        ...
