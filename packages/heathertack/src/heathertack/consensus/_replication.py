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
    """Sends entries as the leader and stores them as a follower."""

    def __init__(self, core: ReplicaCore, snapshot: Snapshot) -> None:
        self._core = core
        self._snapshot = snapshot
        self._progress: dict[str, ReplicaProgress] = {}
        self._next_heartbeat = 0.0
        self._term_start_index = 0
        self._leader_since = 0.0

    @property
    def snapshot(self) -> Snapshot:
        """Latest snapshot, sent to replicas whose missing entries were compacted."""
        return self._snapshot

    @property
    def next_heartbeat(self) -> float:
        """Time at which the leader sends its next heartbeat."""
        return self._next_heartbeat

    @property
    def is_term_committed(self) -> bool:
        """Whether an entry of the leader's own term is committed."""
        return self._core.commit_index >= self._term_start_index

    @property
    def term_start_index(self) -> int:
        """Index of the first entry of the leader's own term."""
        return self._term_start_index

    def match_index(self, replica: str) -> int:
        """Return the last index known to be stored by a replica."""
        progress = self._progress.get(replica)
        return progress.match_index if progress is not None else 0

    def start_leading(self, now: float) -> None:
        """Become the leader of the current term."""
        core = self._core
        core.role = Role.LEADER
        core.leader = core.name
        self._leader_since = now
        self._progress = {}
        self._term_start_index = core.log.last_index + 1
        core.emit(ChangeLeadership(core.term, is_leader=True))
        self.append(EntryKind.NOOP, (b"",), now)

    def append(
        self, kind: EntryKind, payloads: tuple[bytes, ...], now: float
    ) -> tuple[LogEntry, ...]:
        """Append entries as the leader and send them to the other replicas."""
        core = self._core
        first = core.log.last_index + 1
        entries = tuple(
            LogEntry(first + offset, core.term, kind, payload)
            for offset, payload in enumerate(payloads)
        )
        core.log.append(entries)
        core.emit(AppendEntries(entries))
        core.adopt_memberships(entries)
        self.broadcast(now)
        self.commit_replicated()
        return entries

    def change_membership(self, membership: Membership, now: float) -> None:
        """Append a new membership as the leader.

        A replica that joins counts as responsive from now on.
        """
        known = self._core.membership.replicas
        self._progress = {
            replica: self._get_progress(replica)
            if replica in known
            else self._get_progress(replica)._replace(last_response_at=now)
            for replica in membership.replicas
        }
        self.append(EntryKind.MEMBERSHIP, (encode_membership(membership),), now)

    def broadcast(self, now: float) -> None:
        """Send each other replica its missing entries, or a heartbeat."""
        core = self._core
        self._next_heartbeat = now + core.timings.heartbeat_interval
        for replica in core.membership.replicas:
            if replica != core.name and not self._send_entries(replica, now):
                self._send_probe(replica, now)

    def lease_expiry(self, now: float) -> float:
        """Return the time until which no other leader can exist."""
        core = self._core
        confirmed = sorted(
            now if voter == core.name else self._get_progress(voter).confirmed_at
            for voter in core.membership.voters
        )
        return confirmed[-core.membership.quorum] + core.timings.lease_duration

    def has_contact_with_quorum(self, now: float) -> bool:
        """Return whether a majority responded within the maximum election timeout."""
        core = self._core
        cutoff = now - core.timings.max_election_timeout
        if self._leader_since > cutoff:
            return True
        voters = core.membership.voters
        responsive = [
            v
            for v in voters
            if v == core.name or self._get_progress(v).last_response_at > cutoff
        ]
        return len(responsive) >= core.membership.quorum

    def find_unresponsive_replicas(self, now: float, timeout: float) -> tuple[str, ...]:
        """Return the replicas that sent this leader no response for ``timeout``."""
        core = self._core
        cutoff = now - timeout
        if self._leader_since > cutoff:
            return ()
        return tuple(
            replica
            for replica in core.membership.replicas
            if replica != core.name
            and self._get_progress(replica).last_response_at <= cutoff
        )

    def handle_append(self, request: AppendRequest, now: float) -> None:
        """Store entries from the leader and respond to it."""
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
        self._append_missing(request.entries)
        match_index = request.previous_index + len(request.entries)
        core.advance_commit(min(request.commit_index, match_index))
        self._respond(request.leader, True, match_index, request.sent_at)

    def handle_response(self, response: AppendResponse, now: float) -> None:
        """Update the progress of a replica from its response."""
        core = self._core
        if response.term > core.term:
            core.become_follower(response.term, "", now)
            return
        if core.role is not Role.LEADER or response.term < core.term:
            return
        progress = self._get_progress(response.follower)._replace(last_response_at=now)
        confirmed = max(progress.confirmed_at, response.sent_at)
        progress = progress._replace(confirmed_at=confirmed)
        if response.success:
            self._handle_success(response, progress)
        else:
            self._handle_failure(response, progress, now)

    def handle_snapshot(self, request: SnapshotRequest, now: float) -> None:
        """Replace the log and the state machine with a snapshot from the leader."""
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
        """Commit entries stored by a majority if the last is of the current term."""
        core = self._core
        stored = sorted(
            core.log.last_index if voter == core.name else self.match_index(voter)
            for voter in core.membership.voters
        )
        index = stored[-core.membership.quorum]
        if index > core.commit_index and core.log.find_term(index) == core.term:
            core.advance_commit(index)

    def _get_progress(self, replica: str) -> ReplicaProgress:
        default = ReplicaProgress(next_index=self._core.log.last_index + 1)
        return self._progress.get(replica, default)

    def _send_entries(self, replica: str, now: float) -> bool:
        """Send the missing entries, or a snapshot, and return whether one was sent."""
        core = self._core
        progress = self._get_progress(replica)
        previous_index = progress.next_index - 1
        previous_term = core.log.find_term(previous_index)
        if previous_term is None:
            return self._send_snapshot(replica, progress, now)
        last = min(core.log.last_index, previous_index + _MAX_ENTRIES_PER_MESSAGE)
        entries = core.log.slice(progress.next_index, last)
        self._progress[replica] = progress._replace(next_index=last + 1)
        self._send_append(replica, previous_index, previous_term, entries, now)
        return True

    def _send_snapshot(
        self, replica: str, progress: ReplicaProgress, now: float
    ) -> bool:
        core = self._core
        if now - progress.snapshot_sent_at < core.timings.snapshot_interval:
            return False
        self._progress[replica] = progress._replace(snapshot_sent_at=now)
        message = SnapshotRequest(core.term, core.name, self._snapshot, now)
        core.send(replica, message)
        return True

    def _send_probe(self, replica: str, now: float) -> None:
        """Ask a replica whether it has installed the snapshot.

        Its response may have been lost, and it still needs heartbeats.
        """
        snapshot = self._snapshot
        self._send_append(replica, snapshot.log_index, snapshot.term, (), now)

    def _send_append(
        self,
        replica: str,
        previous_index: int,
        previous_term: int,
        entries: tuple[LogEntry, ...],
        now: float,
    ) -> None:
        core = self._core
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

    def _handle_success(
        self, response: AppendResponse, progress: ReplicaProgress
    ) -> None:
        core = self._core
        match_index = max(progress.match_index, response.match_index)
        if match_index > progress.match_index:
            # No snapshot is under way any more, and the log may need a newer one.
            progress = progress._replace(snapshot_sent_at=float("-inf"))
        self._progress[response.follower] = progress._replace(
            match_index=match_index,
            next_index=max(progress.next_index, match_index + 1),
            accepted_at=max(progress.accepted_at, response.sent_at),
        )
        self.commit_replicated()
        if progress.next_index <= core.log.last_index:
            self._send_entries(response.follower, response.sent_at)

    def _handle_failure(
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

    def _append_missing(self, entries: tuple[LogEntry, ...]) -> None:
        """Append the missing entries, after removing conflicting ones."""
        core = self._core
        for position, entry in enumerate(entries):
            term = core.log.find_term(entry.log_index)
            if term == entry.term or entry.log_index <= core.log.snapshot_index:
                continue
            if term is not None:
                core.log.truncate(entry.log_index)
                core.remove_memberships(entry.log_index)
                core.emit(TruncateLog(entry.log_index))
            missing = entries[position:]
            core.log.append(missing)
            core.adopt_memberships(missing)
            core.emit(AppendEntries(missing))
            return

    def _respond(
        self, leader: str, success: bool, match_index: int, sent_at: float
    ) -> None:
        core = self._core
        response = AppendResponse(core.term, core.name, success, match_index, sent_at)
        core.send(leader, response)
