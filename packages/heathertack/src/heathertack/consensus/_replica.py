"""One replica of the control log."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, assert_never

from returns.result import Failure, Result, Success

from heathertack.consensus._core import ReplicaCore
from heathertack.consensus._effects import Effect
from heathertack.consensus._election import Election
from heathertack.consensus._messages import (
    AppendRequest,
    AppendResponse,
    ConsensusMessage,
    SnapshotRequest,
    VoteRequest,
    VoteResponse,
)
from heathertack.consensus._replication import Replication
from heathertack.consensus._types import (
    DurableState,
    EntryKind,
    Membership,
    RandomSource,
    ReplicaTimings,
    Role,
)

#: Maximum number of responsive voters in one log.
MAX_VOTERS = 7
#: Maximum number of replicas in one log, unresponsive ones included: bounds what a
#: burst of replacements adds before the replicas that are gone are removed.
_MAX_REPLICAS = 4 * MAX_VOTERS


class Proposal(NamedTuple):
    """Position of proposed entries in the log; they may be lost until committed."""

    #: Index of the first proposed entry.
    first_index: int
    #: Term in which they were proposed.
    term: int


class ProposalError(StrEnum):
    """Reason for which a proposal was not appended."""

    NOT_LEADER = "not_leader"
    CHANGE_IN_PROGRESS = "change_in_progress"
    UNKNOWN_REPLICA = "unknown_replica"
    TOO_MANY_REPLICAS = "too_many_replicas"
    LAST_VOTER = "last_voter"


class Replica:
    """Pure state machine of one replica.

    Every method that takes ``now`` returns the effects to carry out, in order.

    Parameters
    ----------
    name : str
        Instance and its storage identity.
    durable : DurableState
        State read from storage.
    timings : ReplicaTimings
        Intervals of the protocol, in seconds.
    random : RandomSource
        Source of random election timeouts.
    now : float
        Monotonic clock, in seconds.
    """

    def __init__(
        self,
        name: str,
        durable: DurableState,
        timings: ReplicaTimings,
        random: RandomSource,
        now: float,
    ) -> None:
        self._core = ReplicaCore(name, durable, timings, random, now)
        self._election = Election(self._core)
        self._replication = Replication(self._core, durable.snapshot)

    @property
    def name(self) -> str:
        """Name of this replica."""
        return self._core.name

    @property
    def role(self) -> Role:
        """Role in the current term."""
        return self._core.role

    @property
    def term(self) -> int:
        """Highest term seen."""
        return self._core.term

    @property
    def leader(self) -> str:
        """Leader of the current term, empty while unknown."""
        return self._core.leader

    @property
    def commit_index(self) -> int:
        """Last committed index."""
        return self._core.commit_index

    @property
    def last_index(self) -> int:
        """Last index of the log."""
        return self._core.log.last_index

    @property
    def log_length(self) -> int:
        """Number of entries since the latest snapshot."""
        return self._core.log.last_index - self._core.log.snapshot_index

    @property
    def log_size(self) -> int:
        """Total size of the payloads since the latest snapshot, in bytes."""
        return self._core.log.size

    @property
    def membership(self) -> Membership:
        """Current membership: the latest in the log, committed or not."""
        return self._core.membership

    @property
    def fencing_number(self) -> int:
        """Fencing token for the orders of this leader; grows with each leader."""
        return self._replication.term_start_index

    def next_deadline(self) -> float:
        """Return the time at which :meth:`tick` must be called next."""
        if self._core.role is Role.LEADER:
            return self._replication.next_heartbeat
        return self._core.election_deadline

    def lease_expiry(self, now: float) -> float:
        """Return the time until which no other leader can exist."""
        if self._core.role is not Role.LEADER:
            return float("-inf")
        if not self._replication.is_term_committed:
            return float("-inf")
        return self._replication.lease_expiry(now)

    def has_lease(self, now: float) -> bool:
        """Return whether this replica is the leader and no other can exist."""
        return now < self.lease_expiry(now)

    def has_leader_contact(self, now: float) -> bool:
        """Return whether this replica leads or heard from a leader lately."""
        core = self._core
        if core.role is Role.LEADER:
            return True
        return now - core.last_leader_contact <= core.timings.max_election_timeout

    def tick(self, now: float) -> tuple[Effect, ...]:
        """Handle timers that have expired."""
        core = self._core
        if core.role is Role.LEADER:
            if not self._replication.has_contact_with_quorum(now):
                core.become_follower(core.term, "", now)
            elif now >= self._replication.next_heartbeat:
                self._replication.broadcast(now)
        elif now >= core.election_deadline and core.is_voter:
            self._election.start_pre_vote(now)
            self._advance_election(now)
        return core.take_effects()

    def handle(self, message: ConsensusMessage, now: float) -> tuple[Effect, ...]:
        """Handle a message from another replica."""
        match message:
            case VoteRequest():
                self._election.handle_request(message, now)
            case VoteResponse():
                self._election.handle_response(message, now)
                self._advance_election(now)
            case AppendRequest():
                self._replication.handle_append(message, now)
            case AppendResponse():
                self._replication.handle_response(message, now)
                self._advance_membership(now)
            case SnapshotRequest():
                self._replication.handle_snapshot(message, now)
            case _:
                assert_never(message)
        return self._core.take_effects()

    def propose(
        self, payloads: tuple[bytes, ...], now: float
    ) -> tuple[Result[Proposal, ProposalError], tuple[Effect, ...]]:
        """Append commands as the leader."""
        core = self._core
        if core.role is not Role.LEADER:
            return Failure(ProposalError.NOT_LEADER), ()
        entries = self._replication.append(EntryKind.COMMAND, payloads, now)
        proposal = Proposal(entries[0].log_index, core.term)
        return Success(proposal), core.take_effects()

    def add_learner(
        self, replica: str, now: float
    ) -> tuple[Result[None, ProposalError], tuple[Effect, ...]]:
        """Add a replica as a learner; it becomes a voter once it has caught up."""
        membership = self._core.membership
        if replica in membership.replicas:
            return Success(None), ()
        responsive = len(membership.replicas) - len(self._list_unresponsive(now))
        if responsive > MAX_VOTERS or len(membership.replicas) >= _MAX_REPLICAS:
            return Failure(ProposalError.TOO_MANY_REPLICAS), ()
        learners = (*membership.learners, replica)
        return self._propose_membership(membership._replace(learners=learners), now)

    def remove_replica(
        self, replica: str, now: float
    ) -> tuple[Result[None, ProposalError], tuple[Effect, ...]]:
        """Remove a replica from the membership."""
        membership = self._core.membership
        if replica not in membership.replicas:
            return Failure(ProposalError.UNKNOWN_REPLICA), ()
        voters = tuple(v for v in membership.voters if v != replica)
        learners = tuple(v for v in membership.learners if v != replica)
        if not voters:
            return Failure(ProposalError.LAST_VOTER), ()
        return self._propose_membership(Membership(voters, learners), now)

    def demote_voter(
        self, replica: str, now: float
    ) -> tuple[Result[None, ProposalError], tuple[Effect, ...]]:
        """Make a voter a learner; it becomes a voter again once it has caught up."""
        membership = self._core.membership
        if replica not in membership.voters:
            return Failure(ProposalError.UNKNOWN_REPLICA), ()
        voters = tuple(v for v in membership.voters if v != replica)
        if not voters:
            return Failure(ProposalError.LAST_VOTER), ()
        return self._propose_membership(
            Membership(voters, (*membership.learners, replica)), now
        )

    def find_unresponsive_replicas(self, now: float, timeout: float) -> tuple[str, ...]:
        """Return the replicas that sent this leader no response for ``timeout``.

        Parameters
        ----------
        now : float
            Monotonic clock, seconds.
        timeout : float
            Time without a response, seconds.

        Returns
        -------
        tuple of str
            Voters first; empty for a follower, and for a leader that has not led for
            ``timeout`` yet.
        """
        if self._core.role is not Role.LEADER:
            return ()
        return self._replication.find_unresponsive_replicas(now, timeout)

    def take_snapshot(self, index: int, data: bytes) -> tuple[Effect, ...]:
        """Compact the log up to an applied index."""
        self._replication.take_snapshot(index, data)
        return self._core.take_effects()

    def _list_unresponsive(self, now: float) -> tuple[str, ...]:
        timeout = self._core.timings.max_election_timeout
        return self.find_unresponsive_replicas(now, timeout)

    def _propose_membership(
        self, membership: Membership, now: float
    ) -> tuple[Result[None, ProposalError], tuple[Effect, ...]]:
        core = self._core
        if core.role is not Role.LEADER:
            return Failure(ProposalError.NOT_LEADER), ()
        if not self._can_change_membership():
            return Failure(ProposalError.CHANGE_IN_PROGRESS), ()
        self._replication.change_membership(membership, now)
        return Success(None), core.take_effects()

    def _can_change_membership(self) -> bool:
        core = self._core
        is_last_change_committed = core.membership_index <= core.commit_index
        return is_last_change_committed and self._replication.is_term_committed

    def _advance_election(self, now: float) -> None:
        core = self._core
        if core.role is Role.PRE_CANDIDATE and self._election.has_quorum:
            self._election.start_vote(now)
        if core.role is Role.CANDIDATE and self._election.has_quorum:
            self._replication.start_leading(now)

    def _advance_membership(self, now: float) -> None:
        """Promote a responsive learner that has caught up; step down if removed."""
        core = self._core
        if core.role is not Role.LEADER or not self._can_change_membership():
            return
        membership = core.membership
        if core.name not in membership.voters:
            core.become_follower(core.term, "", now)
            return
        unresponsive = self._list_unresponsive(now)
        live_voters = [v for v in membership.voters if v not in unresponsive]
        if len(live_voters) >= MAX_VOTERS:
            return
        for learner in membership.learners:
            has_caught_up = self._replication.match_index(learner) >= core.commit_index
            if has_caught_up and learner not in unresponsive:
                learners = tuple(v for v in membership.learners if v != learner)
                promoted = Membership((*membership.voters, learner), learners)
                self._replication.change_membership(promoted, now)
                return
