"""Messages between entries and the admission owner of a group of targets."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class ReservationRequest(NamedTuple):
    """Asks the admission owner of a group for a target."""

    generation_id: str
    #: Number of the attempt, from 1.
    attempt: int
    service: str
    group: str
    account: str
    class_name: str
    #: The higher one goes first.
    priority: int
    #: Weight of the client account.
    share: float
    prompt_tokens: int
    #: Most tokens that the answer may have.
    max_tokens: int
    #: Digests of the prompt's leading blocks, shortest prefix first.
    prefix: tuple[int, ...]
    fingerprint: str
    #: Targets that this generation has already lost.
    excluded: tuple[str, ...]
    #: Longest wait from now on, seconds.
    max_wait: float
    #: The caller's estimate of the length of the answer, tokens; 0 without one.
    expected_tokens: int = 0
    #: Target that holds the memory of the generation, empty for none.
    preferred_target: str = ""
    #: Whether a second target is to keep a copy of the generation's memory.
    needs_backup: bool = False
    #: Time within which it must begin for an answer of full use, seconds; 0 if none is
    #: aimed at.
    latency_budget: float = 0.0
    #: Whether it runs already and moves with its memory, so that no prompt is read.
    is_running: bool = False


class ReservationGrant(NamedTuple):
    """Names the target that a generation may use."""

    generation_id: str
    attempt: int
    target: str
    #: Why the target was chosen, for operators.
    reason: str
    #: Target that is to keep a copy of the generation's memory, empty for none.
    backup: str = ""
    #: Group that the target belongs to.
    group: str = ""


class ReservationCopyDropped(NamedTuple):
    """Tells that a target keeps the copy of a generation no longer."""

    generation_id: str
    #: Target that kept it.
    backup: str


class ReservationRefusal(NamedTuple):
    """Tells that a generation will not be placed."""

    generation_id: str
    attempt: int
    code: str
    #: When coming back can help, seconds.
    retry_after: float
    reason: str


class ReservationQueued(NamedTuple):
    """Tells that a generation waits for a target."""

    generation_id: str
    attempt: int


class ReservationAnnounce(NamedTuple):
    """Tells a new owner of a reservation that is in use."""

    request: ReservationRequest
    target: str
    generated_tokens: int
    #: Target that keeps a copy of the generation's memory, empty for none.
    backup: str = ""


class ProgressItem(NamedTuple):
    """Tokens that one generation has made."""

    generation_id: str
    generated_tokens: int


class ReservationProgress(NamedTuple):
    """Tells the owner how far generations are."""

    group: str
    items: tuple[ProgressItem, ...]


class ReservationUnknown(NamedTuple):
    """Asks for announcements of generations that the owner does not know."""

    generation_ids: tuple[str, ...]


class ReservationOutcome(StrEnum):
    """How a reservation ended."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    TARGET_LOST = "target_lost"
    #: The answer is lost; the target may be well.
    ANSWER_LOST = "answer_lost"
    UNREACHABLE = "unreachable"
    REJECTED = "rejected"


class ReservationRelease(NamedTuple):
    """Ends a reservation, or withdraws a request for one."""

    group: str
    generation_id: str
    attempt: int
    outcome: ReservationOutcome
    generated_tokens: int


class ReservationBlame(NamedTuple):
    """Tells that a target went down while it ran a request."""

    group: str
    fingerprint: str
    target: str
