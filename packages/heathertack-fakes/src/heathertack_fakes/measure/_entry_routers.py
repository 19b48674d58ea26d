"""Policies in which each entry chooses engines independently."""

from __future__ import annotations

import random
from collections import Counter, deque
from typing import Protocol

from heathertack_fakes.measure._simulation import Simulation
from heathertack_fakes.measure._workloads import Arrival


class EngineChooser(Protocol):
    """Chooses an engine from the information of one entry."""

    def choose(self, view: EntryView, engines: list[int]) -> int:
        """Return the engine for a request."""
        ...


class EntryView:
    """Information that one entry has about the engines.

    Parameters
    ----------
    simulation : Simulation
        Simulation that provides load reports.
    rng : random.Random
        Random number generator, shared by all entries.
    """

    def __init__(self, simulation: Simulation, rng: random.Random) -> None:
        self.rng = rng
        #: Number of requests of this entry in progress, by engine.
        self.outstanding: Counter[int] = Counter()
        #: Position in the round-robin order, initially random.
        self.round_robin_position = rng.randrange(100)
        self._simulation = simulation
        self._sent_at: dict[int, deque[float]] = {}

    def record_sent(self, engine: int) -> None:
        """Record that the entry sends a request to an engine."""
        self._sent_at.setdefault(engine, deque()).append(self._simulation.now)

    def expected_load(self, engine: int) -> int:
        """Return the reported load and the requests sent since the report."""
        sent_at = self._sent_at.get(engine, deque())
        reported_at = self._simulation.now - self._simulation.report_age(engine)
        while sent_at and sent_at[0] <= reported_at:
            sent_at.popleft()
        return self.reported_load(engine) + len(sent_at)

    def reported_load(self, engine: int) -> int:
        """Return the reported number of requests of an engine, 0 without a report."""
        report = self._simulation.report(engine)
        return report.running + report.waiting if report is not None else 0


class RoundRobinChooser:
    """Chooses the engines in round-robin order."""

    def choose(self, view: EntryView, engines: list[int]) -> int:
        """Return the next engine."""
        view.round_robin_position += 1
        return engines[view.round_robin_position % len(engines)]


class LeastOutstandingChooser:
    """Chooses the engine with the fewest requests in progress from the entry."""

    def choose(self, view: EntryView, engines: list[int]) -> int:
        """Return the engine with the fewest requests in progress."""
        return min(engines, key=lambda e: (view.outstanding[e], view.rng.random()))


class LeastReportedChooser:
    """Chooses the engine with the lowest reported load."""

    def choose(self, view: EntryView, engines: list[int]) -> int:
        """Return the engine with the lowest reported load."""
        return min(engines, key=lambda e: (view.reported_load(e), view.rng.random()))


class TwoChoicesChooser:
    """Chooses the engine with the lower reported load of two random ones."""

    def choose(self, view: EntryView, engines: list[int]) -> int:
        """Return the engine with the lower reported load of two random ones."""
        drawn = view.rng.sample(engines, min(2, len(engines)))
        return min(drawn, key=view.reported_load)


class LeastOwnByNameChooser:
    """Chooses as an instance without an admission owner did: names break ties."""

    def choose(self, view: EntryView, engines: list[int]) -> int:
        """Return the first engine with the fewest requests in progress."""
        return min(engines, key=lambda e: (view.outstanding[e], e))


class TwoOwnChoicesChooser:
    """Chooses the engine with fewer requests of the entry of two random ones."""

    def choose(self, view: EntryView, engines: list[int]) -> int:
        """Return the engine with fewer requests in progress of two random ones."""
        drawn = view.rng.sample(engines, min(2, len(engines)))
        return min(drawn, key=lambda e: view.outstanding[e])


class RandomChooser:
    """Chooses engines in equal shares, because they have equal capacities."""

    def choose(self, view: EntryView, engines: list[int]) -> int:
        """Return a random engine."""
        return view.rng.choice(engines)


class ExpectedLoadChooser:
    """Chooses by the report with the entry's own sends on top."""

    def choose(self, view: EntryView, engines: list[int]) -> int:
        """Return the engine with the lowest expected load."""
        return min(engines, key=lambda e: (view.expected_load(e), view.rng.random()))


class TwoExpectedLoadsChooser:
    """Chooses the better of two random engines, own sends on top of the report."""

    def choose(self, view: EntryView, engines: list[int]) -> int:
        """Return the engine with the lower expected load of two random ones."""
        drawn = view.rng.sample(engines, min(2, len(engines)))
        return min(drawn, key=view.expected_load)


class WaterFillingChooser:
    """Chooses randomly with the shares that would level the expected loads."""

    def choose(self, view: EntryView, engines: list[int]) -> int:
        """Return a random engine, with its room below the level as the weight."""
        loads = [view.expected_load(engine) for engine in engines]
        # The requests of about one second fill the engines up to the level.
        level = (sum(loads) + len(engines)) / len(engines)
        room = [max(level - load, 0.0) for load in loads]
        return view.rng.choices(engines, room)[0]


class EntryRouter:
    """Sends each request to the engine that its entry chooses.

    Parameters
    ----------
    simulation : Simulation
        Simulation that serves the requests.
    chooser : EngineChooser
        Policy that chooses an engine.
    entries : int
        Number of entries.
    seed : int
        Seed of random choices.
    """

    def __init__(
        self, simulation: Simulation, chooser: EngineChooser, entries: int, seed: int
    ) -> None:
        #: Always 0, because entries do not exchange messages.
        self.messages = 0
        self._simulation = simulation
        self._chooser = chooser
        rng = random.Random(seed)
        self._views = [EntryView(simulation, rng) for _ in range(entries)]
        self._excluded: dict[str, set[int]] = {}

    def on_arrival(self, arrival: Arrival) -> None:
        """Submit a request to the engine that its entry chooses."""
        excluded = self._excluded.get(arrival.generation_id, set())
        alive = [e for e in self._simulation.alive if e not in excluded]
        view = self._views[arrival.entry]
        engine = self._chooser.choose(view, alive or list(self._simulation.alive))
        view.outstanding[engine] += 1
        view.record_sent(engine)
        self._simulation.submit(arrival, engine)

    def on_tokens(self, arrival: Arrival, engine: int, generated_tokens: int) -> None:
        """Do nothing; the policies do not use the progress of requests."""

    def on_finished(self, arrival: Arrival, engine: int, generated_tokens: int) -> None:
        """Remove a finished request from the requests in progress."""
        del generated_tokens
        self._views[arrival.entry].outstanding[engine] -= 1

    def on_engine_lost(self, arrival: Arrival, engine: int) -> None:
        """Submit the request again after a delay, excluding the lost engine."""
        self._views[arrival.entry].outstanding[engine] -= 1
        self._excluded.setdefault(arrival.generation_id, set()).add(engine)
        self._simulation.after(0.1, lambda: self.on_arrival(arrival))
