"""Events, actions and states of a generation."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from heathertack.messages import ReservationOutcome


class GenerationState(StrEnum):
    """Where a generation is."""

    QUEUED = "queued"
    PLACED = "placed"
    STREAMING = "streaming"
    RESUMING = "resuming"
    REPORTING = "reporting"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Execution(StrEnum):
    """What a refused request did."""

    NOT_RUN = "not_run"
    COMPLETED = "completed"
    UNKNOWN = "unknown"


class LinkFailure(StrEnum):
    """How a connection to an engine ended without the end of the answer."""

    #: The connection was never established.
    UNREACHABLE = "unreachable"
    #: The connection broke after it was established.
    BROKEN = "broken"
    #: The engine does not know the generation.
    UNKNOWN_GENERATION = "unknown_generation"
    #: The engine takes no work at present.
    BUSY = "busy"
    #: The engine found the request to be wrong.
    INVALID_REQUEST = "invalid_request"


class DropReason(StrEnum):
    """Why an event of an engine was not delivered."""

    FOREIGN = "foreign"
    REPEATED = "repeated"
    GAP = "gap"
    LATE = "late"


class Refusal(NamedTuple):
    """Final answer of a request that has no whole answer."""

    code: str
    message: str
    execution: Execution
    #: When coming back can help, seconds; ``None`` where it can't.
    retry_after: float | None = None


class Placed(NamedTuple):
    """A target was chosen."""

    attempt: int
    target: str


class PlacementRefused(NamedTuple):
    """No target was found."""

    attempt: int
    refusal: Refusal


class LinkOpened(NamedTuple):
    """An engine accepted the request on a link."""

    link: int


class TokensReceived(NamedTuple):
    """An engine sent tokens."""

    link: int
    generation_id: str
    offset: int
    text: str


class EndReceived(NamedTuple):
    """An engine marked the end of an answer."""

    link: int
    generation_id: str
    #: Number of events before the end.
    offset: int
    reason: str


class LinkClosed(NamedTuple):
    """A link ended before the end of the answer."""

    link: int
    failure: LinkFailure
    detail: str = ""


class LossReportCompleted(NamedTuple):
    """The loss of a target is recorded, or could not be recorded in time."""

    attempt: int
    #: Targets lost to the request, ``None`` if the loss is not recorded.
    losses: int | None


class CallerDisconnected(NamedTuple):
    """Nobody waits for the answer any more."""


class TimePassed(NamedTuple):
    """The clock advanced."""


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
    """Ask for a target."""

    attempt: int
    #: Targets that were tried before.
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
    """Tell a target that nobody waits for a generation."""

    target: str
    attempt_id: str


class DeliverTokens(NamedTuple):
    """Give tokens to the caller."""

    text: str


class DiscardBufferedTokens(NamedTuple):
    """Forget the tokens that are held back for a caller who wants them at once."""


class CompleteResponse(NamedTuple):
    """Tell the caller that the answer is whole."""

    reason: str
    tokens: int


class FailResponse(NamedTuple):
    """Tell the caller that there will be no whole answer."""

    refusal: Refusal


class ReleaseTarget(NamedTuple):
    """Give the reservation back."""

    outcome: ReservationOutcome


class ReportTargetFailure(NamedTuple):
    """Note that a target failed."""

    target: str


class ReportLoss(NamedTuple):
    """Record that a target was lost while it ran this request."""

    attempt: int
    target: str
    attempt_id: str


class CountDroppedEvent(NamedTuple):
    """Count an event that was not delivered."""

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
