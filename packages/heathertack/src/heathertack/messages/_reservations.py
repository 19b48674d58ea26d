"""Messages between entry instances and the admission owner of a target group."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class ReservationRequest(NamedTuple):
    """Requests a target from the admission owner of a group."""

    generation_id: str
    #: Number of the attempt, from 1.
    attempt: int
    service: str
    group: str
    account: str
    class_name: str
    #: Requests with a higher priority are served first.
    priority: int
    #: Weight of the client account in fair queuing.
    share: float
    prompt_tokens: int
    #: Maximum length of the answer, tokens.
    max_tokens: int
    #: Digests of the prompt's leading blocks, shortest prefix first.
    prefix: tuple[int, ...]
    fingerprint: str
    #: Targets that failed during earlier attempts of this generation.
    excluded: tuple[str, ...]
    #: Longest time that the request may still wait, seconds.
    max_wait: float
    #: The caller's estimate of the length of the answer, tokens; 0 without one.
    expected_tokens: int = 0
    #: Target that holds the generation's KV cache; empty for none.
    preferred_target: str = ""
    #: Whether a backup of the generation's KV cache is requested on a second target.
    needs_backup: bool = False
    #: Time left to start the generation within its latency objective, seconds; 0
    #: without an objective.
    latency_budget: float = 0.0
    #: Whether the generation is already running and moves together with its KV
    #: cache, so that no prefill is needed.
    is_running: bool = False


class ReservationGrant(NamedTuple):
    """Assigns a target to a generation."""

    generation_id: str
    attempt: int
    target: str
    #: Why the target was chosen, for operators.
    reason: str
    #: Target that is to hold a backup of the generation's KV cache; empty for none.
    backup: str = ""
    #: Group that the target belongs to.
    group: str = ""


class ReservationCopyDropped(NamedTuple):
    """Reports that a target no longer holds the backup of a generation."""

    generation_id: str
    #: Target that held the backup.
    backup: str


class ReservationRefusal(NamedTuple):
    """Reports that a generation will not be placed."""

    generation_id: str
    attempt: int
    code: str
    #: Delay after which a retry may succeed, seconds.
    retry_after: float
    reason: str


class ReservationQueued(NamedTuple):
    """Reports that a generation is queued for a target."""

    generation_id: str
    attempt: int


class ReservationAnnounce(NamedTuple):
    """Informs a new admission owner of a reservation in use."""

    request: ReservationRequest
    target: str
    generated_tokens: int
    #: Target that holds a backup of the generation's KV cache; empty for none.
    backup: str = ""


class ProgressItem(NamedTuple):
    """Number of tokens that one generation has produced."""

    generation_id: str
    generated_tokens: int


class ReservationProgress(NamedTuple):
    """Reports the progress of generations to their admission owner."""

    group: str
    items: tuple[ProgressItem, ...]


class ReservationUnknown(NamedTuple):
    """Requests announcements of generations that the owner has no record of."""

    generation_ids: tuple[str, ...]


class ReservationOutcome(StrEnum):
    """How a reservation ended."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    TARGET_LOST = "target_lost"
    #: The answer was lost, but the target may still be healthy.
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
    """Reports that a target failed while it ran a request."""

    group: str
    fingerprint: str
    target: str
