"""Results of commands."""

from __future__ import annotations

from typing import NamedTuple

from heathertack.messages import MessageCodec
from heathertack.state._records import CallRecord


class BundleAccepted(NamedTuple):
    """The bundle is committed."""

    version: int
    digest: str
    log_index: int


class BundleRejected(NamedTuple):
    """The bundle was rejected; fields after ``reason`` describe the current one."""

    #: ``conflict`` for an equal version with different content, else ``older``.
    reason: str
    version: int
    digest: str
    operator: str
    accepted_at: float


class ClaimGranted(NamedTuple):
    """The claimant may send the call once."""

    claim_id: str


class CallFound(NamedTuple):
    """The key is already claimed."""

    record: CallRecord


class LossRecorded(NamedTuple):
    """Number of targets that were lost while they ran a request."""

    losses: int


class Done(NamedTuple):
    """The command was applied."""

    changed: int = 1


class NotFound(NamedTuple):
    """There is nothing to which the command applies."""

    subject: str


Result = (
    BundleAccepted
    | BundleRejected
    | ClaimGranted
    | CallFound
    | LossRecorded
    | Done
    | NotFound
)

#: Codec of results in control replies.
RESULT_CODEC: MessageCodec[Result] = MessageCodec(
    (
        BundleAccepted,
        BundleRejected,
        ClaimGranted,
        CallFound,
        LossRecorded,
        Done,
        NotFound,
    )
)
