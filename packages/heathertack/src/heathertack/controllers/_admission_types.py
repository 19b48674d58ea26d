"""Data of the admission to one group of targets."""

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
    """A reply with the instance that it is for."""

    instance: str
    reply: Reply


class TargetCapacity(NamedTuple):
    """What a target can hold."""

    #: Tokens that the cache of an engine holds; 0 for a plain target.
    cache_tokens: int
    #: Requests that it runs at one time; 0 where that is not known.
    slots: int = 0
    #: Failure domain that it runs in.
    failure_domain: str = ""


class EngineLoad(NamedTuple):
    """Load report of an engine."""

    #: Grows with every report.
    sequence: int
    #: Generations being decoded.
    running: int
    #: Generations waiting in the engine.
    waiting: int
    #: Tokens in the cache that belong to running generations.
    cache_tokens: int
    #: Tokens that the cache holds.
    cache_capacity: int
    #: Preemptions since the engine started.
    preemptions: int


class WaitingRequest(NamedTuple):
    """A request in the queue."""

    request: ReservationRequest
    instance: str
    deadline: float
    last_contact_at: float
    #: Targets that were lost to copies of the request.
    losses: int


class HeldReservation(NamedTuple):
    """A reservation that an entry uses."""

    request: ReservationRequest
    instance: str
    target: str
    generated_tokens: int
    last_contact_at: float
    #: Predicted length, and the tokens from which on it is predicted again.
    predicted_length: int
    predicted_until: int
    #: Target that keeps a copy of the generation's memory, empty for none.
    backup: str = ""
