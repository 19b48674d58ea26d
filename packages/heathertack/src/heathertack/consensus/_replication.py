"""Replication of entries from the leader to the other replicas."""

from __future__ import annotations

from heathertack.consensus._core import ReplicaCore, encode_membership
from heathertack.consensus._effects import (
    AppendEntries,
    ChangeLeadership,
    ReportRegressedReplica,
    RestoreSnapshot,
    SaveSnapshot,
    TruncateLog,
)
from heathertack.consensus._messages import (
    AppendRequest,
    AppendResponse,
    SnapshotRequest,
)
from heathertack.consensus._progress import ReplicaProgress
from heathertack.consensus._types import (
    EntryKind,
    LogEntry,
    Membership,
    Role,
    Snapshot,
)

_MAX_ENTRIES_PER_MESSAGE = 256


class Replication:
    """Sends entries while leading and stores them while following."""

    def __init__(self, core: ReplicaCore, snapshot: Snapshot) -> None:
        self._core = core
        self._snapshot = snapshot
        self._progress: dict[str, ReplicaProgress] = {}
        self._next_heartbeat = 0.0
        self._term_start_index = 0
        self._led_since = 0.0

    @property
    def snapshot(self) -> Snapshot:
        """Latest snapshot, sent to replicas that are too far behind."""
        return self._snapshot

    @property
    def next_heartbeat(self) -> float:
        """Time of the next heartbeat while leading."""
        return self._next_heartbeat

    @property
    def term_is_committed(self) -> bool:
        """Whether an entry of the leader's own term is committed."""
        return self._core.commit_index >= self._term_start_index

    @property
    def term_start_index(self) -> int:
        """Index of the first entry of the leader's own term."""
        return self._term_start_index

    def match_index(self, replica: str) -> int:
        """Return the last index known to be stored at a replica."""
        progress = self._progress.get(replica)
        return progress.match_index if progress is not None else 0

    def start_leading(self, now: float) -> None:
        """Lead the current term."""
        core = self._core
        core.role = Role.LEADER
        core.leader = core.name
        self._led_since = now
        self._progress = {}
        self._term_start_index = core.log.last_index + 1
        core.emit(ChangeLeadership(core.term, is_leader=True))
        self.append(EntryKind.NOOP, (b"",), now)

    def append(
        self, kind: EntryKind, payloads: tuple[bytes, ...], now: float
    ) -> tuple[LogEntry, ...]:
        """Append entries as the leader and send them."""
        core = self._core
        first = core.log.last_index + 1
        entries = tuple(
            LogEntry(first + offset, core.term, kind, payload)
            for offset, payload in enumerate(payloads)
        )
        core.log.append(entries)
        core.emit(AppendEntries(entries))
        core.note_memberships(entries)
        self.broadcast(now)
        self.commit_replicated()
        return entries

    def change_membership(self, membership: Membership, now: float) -> None:
        """Append a new membership as the leader."""
        self.append(EntryKind.MEMBERSHIP, (encode_membership(membership),), now)

    def broadcast(self, now: float) -> None:
        """Send every other replica what it lacks, or a heartbeat."""
        core = self._core
        self._next_heartbeat = now + core.timings.heartbeat_interval
        for replica in core.membership.replicas:
            if replica != core.name:
                self._send_entries(replica, now)

    def lease_expiry(self, now: float) -> float:
        """Return the time until which no other leader can exist."""
        core = self._core
        confirmed = sorted(
            now if voter == core.name else self._find(voter).confirmed_at
            for voter in core.membership.voters
        )
        return confirmed[-core.membership.quorum] + core.timings.lease_duration

    def hears_quorum(self, now: float) -> bool:
        """Tell whether a majority answered within the longest election wait."""
        core = self._core
        limit = now - core.timings.max_election_timeout
        if self._led_since > limit:
            return True
        voters = core.membership.voters
        heard = [v for v in voters if v == core.name or self._find(v).heard_at > limit]
        return len(heard) >= core.membership.quorum

    def find_unresponsive_voters(self, now: float, timeout: float) -> tuple[str, ...]:
        """Return the voters that have not answered this leader for a time."""
        core = self._core
        limit = now - timeout
        if self._led_since > limit:
            return ()
        return tuple(
            voter
            for voter in core.membership.voters
            if voter != core.name and self._find(voter).heard_at <= limit
        )

    def handle_append(self, request: AppendRequest, now: float) -> None:
        """Store entries of the leader."""
        core = self._core
        if not self._accept_leader(request.term, request.leader, now):
            self._respond(request.leader, False, core.log.last_index, request.sent_at)
            return
        log = core.log
        previous_term = log.find_term(request.previous_index)
        if request.previous_index < log.snapshot_index:
            self._respond(request.leader, True, core.commit_index, request.sent_at)
            return
        if previous_term != request.previous_term:
            hint = min(log.last_index, request.previous_index - 1)
            self._respond(request.leader, False, hint, request.sent_at)
            return
        self._store(request.entries)
        match_index = request.previous_index + len(request.entries)
        core.advance_commit(min(request.commit_index, match_index))
        self._respond(request.leader, True, match_index, request.sent_at)

    def handle_response(self, response: AppendResponse, now: float) -> None:
        """Note what a replica holds."""
        core = self._core
        if response.term > core.term:
            core.become_follower(response.term, "", now)
            return
        if core.role is not Role.LEADER or response.term < core.term:
            return
        progress = self._find(response.follower)._replace(heard_at=now)
        confirmed = max(progress.confirmed_at, response.sent_at)
        progress = progress._replace(confirmed_at=confirmed)
        if response.success:
            self._note_success(response, progress)
        else:
            self._note_failure(response, progress, now)

    def handle_snapshot(self, request: SnapshotRequest, now: float) -> None:
        """Take over a snapshot of the leader."""
        core = self._core
        if not self._accept_leader(request.term, request.leader, now):
            self._respond(request.leader, False, core.log.last_index, request.sent_at)
            return
        snapshot = request.snapshot
        if snapshot.log_index > core.commit_index:
            core.log.compact(snapshot.log_index, snapshot.term)
            core.commit_index = snapshot.log_index
            core.reset_membership(snapshot.log_index, snapshot.membership)
            self._snapshot = snapshot
            core.emit(SaveSnapshot(snapshot))
            core.emit(RestoreSnapshot(snapshot))
        self._respond(request.leader, True, core.commit_index, request.sent_at)

    def take_snapshot(self, index: int, data: bytes) -> None:
        """Compact the log up to an applied index."""
        core = self._core
        term = core.log.find_term(index)
        if term is None or index <= core.log.snapshot_index:
            return
        membership = core.membership_at(index)
        self._snapshot = Snapshot(index, term, membership, data)
        core.log.compact(index, term)
        core.reset_membership(index, membership)
        core.emit(SaveSnapshot(self._snapshot))

    def commit_replicated(self) -> None:
        """Commit what a majority stores, if it is of the current term."""
        core = self._core
        stored = sorted(
            core.log.last_index if voter == core.name else self.match_index(voter)
            for voter in core.membership.voters
        )
        index = stored[-core.membership.quorum]
        if index > core.commit_index and core.log.find_term(index) == core.term:
            core.advance_commit(index)

    def _find(self, replica: str) -> ReplicaProgress:
        default = ReplicaProgress(next_index=self._core.log.last_index + 1)
        return self._progress.get(replica, default)

    def _send_entries(self, replica: str, now: float) -> None:
        core = self._core
        progress = self._find(replica)
        previous_index = progress.next_index - 1
        previous_term = core.log.find_term(previous_index)
        if previous_term is None:
            self._send_snapshot(replica, progress, now)
            return
        last = min(core.log.last_index, previous_index + _MAX_ENTRIES_PER_MESSAGE)
        entries = core.log.slice(progress.next_index, last)
        self._progress[replica] = progress._replace(next_index=last + 1)
        request = AppendRequest(
            core.term,
            core.name,
            previous_index,
            previous_term,
            entries,
            core.commit_index,
            now,
        )
        core.send(replica, request)

    def _send_snapshot(
        self, replica: str, progress: ReplicaProgress, now: float
    ) -> None:
        core = self._core
        if now - progress.snapshot_sent_at < core.timings.snapshot_interval:
            return
        self._progress[replica] = progress._replace(snapshot_sent_at=now)
        message = SnapshotRequest(core.term, core.name, self._snapshot, now)
        core.send(replica, message)

    def _note_success(
        self, response: AppendResponse, progress: ReplicaProgress
    ) -> None:
        core = self._core
        match_index = max(progress.match_index, response.match_index)
        self._progress[response.follower] = progress._replace(
            match_index=match_index,
            next_index=max(progress.next_index, match_index + 1),
            accepted_at=max(progress.accepted_at, response.sent_at),
        )
        self.commit_replicated()
        if progress.next_index <= core.log.last_index:
            self._send_entries(response.follower, response.sent_at)

    def _note_failure(
        self, response: AppendResponse, progress: ReplicaProgress, now: float
    ) -> None:
        core = self._core
        is_stale = response.sent_at <= progress.accepted_at
        if response.match_index < progress.match_index and not is_stale:
            core.emit(
                ReportRegressedReplica(
                    response.follower, progress.match_index, response.match_index
                )
            )
        next_index = max(progress.match_index, response.match_index) + 1
        next_index = min(next_index, core.log.last_index + 1)
        self._progress[response.follower] = progress._replace(next_index=next_index)
        if not is_stale:
            self._send_entries(response.follower, now)

    def _accept_leader(self, term: int, leader: str, now: float) -> bool:
        core = self._core
        if term < core.term:
            return False
        core.become_follower(term, leader, now)
        core.last_leader_contact = now
        return True

    def _store(self, entries: tuple[LogEntry, ...]) -> None:
        """Append the entries that the log lacks, after removing a conflict."""
        core = self._core
        for position, entry in enumerate(entries):
            term = core.log.find_term(entry.log_index)
            if term == entry.term or entry.log_index <= core.log.snapshot_index:
                continue
            if term is not None:
                core.log.truncate(entry.log_index)
                core.forget_memberships(entry.log_index)
                core.emit(TruncateLog(entry.log_index))
            missing = entries[position:]
            core.log.append(missing)
            core.note_memberships(missing)
            core.emit(AppendEntries(missing))
            return

    def _respond(
        self, leader: str, success: bool, match_index: int, sent_at: float
    ) -> None:
        core = self._core
        response = AppendResponse(core.term, core.name, success, match_index, sent_at)
        core.send(leader, response)
