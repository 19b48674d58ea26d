"""State machine of a single call that must run at most once."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, assert_never

from heathertack.controllers._generation_types import Execution, Refusal
from heathertack.decoding import is_final_status
from heathertack.state import (
    CallFound,
    CallOutcome,
    CallRecord,
    CallState,
    ClaimGranted,
    Result,
)


class CallPhase(StrEnum):
    """Phase of a call."""

    CLAIMING = "claiming"
    SENDING = "sending"
    RECORDING = "recording"
    DONE = "done"


class ClaimCompleted(NamedTuple):
    """The claim was committed in the control log."""

    result: Result


class ClaimTimedOut(NamedTuple):
    """The claim was not confirmed in time and is abandoned.

    It may still be committed later.
    """


class TargetResponded(NamedTuple):
    """The target responded to the call."""

    outcome: CallOutcome


class TargetUnreachable(NamedTuple):
    """No connection to a target could be established."""

    #: Whether there are targets that were not tried yet.
    has_alternative: bool


class ResponseLost(NamedTuple):
    """The call may have run, but its response was not received."""

    detail: str


class OutcomeRecorded(NamedTuple):
    """The outcome is committed."""


class RecordingTimedOut(NamedTuple):
    """The outcome was not committed in time; recording continues in the background."""


Event = (
    ClaimCompleted
    | ClaimTimedOut
    | TargetResponded
    | TargetUnreachable
    | ResponseLost
    | OutcomeRecorded
    | RecordingTimedOut
)


class SendCall(NamedTuple):
    """Send the call to the next target."""


class SubmitOutcome(NamedTuple):
    """Record the outcome of the call in the control log."""

    #: Response of the target, ``None`` if the call did not run or its outcome is
    #: unknown.
    outcome: CallOutcome | None
    #: Whether the call may have run without a response.
    is_unknown: bool = False


class ReturnResponse(NamedTuple):
    """Return the response of the target to the caller."""

    outcome: CallOutcome
    #: Whether the response was recorded by an earlier request with the same key.
    is_replay: bool


class ReturnRefusal(NamedTuple):
    """Return a refusal to the caller."""

    status: int
    refusal: Refusal


Action = SendCall | SubmitOutcome | ReturnResponse | ReturnRefusal

_IN_PROGRESS_RETRY_SECONDS = 1.0
_MAX_RECORDED_BODY_BYTES = 32 * 1024


class CallController:
    """State machine of one call with an idempotency key.

    Parameters
    ----------
    claim_id : str
        Identifies the claim of this request.
    body_digest : str
        Digest of method, path and body.
    """

    def __init__(self, claim_id: str, body_digest: str) -> None:
        self._claim_id = claim_id
        self._body_digest = body_digest
        self._phase = CallPhase.CLAIMING
        self._final_action: Action | None = None

    @property
    def phase(self) -> CallPhase:
        """Current phase."""
        return self._phase

    def handle(self, event: Event) -> tuple[Action, ...]:
        """Handle an event and return the resulting actions, in order."""
        match event:
            case ClaimCompleted():
                return self._handle_claim(event.result)
            case ClaimTimedOut():
                return self._abandon_claim()
            case TargetResponded():
                response = ReturnResponse(event.outcome, is_replay=False)
                return self._record(SubmitOutcome(_limit_body(event.outcome)), response)
            case TargetUnreachable():
                return self._handle_unreachable(event.has_alternative)
            case ResponseLost():
                return self._handle_lost_response(event.detail)
            case OutcomeRecorded() | RecordingTimedOut():
                return self._finish()
            case _:
                assert_never(event)

    def _handle_claim(self, result: Result) -> tuple[Action, ...]:
        if self._phase is not CallPhase.CLAIMING:
            return ()
        match result:
            case ClaimGranted():
                self._phase = CallPhase.SENDING
                return (SendCall(),)
            case CallFound():
                self._phase = CallPhase.DONE
                return (self._answer_claimed_key(result.record),)
            case _:
                return self._abandon_claim()

    def _abandon_claim(self) -> tuple[Action, ...]:
        if self._phase is not CallPhase.CLAIMING:
            return ()
        self._phase = CallPhase.DONE
        message = "the call could not be claimed in the control log"
        refusal = Refusal("control_unavailable", message, Execution.NOT_RUN, 1.0)
        return (ReturnRefusal(503, refusal),)

    def _answer_claimed_key(self, record: CallRecord) -> Action:
        """Return the final action for a key that was claimed by an earlier request."""
        if record.body_digest != self._body_digest:
            message = "the key was used for another call"
            refusal = Refusal("key_reused", message, Execution.NOT_RUN)
            return ReturnRefusal(422, refusal)
        if record.state is CallState.FINISHED and record.outcome is not None:
            return _replay(record.outcome)
        if record.state is CallState.RUNNING:
            message = "the call with this key is in progress"
            wait = _IN_PROGRESS_RETRY_SECONDS
            refusal = Refusal("in_progress", message, Execution.UNKNOWN, wait)
            return ReturnRefusal(409, refusal)
        if record.state is CallState.SETTLED:
            message = f"an operator found that the call ran: {record.note}"
            refusal = Refusal("settled", message, Execution.COMPLETED)
            return ReturnRefusal(409, refusal)
        message = "it is not known whether the call ran; it will not run again"
        refusal = Refusal("outcome_unknown", message, Execution.UNKNOWN)
        return ReturnRefusal(409, refusal)

    def _handle_unreachable(self, has_alternative: bool) -> tuple[Action, ...]:
        if self._phase is not CallPhase.SENDING:
            return ()
        if has_alternative:
            return (SendCall(),)
        message = "no target could be reached"
        refusal = Refusal("no_target", message, Execution.NOT_RUN, 1.0)
        return self._record(SubmitOutcome(None), ReturnRefusal(503, refusal))

    def _handle_lost_response(self, detail: str) -> tuple[Action, ...]:
        refusal = Refusal("outcome_unknown", detail, Execution.UNKNOWN)
        submit = SubmitOutcome(None, is_unknown=True)
        return self._record(submit, ReturnRefusal(502, refusal))

    def _record(
        self, submit: SubmitOutcome, final_action: Action
    ) -> tuple[Action, ...]:
        if self._phase is not CallPhase.SENDING:
            return ()
        self._phase = CallPhase.RECORDING
        self._final_action = final_action
        return (submit,)

    def _finish(self) -> tuple[Action, ...]:
        if self._phase is not CallPhase.RECORDING or self._final_action is None:
            return ()
        self._phase = CallPhase.DONE
        return (self._final_action,)


def _limit_body(outcome: CallOutcome) -> CallOutcome:
    """Return the outcome as it is recorded, without a body over the size limit."""
    if len(outcome.body) <= _MAX_RECORDED_BODY_BYTES:
        return outcome
    return outcome._replace(body=b"", is_body_stored=False)


def _replay(outcome: CallOutcome) -> Action:
    """Return the recorded response, if it can be returned.

    Earlier builds recorded statuses that no response can have.
    """
    if outcome.is_body_stored and is_final_status(outcome.status):
        return ReturnResponse(outcome, is_replay=True)
    message = f"the call ran with status {outcome.status}; its answer was not kept"
    refusal = Refusal("answer_not_kept", message, Execution.COMPLETED)
    return ReturnRefusal(409, refusal)
