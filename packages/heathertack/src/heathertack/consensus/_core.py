"""State of one replica that election and replication share."""

from __future__ import annotations

import msgspec

from heathertack.consensus._effects import (
    ApplyEntries,
    ChangeLeadership,
    Effect,
    SaveHardState,
    SendMessage,
)
from heathertack.consensus._log import ReplicatedLog
from heathertack.consensus._messages import ConsensusMessage
from heathertack.consensus._types import (
    DurableState,
    EntryKind,
    HardState,
    LogEntry,
    Membership,
    RandomSource,
    ReplicaTimings,
    Role,
)


class ReplicaCore:
    """Term, role, log and membership of one replica, with pending effects."""

    def __init__(
        self,
        name: str,
        durable: DurableState,
        timings: ReplicaTimings,
        random: RandomSource,
        now: float,
    ) -> None:
        snapshot = durable.snapshot
        self.name = name
        self.timings = timings
        self.hard_state = durable.hard_state
        self.log = ReplicatedLog(snapshot.log_index, snapshot.term, durable.entries)
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit_index = snapshot.log_index
        self.last_leader_contact = now
        self.election_deadline = now
        self._random = random
        self._effects: list[Effect] = []
        self._memberships = [(snapshot.log_index, snapshot.membership)]
        self.note_memberships(durable.entries)
        self.restart_election_timer(now)

    @property
    def term(self) -> int:
        """Highest term seen."""
        return self.hard_state.term

    @property
    def membership(self) -> Membership:
        """Membership in force: the latest in the log, committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """Index of the entry that set the membership."""
        return self._memberships[-1][0]

    @property
    def is_voter(self) -> bool:
        """Whether this replica votes."""
        return self.name in self.membership.voters

    def membership_at(self, index: int) -> Membership:
        """Return the membership as of an index."""
        return [item for at, item in self._memberships if at <= index][-1]

    def emit(self, effect: Effect) -> None:
        """Add an effect for the host."""
        self._effects.append(effect)

    def send(self, to: str, message: ConsensusMessage) -> None:
        """Add the sending of a message."""
        self._effects.append(SendMessage(to, message))

    def take_effects(self) -> tuple[Effect, ...]:
        """Return the pending effects and forget them."""
        effects = tuple(self._effects)
        self._effects.clear()
        return effects

    def restart_election_timer(self, now: float) -> None:
        """Choose the next time at which this replica asks for votes."""
        timings = self.timings
        wait = self._random.uniform(
            timings.min_election_timeout, timings.max_election_timeout
        )
        self.election_deadline = now + wait

    def save_hard_state(self, hard_state: HardState) -> None:
        """Change term and vote."""
        if hard_state != self.hard_state:
            self.hard_state = hard_state
            self.emit(SaveHardState(hard_state))

    def become_follower(self, term: int, leader: str, now: float) -> None:
        """Follow a leader, or nobody, in a term."""
        if term > self.term:
            self.save_hard_state(HardState(term))
        if self.role is Role.LEADER:
            self.emit(ChangeLeadership(self.term, is_leader=False))
        self.role = Role.FOLLOWER
        self.leader = leader
        self.restart_election_timer(now)

    def note_memberships(self, entries: tuple[LogEntry, ...]) -> None:
        """Put the memberships among appended entries in force."""
        for entry in entries:
            if entry.kind == EntryKind.MEMBERSHIP:
                membership = decode_membership(entry.payload)
                self._memberships.append((entry.log_index, membership))

    def forget_memberships(self, first_index: int) -> None:
        """Fall back to the membership before an index."""
        self._memberships = [m for m in self._memberships if m[0] < first_index]

    def reset_membership(self, index: int, membership: Membership) -> None:
        """Take the membership of a snapshot, keeping later ones of the log."""
        later = [m for m in self._memberships if m[0] > index]
        self._memberships = [(index, membership), *later]

    def advance_commit(self, index: int) -> None:
        """Commit entries up to an index."""
        if index <= self.commit_index:
            return
        entries = self.log.slice(self.commit_index + 1, index)
        self.commit_index = index
        self.emit(ApplyEntries(entries))


def encode_membership(membership: Membership) -> bytes:
    """Encode a membership as the payload of an entry."""
    return msgspec.msgpack.encode(membership)


def decode_membership(payload: bytes) -> Membership:
    """Decode the payload of a membership entry."""
    return msgspec.msgpack.decode(payload, type=Membership)
