"""State machine of a single generation, from placement to the final response."""

from __future__ import annotations

from typing import NamedTuple, assert_never

from heathertack.controllers._generation_types import (
    Action,
    CallerDisconnected,
    CancelAttempt,
    CloseLink,
    CompleteResponse,
    CountDroppedEvent,
    DeliverTokens,
    DiscardBufferedTokens,
    DropReason,
    EndReceived,
    Event,
    Execution,
    FailResponse,
    GenerationState,
    LinkClosed,
    LinkFailure,
    LinkOpened,
    LossReportCompleted,
    OpenStream,
    Placed,
    PlacementRefused,
    Refusal,
    ReleaseTarget,
    ReportLoss,
    ReportTargetFailure,
    RequestPlacement,
    ResumeStream,
    TimePassed,
    TokensReceived,
)
from heathertack.messages import ReservationOutcome

_LOSSES_TO_QUARANTINE = 2


class GenerationLimits(NamedTuple):
    """Timeouts and limits of one generation."""

    #: Silence after which a started stream is resumed, seconds.
    stall_timeout: float = 1.0
    #: Silence before the first token after which the stream is resumed, seconds.
    first_token_timeout: float = 5.0
    #: Time without an open link after which the target counts as lost, seconds.
    unreachable_timeout: float = 4.0
    #: Time without a new token after which the target counts as lost, seconds.
    progress_timeout: float = 60.0
    #: Upper bound of the silence timeout, which doubles with each resume that
    #: brings no new token, seconds.
    max_stall_timeout: float = 10.0
    #: Delay between a broken link and the next resume, seconds.
    resume_interval: float = 0.25
    #: Maximum number of targets tried.
    max_attempts: int = 4


class GenerationController:
    """State machine of one generation.

    Parameters
    ----------
    generation_id : str
        Identifier of the generation, shared by all its attempts.
    limits : GenerationLimits
        Timeouts and limits.
    is_streamed : bool
        Whether the caller receives tokens as they are generated. Otherwise they
        are buffered, and a lost generation can restart from the beginning.
    now : float
        Monotonic clock, seconds.
    """

    def __init__(
        self,
        generation_id: str,
        limits: GenerationLimits,
        *,
        is_streamed: bool,
        now: float,
    ) -> None:
        self._generation_id = generation_id
        self._limits = limits
        self._is_streamed = is_streamed
        self._state = GenerationState.QUEUED
        self._attempt = 0
        self._target = ""
        self._excluded: tuple[str, ...] = ()
        self._link = 0
        self._link_is_open = False
        self._offset = 0
        self._last_activity_at = now
        self._disconnected_since = now
        self._next_resume: float | None = None
        self._last_progress_at = now
        self._resumes_without_progress = 0
        self._attempt_may_have_run = False
        self._may_have_run = False

    @property
    def state(self) -> GenerationState:
        """Current state."""
        return self._state

    @property
    def offset(self) -> int:
        """Number of token events delivered by the current attempt."""
        return self._offset

    @property
    def target(self) -> str:
        """Target of the current attempt."""
        return self._target

    @property
    def attempt(self) -> int:
        """Number of the current attempt, from 1."""
        return self._attempt

    @property
    def attempt_id(self) -> str:
        """Identifier of the current attempt at its target."""
        return f"{self._generation_id}.{self._attempt}"

    @property
    def is_ended(self) -> bool:
        """Whether the caller has the final response or has disconnected."""
        return self._state in _FINAL_STATES

    def set_stall_timeout(self, seconds: float) -> None:
        """Set the silence after which a started stream is resumed."""
        self._limits = self._limits._replace(stall_timeout=seconds)

    def start(self) -> tuple[Action, ...]:
        """Request the first target."""
        return self._request_placement()

    def next_deadline(self) -> float | None:
        """Return when :class:`TimePassed` is next due, ``None`` if never."""
        if self._state is GenerationState.RESUMING and self._next_resume is not None:
            return self._next_resume
        if self._state in _CONNECTED_STATES:
            return self._last_activity_at + self._silence_timeout()
        return None

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
            Actions, to be executed in this order.
        """
        if self.is_ended:
            return _count_late_event(event)
        match event:
            case Placed():
                return self._handle_placed(event, now)
            case PlacementRefused():
                return self._handle_placement_refused(event)
            case LinkOpened():
                return self._handle_link_opened(event, now)
            case TokensReceived():
                return self._handle_tokens(event, now)
            case EndReceived():
                return self._handle_end(event, now)
            case LinkClosed():
                return self._handle_link_closed(event, now)
            case LossReportCompleted():
                return self._handle_loss_report(event)
            case CallerDisconnected():
                return self._handle_disconnect()
            case TimePassed():
                return self._handle_time_passed(now)
            case _:
                assert_never(event)

    def _request_placement(self) -> tuple[Action, ...]:
        self._state = GenerationState.QUEUED
        self._attempt += 1
        self._target = ""
        return (RequestPlacement(self._attempt, self._excluded),)

    def _handle_placed(self, event: Placed, now: float) -> tuple[Action, ...]:
        is_expected = self._state is GenerationState.QUEUED
        if not is_expected or event.attempt != self._attempt:
            return ()
        self._state = GenerationState.PLACED
        self._target = event.target
        self._attempt_may_have_run = False
        self._link += 1
        self._link_is_open = False
        self._last_activity_at = now
        self._disconnected_since = now
        self._last_progress_at = now
        self._resumes_without_progress = 0
        return (OpenStream(self._link, event.target, self.attempt_id),)

    def _handle_placement_refused(self, event: PlacementRefused) -> tuple[Action, ...]:
        is_expected = self._state is GenerationState.QUEUED
        if not is_expected or event.attempt != self._attempt:
            return ()
        refusal = event.refusal
        return self._fail(refusal)

    def _handle_link_opened(self, event: LinkOpened, now: float) -> tuple[Action, ...]:
        if event.link != self._link or self._state not in _ACTIVE_STATES:
            return ()
        self._link_is_open = True
        self._next_resume = None
        self._last_activity_at = now
        self._mark_may_have_run()
        started = self._offset > 0
        self._state = GenerationState.STREAMING if started else GenerationState.PLACED
        return ()

    def _handle_tokens(self, event: TokensReceived, now: float) -> tuple[Action, ...]:
        reason = self._find_drop_reason(event)
        if reason is not None:
            return self._drop_event(event, reason, now)
        self._state = GenerationState.STREAMING
        self._offset += 1
        self._note_progress(now)
        return (DeliverTokens(event.text),)

    def _handle_end(self, event: EndReceived, now: float) -> tuple[Action, ...]:
        reason = self._find_drop_reason(event)
        if reason is not None:
            return self._drop_event(event, reason, now)
        self._state = GenerationState.FINISHED
        return (
            CloseLink(self._link),
            CompleteResponse(event.reason, self._offset),
            ReleaseTarget(ReservationOutcome.FINISHED),
        )

    def _find_drop_reason(
        self, event: TokensReceived | EndReceived
    ) -> DropReason | None:
        """Return why an event has to be dropped, ``None`` if it can be delivered."""
        if event.generation_id != self.attempt_id or self._state not in _ACTIVE_STATES:
            return DropReason.FOREIGN
        if event.offset < self._offset:
            return DropReason.REPEATED
        if event.offset > self._offset:
            return DropReason.GAP
        return None

    def _drop_event(
        self, event: TokensReceived | EndReceived, reason: DropReason, now: float
    ) -> tuple[Action, ...]:
        """Count a dropped event and, after a gap, resume from the current offset."""
        counted = CountDroppedEvent(reason)
        is_current_link = event.link == self._link and self._link_is_open
        if reason is DropReason.GAP and is_current_link:
            return (counted, *self._resume(now))
        return (counted,)

    def _note_progress(self, now: float) -> None:
        self._last_activity_at = now
        self._last_progress_at = now
        self._resumes_without_progress = 0

    def _mark_may_have_run(self) -> None:
        self._attempt_may_have_run = True
        self._may_have_run = True

    def _handle_link_closed(self, event: LinkClosed, now: float) -> tuple[Action, ...]:
        if event.link != self._link or self._state not in _ACTIVE_STATES:
            return ()
        if self._link_is_open:
            self._disconnected_since = now
        self._link_is_open = False
        match event.failure:
            case LinkFailure.INVALID_REQUEST:
                return self._fail_invalid_request(event.detail)
            case failure if failure in _NOT_ACCEPTED and not self._attempt_may_have_run:
                return self._retry_on_another_target(event.failure)
            case LinkFailure.UNKNOWN_GENERATION:
                return self._abandon_target()
            case _:
                return self._schedule_resume(event.failure, now)

    def _fail_invalid_request(self, detail: str) -> tuple[Action, ...]:
        refusal = Refusal("invalid_request", detail, Execution.NOT_RUN)
        return (ReleaseTarget(ReservationOutcome.FINISHED), *self._fail(refusal))

    def _retry_on_another_target(self, failure: LinkFailure) -> tuple[Action, ...]:
        """Retry after a failure at a target that can't have run the request."""
        outcome = (
            ReservationOutcome.REJECTED
            if failure is LinkFailure.BUSY
            else ReservationOutcome.UNREACHABLE
        )
        actions: tuple[Action, ...] = (
            ReportTargetFailure(self._target),
            ReleaseTarget(outcome),
        )
        self._excluded = (*self._excluded, self._target)
        if self._attempt >= self._limits.max_attempts:
            message = f"{self._attempt} targets could not take the request"
            refusal = Refusal("no_target", message, Execution.NOT_RUN, 1.0)
            return (*actions, *self._fail(refusal))
        return (*actions, *self._request_placement())

    def _schedule_resume(self, failure: LinkFailure, now: float) -> tuple[Action, ...]:
        """Resume at the same target later, unless it has been unreachable too long."""
        self._mark_may_have_run()
        is_refused = failure is LinkFailure.UNREACHABLE
        disconnected_seconds = now - self._disconnected_since
        is_target_down = is_refused and self._state is GenerationState.RESUMING
        if is_target_down or disconnected_seconds >= self._limits.unreachable_timeout:
            return self._abandon_target()
        self._state = GenerationState.RESUMING
        self._next_resume = now + self._limits.resume_interval
        return ()

    def _resume(self, now: float) -> tuple[Action, ...]:
        """Replace the current link by a new one to the same target.

        The request may already have reached the target on the replaced link, so it
        counts as possibly executed.
        """
        self._may_have_run = True
        closed = CloseLink(self._link)
        if self._link_is_open:
            self._disconnected_since = now
        self._link += 1
        self._link_is_open = False
        self._state = GenerationState.RESUMING
        self._next_resume = now + self._limits.unreachable_timeout
        resumed = ResumeStream(self._link, self._target, self.attempt_id, self._offset)
        return (closed, resumed)

    def _abandon_target(self) -> tuple[Action, ...]:
        """Release the target and report that it lost the generation."""
        self._mark_may_have_run()
        target = self._target
        attempt_id = self.attempt_id
        self._excluded = (*self._excluded, target)
        self._state = GenerationState.REPORTING
        return (
            CloseLink(self._link),
            CancelAttempt(target, attempt_id),
            ReportTargetFailure(target),
            ReleaseTarget(ReservationOutcome.TARGET_LOST),
            ReportLoss(self._attempt, target, attempt_id),
        )

    def _handle_loss_report(self, event: LossReportCompleted) -> tuple[Action, ...]:
        is_expected = self._state is GenerationState.REPORTING
        if not is_expected or event.attempt != self._attempt:
            return ()
        if event.losses is None:
            message = "a target was lost, and the loss could not be recorded"
            return self._fail(Refusal("target_lost", message, Execution.UNKNOWN, 2.0))
        if event.losses >= _LOSSES_TO_QUARANTINE:
            message = f"{event.losses} targets were lost while they ran the request"
            refusal = Refusal("quarantined", message, Execution.UNKNOWN, 60.0)
            return self._fail(refusal)
        if self._offset and self._is_streamed:
            message = f"target {self._target} lost the generation"
            return self._fail(Refusal("target_lost", message, Execution.UNKNOWN, 1.0))
        if self._attempt >= self._limits.max_attempts:
            message = f"{self._attempt} targets lost the generation"
            return self._fail(Refusal("target_lost", message, Execution.UNKNOWN, 5.0))
        discarded: tuple[Action, ...] = (
            (DiscardBufferedTokens(),) if self._offset else ()
        )
        self._offset = 0
        return (*discarded, *self._request_placement())

    def _handle_disconnect(self) -> tuple[Action, ...]:
        is_active = self._state in _ACTIVE_STATES
        self._state = GenerationState.CANCELLED
        release = ReleaseTarget(ReservationOutcome.CANCELLED)
        if not is_active:
            return (release,)
        cancel = CancelAttempt(self._target, self.attempt_id)
        return (CloseLink(self._link), cancel, release)

    def _fail(self, refusal: Refusal) -> tuple[Action, ...]:
        self._state = GenerationState.FAILED
        if self._may_have_run:
            refusal = refusal._replace(execution=Execution.UNKNOWN)
        return (FailResponse(refusal),)

    def _handle_time_passed(self, now: float) -> tuple[Action, ...]:
        if self._state is GenerationState.RESUMING:
            return self._retry_resume(now)
        if self._state not in _CONNECTED_STATES:
            return ()
        if now - self._last_activity_at < self._silence_timeout():
            return ()
        if now - self._last_progress_at >= self._limits.progress_timeout:
            return self._abandon_target()
        self._resumes_without_progress += 1
        return self._resume(now)

    def _retry_resume(self, now: float) -> tuple[Action, ...]:
        if self._next_resume is None or now < self._next_resume:
            return ()
        if now - self._disconnected_since >= self._limits.unreachable_timeout:
            return self._abandon_target()
        return self._resume(now)

    def _silence_timeout(self) -> float:
        limits = self._limits
        base = limits.stall_timeout if self._offset else limits.first_token_timeout
        return min(base * 2.0**self._resumes_without_progress, limits.max_stall_timeout)


_FINAL_STATES = frozenset(
    {GenerationState.FINISHED, GenerationState.FAILED, GenerationState.CANCELLED}
)
_CONNECTED_STATES = frozenset({GenerationState.PLACED, GenerationState.STREAMING})
#: Failures of an attempt's first link that show that the target did not accept the
#: request and therefore can't have run it.
_NOT_ACCEPTED = frozenset(
    {LinkFailure.UNREACHABLE, LinkFailure.BUSY, LinkFailure.UNKNOWN_GENERATION}
)
_ACTIVE_STATES = _CONNECTED_STATES | {GenerationState.RESUMING}


def _count_late_event(event: Event) -> tuple[Action, ...]:
    if isinstance(event, TokensReceived | EndReceived):
        return (CountDroppedEvent(DropReason.LATE),)
    return ()
