"""Policies that are measured beside each other."""

from __future__ import annotations

from collections.abc import Callable

from heathertack.policy import AdmissionTuning
from heathertack_fakes.measure._entry_routers import (
    EngineChooser,
    EntryRouter,
    LeastOutstandingChooser,
    LeastReportedChooser,
    RoundRobinChooser,
    TwoChoicesChooser,
)
from heathertack_fakes.measure._reservation_routers import (
    ReservationRouter,
    SplitReservationRouter,
)
from heathertack_fakes.measure._simulation import Router, Simulation

RouterFactory = Callable[[Simulation, int, float, int], Router]


def own(
    simulation: Simulation, entries: int, delay: float, seed: int
) -> ReservationRouter:
    """Return the admission of the product."""
    del entries, seed
    return ReservationRouter(simulation, delay, AdmissionTuning())


def tuned(tuning: AdmissionTuning) -> RouterFactory:
    """Return a factory of the product's admission with other parameters."""

    def build(
        simulation: Simulation, entries: int, delay: float, seed: int
    ) -> ReservationRouter:
        del entries, seed
        return ReservationRouter(simulation, delay, tuning)

    return build


def clairvoyant(
    simulation: Simulation, entries: int, delay: float, seed: int
) -> ReservationRouter:
    """Return admission that knows every length and needs no time."""
    del entries, delay, seed
    return ReservationRouter(simulation, 0.0, AdmissionTuning(), {})


def split(
    simulation: Simulation, entries: int, delay: float, seed: int
) -> SplitReservationRouter:
    """Return reservation from each entry's own view."""
    del delay, seed
    return SplitReservationRouter(simulation, entries, AdmissionTuning())


def by_entry(chooser: EngineChooser) -> RouterFactory:
    """Return a factory of a policy in which each entry decides for itself."""

    def build(
        simulation: Simulation, entries: int, delay: float, seed: int
    ) -> EntryRouter:
        del delay
        return EntryRouter(simulation, chooser, entries, seed)

    return build


ROUTERS: dict[str, RouterFactory] = {
    "round robin": by_entry(RoundRobinChooser()),
    "least outstanding": by_entry(LeastOutstandingChooser()),
    "least reported": by_entry(LeastReportedChooser()),
    "two choices": by_entry(TwoChoicesChooser()),
    "own view": split,
    "ours": own,
    "clairvoyant": clairvoyant,
}
