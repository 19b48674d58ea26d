"""Records of the replicated state machine."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from heathertack.bundle import SignedBundle


class AcceptedBundle(NamedTuple):
    """A committed bundle."""

    log_index: int
    version: int
    digest: str
    signed: SignedBundle
    #: Wall clock of the leader, seconds since the epoch.
    accepted_at: float


class BundleHeader(NamedTuple):
    """Description of an accepted bundle in the history, without its content."""

    log_index: int
    version: int
    digest: str
    operator: str
    #: Wall clock of the leader, seconds since the epoch.
    accepted_at: float


class CallState(StrEnum):
    """State of a call that must not run twice."""

    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    SETTLED = "settled"


class CallOutcome(NamedTuple):
    """Response of a target to a call."""

    status: int
    content_type: str
    body: bytes
    #: Whether the body is stored; a body above the size limit is not.
    is_body_stored: bool = True


class CallRecord(NamedTuple):
    """A call that was claimed with an idempotency key."""

    account: str
    key: str
    service: str
    #: Digest of method, path and body.
    body_digest: str
    #: Distinguishes a repeated message of the claim from another claim of the key.
    claim_id: str
    owner: str
    owner_incarnation: int
    state: CallState
    outcome: CallOutcome | None
    #: Wall clock of the leader, seconds since the epoch.
    claimed_at: float
    #: What an operator determined about a call with an unknown outcome.
    note: str = ""


class TargetLoss(NamedTuple):
    """A target that was lost while it ran a request."""

    target: str
    #: Attempt that ran on the target; identifies repeated reports of a loss.
    attempt_id: str


class LossRecord(NamedTuple):
    """Targets that were lost while they ran a request."""

    fingerprint: str
    account: str
    losses: tuple[TargetLoss, ...]
    #: Wall clock of the leader, seconds since the epoch.
    last_at: float


class VersionRecord(NamedTuple):
    """A software version that targets of a service have, or had lately."""

    service: str
    version: str
    #: Wall-clock time up to which such targets were listed; ``None`` if they still are.
    listed_until: float | None = None
