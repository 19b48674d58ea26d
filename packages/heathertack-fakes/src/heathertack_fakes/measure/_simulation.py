"""Engines, entries and a router in virtual time."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Sequence
from itertools import count
from typing import NamedTuple, Protocol

from heathertack_fakes._engine_model import (
    EngineModel,
    EngineRequest,
    EngineSize,
    EngineSpeed,
)
from heathertack_fakes.measure._statistics import GapHistogram, RunFigures, quantile
from heathertack_fakes.measure._workloads import Arrival


class Router(Protocol):
    """Decides which engine serves a request, and when."""

    #: Messages between entries and owners.
    messages: int

    def arrive(self, arrival: Arrival) -> None:
        """Take a request."""
        ...

    def note_tokens(self, arrival: Arrival, engine: int, made: int) -> None:
        """Note that a request has made tokens."""
        ...

    def note_end(self, arrival: Arrival, engine: int, made: int) -> None:
        """Note that a request is served."""
        ...

    def note_lost(self, arrival: Arrival, engine: int) -> None:
        """Note that a request lost its engine."""
        ...


class EngineReport(NamedTuple):
    """Load of an engine as others get to see it."""

    sequence: int
    running: int
    waiting: int
    cache_tokens: int
    cache_capacity: int
    preemptions: int


class _Progress:
    """What the caller of one request has seen."""

    def __init__(self, arrival: Arrival) -> None:
        self.arrival = arrival
        self.engine = -1
        self.made = 0
        self.first_at = 0.0
        self.last_at = 0.0
        self.longest_gap = 0.0


class _SimulatedEngine:
    """One engine with its step in progress."""

    def __init__(self, size: EngineSize, speed: EngineSpeed) -> None:
        self.model = EngineModel(size, speed)
        self.is_stepping = False
        self.is_dead = False
        self.reports: list[tuple[float, EngineReport]] = []


class Simulation:
    """Runs one policy on one sequence of arrivals.

    Parameters
    ----------
    engines : int
        Number of engines.
    size : EngineSize
        Bounds of each engine.
    report_lag : float
        Age of the load reports that routers see, seconds.
    warm_up : float
        Time from which requests count, seconds.
    """

    def __init__(
        self, engines: int, size: EngineSize, report_lag: float, warm_up: float
    ) -> None:
        self.now = 0.0
        self.engine_count = engines
        self._engines = [_SimulatedEngine(size, EngineSpeed()) for _ in range(engines)]
        self._report_lag = report_lag
        self._warm_up = warm_up
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self._progress: dict[str, _Progress] = {}
        self._done: list[_Progress] = []
        self._refused: list[Arrival] = []
        self._lost: list[Arrival] = []
        self._gaps = GapHistogram()
        self.router: Router | None = None

    @property
    def alive(self) -> tuple[int, ...]:
        """Engines that are not dead."""
        return tuple(i for i, engine in enumerate(self._engines) if not engine.is_dead)

    def at(self, time: float, act: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._queue, (time, next(self._numbers), act))

    def after(self, delay: float, act: Callable[[], None]) -> None:
        """Do something after a delay."""
        self.at(self.now + delay, act)

    def every(self, interval: float, act: Callable[[], None]) -> None:
        """Do something again and again."""

        def repeat() -> None:
            act()
            self.after(interval, repeat)

        self.after(interval, repeat)

    def run(self, arrivals: Sequence[Arrival], router: Router, until: float) -> None:
        """Run until a time."""
        self.router = router
        for arrival in arrivals:
            self.at(arrival.at, lambda arrival=arrival: router.arrive(arrival))  # type: ignore[misc]
        self.every(0.25, self._take_reports)
        while self._queue and self._queue[0][0] <= until:
            self.now, _, act = heapq.heappop(self._queue)
            act()

    def submit(self, arrival: Arrival, engine: int) -> None:
        """Send a request to an engine."""
        simulated = self._engines[engine]
        if simulated.is_dead:
            self._require_router().note_lost(arrival, engine)
            return
        progress = _Progress(arrival)
        progress.engine = engine
        self._progress[arrival.generation_id] = progress
        simulated.model.submit(
            EngineRequest(
                arrival.generation_id,
                arrival.prompt_tokens,
                arrival.length,
                arrival.kind.priority,
                arrival.prefix,
            )
        )
        self._start_step(simulated)

    def refuse(self, arrival: Arrival) -> None:
        """Give a request its final answer without serving it."""
        self._refused.append(arrival)

    def lose(self, arrival: Arrival) -> None:
        """End a request whose engine is gone."""
        self._lost.append(arrival)

    def report(self, engine: int) -> EngineReport | None:
        """Return the load report of an engine that is as old as the lag."""
        limit = self.now - self._report_lag
        reports = self._engines[engine].reports
        while len(reports) > 1 and reports[1][0] <= limit:
            reports.pop(0)
        if not reports or reports[0][0] > limit:
            return None
        return reports[0][1]

    def kill_engine(self, engine: int) -> None:
        """Let an engine die."""
        simulated = self._engines[engine]
        simulated.is_dead = True
        for progress in tuple(self._progress.values()):
            if progress.engine != engine:
                continue
            del self._progress[progress.arrival.generation_id]
            if progress.made:
                self.lose(progress.arrival)
            self._require_router().note_lost(progress.arrival, engine)

    def slow_down_engine(self, engine: int, factor: float) -> None:
        """Let every step of an engine take longer."""
        self._engines[engine].model.slow_down(factor)

    def remaining_length(self, generation_id: str) -> int:
        """Return the tokens still to come, which only a clairvoyant may ask."""
        progress = self._progress[generation_id]
        return progress.arrival.length - progress.made

    def figures(self, arrivals: Sequence[Arrival], until: float) -> RunFigures:
        """Return the figures of the requests after the warm-up."""
        done = [p for p in self._done if p.arrival.at >= self._warm_up]
        counted = [a for a in arrivals if a.at >= self._warm_up]
        open_progress = [
            p for p in self._progress.values() if p.made and p.arrival.at >= 0
        ]
        stalls = [p.longest_gap for p in (*done, *open_progress) if p.made > 1]
        tokens = sum(p.made for p in done)
        requests = max(len(counted), 1)
        refused = [a for a in self._refused if a.at >= self._warm_up]
        lost = [a for a in self._lost if a.at >= self._warm_up]
        preemptions = sum(engine.model.preemptions for engine in self._engines)
        return RunFigures(
            stall_p50=quantile(stalls, 0.5),
            stall_p99=quantile(stalls, 0.99),
            stall_max=max(stalls, default=0.0),
            preemptions_per_1000=1000 * preemptions / max(len(self._done), 1),
            gap_p99=self._gaps.quantile(0.99),
            gap_p999=self._gaps.quantile(0.999),
            first_token_short_p95=quantile(self._first_tokens(2), 0.95),
            first_token_long_p95=quantile(self._first_tokens(1), 0.95),
            goodput=tokens / (until - self._warm_up),
            refused=len(refused) / requests,
            lost=len(lost) / requests,
            fairness=_fairness(done, counted),
            messages=self._require_router().messages / max(len(arrivals), 1),
        )

    def tokens_made(self, since: float) -> int:
        """Return the tokens made after the warm-up, which must be ``since``."""
        assert since == self._warm_up
        return self._gaps.count

    def _first_tokens(self, priority: int) -> list[float]:
        """Return the waits for first tokens; those still waiting count as now."""
        waits = [
            p.first_at - p.arrival.at
            for p in (*self._done, *self._progress.values())
            if p.made
            and p.arrival.kind.priority == priority
            and p.arrival.at >= self._warm_up
        ]
        waiting = [
            self.now - p.arrival.at
            for p in self._progress.values()
            if not p.made and p.arrival.kind.priority == priority
        ]
        return waits + waiting

    def _require_router(self) -> Router:
        assert self.router is not None
        return self.router

    def _start_step(self, engine: _SimulatedEngine) -> None:
        if engine.is_stepping or engine.is_dead or engine.model.is_idle:
            return
        engine.is_stepping = True
        self.after(engine.model.start_step(), lambda: self._finish_step(engine))

    def _finish_step(self, engine: _SimulatedEngine) -> None:
        engine.is_stepping = False
        if engine.is_dead:
            return
        router = self._require_router()
        for token in engine.model.finish_step():
            progress = self._progress[token.generation_id]
            self._note_token(progress)
            if token.is_last:
                del self._progress[token.generation_id]
                self._done.append(progress)
                router.note_end(progress.arrival, progress.engine, progress.made)
            else:
                router.note_tokens(progress.arrival, progress.engine, progress.made)
        self._start_step(engine)

    def _note_token(self, progress: _Progress) -> None:
        if progress.made:
            gap = self.now - progress.last_at
            progress.longest_gap = max(progress.longest_gap, gap)
            if self.now >= self._warm_up:
                self._gaps.add(gap)
        else:
            progress.first_at = self.now
        progress.made += 1
        progress.last_at = self.now

    def _take_reports(self) -> None:
        for engine in self._engines:
            if engine.is_dead:
                continue
            model = engine.model
            sequence = len(engine.reports) + int(self.now * 1000)
            report = EngineReport(
                sequence,
                model.running,
                model.waiting,
                model.cache_tokens,
                model.cache_capacity,
                model.preemptions,
            )
            engine.reports.append((self.now, report))


def _fairness(done: Sequence[_Progress], counted: Sequence[Arrival]) -> float:
    asked = Counter(arrival.account for arrival in counted)
    served = Counter(progress.arrival.account for progress in done)
    overall = len(done) / max(len(counted), 1)
    parts = [served[account] / asked[account] for account in asked]
    return min(parts, default=0.0) / max(overall, 1e-9)
