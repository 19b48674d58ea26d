"""Wires the controllers of one instance to its clocks and connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol, assert_never

from returns.result import Failure, Success

from heathertack.blackboard import (
    BUNDLE,
    CONTROL,
    DRAIN,
    EVACUATED_TARGETS,
    LEASE,
    LEAVING_TARGETS,
    LISTED_TARGETS,
    TARGET_LIMITS,
    TARGET_REJECTIONS,
    UNREACHABLE_SERVICES,
    Blackboard,
)
from heathertack.consensus import (
    AppendRequest,
    AppendResponse,
    SnapshotRequest,
    VoteRequest,
    VoteResponse,
)
from heathertack.controllers import (
    LEASE_TIMINGS,
    AdmissionController,
    AdmissionDue,
    AnnounceBundle,
    AnnounceLeadership,
    AnnounceReceived,
    BundleCommitted,
    ColdTargetsReceived,
    CommandSubmitted,
    CommitCommand,
    ConfirmBundleInForce,
    ConsensusReceived,
    ControlLogEvent,
    CopyDropped,
    DrainController,
    EvacuatedTargetsReceived,
    EvacuationReceived,
    InstanceIdentity,
    JoinReceived,
    LeaderHintReceived,
    LeaseDue,
    LeaseGrantorController,
    LeaseGrantReceived,
    LeaseHolderController,
    LeaseRequested,
    LeaseTimings,
    LeavingTargetsChanged,
    LeavingTargetsController,
    LeavingTargetsDue,
    LimitObserved,
    LimitsDue,
    LinksDue,
    OriginDetermined,
    OriginNeeded,
    OriginQueryReceived,
    OriginReplyReceived,
    OriginsDue,
    OriginsReceived,
    OwnerReplied,
    PauseRequested,
    PausesDue,
    PausesReceived,
    PlacementController,
    PlacementDenied,
    PlacementDue,
    ProgressReceived,
    ProposeCommand,
    QuarantineController,
    QuarantineDue,
    RatesReceived,
    ReleaseReceived,
    ReplyToCommand,
    ReportedStateChanged,
    ReportEntryCommitted,
    ReportEntryStored,
    ReservationReceived,
    SendToPeer,
    StreamOriginController,
    TargetAnswered,
    TargetChosen,
    TargetHealthController,
    TargetLeavingReported,
    TargetLimitController,
    TargetLinkController,
    TargetLossReceived,
    TargetPauseController,
    TargetRejectionController,
    TargetReported,
    TargetSaidLeaving,
    TargetVersionsReceived,
    TimePassed,
    UnreachableReceived,
    are_versions_confirmed,
    derive_lease_timings,
    find_pause,
    instance_of,
)
from heathertack.messages import (
    ColdTargets,
    ControlReply,
    ControlRequest,
    ControlStatus,
    EvacuatedTargets,
    EvacuationReply,
    EvacuationRequest,
    EvacuationStatus,
    JoinRequest,
    LeaderHint,
    LeaseGrant,
    LeaseRequest,
    PeerMessage,
    RelayedPause,
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
    StreamOriginQuery,
    StreamOriginReply,
    StreamOrigins,
    TargetPauses,
    TargetRates,
    TargetRejectionRates,
    TargetReport,
    TargetState,
    TargetVersions,
    UnreachableServices,
)
from heathertack.policy import ADMISSION_TUNING, AdmissionTuning, CrashCause
from heathertack.settings import Settings, resolve_limits
from heathertack.state import COMMAND_CODEC
from heathertackd import _clock
from heathertackd._caller_memory import CallerMemory
from heathertackd._cold_target_log import ColdTargetLog
from heathertackd._command_queue import CommandQueue
from heathertackd._control_client import ControlClient
from heathertackd._control_log_runner import ControlLogRunner
from heathertackd._document_limit import DocumentLimit
from heathertackd._evacuation_client import EvacuationClient
from heathertackd._evacuation_log import EvacuationLog
from heathertackd._explanations import ExplanationLog
from heathertackd._logs import Logger
from heathertackd._loop_delay import LoopDelay
from heathertackd._metrics import Metrics
from heathertackd._peers import PeerNetwork
from heathertackd._push_log import PushLog
from heathertackd._request_errors import RequestErrorLog
from heathertackd._retry_allowance import RetryAllowance
from heathertackd._supervision import (
    BackgroundWork,
    FailureLog,
    FailurePolicy,
    StepGuard,
    StuckError,
)
from heathertackd._target_connections import TargetConnections

_CONTROL_TICK_SECONDS = 0.05
_ENTRY_TICK_SECONDS = 0.1
#: Minimum size of a submitted command that is logged.
_LARGE_COMMAND_BYTES = 64 * 1024
#: Shorter extensions of a pause are not logged: they come with each answer to requests
#: that were sent together.
_MIN_LOGGED_PAUSE_SECONDS = 0.1
#: Maximum age of the platform's list at the leader, and of what it sends to others,
#: seconds.
_LIST_AGE_SECONDS = 0.8
_DEFAULT_ADDRESS_TTL_SECONDS = 10.0

Action = (
    SendToPeer
    | ReplyToCommand
    | AnnounceBundle
    | AnnounceLeadership
    | ReportEntryStored
    | ReportEntryCommitted
    | ProposeCommand
    | CommitCommand
    | ConfirmBundleInForce
    | TargetChosen
    | PlacementDenied
    | CopyDropped
    | OriginDetermined
)


class PlacementListener(Protocol):
    """Receives the placement decisions about one generation."""

    def handle_placement(self, decision: TargetChosen | PlacementDenied) -> None:
        """Handle the choice of a target, or the denial of a placement."""
        ...

    def handle_copy_dropped(self, dropped: CopyDropped) -> None:
        """Handle a notice that the backup of the generation's KV cache is dropped."""
        ...


class Instance:
    """One daemon: blackboard, controllers and peers.

    Parameters
    ----------
    settings : Settings
        Settings of the instance.
    control_log : ControlLogRunner or None
        Control log, on instances with a data folder.
    board : Blackboard
        Blackboard on which ``control_log`` is registered.
    logger : Logger
        Logger of the instance.
    tuning : AdmissionTuning
        Parameters of admission.
    """

    def __init__(
        self,
        settings: Settings,
        control_log: ControlLogRunner | None,
        board: Blackboard,
        logger: Logger,
        tuning: AdmissionTuning = ADMISSION_TUNING,
    ) -> None:
        self.settings = settings
        self.name = settings["instance"]
        self.board = board
        self.logger = logger
        self.metrics = Metrics()
        self.caller_memory = CallerMemory(
            resolve_limits(settings), self.metrics, logger
        )
        self.failures = FailureLog(logger, self.metrics)
        self.request_errors = RequestErrorLog(logger, self.metrics)
        self.document_limit = DocumentLimit(
            resolve_limits(settings).max_open_document_bytes, self.metrics, logger
        )
        self._steps = StepGuard(self.failures)
        self.address_ttl = settings.get("address_ttl", _DEFAULT_ADDRESS_TTL_SECONDS)
        self.incarnation = int(_clock.wall_time() * 1000)
        self.control_log = control_log
        self.lease_timings = _choose_lease_timings(settings)
        self.grantor = (
            LeaseGrantorController(board, self.name, self.lease_timings)
            if control_log is not None
            else None
        )
        self.lease_holder = LeaseHolderController(
            board, self._build_identity(), self.control_instances, self.lease_timings
        )
        self._set_seeds()
        self.drain = self._build_drain()
        self.health = TargetHealthController(board)
        self.limits = TargetLimitController(board)
        self.rejections = TargetRejectionController(board)
        self.leaving_targets = LeavingTargetsController(board)
        self.pauses = TargetPauseController(board)
        self.links = TargetLinkController(board, self.name, settings["failure_domain"])
        controls_overload = settings.get("overload_control", False)
        tuning = tuning._replace(
            controls_overload=controls_overload,
            compares_speeds=settings.get("compare_speeds", False),
        )
        self.admission = AdmissionController(board, self.name, tuning)
        self.placement = PlacementController(board, self.name)
        self.quarantine = QuarantineController(board)
        self._logged_causes: tuple[CrashCause, ...] = ()
        self._pushes = PushLog(logger)
        self._evacuations = EvacuationLog(board, logger, self.metrics)
        self._cold_targets = ColdTargetLog(board, logger, self.metrics)
        self._logged_may_lead = False
        self.origins = StreamOriginController(board, self.name)
        self._origin_waiters: dict[str, asyncio.Future[OriginDetermined]] = {}
        self.network = PeerNetwork(
            settings, self.receive, self.metrics, logger, self.failures
        )
        self.loop_delay = LoopDelay(
            self.metrics, logger, lambda: self.network.received_count
        )
        self.connections = TargetConnections(
            self.links,
            self.carry_out,
            self._find_relay_address,
            self.metrics,
            logger,
            buffer_bytes=self.caller_memory.buffer_bytes,
        )
        self.control = ControlClient(self.send, self._find_leader, logger)
        self._commands = CommandQueue(self.control, logger)
        self.evacuations = EvacuationClient(self.send, self._find_leader, logger)
        self._listeners: dict[str, PlacementListener] = {}
        self._in_force_events: dict[int, asyncio.Event] = {}
        self._bundle_waiters: set[asyncio.Future[None]] = set()
        self._local_reply_callbacks: dict[str, Callable[[ReplyToCommand], None]] = {}
        self.explanations = ExplanationLog()
        self.retry_allowance = RetryAllowance()

    @property
    def control_instances(self) -> tuple[str, ...]:
        """Instances that may lead the control log, according to the settings."""
        if "membership" in self.settings:
            return tuple(self.settings["membership"]["seeds"])
        others = [p["instance"] for p in self.settings["peers"] if p["control"]]
        own = [self.name] if "data_folder" in self.settings else []
        return tuple(own + others)

    def are_versions_confirmed(self, now: float) -> bool:
        """Return whether the software versions of targets are known to be current.

        An instance that is cut off could miss that a target leaves and starts again
        under its name with another version.
        """
        notice = self.settings.get("timings", {}).get("target_notice")
        max_age = None if notice is None else max(notice - _LIST_AGE_SECONDS, 0.0)
        return are_versions_confirmed(self.board, now, max_age)

    @property
    def held_version(self) -> int:
        """Version of the bundle in use here, which is committed; 0 without one."""
        bundle = self.board.read(BUNDLE).bundle
        return bundle["version"] if bundle is not None else 0

    async def start(self) -> None:
        """Open the connections to other instances and start the control log."""
        await self.network.start()
        if self.control_log is not None:
            if self.control_log.bundle is not None:
                self._carry_out((AnnounceBundle(self.control_log.bundle),))
            self.control_log.start(self._carry_out, self.failures)

    def background_work(self) -> tuple[BackgroundWork, ...]:
        """Return the work that runs from the start of the instance until its stop.

        An instance whose leases are not renewed, or that hears of no other one, must
        not go on: others rely on what it reports, and it on what they tell.
        """
        work = [
            BackgroundWork(
                "peer_receiver", self.network.receive_all, FailurePolicy.LEAVE
            ),
            BackgroundWork("ticks", self._run_ticks, FailurePolicy.LEAVE),
            BackgroundWork("target_links", self.connections.run_probes),
        ]
        if self.network.has_connection_limit:
            watch = self.network.limit_connections
            work.append(BackgroundWork("peer_connections", watch))
        return tuple(work)

    async def stop(self) -> None:
        """Stop the control log and close the connections to other instances."""
        if self.control_log is not None:
            self.control_log.stop()
        self._commands.stop()
        await self.network.stop()

    def send(self, instance: str, message: PeerMessage) -> None:
        """Send a message to an instance, which may be this one."""
        if instance == self.name:
            asyncio.get_running_loop().call_soon(self.receive, self.name, message)
        else:
            self.network.send(instance, message)

    def receive(self, sender: str, message: PeerMessage) -> None:
        """Dispatch a message to the controller that handles its type."""
        now = _clock.monotonic()
        match message:
            case (
                VoteRequest()
                | VoteResponse()
                | AppendRequest()
                | AppendResponse()
                | SnapshotRequest()
            ):
                self.post_control(ConsensusReceived(message))
            case JoinRequest():
                if instance_of(message.replica) == sender:
                    self.post_control(JoinReceived(message))
            case (
                LeaseRequest()
                | LeaseGrant()
                | LeaderHint()
                | TargetReport()
                | TargetVersions()
                | EvacuatedTargets()
                | ColdTargets()
            ):
                self._handle_lease_message(sender, message, now)
            case ControlRequest():
                self._submit_command(sender, message, now)
            case ControlReply():
                self.control.receive(sender, message)
            case EvacuationRequest():
                self._submit_evacuation(sender, message)
            case EvacuationReply():
                self.evacuations.receive(sender, message)
            case StreamOrigins() | StreamOriginQuery() | StreamOriginReply():
                self._handle_origin_message(sender, message, now)
            case TargetPauses():
                told = PausesReceived(sender, message)
                self._carry_out(self.admission.handle(told, now))
            case UnreachableServices():
                self._handle_unreachable_services(sender, message, now)
            case RelayedPause():
                if message.seconds > 0:
                    self.record_target_pause(message.target, message.seconds)
            case TargetRates():
                received = RatesReceived(message)
                self._log_limits(self.limits.handle(received, now), sender)
            case TargetRejectionRates():
                received = RatesReceived(message)
                self._log_bounds(self.rejections.handle(received, now), sender)
            case _:
                self._handle_reservation_message(sender, message, now)

    def add_placement_listener(
        self, generation_id: str, listener: PlacementListener
    ) -> None:
        """Register the listener for placement decisions about a generation."""
        self._listeners[generation_id] = listener

    def remove_placement_listener(self, generation_id: str) -> None:
        """Remove the listener of a generation."""
        self._listeners.pop(generation_id, None)

    async def find_origin(self, stream: str, service: str) -> OriginDetermined:
        """Return which software version began a stream that a caller resumes."""
        waiter = self._origin_waiters.get(stream)
        if waiter is None:
            waiter = asyncio.get_running_loop().create_future()
            self._origin_waiters[stream] = waiter
            needed = OriginNeeded(stream, service)
            self._carry_out(self.origins.handle(needed, _clock.monotonic()))
        return await asyncio.shield(waiter)

    def post_control(self, event: ControlLogEvent) -> None:
        """Queue an event for the control log, on instances that have one."""
        if self.control_log is not None:
            self.control_log.post(event)

    def record_target_answer(self, answer: TargetAnswered) -> None:
        """Record what the answer of a target says of its limit."""
        now = _clock.monotonic()
        is_limited = answer.target in self.board.read(TARGET_LIMITS)
        self._log_limits(self.limits.handle(answer, now), "answer")
        if is_limited or answer.rate is not None:
            observed = LimitObserved(answer.target)
            self._carry_out(self.placement.handle(observed, now))

    def record_rejection_bound(self, answer: TargetAnswered) -> None:
        """Record what the answer of a target says of its bound on rejections."""
        now = _clock.monotonic()
        is_bounded = answer.target in self.board.read(TARGET_REJECTIONS)
        self._log_bounds(self.rejections.handle(answer, now), "answer")
        if is_bounded or answer.rate is not None:
            observed = LimitObserved(answer.target)
            self._carry_out(self.placement.handle(observed, now))

    def record_leaving_target(self, target: str, address: str) -> None:
        """Record that a target said in an answer that it is about to leave."""
        said = TargetSaidLeaving(target, address)
        changed = self.leaving_targets.handle(said, _clock.monotonic())
        self._apply_leaving_targets(changed, "answer")
        if changed:
            self._report_leaving_target(target)

    def record_leaving_address(self, address: str) -> None:
        """Record that the target at an address said that it is about to leave."""
        for target in tuple(self.board.read(LISTED_TARGETS).values()):
            if target.address == address and target.state is not TargetState.GONE:
                self.record_leaving_target(target.name, address)

    def record_target_report(self, report: TargetReported) -> None:
        """Record whether a target that was asked is about to leave."""
        changed = self.leaving_targets.handle(report, _clock.monotonic())
        self._apply_leaving_targets(changed, "report")
        if report.is_leaving:
            self._report_leaving_target(report.target)

    def record_target_pause(self, target: str, seconds: float) -> None:
        """Record that a target wants no requests from this instance for a time."""
        now = _clock.monotonic()
        before = find_pause(self.board, target, now)
        pause = self.pauses.handle(PauseRequested(target, seconds), now)
        if pause - before >= _MIN_LOGGED_PAUSE_SECONDS:
            self.logger.info(
                "target_paused",
                target=target,
                seconds=round(pause, 3),
                named=seconds,
                extended=before > 0.0,
            )

    def announce_leaving(self) -> None:
        """Report to the leader at once that callers must use other instances."""
        now = _clock.monotonic()
        self._carry_out(self.lease_holder.handle(ReportedStateChanged(), now))

    def update_settings(self, settings: Settings) -> None:
        """Replace the settings and apply their seeds."""
        self.settings = settings
        self.lease_holder.set_control_instances(self.control_instances)
        self._set_seeds()

    def carry_out(self, actions: Iterable[Action]) -> None:
        """Carry out the actions of a controller."""
        self._carry_out(actions)

    def register_local_reply(
        self, request_id: str, callback: Callable[[ReplyToCommand], None]
    ) -> None:
        """Register a callback for the reply to a local operation."""
        self._local_reply_callbacks[request_id] = callback

    async def wait_until_held(self, version: int) -> None:
        """Wait until a bundle of at least a version is in use on this instance."""
        while self.held_version < version:
            changed = asyncio.get_running_loop().create_future()
            self._bundle_waiters.add(changed)
            try:
                await changed
            finally:
                self._bundle_waiters.discard(changed)

    async def wait_until_in_force(self, index: int, timeout: float) -> bool:
        """Wait until a bundle is in force everywhere; return whether it is."""
        if self.grantor is not None and self.grantor.in_force_index >= index:
            return True
        event = self._in_force_events.setdefault(index, asyncio.Event())
        try:
            async with asyncio.timeout(timeout):
                await event.wait()
            return True
        except TimeoutError:
            return False

    def _set_seeds(self) -> None:
        if self.grantor is not None and "membership" in self.settings:
            self.grantor.set_seeds(tuple(self.settings["membership"]["seeds"]))

    def _build_drain(self) -> DrainController:
        timings = self.settings.get("timings", {})
        default_accepts = self.address_ttl + self.lease_timings.duration
        accepts = timings.get("leaving_accepts", default_accepts)
        return DrainController(self.board, accepts, timings.get("leaving_grace"))

    def _build_identity(self) -> InstanceIdentity:
        http = self.settings["http"]
        return InstanceIdentity(
            self.name,
            self.incarnation,
            f"{http['host']}:{http['port']}",
            self.settings["failure_domain"],
        )

    def _find_leader(self) -> str:
        if self.board.read(CONTROL).may_lead(_clock.monotonic()):
            return self.name
        return self.board.read(LEASE).leader

    async def _run_ticks(self) -> None:
        is_control = self.control_log is not None
        pause = _CONTROL_TICK_SECONDS if is_control else _ENTRY_TICK_SECONDS
        while True:
            self.loop_delay.record()
            self._tick_controllers()
            stuck = self._steps.find_stuck(_clock.monotonic())
            if stuck is not None:
                raise StuckError(f"the step {stuck} keeps failing")
            self.loop_delay.expect(_clock.monotonic() + pause)
            await asyncio.sleep(pause)

    def count_refusals(self) -> None:
        """Count the requests that this instance refused as their admission owner."""
        for reason, count in self.admission.take_refusal_counts().items():
            self.metrics.admission_refusals.labels(reason).inc(count)

    def _tick_controllers(self) -> None:
        now = _clock.monotonic()
        passed = TimePassed(_clock.wall_time())
        steps: tuple[tuple[str, Callable[[], object]], ...] = (
            ("control_log_tick", lambda: self.post_control(passed)),
            ("grantor_tick", lambda: self._tick_grantor(passed, now)),
            (
                "lease_tick",
                lambda: self._carry_out(self.lease_holder.handle(LeaseDue(), now)),
            ),
            (
                "admission_tick",
                lambda: self._carry_out(self.admission.handle(AdmissionDue(), now)),
            ),
            ("refusal_counts", self.count_refusals),
            (
                "speed_metrics",
                lambda: self.metrics.record_speeds(
                    self.admission.list_speeds(now).values()
                ),
            ),
            (
                "placement_tick",
                lambda: self._carry_out(self.placement.handle(PlacementDue(), now)),
            ),
            (
                "quarantine_tick",
                lambda: self._carry_out(self.quarantine.handle(QuarantineDue(), now)),
            ),
            (
                "origins_tick",
                lambda: self._carry_out(self.origins.handle(OriginsDue(), now)),
            ),
            ("pauses_tick", lambda: self.pauses.handle(PausesDue(), now)),
            (
                "links_tick",
                lambda: self._carry_out(self.links.handle(LinksDue(), now)),
            ),
            ("limits_tick", lambda: self._tick_limits(now)),
            ("leaving_targets_tick", lambda: self._tick_leaving_targets(now)),
            ("logs_tick", lambda: self._tick_logs(now)),
        )
        for name, step in steps:
            self._steps.run(name, step)

    def _tick_grantor(self, passed: TimePassed, now: float) -> None:
        if self.grantor is not None:
            self._carry_out(self.grantor.handle(passed, now))

    def _tick_limits(self, now: float) -> None:
        expired = self.limits.handle(LimitsDue(), now)
        if expired:
            self._log_limits(expired, "expired")
        unbounded = self.rejections.handle(LimitsDue(), now)
        if unbounded:
            self._log_bounds(unbounded, "expired")

    def _tick_leaving_targets(self, now: float) -> None:
        gone = self.leaving_targets.handle(LeavingTargetsDue(), now)
        self._apply_leaving_targets(gone, "table")

    def _tick_logs(self, now: float) -> None:
        self._log_quarantine()
        self._log_may_lead(now)
        self._pushes.flush(now)
        self._evacuations.update()
        self._cold_targets.update()
        self.metrics.open_requests.set(self.board.read(DRAIN).open_requests)
        evacuated = self.board.read(CONTROL).evacuated
        self.metrics.evacuated_domains.set(len(evacuated))

    def _apply_leaving_targets(self, changed: Iterable[str], source: str) -> None:
        """Apply changed beliefs to the table of targets, and log them."""
        if not changed:
            return
        now = _clock.monotonic()
        self._carry_out(self.lease_holder.handle(LeavingTargetsChanged(), now))
        leaving = self.board.read(LEAVING_TARGETS)
        for target in changed:
            event = "target_leaves" if target in leaving else "target_leaving_ended"
            leader = self.board.read(LEASE).leader
            self.logger.info(event, target=target, source=source, leader=leader)

    def _report_leaving_target(self, target: str) -> None:
        """Report a leaving target to the leader, if its table may call it live."""
        record = self.board.read(LISTED_TARGETS).get(target)
        is_listed_live = record is None or record.state is TargetState.LIVE
        if not is_listed_live and target not in self.board.read(EVACUATED_TARGETS):
            return
        leader = self._find_leader()
        if leader:
            self.send(leader, TargetReport(target))

    def _log_limits(self, targets: Iterable[str], source: str) -> None:
        """Log the rates of targets whose limits have changed, and who told them."""
        limits = self.board.read(TARGET_LIMITS)
        now = _clock.monotonic()
        for target in targets:
            limit = limits.get(target)
            self.logger.info(
                "target_limit_changed",
                target=target,
                rate=limit.rate if limit is not None else None,
                age=round(now - limit.known_at, 3) if limit is not None else None,
                source=source,
            )
        limited = sum(limit.rate is not None for limit in limits.values())
        self.metrics.limited_targets.set(limited)

    def _log_bounds(self, targets: Iterable[str], source: str) -> None:
        """Log the changed bounds of targets on rejections, and who told them."""
        bounds = self.board.read(TARGET_REJECTIONS)
        now = _clock.monotonic()
        for target in targets:
            bound = bounds.get(target)
            self.logger.info(
                "target_rejection_bound_changed",
                target=target,
                bound=bound.rate if bound is not None else None,
                age=round(now - bound.known_at, 3) if bound is not None else None,
                source=source,
            )
        bounded = sum(bound.rate is not None for bound in bounds.values())
        self.metrics.brittle_targets.set(bounded)

    def _log_may_lead(self, now: float) -> None:
        """Log when this instance gains or loses the lease of the control log."""
        control = self.board.read(CONTROL)
        may_lead = control.may_lead(now)
        if may_lead != self._logged_may_lead:
            self._logged_may_lead = may_lead
            self.logger.info(
                "control_lease_changed", term=control.term, is_held=may_lead
            )

    def _log_quarantine(self) -> None:
        """Log the sets of prompt parts that are refused, when they change."""
        causes = self.quarantine.view.causes
        if causes == self._logged_causes:
            return
        self._logged_causes = causes
        self.logger.warning(
            "quarantine_changed",
            refused=[sorted(cause.parts) for cause in causes],
            crashes=[cause.crashes for cause in causes],
            leader=self.board.read(LEASE).leader,
        )

    def _handle_lease_message(
        self,
        sender: str,
        message: (
            LeaseRequest
            | LeaseGrant
            | LeaderHint
            | TargetReport
            | TargetVersions
            | EvacuatedTargets
            | ColdTargets
        ),
        now: float,
    ) -> None:
        match message:
            case LeaseGrant():
                self._handle_lease_grant(message, now)
            case LeaderHint():
                hint = LeaderHintReceived(message)
                self._carry_out(self.lease_holder.handle(hint, now))
            case LeaseRequest():
                self._handle_lease_request(sender, message, now)
            case TargetVersions():
                versions = TargetVersionsReceived(message)
                self._carry_out(self.lease_holder.handle(versions, now))
            case EvacuatedTargets():
                evacuated = EvacuatedTargetsReceived(message)
                self._carry_out(self.lease_holder.handle(evacuated, now))
            case ColdTargets():
                cold = ColdTargetsReceived(message)
                self._carry_out(self.lease_holder.handle(cold, now))
            case TargetReport():
                if self.grantor is not None:
                    report = TargetLeavingReported(message.target)
                    self._carry_out(self.grantor.handle(report, now))
            case _:
                assert_never(message)

    def _handle_lease_request(
        self, sender: str, request: LeaseRequest, now: float
    ) -> None:
        if request.instance != sender:
            return
        if self.grantor is None:
            self.send(sender, LeaderHint(self._find_leader()))
            return
        self._carry_out(self.grantor.handle(LeaseRequested(request), now))

    def _handle_lease_grant(self, grant: LeaseGrant, now: float) -> None:
        before = self.board.read(BUNDLE).log_index
        self._carry_out(self.lease_holder.handle(LeaseGrantReceived(grant), now))
        after = self.board.read(BUNDLE)
        if after.log_index != before and after.bundle is not None:
            self.logger.info(
                "bundle_in_use",
                log_index=after.log_index,
                version=after.bundle["version"],
            )
            for waiter in self._bundle_waiters:
                if not waiter.done():
                    waiter.set_result(None)

    def _handle_origin_message(
        self,
        sender: str,
        message: StreamOrigins | StreamOriginQuery | StreamOriginReply,
        now: float,
    ) -> None:
        match message:
            case StreamOrigins():
                received = OriginsReceived(message)
                self._carry_out(self.origins.handle(received, now))
            case StreamOriginQuery():
                query = OriginQueryReceived(sender, message)
                self._carry_out(self.origins.handle(query, now))
            case StreamOriginReply():
                reply = OriginReplyReceived(sender, message)
                self._carry_out(self.origins.handle(reply, now))
            case _:
                assert_never(message)

    def _handle_unreachable_services(
        self, sender: str, message: UnreachableServices, now: float
    ) -> None:
        before = self.board.read(UNREACHABLE_SERVICES)
        received = UnreachableReceived(sender, message)
        self._carry_out(self.links.handle(received, now))
        if self.board.read(UNREACHABLE_SERVICES) is not before:
            services = list(message.services)
            self.logger.info("peer_links_changed", peer=sender, unreachable=services)

    def _find_relay_address(self, instance: str) -> str | None:
        """Return the address at which an instance relays; all use the same port."""
        port = self.settings["peer"].get("relay_port")
        address = self.network.find_address(instance)
        if port is None or address is None:
            return None
        return f"{address.rpartition(':')[0]}:{port}"

    def _handle_reservation_message(
        self, sender: str, message: PeerMessage, now: float
    ) -> None:
        match message:
            case ReservationRequest():
                requested = ReservationReceived(sender, message)
                self._carry_out(self.admission.handle(requested, now))
            case ReservationAnnounce():
                announced = AnnounceReceived(sender, message)
                self._carry_out(self.admission.handle(announced, now))
            case ReservationProgress():
                progress = ProgressReceived(sender, message)
                self._carry_out(self.admission.handle(progress, now))
            case ReservationRelease():
                released = ReleaseReceived(message)
                self._carry_out(self.admission.handle(released, now))
            case ReservationBlame():
                loss = TargetLossReceived(message)
                self._carry_out(self.admission.handle(loss, now))
            case (
                ReservationGrant()
                | ReservationRefusal()
                | ReservationQueued()
                | ReservationUnknown()
                | ReservationCopyDropped()
            ):
                reply = OwnerReplied(message, sender)
                self._carry_out(self.placement.handle(reply, now))
            case _:
                self.logger.warning("peer_message_unexpected", sender=sender)

    def _submit_command(self, sender: str, request: ControlRequest, now: float) -> None:
        is_leader = self.board.read(CONTROL).may_lead(now)
        if self.control_log is None or not is_leader:
            status = ControlStatus.NOT_LEADER
            leader = self.board.read(LEASE).leader
            reply = ControlReply(request.request_id, status, leader, b"")
            self.send(sender, reply)
            return
        match COMMAND_CODEC.decode(request.command):
            case Success(command):
                if len(request.command) >= _LARGE_COMMAND_BYTES:
                    self.logger.info(
                        "large_command_submitted",
                        kind=type(command).__name__,
                        request=request.request_id,
                        requester=sender,
                        bytes=len(request.command),
                    )
                self.post_control(
                    CommandSubmitted(
                        request.request_id, sender, command, _clock.wall_time()
                    )
                )
            case Failure(error):
                self.logger.warning("command_unreadable", detail=error.detail)

    def _submit_evacuation(self, sender: str, request: EvacuationRequest) -> None:
        if self.control_log is not None:
            self.post_control(EvacuationReceived(sender, request))
            return
        status = EvacuationStatus.NOT_LEADER
        leader = self.board.read(LEASE).leader
        self.send(sender, EvacuationReply(request.request_id, status, leader, 0, 0))

    def _carry_out(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case SendToPeer():
                    if isinstance(action.message, LeaseGrant):
                        self._pushes.add(action.message)
                    self.send(action.instance, action.message)
                case ReplyToCommand():
                    self._reply_to_command(action)
                case AnnounceBundle():
                    self._announce_bundle(action)
                case AnnounceLeadership():
                    self.logger.info(
                        "leadership", term=action.term, is_leader=action.is_leader
                    )
                case ReportEntryStored():
                    self.logger.info(
                        "large_entry_stored",
                        log_index=action.log_index,
                        term=action.term,
                        bytes=action.size,
                        is_leader=action.is_leader,
                    )
                case ReportEntryCommitted():
                    self.logger.info(
                        "large_entry_committed",
                        log_index=action.log_index,
                        elapsed=round(action.elapsed, 3),
                        is_leader=action.is_leader,
                    )
                case ProposeCommand():
                    self.post_control(
                        CommandSubmitted("", "", action.command, _clock.wall_time())
                    )
                case CommitCommand():
                    self._commands.submit(action.command)
                case ConfirmBundleInForce():
                    self._confirm_in_force(action.log_index)
                case TargetChosen() | PlacementDenied():
                    listener = self._listeners.get(action.generation_id)
                    if listener is not None:
                        listener.handle_placement(action)
                case OriginDetermined():
                    waiter = self._origin_waiters.pop(action.stream, None)
                    if waiter is not None and not waiter.done():
                        waiter.set_result(action)
                case CopyDropped():
                    listener = self._listeners.get(action.generation_id)
                    if listener is not None:
                        listener.handle_copy_dropped(action)
                case _:
                    assert_never(action)

    def _reply_to_command(self, action: ReplyToCommand) -> None:
        callback = self._local_reply_callbacks.pop(action.request_id, None)
        if callback is not None:
            callback(action)
            return
        reply = ControlReply(
            action.request_id, action.status, action.leader, action.result
        )
        self.send(action.requester, reply)

    def _announce_bundle(self, action: AnnounceBundle) -> None:
        if self.grantor is not None:
            event = BundleCommitted(action.accepted)
            self._carry_out(self.grantor.handle(event, _clock.monotonic()))

    def _confirm_in_force(self, index: int) -> None:
        self.logger.info("bundle_in_force_everywhere", log_index=index)
        for waited_index in tuple(self._in_force_events):
            if waited_index <= index:
                self._in_force_events.pop(waited_index).set()


def _choose_lease_timings(settings: Settings) -> LeaseTimings:
    bounds = settings.get("timings")
    if bounds is None:
        return LEASE_TIMINGS
    return derive_lease_timings(
        bounds.get("propagation"), bounds.get("disconnected_service")
    )
