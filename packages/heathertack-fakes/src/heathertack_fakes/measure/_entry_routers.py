"""Policies in which each entry decides for itself."""

from __future__ import annotations

import random
from collections import Counter
from typing import Protocol

from heathertack_fakes.measure._simulation import Simulation
from heathertack_fakes.measure._workloads import Arrival


class EngineChooser(Protocol):
    """Chooses an engine from what one entry knows."""

    def choose(self, view: EntryView, engines: list[int]) -> int:
        """Return the engine for a request."""
        ...


class EntryView:
    """What one entry knows of the engines.

    Parameters
    ----------
    simulation : Simulation
        Where load reports come from.
    source : random.Random
        Source of random choices, shared by all entries.
    """

    def __init__(self, simulation: Simulation, source: random.Random) -> None:
        self.random = source
        #: Own requests in progress by engine.
        self.outstanding: Counter[int] = Counter()
        #: Number of the next engine in turn.
        self.turn = source.randrange(100)
        self._simulation = simulation

    def reported_load(self, engine: int) -> int:
        """Return the reported number of requests of an engine."""
        report = self._simulation.report(engine)
        return report.running + report.waiting if report is not None else 0


class RoundRobinChooser:
    """Takes the engines in turn."""

    def choose(self, view: EntryView, engines: list[int]) -> int:
        """Return the next engine."""
        view.turn += 1
        return engines[view.turn % len(engines)]


class LeastOutstandingChooser:
    """Takes the engine with the fewest requests of the entry."""

    def choose(self, view: EntryView, engines: list[int]) -> int:
        """Return the engine with the fewest requests."""
        return min(engines, key=lambda e: (view.outstanding[e], view.random.random()))


class LeastReportedChooser:
    """Takes the engine with the lowest reported load."""

    def choose(self, view: EntryView, engines: list[int]) -> int:
        """Return the engine with the lowest reported load."""
        return min(engines, key=lambda e: (view.reported_load(e), view.random.random()))


class TwoChoicesChooser:
    """Takes the better of two engines drawn at random."""

    def choose(self, view: EntryView, engines: list[int]) -> int:
        """Return the engine with the lower reported load of two."""
        drawn = view.random.sample(engines, min(2, len(engines)))
        return min(drawn, key=view.reported_load)


class EntryRouter:
    """Sends each request to the engine that its entry chooses.

    Parameters
    ----------
    simulation : Simulation
        Where requests go.
    chooser : EngineChooser
        The policy.
    entries : int
        Number of entries.
    seed : int
        Seed of random choices.
    """

    def __init__(
        self, simulation: Simulation, chooser: EngineChooser, entries: int, seed: int
    ) -> None:
        #: Every entry decides for itself.
        self.messages = 0
        self._simulation = simulation
        self._chooser = chooser
        source = random.Random(seed)
        self._views = [EntryView(simulation, source) for _ in range(entries)]
        self._excluded: dict[str, set[int]] = {}

    def arrive(self, arrival: Arrival) -> None:
        """Send a request to the chosen engine."""
        excluded = self._excluded.get(arrival.generation_id, set())
        alive = [e for e in self._simulation.alive if e not in excluded]
        view = self._views[arrival.entry]
        engine = self._chooser.choose(view, alive or list(self._simulation.alive))
        view.outstanding[engine] += 1
        self._simulation.submit(arrival, engine)

    def note_tokens(self, arrival: Arrival, engine: int, made: int) -> None:
        """Ignore tokens."""

    def note_end(self, arrival: Arrival, engine: int, made: int) -> None:
        """Count a request that is served."""
        del made
        self._views[arrival.entry].outstanding[engine] -= 1

    def note_lost(self, arrival: Arrival, engine: int) -> None:
        """Send a request that has made no token to another engine."""
        self._views[arrival.entry].outstanding[engine] -= 1
        self._excluded.setdefault(arrival.generation_id, set()).add(engine)
        self._simulation.after(0.1, lambda: self.arrive(arrival))
