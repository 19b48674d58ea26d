"""Events, actions and states of the generation controller."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from heathertack.messages import ReservationOutcome


class GenerationState(StrEnum):
    """State of a generation."""

    QUEUED = "queued"
    PLACED = "placed"
    STREAMING = "streaming"
    RESUMING = "resuming"
    REPORTING = "reporting"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Execution(StrEnum):
    """Whether a request that ends with a refusal was executed."""

    NOT_RUN = "not_run"
    COMPLETED = "completed"
    UNKNOWN = "unknown"


class LinkFailure(StrEnum):
    """Why a connection to an engine closed before the end of the response."""

    #: The connection was never established.
    UNREACHABLE = "unreachable"
    #: The connection broke after it was established.
    BROKEN = "broken"
    #: The engine has no generation with this identifier.
    UNKNOWN_GENERATION = "unknown_generation"
    #: The engine is temporarily not accepting requests.
    BUSY = "busy"
    #: The engine rejected the request as invalid.
    INVALID_REQUEST = "invalid_request"


class DropReason(StrEnum):
    """Why an event from an engine was dropped."""

    #: The event belongs to another generation or attempt, or no attempt is active.
    FOREIGN = "foreign"
    #: The offset was delivered before.
    REPEATED = "repeated"
    #: Events before this offset are missing.
    GAP = "gap"
    #: The generation has already ended.
    LATE = "late"


class Refusal(NamedTuple):
    """Error that ends a request without a complete response."""

    code: str
    message: str
    execution: Execution
    #: Delay before a retry can succeed, seconds; ``None`` if a retry can't help.
    retry_after: float | None = None


class Placed(NamedTuple):
    """Admission assigned a target to the attempt."""

    attempt: int
    target: str


class PlacementRefused(NamedTuple):
    """Admission refused to assign a target to the attempt."""

    attempt: int
    refusal: Refusal


class LinkOpened(NamedTuple):
    """An engine accepted the request on a link."""

    link: int


class TokensReceived(NamedTuple):
    """An engine sent one event with generated text."""

    link: int
    generation_id: str
    offset: int
    text: str


class EndReceived(NamedTuple):
    """An engine marked the end of a response."""

    link: int
    generation_id: str
    #: Number of events before the end.
    offset: int
    reason: str


class LinkClosed(NamedTuple):
    """A link closed before the end of the response."""

    link: int
    failure: LinkFailure
    detail: str = ""


class LossReportCompleted(NamedTuple):
    """The loss of a target was recorded, or recording it timed out."""

    attempt: int
    #: Number of targets lost while running the request, ``None`` if this loss was
    #: not recorded.
    losses: int | None


class CallerDisconnected(NamedTuple):
    """The caller disconnected."""


class TimePassed(NamedTuple):
    """A deadline of the controller may have passed."""


Event = (
    Placed
    | PlacementRefused
    | LinkOpened
    | TokensReceived
    | EndReceived
    | LinkClosed
    | LossReportCompleted
    | CallerDisconnected
    | TimePassed
)


class RequestPlacement(NamedTuple):
    """Request a target from admission."""

    attempt: int
    #: Targets that earlier attempts used.
    excluded: tuple[str, ...]


class OpenStream(NamedTuple):
    """Send the request to a target on a new link."""

    link: int
    target: str
    attempt_id: str


class ResumeStream(NamedTuple):
    """Continue a generation on a new link to the same target."""

    link: int
    target: str
    attempt_id: str
    offset: int


class CloseLink(NamedTuple):
    """Close a link."""

    link: int


class CancelAttempt(NamedTuple):
    """Cancel an attempt at its target."""

    target: str
    attempt_id: str


class DeliverTokens(NamedTuple):
    """Deliver tokens to the caller."""

    text: str


class DiscardBufferedTokens(NamedTuple):
    """Discard the tokens buffered for a caller that did not request streaming."""


class CompleteResponse(NamedTuple):
    """End the response to the caller successfully."""

    reason: str
    tokens: int


class FailResponse(NamedTuple):
    """End the response to the caller with an error."""

    refusal: Refusal


class ReleaseTarget(NamedTuple):
    """Release the reservation at the target."""

    outcome: ReservationOutcome


class ReportTargetFailure(NamedTuple):
    """Record a failure in the health of a target."""

    target: str


class ReportLoss(NamedTuple):
    """Record in the control log that a target was lost while running this request."""

    attempt: int
    target: str
    attempt_id: str


class CountDroppedEvent(NamedTuple):
    """Count an engine event that was dropped."""

    reason: DropReason


Action = (
    RequestPlacement
    | OpenStream
    | ResumeStream
    | CloseLink
    | CancelAttempt
    | DeliverTokens
    | DiscardBufferedTokens
    | CompleteResponse
    | FailResponse
    | ReleaseTarget
    | ReportTargetFailure
    | ReportLoss
    | CountDroppedEvent
)
