"""One generation: from its placement to its last token."""

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
    """Bounds of one generation."""

    #: Silence after which a started stream is resumed, seconds.
    stall_timeout: float = 1.0
    #: Silence before the first token after which the stream is resumed, seconds.
    first_token_timeout: float = 5.0
    #: Time without an open link after which the target counts as lost, seconds.
    unreachable_timeout: float = 4.0
    #: Time without any event after which the generation is given up, seconds.
    progress_timeout: float = 60.0
    #: Longest silence before a fruitless resume is repeated, seconds.
    max_stall_timeout: float = 10.0
    #: Between two attempts to resume, seconds.
    resume_interval: float = 0.25
    #: Most targets that are tried.
    max_attempts: int = 4


class GenerationController:
    """State machine of one generation.

    Parameters
    ----------
    generation_id : str
        Name of the generation, the same for all its attempts.
    limits : GenerationLimits
        Bounds.
    is_streamed : bool
        Whether the caller sees tokens as they come. Otherwise they are held
        back, and a lost generation may start again from nothing.
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
        self._silent_since = now
        self._unlinked_since = now
        self._next_resume: float | None = None
        self._news_at = now
        self._fruitless_resumes = 0
        self._may_run = False
        self._has_run = False

    @property
    def state(self) -> GenerationState:
        """Current state."""
        return self._state

    @property
    def offset(self) -> int:
        """Number of events delivered."""
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
        """Name under which the current attempt is known to its target."""
        return f"{self._generation_id}.{self._attempt}"

    @property
    def is_ended(self) -> bool:
        """Whether the caller has the final answer or has left."""
        return self._state in _ENDED

    def set_stall_timeout(self, seconds: float) -> None:
        """Set the silence after which a started stream is resumed."""
        self._limits = self._limits._replace(stall_timeout=seconds)

    def start(self) -> tuple[Action, ...]:
        """Ask for the first target."""
        return self._place()

    def next_deadline(self) -> float | None:
        """Return the time at which :class:`TimePassed` matters next."""
        if self._state is GenerationState.RESUMING and self._next_resume is not None:
            return self._next_resume
        if self._state in _LINKED:
            return self._silent_since + self._silence_bound()
        return None

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Act on an event and return what has to be done.

        Parameters
        ----------
        event : Event
            What happened.
        now : float
            Monotonic clock, seconds.

        Returns
        -------
        tuple of Action
            Actions in the order in which they are to be carried out.
        """
        if self.is_ended:
            return _count_late(event)
        match event:
            case Placed():
                return self._open(event, now)
            case PlacementRefused():
                return self._refuse_placement(event)
            case LinkOpened():
                return self._note_open_link(event, now)
            case TokensReceived():
                return self._take_tokens(event, now)
            case EndReceived():
                return self._take_end(event, now)
            case LinkClosed():
                return self._take_closed_link(event, now)
            case LossReportCompleted():
                return self._take_loss(event)
            case CallerDisconnected():
                return self._cancel()
            case TimePassed():
                return self._pass_time(now)
            case _:
                assert_never(event)

    def _place(self) -> tuple[Action, ...]:
        self._state = GenerationState.QUEUED
        self._attempt += 1
        self._target = ""
        return (RequestPlacement(self._attempt, self._excluded),)

    def _open(self, event: Placed, now: float) -> tuple[Action, ...]:
        is_expected = self._state is GenerationState.QUEUED
        if not is_expected or event.attempt != self._attempt:
            return ()
        self._state = GenerationState.PLACED
        self._target = event.target
        self._may_run = False
        self._link += 1
        self._link_is_open = False
        self._silent_since = now
        self._unlinked_since = now
        self._news_at = now
        self._fruitless_resumes = 0
        return (OpenStream(self._link, event.target, self.attempt_id),)

    def _refuse_placement(self, event: PlacementRefused) -> tuple[Action, ...]:
        is_expected = self._state is GenerationState.QUEUED
        if not is_expected or event.attempt != self._attempt:
            return ()
        refusal = event.refusal
        return self._fail(refusal)

    def _note_open_link(self, event: LinkOpened, now: float) -> tuple[Action, ...]:
        if event.link != self._link or self._state not in _ACTIVE:
            return ()
        self._link_is_open = True
        self._next_resume = None
        self._silent_since = now
        self._note_may_run()
        started = self._offset > 0
        self._state = GenerationState.STREAMING if started else GenerationState.PLACED
        return ()

    def _take_tokens(self, event: TokensReceived, now: float) -> tuple[Action, ...]:
        reason = self._find_drop_reason(event)
        if reason is not None:
            return self._drop(event, reason, now)
        self._state = GenerationState.STREAMING
        self._offset += 1
        self._note_news(now)
        return (DeliverTokens(event.text),)

    def _take_end(self, event: EndReceived, now: float) -> tuple[Action, ...]:
        reason = self._find_drop_reason(event)
        if reason is not None:
            return self._drop(event, reason, now)
        self._state = GenerationState.FINISHED
        return (
            CloseLink(self._link),
            CompleteResponse(event.reason, self._offset),
            ReleaseTarget(ReservationOutcome.FINISHED),
        )

    def _find_drop_reason(
        self, event: TokensReceived | EndReceived
    ) -> DropReason | None:
        """Return why an event can't be delivered next, ``None`` if it can."""
        if event.generation_id != self.attempt_id or self._state not in _ACTIVE:
            return DropReason.FOREIGN
        if event.offset < self._offset:
            return DropReason.REPEATED
        if event.offset > self._offset:
            return DropReason.GAP
        return None

    def _drop(
        self, event: TokensReceived | EndReceived, reason: DropReason, now: float
    ) -> tuple[Action, ...]:
        """Count an event, and fetch what is missing before it."""
        counted = CountDroppedEvent(reason)
        is_present = event.link == self._link and self._link_is_open
        if reason is DropReason.GAP and is_present:
            return (counted, *self._resume(now))
        return (counted,)

    def _note_news(self, now: float) -> None:
        self._silent_since = now
        self._news_at = now
        self._fruitless_resumes = 0

    def _note_may_run(self) -> None:
        self._may_run = True
        self._has_run = True

    def _take_closed_link(self, event: LinkClosed, now: float) -> tuple[Action, ...]:
        if event.link != self._link or self._state not in _ACTIVE:
            return ()
        if self._link_is_open:
            self._unlinked_since = now
        self._link_is_open = False
        match event.failure:
            case LinkFailure.INVALID_REQUEST:
                return self._refuse_invalid(event.detail)
            case failure if failure in _NOT_TAKEN and not self._may_run:
                return self._try_elsewhere(event.failure)
            case LinkFailure.UNKNOWN_GENERATION:
                return self._lose_target()
            case _:
                return self._retry_link(event.failure, now)

    def _refuse_invalid(self, detail: str) -> tuple[Action, ...]:
        refusal = Refusal("invalid_request", detail, Execution.NOT_RUN)
        return (ReleaseTarget(ReservationOutcome.FINISHED), *self._fail(refusal))

    def _try_elsewhere(self, failure: LinkFailure) -> tuple[Action, ...]:
        """Choose another target after one that can't have run the request."""
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
        return (*actions, *self._place())

    def _retry_link(self, failure: LinkFailure, now: float) -> tuple[Action, ...]:
        """Resume at the same target, unless it has been out of reach too long."""
        self._note_may_run()
        was_refused = failure is LinkFailure.UNREACHABLE
        out_of_reach = now - self._unlinked_since
        is_dead = was_refused and self._state is GenerationState.RESUMING
        if is_dead or out_of_reach >= self._limits.unreachable_timeout:
            return self._lose_target()
        self._state = GenerationState.RESUMING
        self._next_resume = now + self._limits.resume_interval
        return ()

    def _resume(self, now: float) -> tuple[Action, ...]:
        """Open another link to the same target and drop the present one.

        The request may have reached the target on the link that is dropped.
        """
        self._has_run = True
        closed = CloseLink(self._link)
        if self._link_is_open:
            self._unlinked_since = now
        self._link += 1
        self._link_is_open = False
        self._state = GenerationState.RESUMING
        self._next_resume = now + self._limits.unreachable_timeout
        resumed = ResumeStream(self._link, self._target, self.attempt_id, self._offset)
        return (closed, resumed)

    def _lose_target(self) -> tuple[Action, ...]:
        """Record that the target lost the generation."""
        self._note_may_run()
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

    def _take_loss(self, event: LossReportCompleted) -> tuple[Action, ...]:
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
        return (*discarded, *self._place())

    def _cancel(self) -> tuple[Action, ...]:
        had_target = self._state in _ACTIVE
        self._state = GenerationState.CANCELLED
        release = ReleaseTarget(ReservationOutcome.CANCELLED)
        if not had_target:
            return (release,)
        cancel = CancelAttempt(self._target, self.attempt_id)
        return (CloseLink(self._link), cancel, release)

    def _fail(self, refusal: Refusal) -> tuple[Action, ...]:
        self._state = GenerationState.FAILED
        if self._has_run:
            refusal = refusal._replace(execution=Execution.UNKNOWN)
        return (FailResponse(refusal),)

    def _pass_time(self, now: float) -> tuple[Action, ...]:
        if self._state is GenerationState.RESUMING:
            return self._continue_resuming(now)
        if self._state not in _LINKED:
            return ()
        if now - self._silent_since < self._silence_bound():
            return ()
        if now - self._news_at >= self._limits.progress_timeout:
            return self._lose_target()
        self._fruitless_resumes += 1
        return self._resume(now)

    def _continue_resuming(self, now: float) -> tuple[Action, ...]:
        if self._next_resume is None or now < self._next_resume:
            return ()
        if now - self._unlinked_since >= self._limits.unreachable_timeout:
            return self._lose_target()
        return self._resume(now)

    def _silence_bound(self) -> float:
        limits = self._limits
        shortest = limits.stall_timeout if self._offset else limits.first_token_timeout
        return min(shortest * 2.0**self._fruitless_resumes, limits.max_stall_timeout)


_ENDED = frozenset(
    {GenerationState.FINISHED, GenerationState.FAILED, GenerationState.CANCELLED}
)
_LINKED = frozenset({GenerationState.PLACED, GenerationState.STREAMING})
#: Failures of a first link after which the target can't have run the request.
_NOT_TAKEN = frozenset(
    {LinkFailure.UNREACHABLE, LinkFailure.BUSY, LinkFailure.UNKNOWN_GENERATION}
)
_ACTIVE = _LINKED | {GenerationState.RESUMING}


def _count_late(event: Event) -> tuple[Action, ...]:
    if isinstance(event, TokensReceived | EndReceived):
        return (CountDroppedEvent(DropReason.LATE),)
    return ()
