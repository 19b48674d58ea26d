"""Simulation of engines and a router in virtual time."""

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

    #: Number of messages between entries and owners.
    messages: int

    def on_arrival(self, arrival: Arrival) -> None:
        """Handle the arrival of a request."""
        ...

    def on_tokens(self, arrival: Arrival, engine: int, generated_tokens: int) -> None:
        """Handle a generated token that is not the last one of its request."""
        ...

    def on_finished(self, arrival: Arrival, engine: int, generated_tokens: int) -> None:
        """Handle the last token of a request."""
        ...

    def on_engine_lost(self, arrival: Arrival, engine: int) -> None:
        """Handle the loss of the engine of a request."""
        ...


class EngineReport(NamedTuple):
    """Load report of an engine."""

    sequence: int
    running: int
    waiting: int
    cache_tokens: int
    cache_capacity: int
    preemptions: int


class ServedRequest(NamedTuple):
    """What the caller of a request received; times are in seconds."""

    arrival: Arrival
    engine: int
    #: Time of the first event.
    first_at: float
    #: Time of the last event; infinite if the request has not ended.
    finished_at: float
    #: Longest time between two events.
    longest_pause: float


class _Progress:
    """Tokens that the caller of one request has received, and their times."""

    def __init__(self, arrival: Arrival) -> None:
        self.arrival = arrival
        self.engine = -1
        self.generated_tokens = 0
        self.first_at = 0.0
        self.last_at = 0.0
        self.longest_gap = 0.0


class _SimulatedEngine:
    """Engine with the state of its step and its past load reports."""

    def __init__(self, size: EngineSize, speed: EngineSpeed) -> None:
        self.model = EngineModel(size, speed)
        self.is_stepping = False
        self.has_failed = False
        self.reports: list[tuple[float, EngineReport]] = []


class Simulation:
    """Runs one policy on one sequence of arrivals.

    Parameters
    ----------
    engines : int
        Number of engines.
    size : EngineSize
        Capacity limits of each engine.
    report_lag : float
        Age of the load reports that routers receive, seconds.
    warm_up : float
        Time from which requests are included in the figures, seconds.
    speed : EngineSpeed
        Components of the duration of a step.
    tokens_per_event : int
        Number of tokens that callers receive together.
    """

    def __init__(
        self,
        engines: int,
        size: EngineSize,
        report_lag: float,
        warm_up: float,
        *,
        speed: EngineSpeed = EngineSpeed(),  # noqa: B008 - immutable
        tokens_per_event: int = 1,
    ) -> None:
        self.now = 0.0
        self.engine_count = engines
        self._engines = [_SimulatedEngine(size, speed) for _ in range(engines)]
        self._tokens_per_event = tokens_per_event
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
    def refused(self) -> tuple[Arrival, ...]:
        """Requests that were refused."""
        return tuple(self._refused)

    @property
    def served(self) -> tuple[ServedRequest, ...]:
        """Requests whose callers have received an event."""
        done = [_describe_served(p, p.last_at) for p in self._done]
        progress = [p for p in self._progress.values() if p.first_at]
        return (*done, *(_describe_served(p, float("inf")) for p in progress))

    @property
    def alive(self) -> tuple[int, ...]:
        """Indexes of the engines that have not failed."""
        return tuple(
            i for i, engine in enumerate(self._engines) if not engine.has_failed
        )

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time."""
        heapq.heappush(self._queue, (time, next(self._numbers), action))

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self.at(self.now + delay, action)

    def every(self, interval: float, action: Callable[[], None]) -> None:
        """Schedule an action repeatedly, first after one interval."""

        def repeat() -> None:
            action()
            self.after(interval, repeat)

        self.after(interval, repeat)

    def run(self, arrivals: Sequence[Arrival], router: Router, until: float) -> None:
        """Run all arrivals and scheduled actions up to a time."""
        self.router = router
        for arrival in arrivals:
            self.at(arrival.at, lambda arrival=arrival: router.on_arrival(arrival))  # type: ignore[misc]
        self.every(0.25, self._record_reports)
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()

    def submit(self, arrival: Arrival, engine: int) -> None:
        """Submit a request to an engine; a failed engine is reported as lost."""
        simulated = self._engines[engine]
        if simulated.has_failed:
            self._require_router().on_engine_lost(arrival, engine)
            return
        progress = _Progress(arrival)
        progress.engine = engine
        self._progress[arrival.generation_id] = progress
        simulated.model.submit(
            EngineRequest(
                arrival.generation_id,
                arrival.prompt_tokens,
                arrival.length,
                arrival.request_class.priority,
                arrival.prefix,
            )
        )
        self._start_step(simulated)

    def record_refused(self, arrival: Arrival) -> None:
        """Record a request that was refused."""
        self._refused.append(arrival)

    def record_lost(self, arrival: Arrival) -> None:
        """Record a request that was lost with its engine."""
        self._lost.append(arrival)

    def report(self, engine: int) -> EngineReport | None:
        """Return the latest load report that is at least as old as the lag, if any."""
        limit = self.now - self._report_lag
        reports = self._engines[engine].reports
        while len(reports) > 1 and reports[1][0] <= limit:
            reports.pop(0)
        if not reports or reports[0][0] > limit:
            return None
        return reports[0][1]

    def report_age(self, engine: int) -> float:
        """Return the age of the report that `report` returns, seconds."""
        if self.report(engine) is None:
            return self.now
        return self.now - self._engines[engine].reports[0][0]

    def kill_engine(self, engine: int) -> None:
        """Fail an engine; its requests with generated tokens are recorded as lost."""
        simulated = self._engines[engine]
        simulated.has_failed = True
        for progress in tuple(self._progress.values()):
            if progress.engine != engine:
                continue
            del self._progress[progress.arrival.generation_id]
            if progress.generated_tokens:
                self.record_lost(progress.arrival)
            self._require_router().on_engine_lost(progress.arrival, engine)

    def slow_down_engine(self, engine: int, factor: float) -> None:
        """Multiply the duration of the steps of an engine by a factor."""
        self._engines[engine].model.slow_down(factor)

    def remaining_length(self, generation_id: str) -> int:
        """Return the number of remaining tokens, which only a clairvoyant may use."""
        progress = self._progress[generation_id]
        return progress.arrival.length - progress.generated_tokens

    def figures(self, arrivals: Sequence[Arrival], until: float) -> RunFigures:
        """Return the figures of the requests that arrived after the warm-up."""
        done = [p for p in self._done if p.arrival.at >= self._warm_up]
        counted = [a for a in arrivals if a.at >= self._warm_up]
        open_progress = [
            p
            for p in self._progress.values()
            if p.generated_tokens and p.arrival.at >= 0
        ]
        stalls = [
            p.longest_gap for p in (*done, *open_progress) if p.generated_tokens > 1
        ]
        tokens = sum(p.generated_tokens for p in done)
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
            first_token_short_p95=quantile(self._first_token_delays(2), 0.95),
            first_token_long_p95=quantile(self._first_token_delays(1), 0.95),
            goodput=tokens / (until - self._warm_up),
            refused=len(refused) / requests,
            lost=len(lost) / requests,
            fairness=_fairness(done, counted),
            messages=self._require_router().messages / max(len(arrivals), 1),
        )

    def count_generated_tokens(self, since: float) -> int:
        """Return the number of gaps between tokens after the warm-up.

        First tokens are not counted. ``since`` must be the warm-up time.
        """
        assert since == self._warm_up
        return self._gaps.count

    def _first_token_delays(self, priority: int) -> list[float]:
        """Return the delays of first tokens of one priority.

        Requests without a token are included with the time they have waited.
        """
        waits = [
            p.first_at - p.arrival.at
            for p in (*self._done, *self._progress.values())
            if p.generated_tokens
            and p.arrival.request_class.priority == priority
            and p.arrival.at >= self._warm_up
        ]
        waiting = [
            self.now - p.arrival.at
            for p in self._progress.values()
            if not p.generated_tokens and p.arrival.request_class.priority == priority
        ]
        return waits + waiting

    def _require_router(self) -> Router:
        assert self.router is not None
        return self.router

    def _start_step(self, engine: _SimulatedEngine) -> None:
        if engine.is_stepping or engine.has_failed or engine.model.is_idle:
            return
        engine.is_stepping = True
        self.after(engine.model.start_step(), lambda: self._finish_step(engine))

    def _finish_step(self, engine: _SimulatedEngine) -> None:
        engine.is_stepping = False
        if engine.has_failed:
            return
        router = self._require_router()
        for token in engine.model.finish_step():
            progress = self._progress[token.generation_id]
            self._record_token(progress, is_last=token.is_last)
            if token.is_last:
                del self._progress[token.generation_id]
                self._done.append(progress)
                router.on_finished(
                    progress.arrival, progress.engine, progress.generated_tokens
                )
            else:
                router.on_tokens(
                    progress.arrival, progress.engine, progress.generated_tokens
                )
        self._start_step(engine)

    def _record_token(self, progress: _Progress, *, is_last: bool) -> None:
        progress.generated_tokens += 1
        if progress.generated_tokens % self._tokens_per_event and not is_last:
            return
        if progress.first_at:
            gap = self.now - progress.last_at
            progress.longest_gap = max(progress.longest_gap, gap)
            if self.now >= self._warm_up:
                self._gaps.add(gap)
        else:
            progress.first_at = self.now
        progress.last_at = self.now

    def _record_reports(self) -> None:
        for engine in self._engines:
            if engine.has_failed:
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


def _describe_served(progress: _Progress, finished_at: float) -> ServedRequest:
    return ServedRequest(
        progress.arrival,
        progress.engine,
        progress.first_at,
        finished_at,
        progress.longest_gap,
    )


def _fairness(done: Sequence[_Progress], counted: Sequence[Arrival]) -> float:
    requested = Counter(arrival.account for arrival in counted)
    served = Counter(progress.arrival.account for progress in done)
    overall = len(done) / max(len(counted), 1)
    fractions = [served[account] / requested[account] for account in requested]
    return min(fractions, default=0.0) / max(overall, 1e-9)
