"""One forwarded request from its placement to its final answer."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

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
    TargetChosen,
    TargetFailed,
    TargetLossReported,
    TargetSucceeded,
    TokensGenerated,
)
from heathertack.messages import ReservationOutcome, TargetRecord, TargetState
from heathertackd import _clock
from heathertackd._refusals import not_run
from heathertackd.forwarding._caller_events import CallerEvents
from heathertackd.forwarding._context import ForwardingContext
from heathertackd.forwarding._dialect import ForwardAttempt
from heathertackd.forwarding._event_splitter import EventSplitter, StreamEvent
from heathertackd.forwarding._memory import Continuation, must_move
from heathertackd.forwarding._order import (
    ForwardOrder,
    build_reservation,
    reserve_running,
)
from heathertackd.forwarding._stream_mover import StreamMover
from heathertackd.forwarding._target_client import (
    ExchangeError,
    ExchangeFailure,
    TargetAnswer,
    TargetRequest,
)

#: Time after which a refused caller may come back where nothing better is known,
#: seconds.
_RETRY_AFTER_SECONDS = 0.5
#: Less time than this is not worth a send, seconds.
_LEAST_SEND_SECONDS = 0.02
_SERVER_ERROR = 500
#: Wait for the first list of targets, which comes with the leases.
_TARGETS_SECONDS = 1.0
_TARGETS_STEP_SECONDS = 0.1
#: Targets that may break off one stream: each of them may have been brought down by
#: it, and a third one is not risked.
_MOST_BREAKS = 2
#: Reports that outlive their request.
_BACKGROUND: set[asyncio.Task[None]] = set()
#: A run with fewer tokens to come ends before a move would help.
_LEAST_MOVED_TOKENS = 100
#: Wait for the end of a move whose run has stopped, seconds.
_HAND_OVER_SECONDS = 0.5
#: Targets that may refuse the connection of one request.
_MOST_CONNECTS = 4

_OUTCOMES = {
    ExchangeFailure.NOT_SENT: ReservationOutcome.UNREACHABLE,
    ExchangeFailure.NOT_RUN: ReservationOutcome.REJECTED,
    ExchangeFailure.MAY_HAVE_RUN: ReservationOutcome.ANSWER_LOST,
}


#: The final answer, a stream that broke off, or why there is no answer.
_Result = web.StreamResponse | Continuation | ExchangeError


class ForwardingSession:
    """Forwards one request, to further targets where that does no harm.

    Parameters
    ----------
    context : ForwardingContext
        Collaborators.
    order : ForwardOrder
        The checked request.
    request : web.BaseRequest
        Request of the caller.
    """

    def __init__(
        self, context: ForwardingContext, order: ForwardOrder, request: web.BaseRequest
    ) -> None:
        self._context = context
        self._instance = context.instance
        self._client = context.client
        self._dialect = context.dialect
        self._retries = context.retries
        self._order = order
        self._request = request
        self._attempt = 0
        self._sends = 0
        #: Targets that took no connection.
        self._unreached = 0
        #: Targets that broke off though they were not leaving.
        self._breaks = 0
        self._excluded: tuple[str, ...] = ()
        self._decision: asyncio.Future[TargetChosen | PlacementDenied] | None = None
        self._placed: TargetChosen | None = None
        self._has_place = False
        self._may_have_run = False
        self._set_aside: web.Response | None = None
        #: Under which admission knows the place at the target.
        self._place_key = order.key
        #: Tokens made before that place was given.
        self._made_before = 0
        self._moves = 0
        self._mover = (
            StreamMover(
                context.instance, context.mover, order.head.request_id, self._log
            )
            if context.mover is not None and order.wants_backup
            else None
        )
        account = context.instance.metrics.account_label(order.account)
        self._labels = (account, order.service)
        self._stream = CallerEvents(
            request,
            order.head.last_event_id,
            context.instance.metrics.token_gap.labels(*self._labels),
        )

    async def run(self) -> web.StreamResponse:
        """Serve the request and return the response that was sent."""
        order = self._order
        self._instance.listen(order.key, self)
        self._retries.note_request(order.service)
        try:
            async with asyncio.timeout(order.deadline - _clock.monotonic()):
                return await self._serve()
        except TimeoutError:
            return self._end_late()
        except asyncio.CancelledError:
            self._end("caller_left", ReservationOutcome.CANCELLED)
            raise
        except (ConnectionError, aiohttp.ClientError) as error:
            self._end("caller_lost", ReservationOutcome.CANCELLED, repr(error))
            raise
        finally:
            self._context.keeper.remove(self)
            if self._mover is not None:
                self._mover.cancel()
            self._release(ReservationOutcome.CANCELLED)
            self._instance.stop_listening(order.key)

    def take_placement(self, decision: TargetChosen | PlacementDenied) -> None:
        """Take the decision of admission."""
        waiting = self._decision
        is_current = decision.attempt == self._attempt
        if waiting is not None and is_current and not waiting.done():
            waiting.set_result(decision)

    def check_protection(self) -> None:
        """Begin to move if the stream would be lost with its target."""
        now = _clock.monotonic()
        placed = self._placed
        if placed is None or self._mover is None or not self._stream.count:
            return
        if not self._mover.may_begin(now):
            return
        if not must_move(self._instance.board, placed) or self._is_nearly_done():
            return
        self._moves += 1
        reservation = reserve_running(
            self._order, self._moves, self._made(), placed.target, now
        )
        self._mover.begin(placed, reservation)

    def _made(self) -> int:
        return self._stream.count * self._order.event_tokens

    def _is_nearly_done(self) -> bool:
        size = self._order.head.size
        if size is None:
            return True
        return size.max_tokens - self._made() < _LEAST_MOVED_TOKENS

    def take_copy_dropped(self, dropped: CopyDropped) -> None:
        """Go on without a copy; its memory is needed."""
        placed = self._placed
        if placed is None or placed.backup != dropped.backup:
            return
        self._placed = placed._replace(backup="")
        self._log("copy_dropped", keeper=dropped.backup)
        if self._mover is not None:
            self._mover.discard(dropped.backup)

    async def _serve(self) -> web.StreamResponse:
        continuation: Continuation | None = None
        while True:
            decision = await self._find_place(continuation)
            if isinstance(decision, PlacementDenied):
                return self._deny(decision)
            result = await self._try_target(decision, continuation)
            if isinstance(result, web.StreamResponse):
                return result
            if isinstance(result, Continuation):
                continuation = result
                if not self._may_continue(result):
                    return self._break_off("the stream broke and can't be continued")
                self._note_continuation(decision, result)
            elif not self._may_try_again(result):
                return self._fail(result)

    async def _find_place(
        self, continuation: Continuation | None
    ) -> TargetChosen | PlacementDenied:
        """Return the place of a run that was moved, or ask for one."""
        if continuation is None or continuation.placed is None:
            return await self._place(continuation)
        self._release(ReservationOutcome.CANCELLED)
        self._place_key = continuation.placed.generation_id
        self._instance.listen(self._place_key, self)
        self._made_before = self._made()
        self._has_place = True
        self._placed = continuation.placed
        return continuation.placed

    async def _place(
        self, continuation: Continuation | None
    ) -> TargetChosen | PlacementDenied:
        """Wait until admission names a target or refuses.

        A process that has just started knows no targets yet; it asks again.
        """
        while True:
            decision = await self._ask_for_place(continuation)
            waited = _clock.monotonic() - self._order.received_at
            is_unknown = (
                isinstance(decision, PlacementDenied) and decision.code == "no_target"
            )
            if not is_unknown or waited >= _TARGETS_SECONDS:
                return decision
            await asyncio.sleep(_TARGETS_STEP_SECONDS)

    async def _ask_for_place(
        self, continuation: Continuation | None
    ) -> TargetChosen | PlacementDenied:
        self._attempt += 1
        self._has_place = True
        self._place_key = self._order.key
        self._made_before = 0
        self._decision = asyncio.get_running_loop().create_future()
        now = _clock.monotonic()
        reservation = build_reservation(self._order, self._attempt, self._excluded, now)
        if continuation is not None:
            reservation = reservation._replace(
                preferred_target=continuation.target,
                max_wait=max(self._order.deadline - now, 0.0),
            )
        wanted = PlacementRequested(reservation)
        self._instance.carry_out(self._instance.placement.handle(wanted, now))
        decision = await self._decision
        self._placed = decision if isinstance(decision, TargetChosen) else None
        waited = _clock.monotonic() - now
        self._instance.metrics.queue_wait.labels(*self._labels).observe(waited)
        return decision

    async def _try_target(
        self, placed: TargetChosen, continuation: Continuation | None
    ) -> _Result:
        """Send the request to a target and deliver its answer."""
        record = self._instance.board.read(TARGETS).get(placed.target)
        if record is None:
            gone = ExchangeError(ExchangeFailure.NOT_SENT, "the target is gone")
            self._note_failure(placed, gone)
            return gone
        target_request = self._build_request(record, placed, continuation)
        self._sends += 1
        self._log("request_sent", target=placed.target, reason=placed.reason)
        result = await self._client.send(target_request)
        if isinstance(result, Failure):
            error: ExchangeError = result.failure()
            self._note_failure(placed, error)
            return error
        return await self._deliver(placed, result.unwrap())

    def _build_request(
        self,
        record: TargetRecord,
        placed: TargetChosen,
        continuation: Continuation | None,
    ) -> TargetRequest:
        order = self._order
        targets = self._instance.board.read(TARGETS)
        backup = targets.get(placed.backup)
        copy_address, copy_id = _find_copy(targets, continuation)
        attempt = ForwardAttempt(
            target=record.name,
            account=order.account,
            time_left=max(order.deadline - _clock.monotonic(), _LEAST_SEND_SECONDS),
            backup_address=backup.address if backup is not None else "",
            copy_address=copy_address,
            copy_id=copy_id,
            last_event_id=self._stream.last_event_id,
        )
        return TargetRequest(
            record.address,
            order.method,
            order.path,
            self._dialect.encode_request(order.head, attempt),
            order.body,
            order.head.request_id,
        )

    async def _deliver(self, placed: TargetChosen, answer: TargetAnswer) -> _Result:
        try:
            is_success = answer.head.status < 300
            if self._order.is_stream and is_success:
                return await self._deliver_stream(placed, answer)
            return await self._deliver_whole(placed, answer)
        finally:
            answer.close()

    async def _deliver_whole(
        self, placed: TargetChosen, answer: TargetAnswer
    ) -> _Result:
        result = await answer.read()
        if isinstance(result, Failure):
            error: ExchangeError = result.failure()
            self._note_failure(placed, error)
            return error
        status = answer.head.status
        if status >= _SERVER_ERROR and self._may_repeat():
            error = ExchangeError(ExchangeFailure.MAY_HAVE_RUN, f"status {status}")
            self._may_have_run = True
            self._set_aside = web.Response(
                status=status, headers=answer.head.headers, body=result.unwrap()
            )
            self._log("target_answered_error", target=placed.target, status=status)
            self._excluded = (*self._excluded, placed.target)
            self._release(ReservationOutcome.FINISHED)
            return error
        if self._stream.response is not None:
            error = ExchangeError(ExchangeFailure.MAY_HAVE_RUN, f"status {status}")
            self._note_failure(placed, error)
            return error
        self._note_success(placed)
        self._end("answered", ReservationOutcome.FINISHED, f"status {status}")
        return web.Response(
            status=status, headers=answer.head.headers, body=result.unwrap()
        )

    async def _deliver_stream(
        self, placed: TargetChosen, answer: TargetAnswer
    ) -> _Result:
        """Deliver events until the stream of the target ends."""
        splitter = EventSplitter()
        try:
            async for chunk in answer.read_chunks():
                events = self._stream.select_new(splitter.feed(chunk))
                if events:
                    await self._deliver_events(answer, events)
        except (aiohttp.ClientPayloadError, ValueError) as error:
            return await self._take_break(placed, repr(error))
        except (aiohttp.ClientError, OSError) as error:
            if self._request.transport is None:
                raise
            return await self._take_break(placed, repr(error))
        response = self._stream.response
        if splitter.rest or response is None:
            return await self._take_break(placed, "the stream ended within an event")
        await response.write_eof()
        self._note_success(placed)
        self._note_gap()
        delivered = f"{self._stream.count} events"
        self._end("streamed", ReservationOutcome.FINISHED, delivered)
        return response

    async def _deliver_events(
        self, answer: TargetAnswer, events: tuple[StreamEvent, ...]
    ) -> None:
        is_first = self._stream.response is None
        await self._stream.write(answer.head, events)
        now = _clock.monotonic()
        if is_first:
            waited = now - self._order.received_at
            self._instance.metrics.first_token.labels(*self._labels).observe(waited)
            self._context.keeper.add(self)
        self._report_made(now)

    def _report_made(self, now: float) -> None:
        made = TokensGenerated(self._place_key, self._made() - self._made_before)
        self._instance.carry_out(self._instance.placement.handle(made, now))

    async def _take_break(self, placed: TargetChosen, detail: str) -> _Result:
        """Note that a stream broke off, and tell where it may go on."""
        if self._mover is not None:
            moved = await self._mover.result(_HAND_OVER_SECONDS)
            if moved is not None:
                return moved
        error = ExchangeError(ExchangeFailure.MAY_HAVE_RUN, detail)
        backup = self._placed.backup if self._placed is not None else ""
        self._note_failure(placed, error)
        if self._stream.count or backup:
            return Continuation(backup)
        return error

    def _may_continue(self, continuation: Continuation) -> bool:
        """Tell whether a stream can go on at another target."""
        if continuation.placed is not None:
            return True
        if self._breaks >= _MOST_BREAKS:
            return False
        if continuation.target:
            keeper = self._instance.board.read(TARGETS).get(continuation.target)
            return keeper is not None and keeper.state is not TargetState.GONE
        may_resume = self._order.route["kind"] == "resumable"
        return may_resume and self._retries.try_spend(self._order.service)

    def _note_continuation(
        self, broken: TargetChosen, continuation: Continuation
    ) -> None:
        if continuation.placed is not None:
            return
        self._instance.metrics.resumes.inc()
        self._log(
            "stream_continued",
            lost=broken.target,
            at=continuation.target,
            last_event_id=self._stream.last_event_id,
        )

    def _may_repeat(self) -> bool:
        """Tell whether the request may run at one more target."""
        order = self._order
        has_attempts = self._sends < order.route["max_attempts"]
        return order.may_run_again and has_attempts and self._has_time()

    def _may_try_again(self, error: ExchangeError) -> bool:
        if self._stream.response is not None or not self._has_time():
            return False
        if error.failure is ExchangeFailure.NOT_SENT:
            self._sends -= 1
            self._unreached += 1
            return self._unreached < _MOST_CONNECTS
        may_have_run = error.failure is ExchangeFailure.MAY_HAVE_RUN
        if may_have_run and not self._order.may_run_again:
            return False
        has_attempts = self._sends < self._order.route["max_attempts"]
        return has_attempts and self._retries.try_spend(self._order.service)

    def _has_time(self) -> bool:
        return self._order.deadline - _clock.monotonic() > _LEAST_SEND_SECONDS

    def _deny(self, decision: PlacementDenied) -> web.StreamResponse:
        if self._stream.response is not None:
            return self._break_off(decision.reason)
        if self._may_have_run:
            return self._answer_unknown(decision.reason)
        refusal = not_run(decision.code, decision.reason, decision.retry_after)
        return self._refuse(refusal)

    def _fail(self, error: ExchangeError) -> web.StreamResponse:
        if self._stream.response is not None:
            return self._break_off(error.detail)
        if self._may_have_run:
            return self._answer_unknown(error.detail)
        message = f"the target did not run the request: {error.detail}"
        return self._refuse(not_run("no_target", message, _RETRY_AFTER_SECONDS))

    def _answer_unknown(self, detail: str) -> web.StreamResponse:
        """Answer a request that may have run and whose answer is lost.

        An error that a target answered is delivered if no other one did better.
        """
        if self._set_aside is not None:
            status = self._set_aside.status
            self._end("answered", ReservationOutcome.CANCELLED, f"status {status}")
            return self._set_aside
        message = f"the answer of the target is lost: {detail}"
        return self._refuse(Refusal("target_lost", message, Execution.UNKNOWN, None))

    def _refuse(self, refusal: Refusal, status: int | None = None) -> web.Response:
        self._instance.metrics.refusals.labels(self._labels[0], refusal.code).inc()
        self._end(refusal.code, ReservationOutcome.CANCELLED, refusal.message)
        return self._context.refuse(refusal, status)

    def _break_off(self, detail: str) -> web.StreamResponse:
        """Close the caller's connection, so that the answer looks incomplete."""
        if self._stream.response is None:
            return self._answer_unknown(detail)
        self._end("broken_off", ReservationOutcome.CANCELLED, detail)
        self._stream.abort()
        return self._stream.response

    def _end_late(self) -> web.StreamResponse:
        """Answer a request whose time is over."""
        if self._stream.response is not None:
            return self._break_off("the time of the request is over")
        if self._sends or self._may_have_run:
            message = "the target did not answer in time"
            refusal = Refusal("timeout", message, Execution.UNKNOWN, None)
            return self._refuse(refusal, status=504)
        message = "no target had room in time"
        return self._refuse(not_run("overloaded", message, _RETRY_AFTER_SECONDS), 503)

    def _note_failure(self, placed: TargetChosen, error: ExchangeError) -> None:
        self._log(
            "target_failed",
            target=placed.target,
            failure=error.failure.value,
            detail=error.detail,
            events=self._stream.count,
        )
        self._excluded = (*self._excluded, placed.target)
        record = self._instance.board.read(TARGETS).get(placed.target)
        is_live = record is not None and record.state is TargetState.LIVE
        outcome = _OUTCOMES[error.failure]
        may_have_run = error.failure is ExchangeFailure.MAY_HAVE_RUN
        self._may_have_run |= may_have_run
        if may_have_run and is_live and record is not None:
            self._breaks += 1
            blaming = asyncio.create_task(self._blame(record))
            _BACKGROUND.add(blaming)
            blaming.add_done_callback(_BACKGROUND.discard)
        if error.failure is not ExchangeFailure.NOT_RUN:
            now = _clock.monotonic()
            self._instance.health.handle(TargetFailed(placed.target), now)
        self._release(outcome)

    async def _blame(self, target: TargetRecord) -> None:
        """Report a target that went down while it ran the request."""
        if await self._client.is_reachable(target.address):
            return
        self._log("target_lost", target=target.name)
        now = _clock.monotonic()
        reservation = build_reservation(self._order, self._attempt, (), now)
        blamed = TargetLossReported(reservation, target.name)
        self._instance.carry_out(self._instance.placement.handle(blamed, now))

    def _note_success(self, placed: TargetChosen) -> None:
        now = _clock.monotonic()
        self._instance.health.handle(TargetSucceeded(placed.target), now)

    def _note_gap(self) -> None:
        self._instance.metrics.stall.labels(*self._labels).observe(
            self._stream.longest_gap
        )

    def _release(self, outcome: ReservationOutcome) -> None:
        """Free the place at the target, once."""
        if not self._has_place:
            return
        self._has_place = False
        self._placed = None
        if self._place_key != self._order.key:
            self._instance.stop_listening(self._place_key)
        ended = PlacementEnded(self._place_key, outcome)
        now = _clock.monotonic()
        self._instance.carry_out(self._instance.placement.handle(ended, now))

    def _end(self, end: str, outcome: ReservationOutcome, detail: str = "") -> None:
        """Log and count the final answer."""
        placed = self._placed
        self._release(outcome)
        self._instance.metrics.requests.labels(*self._labels, end).inc()
        self._log(
            "request_ended",
            end=end,
            detail=detail,
            target=placed.target if placed is not None else "",
            seconds=round(_clock.monotonic() - self._order.received_at, 3),
            longest_gap=round(self._stream.longest_gap, 3),
        )

    def _log(self, event: str, **fields: object) -> None:
        self._instance.logger.info(
            event,
            request_id=self._order.head.request_id,
            account=self._order.account,
            route=self._order.route_name,
            bundle_index=self._order.bundle_index,
            attempt=self._attempt,
            **fields,
        )


def _find_copy(
    targets: Mapping[str, TargetRecord], continuation: Continuation | None
) -> tuple[str, str]:
    """Return the address and the id of the copy to continue from."""
    if continuation is None:
        return "", ""
    if continuation.copy_id:
        return continuation.copy_address, continuation.copy_id
    keeper = targets.get(continuation.target)
    return (keeper.address if keeper is not None else ""), ""
