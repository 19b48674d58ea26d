"""Types for admission to one group of targets."""

from __future__ import annotations

from typing import NamedTuple

from heathertack.messages import (
    ReservationCopyDropped,
    ReservationGrant,
    ReservationQueued,
    ReservationRefusal,
    ReservationRequest,
)

Reply = (
    ReservationGrant | ReservationRefusal | ReservationQueued | ReservationCopyDropped
)


class AddressedReply(NamedTuple):
    """A reply and the instance that receives it."""

    instance: str
    reply: Reply


class TargetCapacity(NamedTuple):
    """Capacity of a target."""

    #: Cache capacity of an engine, tokens; 0 for a target without a KV cache.
    cache_tokens: int
    #: Number of requests that the target runs concurrently; 0 if unknown.
    slots: int = 0
    #: Failure domain of the target.
    failure_domain: str = ""


class EngineLoad(NamedTuple):
    """Load report of an engine."""

    #: Increases with every report.
    sequence: int
    #: Number of generations being decoded.
    running: int
    #: Number of generations queued in the engine.
    waiting: int
    #: Tokens in the cache that belong to running generations.
    cache_tokens: int
    #: Capacity of the cache, tokens.
    cache_capacity: int
    #: Number of preemptions since the engine started.
    preemptions: int


class WaitingRequest(NamedTuple):
    """A queued request."""

    request: ReservationRequest
    instance: str
    deadline: float
    last_contact_at: float
    #: Number of targets that failed while running a request with this fingerprint.
    losses: int


class HeldReservation(NamedTuple):
    """A reservation in use by an entry instance."""

    request: ReservationRequest
    instance: str
    target: str
    generated_tokens: int
    last_contact_at: float
    #: Predicted length, and the length at which the prediction is renewed, tokens.
    predicted_length: int
    predicted_until: int
    #: Target that holds a backup of the generation's KV cache; empty for none.
    backup: str = ""
