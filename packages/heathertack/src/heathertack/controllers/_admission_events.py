"""Events handled by the admission controller."""

from __future__ import annotations

from typing import NamedTuple

from heathertack.controllers._admission_types import EngineLoad
from heathertack.messages import (
    ReservationAnnounce,
    ReservationBlame,
    ReservationProgress,
    ReservationRelease,
    ReservationRequest,
    TargetPauses,
)


class ReservationReceived(NamedTuple):
    """An entry instance requested a target."""

    instance: str
    request: ReservationRequest


class AnnounceReceived(NamedTuple):
    """An entry instance announced a reservation that it uses."""

    instance: str
    announce: ReservationAnnounce


class ProgressReceived(NamedTuple):
    """An entry instance reported the progress of its generations."""

    instance: str
    progress: ReservationProgress


class ReleaseReceived(NamedTuple):
    """An entry instance ended a reservation."""

    release: ReservationRelease


class TargetLossReceived(NamedTuple):
    """An entry instance reported that a target failed while it ran a request."""

    loss: ReservationBlame


class LoadReportReceived(NamedTuple):
    """An engine reported its load."""

    target: str
    load: EngineLoad


class LoadReportMissed(NamedTuple):
    """An engine did not report its load."""

    target: str
    #: Number of consecutive missed reports.
    missed: int


class CacheEventReceived(NamedTuple):
    """An engine stored or evicted prompt prefixes."""

    target: str
    sequence: int
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


class PausesReceived(NamedTuple):
    """An entry instance told which targets it may not use."""

    #: Entry instance that sent it.
    instance: str
    pauses: TargetPauses


class AdmissionDue(NamedTuple):
    """The clock advanced."""


AdmissionEvent = (
    ReservationReceived
    | AnnounceReceived
    | ProgressReceived
    | ReleaseReceived
    | TargetLossReceived
    | LoadReportReceived
    | LoadReportMissed
    | CacheEventReceived
    | PausesReceived
    | AdmissionDue
)
