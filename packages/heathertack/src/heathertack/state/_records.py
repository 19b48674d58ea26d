"""Records that the replicated state machine holds."""

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
    """What is kept of a bundle that is no longer in force."""

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
    """Answer of a target."""

    status: int
    content_type: str
    body: bytes
    #: Whether the body is kept; one that is too long is not.
    is_body_stored: bool = True


class CallRecord(NamedTuple):
    """One call by its idempotency key."""

    account: str
    key: str
    service: str
    #: Digest of method, path and body.
    body_digest: str
    #: Identifies the claim among repeated ones.
    claim_id: str
    owner: str
    owner_incarnation: int
    state: CallState
    outcome: CallOutcome | None
    #: Wall clock of the leader, seconds since the epoch.
    claimed_at: float
    #: What an operator found out about an unknown call.
    note: str = ""


class TargetLoss(NamedTuple):
    """One target that a request took down."""

    target: str
    #: Attempt that ran there; makes a repeated report recognisable.
    attempt_id: str


class LossRecord(NamedTuple):
    """Targets that a request took down."""

    fingerprint: str
    account: str
    losses: tuple[TargetLoss, ...]
    #: Wall clock of the leader, seconds since the epoch.
    last_at: float
