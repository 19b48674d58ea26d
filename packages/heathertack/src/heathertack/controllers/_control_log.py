"""Runs the control log replica of one instance."""

from __future__ import annotations

from typing import Any, ClassVar, NamedTuple, assert_never

from returns.result import Failure, Success

from heathertack.blackboard import CONTROL, LEASE, Blackboard, ControlView, Section
from heathertack.consensus import (
    AppendEntries,
    ApplyEntries,
    ChangeLeadership,
    Effect,
    EntryKind,
    LogEntry,
    ProposalError,
    Replica,
    ReportRegressedReplica,
    RestoreSnapshot,
    Role,
    SaveHardState,
    SaveSnapshot,
    SendMessage,
    TruncateLog,
)
from heathertack.controllers._actions import (
    AnnounceBundle,
    AnnounceLeadership,
    ReplyToCommand,
    ReportEntryCommitted,
    ReportEntryStored,
    SendToPeer,
)
from heathertack.controllers._control_log_events import (
    ChangeReplicas,
    CommandSubmitted,
    ConsensusReceived,
    EvacuationReceived,
    Event,
    JoinReceived,
    ProposalsDue,
    ReplicaOperation,
    TimePassed,
)
from heathertack.controllers._evacuation_orders import EvacuationOrders, LogState
from heathertack.controllers._loss_suspects import (
    find_surplus_records,
    list_suspects,
)
from heathertack.messages import ControlStatus, JoinRequest
from heathertack.state import (
    COMMAND_CODEC,
    RESULT_CODEC,
    ApplyBundle,
    BarReplica,
    ClaimCall,
    ClearQuarantine,
    Command,
    ControlStateMachine,
    Done,
    ExpireRecords,
    LossRecord,
    NotFound,
    RecordServiceVersions,
    ReportTargetLoss,
    SetDraining,
)
from heathertack.storage import ReplicaStorage

_MIN_SNAPSHOT_ENTRIES = 5000
_SNAPSHOT_LOG_BYTES = 16 * 1024 * 1024
_EXPIRY_INTERVAL_SECONDS = 60.0
_CALL_RETENTION_SECONDS = 24 * 3600.0
_LOSS_RETENTION_SECONDS = 3600.0
_JOIN_INTERVAL_SECONDS = 1.0
#: Time without a further report after which new losses are published.
_REPORT_SETTLING_SECONDS = 0.1
#: Interval at which it is checked whether the refusal of prompt parts has ended.
_SUSPECTS_INTERVAL_SECONDS = 1.0
#: Time without a response after which a surplus voter is demoted; shorter than the
#: time after which a leader without a majority steps down, so that two losses in a
#: row still leave a leader that can demote.
_VOTER_TIMEOUT_SECONDS = 1.0
#: Time without a response after which a learner is removed; longer than a machine
#: usually takes to restart or stays frozen. One that comes back later joins again.
_LEARNER_TIMEOUT_SECONDS = 10.0
#: Number of unresponsive learners that are kept for so long; a new leader does not
#: know for how long they have been gone.
_MAX_UNRESPONSIVE_LEARNERS = 4

#: Minimum payload of an entry whose replication is logged, bytes.
_LARGE_ENTRY_BYTES = 64 * 1024

Action = (
    SendToPeer
    | ReplyToCommand
    | AnnounceBundle
    | AnnounceLeadership
    | ReportEntryStored
    | ReportEntryCommitted
)


class _Requester(NamedTuple):
    """Who waits for the result of a command."""

    request_id: str
    instance: str


class _PendingCommand(NamedTuple):
    """A proposed command whose result is awaited."""

    #: Equal for commands that need only one log entry.
    key: str
    term: int
    requesters: tuple[_Requester, ...]


class ControlLogController:
    """Runs a replica together with its storage and the state machine.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    replica : Replica
        Replica restored from the state in ``storage``.
    storage : ReplicaStorage
        Storage in which the replica's effects are persisted.
    machine : ControlStateMachine
        State machine restored from the replica's snapshot.
    control_peers : tuple of str
        Other instances that may replicate the log.
    min_snapshot_entries : int
        Minimum number of log entries between two snapshots.
    min_voters : int
        Number of voters down to which unresponsive ones are demoted to learners; 0
        never demotes a voter.
    """

    READS: ClassVar[tuple[Section[Any], ...]] = (LEASE,)
    WRITES: ClassVar[tuple[Section[Any], ...]] = (CONTROL,)

    def __init__(
        self,
        board: Blackboard,
        replica: Replica,
        storage: ReplicaStorage,
        machine: ControlStateMachine,
        control_peers: tuple[str, ...],
        *,
        min_snapshot_entries: int = _MIN_SNAPSHOT_ENTRIES,
        min_voters: int = 0,
    ) -> None:
        self._min_voters = min_voters
        self._min_snapshot_entries = min_snapshot_entries
        self._board = board
        self._replica = replica
        self._storage = storage
        self._machine = machine
        self._control_peers = control_peers
        self._queued: list[CommandSubmitted] = []
        self._pending: dict[int, _PendingCommand] = {}
        self._pending_indexes: dict[str, int] = {}
        self._applied_index = replica.commit_index
        self._actions: list[Action] = []
        self._now = 0.0
        #: Time at which each large entry that is not applied yet was stored.
        self._large_stored_at: dict[int, float] = {}
        self._next_join = 0.0
        self._next_expiry = 0.0
        self._regressed: set[str] = set()
        self._wall_time = 0.0
        self._listed_losses: tuple[LossRecord, ...] = ()
        self._suspects: tuple[tuple[str, int], ...] = ()
        self._suspects_at = 0.0
        self._evacuations = EvacuationOrders()
        board.register(self)

    @property
    def replica(self) -> Replica:
        """The replica that this controller runs."""
        return self._replica

    @property
    def machine(self) -> ControlStateMachine:
        """The state machine as of the last applied entry."""
        return self._machine

    @property
    def regressed_replicas(self) -> frozenset[str]:
        """Replicas that lost entries they had acknowledged."""
        return frozenset(self._regressed)

    def detach(self) -> None:
        """Publish that this instance does not lead, and release section and files.

        Another controller can then take the place of this one.
        """
        self._storage.close()
        self._board.write(self, CONTROL, ControlView())
        self._board.release(self)

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Handle an event and return the resulting actions.

        Parameters
        ----------
        event : Event
            Event to handle.
        now : float
            Monotonic clock, seconds.

        Returns
        -------
        tuple of Action
            Actions in the order in which they are to be carried out.
        """
        self._now = now
        match event:
            case ConsensusReceived():
                self._carry_out(self._replica.handle(event.message, now))
            case CommandSubmitted():
                self._queued.append(event)
            case ProposalsDue():
                self._propose_queued(now)
            case EvacuationReceived():
                self._handle_evacuation(event, now)
            case JoinReceived():
                self._add_learner(event.request.replica, now)
            case ChangeReplicas():
                self._change_replicas(event, now)
            case TimePassed():
                self._handle_tick(event.wall_time, now)
            case _:
                assert_never(event)
        self._publish(now)
        return self._take_actions()

    def _take_actions(self) -> tuple[Action, ...]:
        actions = tuple(self._actions)
        self._actions.clear()
        return actions

    def _publish(self, now: float) -> None:
        replica = self._replica
        bundle = self._machine.bundle
        view = ControlView(
            is_leader=replica.has_lease(now),
            term=replica.term,
            leader=instance_of(replica.leader),
            lease_until=replica.lease_expiry(now),
            fencing_number=replica.fencing_number,
            bundle_index=bundle.log_index if bundle is not None else 0,
            suspects=self._list_suspects(),
            draining=self._machine.draining,
            evacuated=self._machine.evacuated,
            versions=tuple((v.service, v.version) for v in self._machine.versions),
        )
        if view != self._board.read(CONTROL):
            self._board.write(self, CONTROL, view)

    def _list_suspects(self) -> tuple[tuple[str, int], ...]:
        """Return the suspects, computed anew after a change and once a second.

        The requests lost in one crash are reported by several instances, so a change
        waits until no further report follows.
        """
        losses = self._machine.losses
        since_list = abs(self._wall_time - self._suspects_at)
        is_due = since_list >= _SUSPECTS_INTERVAL_SECONDS
        latest = max((record.last_at for record in losses), default=0.0)
        is_settled = abs(self._wall_time - latest) >= _REPORT_SETTLING_SECONDS
        has_changed = losses != self._listed_losses
        if (has_changed and is_settled) or (is_due and (has_changed or losses)):
            self._listed_losses = losses
            self._suspects_at = self._wall_time
            self._suspects = list_suspects(losses, self._wall_time)
        return self._suspects

    def _propose_queued(self, now: float) -> None:
        queued = tuple(self._queued)
        self._queued.clear()
        submitted: list[CommandSubmitted] = []
        copies: list[CommandSubmitted] = []
        keys: set[str] = set()
        for item in queued:
            if self._join_known(item):
                continue
            key = _identify(item)
            (copies if key and key in keys else submitted).append(item)
            keys.add(key)
        if not submitted:
            return
        payloads = tuple(
            COMMAND_CODEC.encode(_set_timestamp(item)) for item in submitted
        )
        result, effects = self._replica.propose(payloads, now)
        match result:
            case Success(proposal):
                for offset, item in enumerate(submitted):
                    index = proposal.first_index + offset
                    self._add_pending(index, proposal.term, item)
                for item in copies:
                    self._join_known(item)
            case Failure(_):
                for item in (*submitted, *copies):
                    self._answer_failure(
                        item.request_id, item.requester, ControlStatus.NOT_LEADER
                    )
        self._carry_out(effects)

    def _join_known(self, item: CommandSubmitted) -> bool:
        """Return whether a submitted command needs no log entry of its own.

        The requester of a bundle that would change nothing gets its result at once.
        That of a command that is in the log already waits for that entry: requesters
        send a command again, and an operator sends a bundle to several instances.
        """
        result = self._machine.find_result(item.command)
        if result is not None:
            self._answer(item.request_id, item.requester, RESULT_CODEC.encode(result))
            return True
        index = self._pending_indexes.get(_identify(item))
        if index is None:
            return False
        pending = self._pending[index]
        requester = _Requester(item.request_id, item.requester)
        if requester not in pending.requesters:
            requesters = (*pending.requesters, requester)
            self._pending[index] = pending._replace(requesters=requesters)
        return True

    def _add_pending(self, index: int, term: int, item: CommandSubmitted) -> None:
        if not item.request_id:
            return
        key = _identify(item)
        requester = _Requester(item.request_id, item.requester)
        self._pending[index] = _PendingCommand(key, term, (requester,))
        self._pending_indexes[key] = index

    def _handle_evacuation(self, event: EvacuationReceived, now: float) -> None:
        """Propose or answer an order in one step with the check that it is current."""
        replica = self._replica
        leader = instance_of(replica.leader)
        evacuated = self._machine.evacuated
        log = LogState(replica.has_lease(now), replica.term, leader, evacuated)
        decision = self._evacuations.decide(event, log)
        if isinstance(decision, SendToPeer):
            self._actions.append(decision)
        if not isinstance(decision, SetDraining):
            return
        payload = COMMAND_CODEC.encode(decision)
        result, effects = replica.propose((payload,), now)
        if isinstance(result, Success):
            proposal = result.unwrap()
            self._evacuations.record_proposal(
                event, proposal.first_index, proposal.term
            )
        self._carry_out(effects)

    def _handle_tick(self, wall_time: float, now: float) -> None:
        self._wall_time = wall_time
        self._carry_out(self._replica.tick(now))
        is_member = self._replica.name in self._replica.membership.replicas
        if not is_member or not self._replica.has_leader_contact(now):
            self._request_join(now)
        if not self._replica.has_lease(now):
            return
        self._remove_replaced_replica(now)
        self._demote_unresponsive_voter(now)
        self._remove_unresponsive_learner(now)
        if now >= self._next_expiry:
            self._next_expiry = now + _EXPIRY_INTERVAL_SECONDS
            expire = ExpireRecords(
                wall_time - _CALL_RETENTION_SECONDS,
                wall_time - _LOSS_RETENTION_SECONDS,
            )
            self._queued.append(CommandSubmitted("", "", expire, wall_time))
        for fingerprint in find_surplus_records(self._machine.losses):
            clear = ClearQuarantine(fingerprint)
            self._queued.append(CommandSubmitted("", "", clear, wall_time))
        self._propose_queued(now)

    def _request_join(self, now: float) -> None:
        if now < self._next_join:
            return
        self._next_join = now + _JOIN_INTERVAL_SECONDS
        leader = self._board.read(LEASE).leader
        own = instance_of(self._replica.name)
        for instance in sorted({*self._control_peers, leader} - {"", own}):
            request = JoinRequest(self._replica.name)
            self._actions.append(SendToPeer(instance, request))

    def _add_learner(self, replica: str, now: float) -> None:
        if replica in self._machine.barred_replicas or not self._replica.has_lease(now):
            return
        _, effects = self._replica.add_learner(replica, now)
        self._carry_out(effects)

    def _remove_replaced_replica(self, now: float) -> None:
        """Remove a replica whose instance votes with a newer storage identity."""
        membership = self._replica.membership
        newest = {instance_of(voter): voter for voter in membership.voters}
        silent = self._replica.find_unresponsive_replicas(now, _VOTER_TIMEOUT_SECONDS)
        for replica in membership.replicas:
            successor = newest.get(instance_of(replica), replica)
            if successor == replica:
                continue
            is_replaced = replica in silent and successor not in silent
            if replica in membership.voters or is_replaced:
                self._remove_replica(replica, now)
                return

    def _demote_unresponsive_voter(self, now: float) -> None:
        """Demote an unresponsive voter to learner while there are surplus voters.

        A replaced machine would otherwise count towards every quorum beside its
        successor. Demoting a voter that does not respond never lowers the number of
        further losses that the log survives. A demoted voter that responds again is
        promoted again.
        """
        voters = self._replica.membership.voters
        if not self._min_voters or len(voters) <= self._min_voters:
            return
        unresponsive = self._replica.find_unresponsive_replicas(
            now, _VOTER_TIMEOUT_SECONDS
        )
        for voter in unresponsive:
            if voter in voters:
                _, effects = self._replica.demote_voter(voter, now)
                self._carry_out(effects)
                return

    def _remove_unresponsive_learner(self, now: float) -> None:
        """Remove a learner that stopped responding: its machine may be gone for good.

        It is not barred, since its storage is intact if it comes back.
        """
        if not self._min_voters or not self._replica.membership.learners:
            return
        gone = self._find_unresponsive_learners(now, _LEARNER_TIMEOUT_SECONDS)
        if not gone:
            silent = self._find_unresponsive_learners(now, _VOTER_TIMEOUT_SECONDS)
            gone = silent[: max(len(silent) - _MAX_UNRESPONSIVE_LEARNERS, 0)]
        if gone:
            _, effects = self._replica.remove_replica(gone[0], now)
            self._carry_out(effects)

    def _find_unresponsive_learners(
        self, now: float, timeout: float
    ) -> tuple[str, ...]:
        learners = self._replica.membership.learners
        unresponsive = self._replica.find_unresponsive_replicas(now, timeout)
        return tuple(replica for replica in unresponsive if replica in learners)

    def _remove_replica(self, replica: str, now: float) -> ProposalError | None:
        result, effects = self._replica.remove_replica(replica, now)
        self._carry_out(effects)
        if isinstance(result, Failure):
            error: ProposalError = result.failure()
            return error
        self._queued.append(CommandSubmitted("", "", BarReplica(replica), 0.0))
        self._propose_queued(now)
        return None

    def _change_replicas(self, event: ChangeReplicas, now: float) -> None:
        if event.operation is ReplicaOperation.ADD:
            result, effects = self._replica.add_learner(event.replica, now)
            self._carry_out(effects)
            error = result.failure() if isinstance(result, Failure) else None
        else:
            error = self._remove_replica(event.replica, now)
        if error is ProposalError.NOT_LEADER:
            self._answer_failure(event.request_id, "", ControlStatus.NOT_LEADER)
            return
        answer = Done() if error is None else NotFound(error.value)
        self._answer(event.request_id, "", RESULT_CODEC.encode(answer))

    def _carry_out(self, effects: tuple[Effect, ...]) -> None:
        """Carry out effects, and sync them to disk before any action is returned."""
        for effect in effects:
            match effect:
                case SaveHardState():
                    self._storage.save_hard_state(effect.hard_state)
                case AppendEntries():
                    self._storage.append(effect.entries)
                    self._report_stored(effect.entries)
                case TruncateLog():
                    self._storage.truncate(effect.first_index)
                case SaveSnapshot():
                    self._storage.save_snapshot(effect.snapshot)
                case RestoreSnapshot():
                    self._restore(effect.snapshot.log_index, effect.snapshot.data)
                case SendMessage():
                    self._send_to_replica(effect)
                case ApplyEntries():
                    self._apply(effect.entries)
                case ChangeLeadership():
                    self._change_leadership(effect)
                case ReportRegressedReplica():
                    self._regressed.add(effect.replica)
                case _:
                    assert_never(effect)
        self._storage.sync()

    def _send_to_replica(self, effect: SendMessage) -> None:
        """Send a message, unless its replica was this instance's before its storage.

        Such a message would reach this replica, as if it came from another leader.
        """
        instance = instance_of(effect.to)
        if instance != instance_of(self._replica.name):
            self._actions.append(SendToPeer(instance, effect.message))

    def _report_stored(self, entries: tuple[LogEntry, ...]) -> None:
        for entry in entries:
            self._large_stored_at.pop(entry.log_index, None)
            size = len(entry.payload)
            if size < _LARGE_ENTRY_BYTES:
                continue
            self._large_stored_at[entry.log_index] = self._now
            is_leader = self._replica.role is Role.LEADER
            self._actions.append(
                ReportEntryStored(entry.log_index, entry.term, size, is_leader)
            )

    def _report_committed(self, entry: LogEntry) -> None:
        stored_at = self._large_stored_at.pop(entry.log_index, None)
        if stored_at is None:
            return
        elapsed = self._now - stored_at
        is_leader = self._replica.role is Role.LEADER
        self._actions.append(ReportEntryCommitted(entry.log_index, elapsed, is_leader))

    def _restore(self, index: int, data: bytes) -> None:
        self._large_stored_at = {
            stored: at for stored, at in self._large_stored_at.items() if stored > index
        }
        self._machine.restore_snapshot(data)
        self._applied_index = index
        if self._machine.bundle is not None:
            self._actions.append(AnnounceBundle(self._machine.bundle))

    def _apply(self, entries: tuple[LogEntry, ...]) -> None:
        for entry in entries:
            self._applied_index = entry.log_index
            self._report_committed(entry)
            result = self._apply_entry(entry)
            confirmed = self._evacuations.confirm(
                entry.log_index, entry.term, instance_of(self._replica.leader)
            )
            if confirmed is not None:
                self._actions.append(confirmed)
            pending = self._pending.pop(entry.log_index, None)
            if pending is None:
                continue
            self._pending_indexes.pop(pending.key, None)
            if pending.term != entry.term:
                self._answer_unavailable(pending)
                continue
            for requester in pending.requesters:
                self._answer(requester.request_id, requester.instance, result)
        if self._is_snapshot_due():
            data = self._machine.encode_snapshot()
            self._carry_out(self._replica.take_snapshot(self._applied_index, data))

    def _is_snapshot_due(self) -> bool:
        """Return whether the log has grown enough to justify a snapshot's cost."""
        records = len(self._machine.calls)
        min_entries = max(self._min_snapshot_entries, records)
        replica = self._replica
        is_long = replica.log_length >= min_entries
        return is_long or replica.log_size >= _SNAPSHOT_LOG_BYTES

    def _apply_entry(self, entry: LogEntry) -> bytes:
        if entry.kind != EntryKind.COMMAND:
            return b""
        command = COMMAND_CODEC.decode(entry.payload).unwrap()
        before = self._machine.bundle
        result = self._machine.apply(entry.log_index, command)
        after = self._machine.bundle
        if after is not None and after is not before:
            self._actions.append(AnnounceBundle(after))
        return RESULT_CODEC.encode(result)

    def _change_leadership(self, effect: ChangeLeadership) -> None:
        self._actions.append(AnnounceLeadership(effect.term, effect.is_leader))
        if effect.is_leader:
            return
        for pending in self._pending.values():
            self._answer_unavailable(pending)
        self._pending.clear()
        self._pending_indexes.clear()
        leader = instance_of(self._replica.leader)
        self._actions.extend(self._evacuations.abandon(leader))

    def _answer_unavailable(self, pending: _PendingCommand) -> None:
        for requester in pending.requesters:
            self._answer_failure(
                requester.request_id, requester.instance, ControlStatus.UNAVAILABLE
            )

    def _answer(self, request_id: str, requester: str, result: bytes) -> None:
        if request_id:
            leader = instance_of(self._replica.leader)
            self._actions.append(
                ReplyToCommand(
                    request_id, requester, ControlStatus.DONE, leader, result
                )
            )

    def _answer_failure(
        self, request_id: str, requester: str, status: ControlStatus
    ) -> None:
        if request_id:
            leader = instance_of(self._replica.leader)
            self._actions.append(
                ReplyToCommand(request_id, requester, status, leader, b"")
            )


def instance_of(replica: str) -> str:
    """Return the instance that a replica runs on."""
    return replica.partition("/")[0]


def _identify(item: CommandSubmitted) -> str:
    """Return a key that is equal for commands that need only one log entry."""
    command = item.command
    if isinstance(command, ApplyBundle):
        return f"bundle {command.version} {command.digest}"
    return item.request_id


def _set_timestamp(submitted: CommandSubmitted) -> Command:
    """Set the leader's wall-clock time in a command that has a timestamp."""
    command = submitted.command
    if isinstance(
        command, ApplyBundle | ClaimCall | ReportTargetLoss | RecordServiceVersions
    ):
        return command._replace(at=submitted.wall_time)
    return command
