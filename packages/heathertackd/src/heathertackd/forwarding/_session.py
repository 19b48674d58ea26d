"""Forwards one request, from its placement to its final response."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from functools import partial

import aiohttp
from aiohttp import web
from returns.result import Failure

from heathertack.blackboard import TARGETS
from heathertack.controllers import (
    CopyDropped,
    Execution,
    PlacementDenied,
    PlacementEnded,
    PlacementRequested,
    Refusal,
    RunCrashed,
    RunStarted,
    TargetChosen,
    TargetFailed,
    TargetLossReported,
    TargetSucceeded,
    TokensGenerated,
    accepts_new_work,
    can_copy,
    find_pause,
    find_service_pause,
    find_version,
    is_evacuated,
    keeps_running,
    list_leaving_targets,
)
from heathertack.messages import ReservationOutcome, TargetRecord, TargetState
from heathertack.policy import ExecutionRecord, SendOutcome
from heathertackd import _clock
from heathertackd._background_tasks import start_background_task
from heathertackd._bounded_server import ConnectionDroppedError, hold
from heathertackd._refusals import not_run
from heathertackd._target_connections import Reachability
from heathertackd.forwarding._caller_events import CallerEvents
from heathertackd.forwarding._context import ForwardingContext
from heathertackd.forwarding._dialect import ForwardAttempt
from heathertackd.forwarding._event_splitter import EventSplitter, StreamEvent
from heathertackd.forwarding._kv_cache import (
    Continuation,
    CopyState,
    KvCacheCopy,
    find_copy_state,
    must_move,
)
from heathertackd.forwarding._request_spec import (
    RequestSpec,
    build_move_reservation,
    build_reservation,
)
from heathertackd.forwarding._run_timing import RunTiming
from heathertackd.forwarding._stream_mover import StreamMover
from heathertackd.forwarding._stream_version import StreamVersion
from heathertackd.forwarding._target_client import (
    ExchangeError,
    ExchangeFailure,
    TargetRequest,
    TargetResponse,
)

#: Retry delay sent to a refused caller if there is no better estimate, seconds.
_RETRY_AFTER_SECONDS = 0.5
#: A request with less time left than this is not sent to a target.
_MIN_SEND_SECONDS = 0.02
_MIN_SERVER_ERROR_STATUS = 500
#: Maximum wait for the first list of targets, which arrives with the leases.
_TARGET_LIST_WAIT_SECONDS = 1.0
_TARGET_LIST_POLL_SECONDS = 0.1
#: Number of targets that may fail while they run one stream: the stream may have caused
#: each failure, so it is not sent to a third target.
_MAX_STREAM_BREAKS = 2
#: Number of events after which a target has begun to answer: one that crashes under a
#: request may still send the first event.
_MIN_STARTED_EVENTS = 2
#: Retry delay sent with the refusal of a request that would crash its target, seconds.
_QUARANTINE_RETRY_SECONDS = 60.0
#: Reports of target losses, which may outlive their request.
_BACKGROUND_TASKS: set[asyncio.Task[None]] = set()
#: A run with fewer tokens left to generate ends before a move would help.
_MIN_MOVED_TOKENS = 100
#: Maximum wait for a move to end after its stream has ended, seconds: a backup may be
#: used instead.
_MOVE_WAIT_SECONDS = 0.5
#: The same where only the move can save a stream whose run has been stopped for it. A
#: sound target may be silent for a second or two before it answers.
_HAND_OVER_WAIT_SECONDS = 3.0
#: Number of targets that may be unreachable before a request is refused.
_MAX_CONNECTION_FAILURES = 4
#: Number of placements at leaving targets that are replaced at once; an admission owner
#: that knows of no other target may repeat its choice.
_MAX_LEAVING_CHOICES = 3

_OUTCOMES = {
    ExchangeFailure.NOT_SENT: ReservationOutcome.UNREACHABLE,
    ExchangeFailure.NOT_RUN: ReservationOutcome.REJECTED,
    ExchangeFailure.MAY_HAVE_RUN: ReservationOutcome.ANSWER_LOST,
}
_SEND_OUTCOMES = {
    ExchangeFailure.NOT_SENT: SendOutcome.NOT_SENT,
    ExchangeFailure.NOT_RUN: SendOutcome.NOT_RUN,
    ExchangeFailure.MAY_HAVE_RUN: SendOutcome.MAY_HAVE_RUN,
}


#: The final response, where an interrupted stream continues, or why there is neither.
_Result = web.StreamResponse | Continuation | ExchangeError


class ForwardingSession:
    """Forwards one request, to further targets where a retry is safe.

    Parameters
    ----------
    context : ForwardingContext
        Objects that all forwarded requests share.
    spec : RequestSpec
        The validated request.
    request : web.BaseRequest
        Request of the caller.
    """

    def __init__(
        self, context: ForwardingContext, spec: RequestSpec, request: web.BaseRequest
    ) -> None:
        self._context = context
        self._instance = context.instance
        self._client = context.client
        self._dialect = context.dialect
        self._retries = context.retries
        self._spec = spec
        self._request = request
        self._timeout = asyncio.timeout(None)
        self._attempt = 0
        self._execution = ExecutionRecord()
        #: Number of targets that failed during the request while they were live.
        self._break_count = 0
        self._excluded_targets: tuple[str, ...] = ()
        #: Number of placements at targets that leave.
        self._leaving_choice_count = 0
        self._decision: asyncio.Future[TargetChosen | PlacementDenied] | None = None
        self._placement: TargetChosen | None = None
        self._has_placement = False
        #: Backup that the target of the latest send was told of.
        self._backup: KvCacheCopy | None = None
        #: Backup that a stream waits to continue from, and the limit of its wait.
        self._awaited_copy: KvCacheCopy | None = None
        self._copy_wait = asyncio.timeout(None)
        #: Addresses of the targets that the request was sent to, by name.
        self._addresses: dict[str, str] = {}
        self._error_response: web.Response | None = None
        #: Id by which admission identifies the current placement.
        self._placement_key = spec.key
        #: Number of tokens generated before that placement was granted.
        self._tokens_before_placement = 0
        self._move_count = 0
        self._mover = (
            StreamMover(
                context.instance, context.mover, spec.head.request_id, self._log
            )
            if context.mover is not None and spec.needs_backup
            else None
        )
        account = context.instance.metrics.account_label(spec.account)
        self._labels = (account, spec.service)
        self._version = StreamVersion(context.instance, spec)
        self._timing = RunTiming(context.pace, spec)
        self._stream = CallerEvents(
            request,
            spec.head.last_event_id,
            context.instance.metrics.token_gap.labels(*self._labels),
            lambda: context.instance.drain.is_leaving,
        )

    async def run(self) -> web.StreamResponse:
        """Serve the request and return the response to the caller."""
        spec = self._spec
        self._instance.add_placement_listener(spec.key, self)
        self._retries.record_request(spec.service)
        try:
            async with self._timeout:
                self.limit_time(spec.deadline)
                return await self._serve()
        except TimeoutError:
            return self._respond_timed_out()
        except asyncio.CancelledError:
            delay = self._instance.loop_delay.find(_clock.monotonic())
            detail = f"the event loop is {delay:.3f} s late"
            self._finish("caller_left", ReservationOutcome.CANCELLED, detail)
            raise
        except (ConnectionError, aiohttp.ClientError, ConnectionDroppedError) as error:
            self._finish("caller_lost", ReservationOutcome.CANCELLED, repr(error))
            raise
        finally:
            self._context.stream_monitor.remove(self)
            self._version.end()
            if self._mover is not None:
                self._mover.cancel()
            self._release(ReservationOutcome.CANCELLED)
            self._instance.remove_placement_listener(spec.key)

    def limit_time(self, until: float) -> None:
        """End the request by a time on the monotonic clock, seconds."""
        when = asyncio.get_running_loop().time() + until - _clock.monotonic()
        current = self._timeout.when()
        if not self._timeout.expired() and (current is None or when < current):
            self._timeout.reschedule(when)

    def handle_placement(self, decision: TargetChosen | PlacementDenied) -> None:
        """Receive the decision of admission."""
        pending = self._decision
        is_current = decision.attempt == self._attempt
        if pending is not None and is_current and not pending.done():
            pending.set_result(decision)

    def move_if_at_risk(self) -> None:
        """Start a move if the stream would be lost with its target."""
        now = _clock.monotonic()
        placement = self._placement
        if placement is None or self._mover is None or not self._stream.count:
            return
        if not self._mover.can_start(now):
            return
        backup = self._backup
        if backup is not None and self._has_lost(backup):
            placement = placement._replace(backup="")
        if not must_move(self._instance.board, placement) or self._is_nearly_done():
            return
        if self._find_pause(placement.target):
            return
        self._move_count += 1
        reservation = build_move_reservation(
            self._spec,
            self._move_count,
            self._generated_tokens(),
            placement.target,
            now,
        )
        self._mover.start(placement, reservation, backup)

    def end_wait_if_copy_is_lost(self) -> None:
        """End the wait for a target if the copy to continue from is lost."""
        copy = self._awaited_copy
        if copy is not None and self._has_lost(copy):
            self._awaited_copy = None
            self._copy_wait.reschedule(asyncio.get_running_loop().time())

    def _has_lost(self, copy: KvCacheCopy) -> bool:
        return find_copy_state(self._instance.board, copy) is not CopyState.KEPT

    def _generated_tokens(self) -> int:
        return self._stream.count * self._spec.event_tokens

    def _is_nearly_done(self) -> bool:
        size = self._spec.head.size
        if size is None:
            return True
        return size.max_tokens - self._generated_tokens() < _MIN_MOVED_TOKENS

    def handle_copy_dropped(self, dropped: CopyDropped) -> None:
        """Continue without a backup: its memory is needed for other requests."""
        placement = self._placement
        if placement is None or placement.backup != dropped.backup:
            return
        self._placement = placement._replace(backup="")
        self._log("copy_dropped", keeper=dropped.backup)
        backup, self._backup = self._backup, None
        if self._mover is not None and backup is not None:
            self._mover.discard_backup(backup)

    async def _serve(self) -> web.StreamResponse:
        continuation: Continuation | None = None
        if self._version.must_find_origin:
            reason = await self._version.find_origin()
            self._log(
                "origin_determined",
                resumes=self._spec.head.resumed_request_id,
                version=self._version.version,
                reason=reason,
            )
        broken = ""
        while True:
            decision = await self._await_placement(continuation)
            if decision is None:
                # Only a new run is left, if the request may run again.
                result: _Result = Continuation()
            elif isinstance(decision, PlacementDenied):
                return self._respond_denied(decision)
            elif self._find_pause(decision.target):
                self._release(ReservationOutcome.CANCELLED)
                continue
            else:
                broken = decision.target
                result = await self._send_to_target(decision, continuation)
            if isinstance(result, web.StreamResponse):
                return result
            if isinstance(result, Continuation):
                continuation = result
                if not await self._can_continue(broken, result):
                    return self._abort_response(
                        "the stream broke and can't be continued"
                    )
                self._record_continuation(broken, result)
            elif not self._can_retry(result):
                return self._respond_failed(result)

    async def _await_placement(
        self, continuation: Continuation | None
    ) -> TargetChosen | PlacementDenied | None:
        """Return a placement or a refusal, ``None`` if the copy is lost meanwhile."""
        is_backup = continuation is not None and continuation.placement is None
        copy = continuation.copy if continuation is not None and is_backup else None
        if copy is None:
            return await self._find_usable_placement(continuation)
        started_at = _clock.monotonic()
        self._awaited_copy = copy
        self._copy_wait = asyncio.timeout(None)
        self._context.stream_monitor.add(self)
        decision: TargetChosen | PlacementDenied | None = None
        try:
            async with self._copy_wait:
                decision = await self._find_usable_placement(continuation)
        except TimeoutError:
            if not self._copy_wait.expired():
                raise
        finally:
            self._awaited_copy = None
        state = find_copy_state(self._instance.board, copy)
        if state is CopyState.KEPT and decision is not None:
            return decision
        self._release(ReservationOutcome.CANCELLED)
        self._instance.metrics.lost_copies.labels(state.value).inc()
        self._log(
            "copy_lost",
            keeper=copy.target,
            address=copy.address,
            state=state.value,
            waited=round(_clock.monotonic() - started_at, 3),
        )
        return None

    async def _find_usable_placement(
        self, continuation: Continuation | None
    ) -> TargetChosen | PlacementDenied:
        """Return a placement, after a pause of the target that holds the copy."""
        has_waited = await self._wait_for_copy(continuation)
        if has_waited and self._is_moved_to_evacuated(continuation):
            reason = "the target of the moved run is evacuated"
            return PlacementDenied(
                self._placement_key,
                self._attempt,
                "evacuated",
                _RETRY_AFTER_SECONDS,
                reason,
            )
        return await self._find_placement(continuation)

    async def _wait_for_copy(self, continuation: Continuation | None) -> bool:
        """Wait until the target that holds a copy of the KV cache wants requests.

        Returns whether there was a wait.
        """
        if continuation is None:
            return False
        has_waited = False
        while pause := self._find_pause(continuation.target):
            has_waited = True
            await asyncio.sleep(pause)
        return has_waited

    def _is_moved_to_evacuated(self, continuation: Continuation | None) -> bool:
        """Return whether a run was moved to a target that has been evacuated since.

        The stream goes on there at once, within the time that an evacuation may take,
        but not after a pause, which has no such bound.
        """
        if continuation is None or continuation.placement is None:
            return False
        return is_evacuated(self._instance.board, continuation.target)

    def _find_pause(self, target: str) -> float:
        """Return for how long a target must get no requests, seconds."""
        return find_pause(self._instance.board, target, _clock.monotonic())

    async def _find_placement(
        self, continuation: Continuation | None
    ) -> TargetChosen | PlacementDenied:
        """Return a placement, or why the request must not be sent."""
        refusal = self._find_quarantine() or self._version.find_refusal(
            self._placement_key, self._attempt
        )
        if refusal is not None:
            return refusal
        decision = await self._obtain_placement(continuation)
        if isinstance(decision, PlacementDenied):
            return decision
        # Targets may have crashed under similar requests while this one waited.
        refusal = self._find_quarantine() or self._version.find_mismatch(decision)
        return refusal or self._drop_unusable_backup(decision)

    def _drop_unusable_backup(self, placement: TargetChosen) -> TargetChosen:
        """Return a placement without a backup that could not continue the stream."""
        if not placement.backup:
            return placement
        board = self._instance.board
        if not can_copy(board, placement.target, placement.backup):
            detail = "other version"
        elif not accepts_new_work(board, placement.backup):
            detail = "the keeper leaves"
        elif self._find_pause(placement.backup):
            detail = "wants no requests"
        else:
            return placement
        self._log("copy_dropped", keeper=placement.backup, detail=detail)
        usable = placement._replace(backup="")
        self._placement = usable
        return usable

    def _find_quarantine(self) -> PlacementDenied | None:
        """Return a refusal if the request would crash its target."""
        if self._stream.count >= _MIN_STARTED_EVENTS:
            return None
        match = self._instance.quarantine.find_match(self._spec.identity)
        if match is None:
            return None
        causes = ", ".join(match.fingerprints)
        return PlacementDenied(
            self._placement_key,
            self._attempt,
            "quarantined",
            _QUARANTINE_RETRY_SECONDS,
            f"{match.crashes} targets crashed under requests with {causes}",
        )

    async def _obtain_placement(
        self, continuation: Continuation | None
    ) -> TargetChosen | PlacementDenied:
        """Return the placement of a moved run, or request a new placement.

        A moved run is already at its new target, which holds the copy that no other
        target can continue from, so it goes on there even if that target leaves.
        """
        if continuation is None or continuation.placement is None:
            return await self._request_placement(continuation)
        self._release(ReservationOutcome.CANCELLED)
        self._placement_key = continuation.placement.generation_id
        self._instance.add_placement_listener(self._placement_key, self)
        self._tokens_before_placement = self._generated_tokens()
        self._has_placement = True
        self._placement = continuation.placement
        return continuation.placement

    async def _request_placement(
        self, continuation: Continuation | None
    ) -> TargetChosen | PlacementDenied:
        """Wait until admission chooses a target or refuses.

        A process that has just started has no list of targets yet, so it repeats the
        request for a short time. A stream that has begun waits for targets that all
        want no requests.
        """
        while True:
            decision = await self._request_placement_once(continuation)
            if isinstance(decision, TargetChosen):
                denial = self._reject_leaving_target(decision)
                if denial is None:
                    return decision
                if self._leaving_choice_count <= _MAX_LEAVING_CHOICES:
                    continue
                decision = denial
            pause = self._find_resumption_pause(decision)
            if pause:
                await asyncio.sleep(pause)
                continue
            waited = _clock.monotonic() - self._spec.received_at
            is_unknown = (
                isinstance(decision, PlacementDenied) and decision.code == "no_target"
            )
            if not is_unknown or waited >= _TARGET_LIST_WAIT_SECONDS:
                return decision
            await asyncio.sleep(_TARGET_LIST_POLL_SECONDS)

    def _reject_leaving_target(self, placement: TargetChosen) -> PlacementDenied | None:
        """Release a placement at a target that takes no new work, and return why.

        The admission owner that chose the target may not know that it leaves.
        """
        target = placement.target
        targets = self._instance.board.read(TARGETS)
        if target not in targets or accepts_new_work(self._instance.board, target):
            return None
        self._log("placement_rejected", target=target, detail="the target leaves")
        self._leaving_choice_count += 1
        self._excluded_targets = (*self._excluded_targets, target)
        self._release(ReservationOutcome.REJECTED)
        return PlacementDenied(
            self._placement_key,
            self._attempt,
            "no_target",
            _RETRY_AFTER_SECONDS,
            f"the chosen target {target} leaves",
        )

    def _find_resumption_pause(self, decision: TargetChosen | PlacementDenied) -> float:
        """Return how long a stream that was denied a target waits, seconds."""
        if isinstance(decision, TargetChosen) or self._stream.response is None:
            return 0.0
        now = _clock.monotonic()
        pause = find_service_pause(self._instance.board, self._spec.service, now)
        return pause if pause < self._spec.deadline - now else 0.0

    async def _request_placement_once(
        self, continuation: Continuation | None
    ) -> TargetChosen | PlacementDenied:
        now = _clock.monotonic()
        latest_start = self._timing.find_latest_start()
        if continuation is None and now >= latest_start:
            return self._deny_too_long_run(latest_start)
        self._attempt += 1
        self._has_placement = True
        self._placement_key = self._spec.key
        self._tokens_before_placement = 0
        self._decision = asyncio.get_running_loop().create_future()
        excluded = dict.fromkeys(
            (
                *self._excluded_targets,
                *self._version.list_excluded(),
                *list_leaving_targets(self._instance.board, self._spec.service),
            )
        )
        reservation = build_reservation(self._spec, self._attempt, tuple(excluded), now)
        if continuation is None:
            max_wait = min(reservation.max_wait, latest_start - now)
            reservation = reservation._replace(max_wait=max_wait)
        else:
            keeper = continuation.target
            accepts_run = accepts_new_work(self._instance.board, keeper)
            reservation = reservation._replace(
                preferred_target=keeper if accepts_run else "",
                max_wait=max(self._spec.deadline - now, 0.0),
            )
        requested = PlacementRequested(reservation)
        self._instance.carry_out(self._instance.placement.handle(requested, now))
        decision = await self._decision
        self._placement = decision if isinstance(decision, TargetChosen) else None
        waited = _clock.monotonic() - now
        self._instance.metrics.queue_wait.labels(*self._labels).observe(waited)
        return decision

    def _deny_too_long_run(self, latest_start: float) -> PlacementDenied:
        left = max(self._spec.deadline - _clock.monotonic(), 0.0)
        shortest = self._spec.deadline - latest_start
        return PlacementDenied(
            self._placement_key,
            self._attempt,
            "overloaded",
            _RETRY_AFTER_SECONDS,
            f"the run takes at least {shortest:.1f} s, and {left:.1f} s are left",
        )

    async def _send_to_target(
        self, placement: TargetChosen, continuation: Continuation | None
    ) -> _Result:
        """Send the request to a target and deliver its response."""
        record = self._targets().get(placement.target)
        if record is None:
            gone = ExchangeError(ExchangeFailure.NOT_SENT, "the target is gone")
            self._execution.start(placement.target)
            self._execution.end(SendOutcome.NOT_SENT)
            self._record_failure(placement, gone)
            return gone
        copy = continuation.copy if continuation is not None else None
        if copy is None and not self._may_begin_run():
            return self._abort_response("the request may have run, and may not again")
        targets = self._targets()
        backup = targets.get(placement.backup)
        self._backup = (
            KvCacheCopy(backup.name, backup.address) if backup is not None else None
        )
        target_request = self._build_request(record, self._backup, copy)
        self._addresses[record.name] = record.address
        self._execution.start(placement.target, continues_run=copy is not None)
        self._log(
            "request_sent",
            target=placement.target,
            reason=placement.reason,
            version=find_version(self._instance.board, placement.target),
            parts=",".join(self._spec.identity.parts),
            last_event_id=self._stream.last_event_id,
            resumes=self._spec.head.resumed_request_id,
            copy=copy.address if copy is not None else "",
            keeper=copy.target if copy is not None else "",
            keeper_state=self._describe_state(copy),
        )
        self._timing.record_sent(_clock.monotonic())
        result = await self._client.send(target_request)
        if isinstance(result, Failure):
            error: ExchangeError = result.failure()
            self._log_relay(placement.target, error.relay)
            self._execution.end(_SEND_OUTCOMES[error.failure])
            self._record_failure(placement, error)
            return error
        self._execution.end(SendOutcome.MAY_HAVE_RUN)
        response = result.unwrap()
        self._log_relay(placement.target, response.relay)
        return await self._deliver(placement, response)

    def _log_relay(self, target: str, relay: str) -> None:
        if relay:
            self._log("request_relayed", target=target, relay=relay)

    def _targets(self) -> Mapping[str, TargetRecord]:
        return self._instance.board.read(TARGETS)

    def _may_begin_run(self) -> bool:
        """Return whether the request may be sent to a target as a new run."""
        return self._spec.can_run_again or not self._execution.may_have_run

    def _build_request(
        self,
        record: TargetRecord,
        backup: KvCacheCopy | None,
        copy: KvCacheCopy | None,
    ) -> TargetRequest:
        spec = self._spec
        attempt = ForwardAttempt(
            target=record.name,
            account=spec.account,
            time_left=max(spec.deadline - _clock.monotonic(), _MIN_SEND_SECONDS),
            backup_address=backup.address if backup is not None else "",
            copy_address=copy.address if copy is not None else "",
            copy_id=copy.copy_id if copy is not None else "",
            last_event_id=self._stream.last_event_id,
        )
        return TargetRequest(
            record.address,
            spec.method,
            spec.path,
            self._dialect.encode_request(spec.head, attempt),
            spec.body,
            spec.head.request_id,
            record.name,
        )

    async def _deliver(
        self, placement: TargetChosen, response: TargetResponse
    ) -> _Result:
        try:
            if self._spec.is_stream and self._is_stream_status(response.head.status):
                return await self._deliver_stream(placement, response)
            return await self._deliver_body(placement, response)
        finally:
            response.close()

    def _is_stream_status(self, status: int) -> bool:
        """Return whether a response with a status holds events for the caller."""
        begun = self._stream.response
        return status < 300 if begun is None else status == begun.status

    async def _deliver_body(
        self, placement: TargetChosen, response: TargetResponse
    ) -> _Result:
        result = await response.read(partial(hold, self._request))
        if isinstance(result, Failure):
            error: ExchangeError = result.failure()
            self._record_failure(placement, error)
            return error
        status = response.head.status
        if status >= _MIN_SERVER_ERROR_STATUS and self._can_repeat():
            error = ExchangeError(ExchangeFailure.MAY_HAVE_RUN, f"status {status}")
            self._error_response = web.Response(
                status=status, headers=response.head.headers, body=result.unwrap()
            )
            self._log("target_answered_error", target=placement.target, status=status)
            self._excluded_targets = (*self._excluded_targets, placement.target)
            self._release(ReservationOutcome.FINISHED)
            return error
        if self._stream.response is not None:
            error = ExchangeError(ExchangeFailure.MAY_HAVE_RUN, f"status {status}")
            self._record_failure(placement, error)
            return error
        self._record_success(placement)
        if status < 300:
            self._record_start(_clock.monotonic())
        self._finish("answered", ReservationOutcome.FINISHED, f"status {status}")
        return web.Response(
            status=status, headers=response.head.headers, body=result.unwrap()
        )

    async def _deliver_stream(
        self, placement: TargetChosen, response: TargetResponse
    ) -> _Result:
        """Deliver events until the target's stream ends."""
        splitter = EventSplitter()
        continues = self._stream.response is not None
        has_events = False
        try:
            async for chunk in response.read_chunks():
                received = splitter.feed(chunk)
                has_events = has_events or bool(received)
                if continues:
                    self._stream.check_continuation(received)
                events = self._stream.select_new(received)
                if events:
                    await self._deliver_events(placement, response, events)
        except (aiohttp.ClientPayloadError, ValueError) as error:
            return await self._handle_stream_break(placement, repr(error))
        except (aiohttp.ClientError, OSError) as error:
            if self._request.transport is None:
                raise
            return await self._handle_stream_break(placement, repr(error))
        caller_response = self._stream.response
        if not response.has_declared_end and self._is_handing_over():
            return await self._handle_stream_break(
                placement, "the stream ended while its run was handed over"
            )
        if splitter.pending or caller_response is None:
            return await self._handle_stream_break(
                placement, "the stream ended within an event"
            )
        if not has_events and not self._has_all_tokens():
            return await self._handle_stream_break(
                placement, "the run that goes on sent no event"
            )
        await caller_response.write_eof()
        self._record_success(placement)
        if self._stream.count < _MIN_STARTED_EVENTS:
            self._record_start(_clock.monotonic())
        self._record_longest_gap()
        self._timing.record_end(self._generated_tokens(), _clock.monotonic())
        delivered = f"{self._stream.count} events"
        self._finish("streamed", ReservationOutcome.FINISHED, delivered)
        return caller_response

    def _has_all_tokens(self) -> bool:
        """Return whether the caller has as many tokens as the request allows."""
        size = self._spec.head.size
        return size is not None and self._generated_tokens() >= size.max_tokens

    def _is_handing_over(self) -> bool:
        return self._mover is not None and self._mover.is_handing_over

    async def _deliver_events(
        self,
        placement: TargetChosen,
        response: TargetResponse,
        events: tuple[StreamEvent, ...],
    ) -> None:
        is_first = self._stream.response is None
        if is_first:
            self._version.bind(placement.target)
        had_started = self._stream.count >= _MIN_STARTED_EVENTS
        await self._stream.write(response.head, events)
        now = _clock.monotonic()
        if not had_started and self._stream.count >= _MIN_STARTED_EVENTS:
            self._record_start(now)
        if is_first:
            self._timing.record_first_event(now)
            waited = now - self._spec.received_at
            self._instance.metrics.first_token.labels(*self._labels).observe(waited)
            self._context.stream_monitor.add(self)
        self._report_generated(now)

    def _report_generated(self, now: float) -> None:
        generated = TokensGenerated(
            self._placement_key,
            self._generated_tokens() - self._tokens_before_placement,
        )
        self._instance.carry_out(self._instance.placement.handle(generated, now))

    def _find_move_wait(self) -> float:
        """Return how long a stream that has ended waits for its move, seconds."""
        has_backup = self._placement is not None and self._placement.backup
        if has_backup or not self._is_handing_over():
            return _MOVE_WAIT_SECONDS
        return _HAND_OVER_WAIT_SECONDS

    async def _handle_stream_break(
        self, placement: TargetChosen, detail: str
    ) -> _Result:
        """Record an interrupted stream and return where it may continue."""
        if self._mover is not None:
            moved = await self._mover.result(self._find_move_wait())
            if moved is not None:
                return moved
        error = ExchangeError(ExchangeFailure.MAY_HAVE_RUN, detail)
        backup = self._backup
        if backup is not None and not self._may_continue_at(backup.target):
            backup = None
        self._record_failure(placement, error)
        if self._stream.count or backup is not None:
            return Continuation(backup)
        return error

    def _may_continue_at(self, backup: str) -> bool:
        """Return whether the stream may continue from the backup at a target."""
        is_usable = not is_evacuated(self._instance.board, backup)
        return is_usable and self._version.accepts(backup)

    async def _can_continue(self, broken: str, continuation: Continuation) -> bool:
        """Return whether a stream can continue after a target broke it off."""
        time_left = self._spec.deadline - _clock.monotonic()
        if self._find_pause(continuation.target) >= time_left:
            return False
        if continuation.placement is not None:
            return True
        if self._break_count >= _MAX_STREAM_BREAKS:
            return False
        if continuation.copy is not None:
            return not self._has_lost(continuation.copy)
        if self._spec.route["kind"] != "resumable":
            return False
        if not await self._has_attempts_left(broken):
            return False
        return self._retries.try_spend(self._spec.service)

    async def _has_attempts_left(self, broken: str) -> bool:
        """Return whether a new run may begin after a target broke a stream off.

        Attempts at targets that have ended do not count. The table tells of those that
        are gone; the broken target, and those that the table does not hold, have ended
        if they accept no connections.
        """
        max_attempts = self._spec.route["max_attempts"]
        if self._execution.count_attempts(self._is_gone) < max_attempts:
            return True
        targets = self._targets()
        uncertain = [
            target
            for target in self._addresses
            if target == broken or target not in targets
        ]
        found = await asyncio.gather(
            *(self._client.probe(self._addresses[target]) for target in uncertain)
        )
        ended = {
            target
            for target, reachability in zip(uncertain, found, strict=True)
            if reachability is not Reachability.ACCEPTS
        }
        attempts = self._execution.count_attempts(
            lambda target: target in ended or self._is_gone(target)
        )
        return attempts < max_attempts

    def _is_gone(self, target: str) -> bool:
        record = self._targets().get(target)
        return record is not None and record.state is TargetState.GONE

    def _describe_state(self, copy: KvCacheCopy | None) -> str:
        """Return what the table says of the target that holds a copy."""
        if copy is None:
            return ""
        record = self._targets().get(copy.target)
        return record.state.value if record is not None else CopyState.UNLISTED.value

    def _record_continuation(self, broken: str, continuation: Continuation) -> None:
        if continuation.placement is not None:
            return
        self._instance.metrics.resumes.inc()
        self._log(
            "stream_continued",
            lost=broken,
            at=continuation.target,
            last_event_id=self._stream.last_event_id,
            keeper_state=self._describe_state(continuation.copy),
        )

    def _can_repeat(self) -> bool:
        """Return whether the request may run again at one more target."""
        spec = self._spec
        has_attempts = self._execution.count_attempts() < spec.route["max_attempts"]
        return spec.can_run_again and has_attempts and self._has_time()

    def _can_retry(self, error: ExchangeError) -> bool:
        if self._stream.response is not None or not self._has_time():
            return False
        if error.failure is ExchangeFailure.NOT_SENT:
            return self._execution.unreachable_count < _MAX_CONNECTION_FAILURES
        may_have_run = error.failure is ExchangeFailure.MAY_HAVE_RUN
        if may_have_run and not self._spec.can_run_again:
            return False
        max_attempts = self._spec.route["max_attempts"]
        has_attempts = self._execution.count_attempts() < max_attempts
        return has_attempts and self._retries.try_spend(self._spec.service)

    def _has_time(self) -> bool:
        return self._spec.deadline - _clock.monotonic() > _MIN_SEND_SECONDS

    def _respond_denied(self, decision: PlacementDenied) -> web.StreamResponse:
        if self._stream.response is not None:
            return self._abort_response(decision.reason)
        if self._execution.may_have_run:
            return self._respond_outcome_unknown(decision.reason)
        refusal = not_run(decision.code, decision.reason, decision.retry_after)
        return self._refuse(refusal)

    def _respond_failed(self, error: ExchangeError) -> web.StreamResponse:
        if self._stream.response is not None:
            return self._abort_response(error.detail)
        if self._execution.may_have_run:
            return self._respond_outcome_unknown(error.detail)
        message = f"the target did not run the request: {error.detail}"
        now = _clock.monotonic()
        pause = find_service_pause(self._instance.board, self._spec.service, now)
        return self._refuse(
            not_run("no_target", message, pause or _RETRY_AFTER_SECONDS)
        )

    def _respond_outcome_unknown(self, detail: str) -> web.StreamResponse:
        """Return the response to a request that may have run without a usable response.

        An error response from a target is delivered if no other target did better.
        """
        if self._error_response is not None:
            status = self._error_response.status
            self._finish("answered", ReservationOutcome.CANCELLED, f"status {status}")
            return self._error_response
        message = f"the answer of the target is lost: {detail}"
        return self._refuse(Refusal("target_lost", message, Execution.UNKNOWN, None))

    def _refuse(self, refusal: Refusal, status: int | None = None) -> web.Response:
        self._instance.metrics.refusals.labels(self._labels[0], refusal.code).inc()
        self._finish(refusal.code, ReservationOutcome.CANCELLED, refusal.message)
        return self._context.refuse(refusal, status)

    def _abort_response(self, detail: str) -> web.StreamResponse:
        """Drop the caller's connection, so that the response is seen as incomplete."""
        if self._stream.response is None:
            return self._respond_outcome_unknown(detail)
        self._finish("broken_off", ReservationOutcome.CANCELLED, detail)
        self._stream.abort()
        return self._stream.response

    def _respond_timed_out(self) -> web.StreamResponse:
        """Return the response to a request whose deadline has passed."""
        if self._stream.response is not None:
            return self._abort_response("the deadline of the request has passed")
        if self._execution.may_have_run:
            if self._error_response is not None:
                return self._respond_outcome_unknown("no other target answered")
            message = "the target did not answer in time"
            refusal = Refusal("timeout", message, Execution.UNKNOWN, None)
            return self._refuse(refusal, status=504)
        message = "no target had room in time"
        return self._refuse(not_run("overloaded", message, _RETRY_AFTER_SECONDS), 503)

    def _record_failure(self, placement: TargetChosen, error: ExchangeError) -> None:
        self._log(
            "target_failed",
            target=placement.target,
            failure=error.failure.value,
            transmissions=error.transmissions,
            detail=error.detail,
            events=self._stream.count,
        )
        self._excluded_targets = (*self._excluded_targets, placement.target)
        record = self._targets().get(placement.target)
        is_live = keeps_running(self._instance.board, placement.target)
        outcome = _OUTCOMES[error.failure]
        if record is not None and self._is_only_link_down(record, error):
            outcome = ReservationOutcome.CANCELLED
        may_have_run = error.failure is ExchangeFailure.MAY_HAVE_RUN
        if may_have_run and is_live:
            self._break_count += 1
        if may_have_run and is_live and record is not None and not error.is_pause:
            has_started = self._stream.count >= _MIN_STARTED_EVENTS
            report = start_background_task(
                self._report_target_loss(record, self._attempt, has_started),
                self._instance.logger,
            )
            _BACKGROUND_TASKS.add(report)
            report.add_done_callback(_BACKGROUND_TASKS.discard)
        is_at_target = not error.is_pause and not error.relay
        if error.failure is not ExchangeFailure.NOT_RUN and is_at_target:
            now = _clock.monotonic()
            self._instance.health.handle(TargetFailed(placement.target), now)
        self._release(outcome)

    def _is_only_link_down(self, record: TargetRecord, error: ExchangeError) -> bool:
        """Return whether a target may be sound that this instance can't connect to."""
        is_unsent = error.failure is ExchangeFailure.NOT_SENT
        return is_unsent and not self._client.is_target_down(record.address)

    async def _report_target_loss(
        self, target: TargetRecord, attempt: int, has_started: bool
    ) -> None:
        """Report a target that became unreachable while it ran the request."""
        reachability = await self._client.probe(target.address)
        if reachability is Reachability.ACCEPTS:
            return
        if reachability is Reachability.UNKNOWN:
            self._log("target_loss_unconfirmed", target=target.name)
            return
        identity = self._spec.identity
        self._log(
            "target_lost",
            target=target.name,
            reachability=reachability.value,
            has_started=has_started,
            fingerprint=identity.request,
            parts=",".join(identity.parts),
        )
        now = _clock.monotonic()
        if reachability is Reachability.REFUSES and not has_started:
            crashed = RunCrashed(
                identity,
                self._spec.account,
                target.name,
                f"{self._spec.key}.{attempt}",
                _clock.wall_time(),
            )
            self._instance.carry_out(self._instance.quarantine.handle(crashed, now))
        reservation = build_reservation(self._spec, self._attempt, (), now)
        loss = TargetLossReported(reservation, target.name)
        self._instance.carry_out(self._instance.placement.handle(loss, now))

    def _record_success(self, placement: TargetChosen) -> None:
        now = _clock.monotonic()
        self._instance.health.handle(TargetSucceeded(placement.target), now)

    def _record_start(self, now: float) -> None:
        """Record that a target began to answer, so the request does not crash it."""
        started = RunStarted(self._spec.identity)
        self._instance.carry_out(self._instance.quarantine.handle(started, now))

    def _record_longest_gap(self) -> None:
        self._instance.metrics.stall.labels(*self._labels).observe(
            self._stream.longest_gap
        )

    def _release(self, outcome: ReservationOutcome) -> None:
        """Release the placement; further calls do nothing."""
        if not self._has_placement:
            return
        self._has_placement = False
        self._placement = None
        if self._placement_key != self._spec.key:
            self._instance.remove_placement_listener(self._placement_key)
        ended = PlacementEnded(self._placement_key, outcome)
        now = _clock.monotonic()
        self._instance.carry_out(self._instance.placement.handle(ended, now))

    def _finish(self, end: str, outcome: ReservationOutcome, detail: str = "") -> None:
        """Release the placement, and log and count the end of the request."""
        placement = self._placement
        self._release(outcome)
        self._instance.metrics.requests.labels(*self._labels, end).inc()
        self._log(
            "request_ended",
            end=end,
            detail=detail,
            target=placement.target if placement is not None else "",
            seconds=round(_clock.monotonic() - self._spec.received_at, 3),
            longest_gap=round(self._stream.longest_gap, 3),
        )

    def _log(self, event: str, **fields: object) -> None:
        self._instance.logger.info(
            event,
            request_id=self._spec.head.request_id,
            account=self._spec.account,
            route=self._spec.route_name,
            bundle_index=self._spec.bundle_index,
            attempt=self._attempt,
            **fields,
        )
