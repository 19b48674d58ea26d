"""Runs one generation between its controller, its engine links and its caller."""

from __future__ import annotations

import asyncio
from typing import Any, NamedTuple, assert_never

import aiohttp
from aiohttp import web
from returns.result import Failure, Success

from heathertack.blackboard import TARGET_HEALTH, TARGETS, TargetHealth
from heathertack.controllers import (
    CallerDisconnected,
    CancelAttempt,
    CloseLink,
    CompleteResponse,
    CopyDropped,
    CountDroppedEvent,
    DeliverTokens,
    DiscardBufferedTokens,
    EndReceived,
    FailResponse,
    GenerationAction,
    GenerationController,
    GenerationEvent,
    GenerationLimits,
    GenerationTimePassed,
    LinkClosed,
    LinkFailure,
    LinkOpened,
    LossReportCompleted,
    OpenStream,
    Placed,
    PlacementDenied,
    PlacementEnded,
    PlacementRefused,
    PlacementRequested,
    ReleaseTarget,
    ReportLoss,
    ReportTargetFailure,
    RequestPlacement,
    ResumeStream,
    StreamGapMeasured,
    TargetChosen,
    TargetFailed,
    TargetSucceeded,
    TokensGenerated,
    TokensReceived,
    is_evacuated,
    stall_timeout,
)
from heathertack.messages import ReservationRequest
from heathertack.state import LossRecorded, ReportTargetLoss, TargetLoss
from heathertackd import _clock
from heathertackd._caller_stream import CallerStream
from heathertackd._engine_client import EngineClient, EngineEvent, read_events
from heathertackd._instance import Instance
from heathertackd._refusals import not_run, refusal_document, refusal_response
from heathertackd._wire import CompletionRequest, CompletionWriter

_MAX_QUEUED_EVENT_BATCHES = 16
_LOSS_REPORT_TIMEOUT_SECONDS = 2.0
_PROGRESS_REPORT_INTERVAL_EVENTS = 16


class GenerationSpec(NamedTuple):
    """A validated request for a generation."""

    request: CompletionRequest
    reservation: ReservationRequest
    #: Time of receipt, monotonic clock, seconds.
    received_at: float
    #: Timeout of one write to the caller, seconds.
    write_timeout: float


class GenerationSession:
    """Serves one generation, from the request to the final response.

    Parameters
    ----------
    instance : Instance
        The daemon.
    engines : EngineClient
        Connections to engines.
    spec : GenerationSpec
        The validated request.
    http_request : web.Request
        Request of the caller.
    """

    def __init__(
        self,
        instance: Instance,
        engines: EngineClient,
        spec: GenerationSpec,
        http_request: web.Request,
    ) -> None:
        self._instance = instance
        self._engines = engines
        self._spec = spec
        reservation = spec.reservation
        self._id = reservation.generation_id
        self._controller = GenerationController(
            self._id,
            GenerationLimits(),
            is_streamed=spec.request.stream,
            now=_clock.monotonic(),
        )
        self._writer = CompletionWriter(spec.request, self._id, int(_clock.wall_time()))
        self._events: asyncio.Queue[tuple[GenerationEvent, ...]] = asyncio.Queue(
            _MAX_QUEUED_EVENT_BATCHES
        )
        self._timer: asyncio.TimerHandle | None = None
        self._timer_deadline = 0.0
        self._links: dict[int, asyncio.Task[None]] = {}
        #: Addresses at which attempts were opened, by target: the table may no longer
        #: hold a target while it runs one.
        self._addresses: dict[str, str] = {}
        self._background_tasks: set[asyncio.Task[Any]] = set()
        self._stream = CallerStream(
            http_request,
            self._id,
            spec.write_timeout,
            lambda: instance.drain.is_leaving,
        )
        self._full_response: web.Response | None = None
        self._buffered_text: list[str] = []
        self._first_token_at: float | None = None
        self._last_token_at = 0.0
        self._longest_gap = 0.0
        self._reported_tokens = 0
        account = instance.metrics.account_label(reservation.account)
        self._labels = (account, reservation.class_name)
        self._gap_histogram = instance.metrics.token_gap.labels(*self._labels)

    async def run(self) -> web.StreamResponse:
        """Serve the request and return the response that was sent."""
        self._instance.add_placement_listener(self._id, self)
        try:
            await self._execute(self._controller.start())
            while not self._controller.is_ended:
                await self._process_next_events()
        except (ConnectionError, TimeoutError, asyncio.CancelledError):
            await self._cancel()
            raise
        finally:
            self._instance.remove_placement_listener(self._id)
            if self._timer is not None:
                self._timer.cancel()
            for task in self._links.values():
                task.cancel()
            self._record_gaps()
        response = self._full_response or self._stream.response
        if response is None:
            message = "the generation ended without an answer"
            return refusal_response(not_run("internal_error", message))
        return response

    def handle_placement(self, decision: TargetChosen | PlacementDenied) -> None:
        """Pass the decision of admission on to the controller."""
        event: GenerationEvent
        if isinstance(decision, TargetChosen):
            detail = f"{decision.target}: {decision.reason}"
            self._instance.explanations.add(self._id, "placed", detail)
            event = Placed(decision.attempt, decision.target)
        else:
            self._instance.explanations.add(self._id, decision.code, decision.reason)
            refusal = not_run(decision.code, decision.reason, decision.retry_after)
            event = PlacementRefused(decision.attempt, refusal)
        self._spawn(self._events.put((event,)))

    def handle_copy_dropped(self, dropped: CopyDropped) -> None:
        """Do nothing: engines served by this interface have no backup copies."""

    async def _process_next_events(self) -> None:
        """Wait for the next batch of events and process it."""
        self._arm_timer()
        events = await self._events.get()
        now = _clock.monotonic()
        for event in events:
            await self._execute(self._controller.handle(event, now))
        await self._stream.flush()

    def _arm_timer(self) -> None:
        """Ensure that a timer fires no later than the next deadline of the controller.

        Each token postpones the deadline. The timer is not reset for that; when it
        fires early, it is started again for the current deadline.
        """
        deadline = self._controller.next_deadline()
        if deadline is None:
            return
        if self._timer is not None:
            if self._timer_deadline <= deadline:
                return
            self._timer.cancel()
        self._start_timer(deadline)

    def _start_timer(self, deadline: float) -> None:
        """Start a timer for a deadline on the daemon's clock, not the event loop's."""
        self._timer_deadline = deadline
        wait = max(deadline - _clock.monotonic(), 0.0)
        self._timer = asyncio.get_running_loop().call_later(wait, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        deadline = self._controller.next_deadline()
        is_due = deadline is not None and deadline <= _clock.monotonic()
        if is_due and not self._events.full():
            self._events.put_nowait((GenerationTimePassed(),))
        elif deadline is not None:
            self._start_timer(deadline)

    async def _cancel(self) -> None:
        """Release the resources of the generation, which has lost its caller.

        The caller has disconnected, or a write to it timed out.
        """
        actions = self._controller.handle(CallerDisconnected(), _clock.monotonic())
        self._stream.discard()
        await self._execute(actions)
        self._count_result("cancelled")

    async def _execute(self, actions: tuple[GenerationAction, ...]) -> None:
        for action in actions:
            match action:
                case DeliverTokens():
                    await self._deliver(action.text)
                case RequestPlacement():
                    self._request_placement(action)
                case OpenStream():
                    self._open_link(action)
                case ResumeStream():
                    self._resume_link(action)
                case CloseLink():
                    self._close_link(action.link)
                case CancelAttempt():
                    self._cancel_attempt(action)
                case DiscardBufferedTokens():
                    self._buffered_text.clear()
                case CompleteResponse():
                    await self._complete(action)
                case FailResponse():
                    await self._fail(action)
                case ReleaseTarget():
                    self._release(action)
                case ReportTargetFailure():
                    self._record_target_failure(action.target)
                case ReportLoss():
                    self._spawn(self._report_loss(action))
                case CountDroppedEvent():
                    label = action.reason.value
                    self._instance.metrics.dropped_events.labels(label).inc()
                case _:
                    assert_never(action)

    def _request_placement(self, action: RequestPlacement) -> None:
        request = self._spec.reservation._replace(
            attempt=action.attempt, excluded=action.excluded
        )
        placement = self._instance.placement
        requested = PlacementRequested(request)
        actions = placement.handle(requested, _clock.monotonic())
        self._instance.carry_out(actions)

    def _open_link(self, action: OpenStream) -> None:
        if action.link == 1:
            wait = _clock.monotonic() - self._spec.received_at
            self._instance.metrics.queue_wait.labels(*self._labels).observe(wait)
        record = self._instance.board.read(TARGETS).get(action.target)
        if record is None:
            detail = f"{action.target} is not listed"
            self._refuse_link(action.link, LinkFailure.UNREACHABLE, detail)
            return
        self._addresses[action.target] = record.address
        body = {
            **self._spec.request.body,
            "id": action.attempt_id,
            "stream": True,
            "max_tokens": self._spec.reservation.max_tokens,
            "priority": self._spec.reservation.priority,
        }
        pending_response = self._engines.open_stream(
            record.address, self._spec.request.path, body
        )
        self._links[action.link] = asyncio.create_task(
            self._read_link(action.link, pending_response)
        )

    def _resume_link(self, action: ResumeStream) -> None:
        if self._is_evacuated(action.target):
            # A target that lost the generation is not asked again, either.
            detail = f"{action.target} is evacuated"
            self._refuse_link(action.link, LinkFailure.UNKNOWN_GENERATION, detail)
            return
        address = self._addresses.get(action.target)
        if address is None:
            detail = f"no attempt was opened at {action.target}"
            self._refuse_link(action.link, LinkFailure.UNREACHABLE, detail)
            return
        self._instance.metrics.resumes.inc()
        self._instance.explanations.add(
            self._id, "resumed", f"{action.target} from {action.offset}"
        )
        pending_response = self._engines.resume_stream(
            address, action.attempt_id, action.offset
        )
        self._links[action.link] = asyncio.create_task(
            self._read_link(action.link, pending_response)
        )

    def _is_evacuated(self, target: str) -> bool:
        return is_evacuated(self._instance.board, target)

    def _refuse_link(self, link: int, failure: LinkFailure, detail: str) -> None:
        """Close a link that must not be opened."""
        closed = LinkClosed(link, failure, detail)
        self._spawn(self._events.put((closed,)))

    async def _read_link(self, link: int, pending_response: Any) -> None:
        """Convert what happens on a link into controller events."""
        match await pending_response:
            case Success(response):
                await self._events.put((LinkOpened(link),))
                failure = await self._read_response(link, response)
            case Failure(error):
                failure = LinkClosed(link, error.failure, error.detail)
        await self._events.put((failure,))

    async def _read_response(
        self, link: int, response: aiohttp.ClientResponse
    ) -> LinkClosed:
        try:
            async for events in read_events(response):
                translated = tuple(
                    _to_controller_event(link, event) for event in events
                )
                await self._events.put(translated)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return LinkClosed(link, LinkFailure.BROKEN, str(error))
        finally:
            response.close()
        return LinkClosed(
            link, LinkFailure.BROKEN, "stream closed before the end of the response"
        )

    def _close_link(self, link: int) -> None:
        task = self._links.pop(link, None)
        if task is not None:
            task.cancel()

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        address = self._addresses.get(action.target)
        if address is not None:
            self._spawn(self._engines.cancel(address, action.attempt_id))

    async def _deliver(self, text: str) -> None:
        now = _clock.monotonic()
        self._record_token_time(now)
        if not self._spec.request.stream:
            self._buffered_text.append(text)
            return
        self._stream.add(self._writer.encode_chunk(text))

    def _record_token_time(self, now: float) -> None:
        metrics = self._instance.metrics
        if self._first_token_at is None:
            self._first_token_at = now
            wait = now - self._spec.received_at
            metrics.first_token.labels(*self._labels).observe(wait)
            self._report_progress(now)
        else:
            gap = now - self._last_token_at
            self._longest_gap = max(self._longest_gap, gap)
            self._gap_histogram.observe(gap)
        self._last_token_at = now
        if (
            self._controller.offset - self._reported_tokens
            >= _PROGRESS_REPORT_INTERVAL_EVENTS
        ):
            self._report_progress(now)

    def _report_progress(self, now: float) -> None:
        self._reported_tokens = self._controller.offset
        progress = TokensGenerated(self._id, self._controller.offset)
        self._instance.carry_out(self._instance.placement.handle(progress, now))
        if self._reported_tokens <= 1:
            target = self._controller.target
            self._instance.health.handle(TargetSucceeded(target), now)
            health = self._instance.board.read(TARGET_HEALTH)
            target_health = health.get(target, TargetHealth())
            self._controller.set_stall_timeout(stall_timeout(target_health))

    async def _complete(self, action: CompleteResponse) -> None:
        self._count_result("whole")
        self._instance.explanations.add(self._id, "whole", f"{action.tokens} events")
        if self._spec.request.stream:
            self._stream.add(self._writer.encode_end(action.reason))
            await self._stream.flush()
            return
        text = "".join(self._buffered_text)
        self._full_response = web.Response(
            body=self._writer.encode_full_response(text, action.reason, action.tokens),
            content_type="application/json",
            headers={"X-Request-Id": self._id},
        )

    async def _fail(self, action: FailResponse) -> None:
        refusal = action.refusal
        self._count_result("refused")
        account = self._labels[0]
        self._instance.metrics.refusals.labels(account, refusal.code).inc()
        self._instance.explanations.add(self._id, refusal.code, refusal.message)
        self._instance.logger.info(
            "generation_refused",
            request_id=self._id,
            account=self._spec.reservation.account,
            code=refusal.code,
            execution=refusal.execution.value,
        )
        if self._stream.is_empty:
            self._full_response = refusal_response(refusal)
            self._full_response.headers["X-Request-Id"] = self._id
            return
        self._stream.add(self._writer.encode_error(refusal_document(refusal)))
        await self._stream.flush()

    def _release(self, action: ReleaseTarget) -> None:
        now = _clock.monotonic()
        placement = self._instance.placement
        progress = TokensGenerated(self._id, self._controller.offset)
        self._instance.carry_out(placement.handle(progress, now))
        ended = PlacementEnded(self._id, action.outcome)
        self._instance.carry_out(placement.handle(ended, now))

    def _record_target_failure(self, target: str) -> None:
        self._instance.health.handle(TargetFailed(target), _clock.monotonic())
        self._instance.logger.warning(
            "target_failed", target=target, request_id=self._id
        )

    async def _report_loss(self, action: ReportLoss) -> None:
        """Commit the loss of a target before the request is retried.

        The request has not caused the loss of a target that is evacuated.
        """
        if self._is_evacuated(action.target):
            await self._events.put((LossReportCompleted(action.attempt, 0),))
            return
        self._instance.metrics.target_losses.inc()
        self._instance.explanations.add(self._id, "target_lost", action.target)
        reservation = self._spec.reservation
        command = ReportTargetLoss(
            reservation.fingerprint,
            reservation.account,
            TargetLoss(action.target, action.attempt_id),
        )
        losses: int | None = None
        match await self._instance.control.commit(
            command, _LOSS_REPORT_TIMEOUT_SECONDS
        ):
            case Success(LossRecorded(losses=recorded)):
                losses = recorded
            case _:
                self._instance.logger.warning("loss_unrecorded", request_id=self._id)
        await self._events.put((LossReportCompleted(action.attempt, losses),))

    def _record_gaps(self) -> None:
        event_count = self._controller.offset
        if self._first_token_at is None or event_count < 2:
            return
        self._instance.metrics.stall.labels(*self._labels).observe(self._longest_gap)
        mean_gap = (self._last_token_at - self._first_token_at) / (event_count - 1)
        event = StreamGapMeasured(self._controller.target, mean_gap)
        self._instance.health.handle(event, _clock.monotonic())

    def _count_result(self, result: str) -> None:
        self._instance.metrics.requests.labels(*self._labels, result).inc()

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)


def _to_controller_event(link: int, event: EngineEvent) -> GenerationEvent:
    if event.finish_reason:
        return EndReceived(link, event.generation_id, event.offset, event.finish_reason)
    return TokensReceived(link, event.generation_id, event.offset, event.text)
