"""Policies that the measurements compare."""

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


def build_default(
    simulation: Simulation, entries: int, delay: float, seed: int
) -> ReservationRouter:
    """Return the admission of heathertack with default parameters."""
    del entries, seed
    return ReservationRouter(simulation, delay, AdmissionTuning())


def build_tuned_factory(tuning: AdmissionTuning) -> RouterFactory:
    """Return a factory of the admission of heathertack with other parameters."""

    def build(
        simulation: Simulation, entries: int, delay: float, seed: int
    ) -> ReservationRouter:
        del entries, seed
        return ReservationRouter(simulation, delay, tuning)

    return build


def build_clairvoyant(
    simulation: Simulation, entries: int, delay: float, seed: int
) -> ReservationRouter:
    """Return admission with known lengths and without message delay."""
    del entries, delay, seed
    return ReservationRouter(simulation, 0.0, AdmissionTuning(), {})


def build_split(
    simulation: Simulation, entries: int, delay: float, seed: int
) -> SplitReservationRouter:
    """Return admission that each entry runs separately for its own requests."""
    del delay, seed
    return SplitReservationRouter(simulation, entries, AdmissionTuning())


def build_entry_factory(chooser: EngineChooser) -> RouterFactory:
    """Return a factory of routers in which each entry chooses independently."""

    def build(
        simulation: Simulation, entries: int, delay: float, seed: int
    ) -> EntryRouter:
        del delay
        return EntryRouter(simulation, chooser, entries, seed)

    return build


ROUTERS: dict[str, RouterFactory] = {
    "round robin": build_entry_factory(RoundRobinChooser()),
    "least outstanding": build_entry_factory(LeastOutstandingChooser()),
    "least reported": build_entry_factory(LeastReportedChooser()),
    "two choices": build_entry_factory(TwoChoicesChooser()),
    "own view": build_split,
    "ours": build_default,
    "clairvoyant": build_clairvoyant,
}
