"""Events handled by the placement controller, and its actions."""

from __future__ import annotations

from typing import NamedTuple

from heathertack.controllers._actions import SendToPeer
from heathertack.messages import (
    ReservationCopyDropped,
    ReservationGrant,
    ReservationOutcome,
    ReservationQueued,
    ReservationRefusal,
    ReservationRequest,
    ReservationUnknown,
)


class PlacementRequested(NamedTuple):
    """A generation needs a target. The controller sets the group of the request."""

    request: ReservationRequest


class OwnerReplied(NamedTuple):
    """An admission owner replied."""

    reply: (
        ReservationGrant
        | ReservationRefusal
        | ReservationQueued
        | ReservationUnknown
        | ReservationCopyDropped
    )
    #: Instance that replied.
    owner: str = ""


class TokensGenerated(NamedTuple):
    """A generation produced tokens."""

    generation_id: str
    generated_tokens: int


class PlacementEnded(NamedTuple):
    """A generation no longer needs its target."""

    generation_id: str
    outcome: ReservationOutcome


class TargetLossReported(NamedTuple):
    """A target failed while it ran a generation, which may have ended since."""

    request: ReservationRequest
    target: str


class LimitObserved(NamedTuple):
    """A target named a limit, or no longer names one."""

    target: str


class PlacementDue(NamedTuple):
    """The clock advanced."""


PlacementEvent = (
    PlacementRequested
    | OwnerReplied
    | TokensGenerated
    | PlacementEnded
    | TargetLossReported
    | LimitObserved
    | PlacementDue
)


class TargetChosen(NamedTuple):
    """A generation may use a target."""

    generation_id: str
    attempt: int
    target: str
    reason: str
    #: Target that is to hold a backup of the generation's KV cache; empty for none.
    backup: str = ""


class PlacementDenied(NamedTuple):
    """A generation was refused a target."""

    generation_id: str
    attempt: int
    code: str
    #: Delay after which a retry may succeed, seconds.
    retry_after: float
    reason: str


class CopyDropped(NamedTuple):
    """A target no longer holds the backup of a generation."""

    generation_id: str
    backup: str


PlacementAction = SendToPeer | TargetChosen | PlacementDenied | CopyDropped


def build_choice(request: ReservationRequest, target: str, reason: str) -> TargetChosen:
    """Return the choice of a target for a request."""
    return TargetChosen(request.generation_id, request.attempt, target, reason)


def build_denial(
    request: ReservationRequest, code: str, retry_after: float, reason: str
) -> PlacementDenied:
    """Return the denial of a request."""
    return PlacementDenied(
        request.generation_id, request.attempt, code, retry_after, reason
    )
