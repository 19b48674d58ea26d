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
    """Another bundle stands in the way."""

    #: ``conflict`` for an equal version with other content, else ``older``.
    reason: str
    version: int
    digest: str
    operator: str
    accepted_at: float


class ClaimGranted(NamedTuple):
    """The claimant may send the call once."""

    claim_id: str


class CallFound(NamedTuple):
    """The key was claimed before."""

    record: CallRecord


class LossRecorded(NamedTuple):
    """Number of targets lost to a request."""

    losses: int


class Done(NamedTuple):
    """The command took effect."""

    changed: int = 1


class NotFound(NamedTuple):
    """There is nothing that the command could act on."""

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
