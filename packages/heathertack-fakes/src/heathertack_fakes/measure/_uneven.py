"""Measures admission to engines of different speeds, with slow periods."""

from __future__ import annotations

import math
import random
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from statistics import fmean, median
from typing import NamedTuple

from heathertack.policy import AdmissionTuning
from heathertack_fakes._engine_model import EngineSize, EngineSpeed
from heathertack_fakes.measure._entry_routers import (
    EngineChooser,
    EntryRouter,
    ExpectedLoadChooser,
    LeastOutstandingChooser,
    LeastOwnByNameChooser,
    LeastReportedChooser,
    RandomChooser,
    TwoExpectedLoadsChooser,
    TwoOwnChoicesChooser,
    WaterFillingChooser,
)
from heathertack_fakes.measure._reservation_routers import ReservationRouter
from heathertack_fakes.measure._simulation import Simulation
from heathertack_fakes.measure._statistics import quantile
from heathertack_fakes.measure._workloads import Arrival, RequestClass

ENGINES = 22
SPEEDS = (0.6, 1.0, 1.6)
_SIZE = EngineSize(cache_tokens=26_860, batch=24, piece_tokens=256)
_SPEED = EngineSpeed(0.007, 0.00012, 0.0, 1.0 / 14_000)
_TOKENS_PER_EVENT = 4
_LONG = RequestClass("long", 0.0, 1, (3000, 3000), 0.0, 0.0, 445 * 4)
_SHORT = RequestClass("short", 0.0, 0, (2200, 2200), 0.0, 0.0, 2 * 4)
_LONG_PER_SECOND = 10.6
_SHORT_PER_SECOND = 12.0
_LONG_EVENTS = 188
#: Demand swings by this fraction within this time.
_SWING = 0.55
_SWING_SECONDS = 13.0
_SLOW_PERIOD_SECONDS = 0.6
_SLOW_PROBABILITY = 0.15
_SLOW_FACTOR = 2.5
_LONG_DUE_SECONDS = 1.8
_LONG_DEADLINE_SECONDS = 39.0
_MAX_PAUSE_SECONDS = 0.180
_WARM_UP_SECONDS = 13.0
_DELAY_SECONDS = 0.002


#: Policies without an owner, by name.
CHOOSERS: dict[str, EngineChooser] = {
    "own requests, ties by name": LeastOwnByNameChooser(),
    "own requests, random ties": LeastOutstandingChooser(),
    "own requests, two choices": TwoOwnChoicesChooser(),
    "equal shares": RandomChooser(),
    "last report": LeastReportedChooser(),
    "report and own sends": ExpectedLoadChooser(),
    "report and own sends, two choices": TwoExpectedLoadsChooser(),
    "water-filling": WaterFillingChooser(),
}


class UnevenRun(NamedTuple):
    """Parameters of one run."""

    tuning: AdmissionTuning
    seed: int
    #: Demand relative to the deployment's.
    load: float = 1.0
    is_even: bool = False
    has_slow_periods: bool = True
    piece_tokens: int = 256
    #: Name in `CHOOSERS`, or reservations at an owner.
    policy: str = "reservations"
    #: Number of entry instances.
    entries: int = 78
    #: Age of the load reports that entries and owners receive, seconds.
    report_age: float = 1.0
    #: Time for which requests arrive, seconds.
    until: float = 91.0


class UnevenFigures(NamedTuple):
    """Figures of one run."""

    #: Time to the first event of long streams, seconds.
    first_p50: float
    first_p95: float
    #: Fraction of long streams that start in time, pause for at most 180 ms and end
    #: before their deadline.
    in_time: float
    #: Fractions of the long streams: started late, paused too long, refused.
    late: float
    paused: float
    refused: float
    #: Work of the busiest engine relative to the mean, weighted by speed.
    busiest_by_speed: float
    #: Requests of the busiest engine relative to the mean.
    busiest: float
    #: Seconds that a long stream takes.
    duration: float
    #: Time to the first event of short streams, seconds.
    short_p50: float
    short_p95: float


def run_uneven(run: UnevenRun) -> UnevenFigures:
    """Run one simulation and return its figures."""
    simulation, arrivals = _simulate(run)
    return _count(simulation, arrivals, run)


def _list_speeds(run: UnevenRun) -> list[float]:
    return [1.0 if run.is_even else SPEEDS[e % 3] for e in range(ENGINES)]


def _simulate(run: UnevenRun) -> tuple[Simulation, tuple[Arrival, ...]]:
    rng = random.Random(run.seed)
    arrivals = _draw(rng, run)
    simulation = Simulation(
        ENGINES,
        _SIZE._replace(piece_tokens=run.piece_tokens),
        run.report_age,
        _WARM_UP_SECONDS,
        speed=_SPEED,
        tokens_per_event=_TOKENS_PER_EVENT,
    )
    speeds = _list_speeds(run)

    def draw_slow_periods() -> None:
        for engine, speed in enumerate(speeds):
            is_slow = run.has_slow_periods and rng.random() < _SLOW_PROBABILITY
            factor = _SLOW_FACTOR if is_slow else 1.0
            simulation.slow_down_engine(engine, factor / speed)

    draw_slow_periods()
    simulation.every(_SLOW_PERIOD_SECONDS, draw_slow_periods)
    chooser = CHOOSERS.get(run.policy)
    router = (
        ReservationRouter(simulation, _DELAY_SECONDS, run.tuning)
        if chooser is None
        else EntryRouter(simulation, chooser, run.entries, run.seed)
    )
    simulation.run(arrivals, router, run.until)
    return simulation, arrivals


def list_engines(run: UnevenRun) -> tuple[tuple[str, int], ...]:
    """Return the engine of every request that was served in a run."""
    simulation, _ = _simulate(run)
    return tuple((s.arrival.generation_id, s.engine) for s in simulation.served)


def measure_uneven(
    runs: list[UnevenRun], seeds: int, processes: int
) -> list[UnevenFigures]:
    """Run each combination with several seeds and return the medians."""
    each = [run._replace(seed=seed) for run in runs for seed in range(seeds)]
    with ProcessPoolExecutor(processes) as executor:
        results = list(executor.map(run_uneven, each, chunksize=1))
    groups = [results[i * seeds : (i + 1) * seeds] for i in range(len(runs))]
    return [
        UnevenFigures(*(median(column) for column in zip(*group, strict=True)))
        for group in groups
    ]


def _draw(rng: random.Random, run: UnevenRun) -> tuple[Arrival, ...]:
    """Draw arrivals whose rate swings."""
    arrivals: list[Arrival] = []
    at = 0.0
    peak = (_LONG_PER_SECOND + _SHORT_PER_SECOND) * run.load * (1 + _SWING)
    while (at := at + rng.expovariate(peak)) < run.until:
        swing = 1 + _SWING * math.sin(2 * math.pi * at / _SWING_SECONDS)
        if rng.random() * (1 + _SWING) > swing:
            continue
        share = _LONG_PER_SECOND / (_LONG_PER_SECOND + _SHORT_PER_SECOND)
        kind = _LONG if rng.random() < share else _SHORT
        # Lengths of long streams are spread evenly up to twice the mean or so.
        events = rng.randint(2, 2 * _LONG_EVENTS) if kind is _LONG else 2
        arrivals.append(
            Arrival(
                f"g{len(arrivals)}",
                at,
                "account",
                kind,
                kind.prompt[0],
                events * _TOKENS_PER_EVENT,
                (),
                rng.randrange(run.entries),
            )
        )
    return tuple(arrivals)


def _count(
    simulation: Simulation, arrivals: tuple[Arrival, ...], run: UnevenRun
) -> UnevenFigures:
    # Streams that arrive last can't end within the run.
    until = run.until - _SWING_SECONDS
    speeds = _list_speeds(run)
    sent = [a for a in arrivals if _WARM_UP_SECONDS <= a.at < until]
    wanted = {a.generation_id for a in sent if a.request_class is _LONG}
    served = {s.arrival.generation_id: s for s in simulation.served}
    long = [served[key] for key in wanted if key in served]
    total = max(len(wanted), 1)
    firsts = [s.first_at - s.arrival.at for s in long]
    firsts += [_LONG_DEADLINE_SECONDS] * (total - len(long))
    short = [
        served[a.generation_id].first_at - a.at
        if a.generation_id in served
        else _LONG_DEADLINE_SECONDS
        for a in sent
        if a.request_class is _SHORT
    ]
    late = {
        s.arrival.generation_id
        for s in long
        if s.first_at - s.arrival.at > _LONG_DUE_SECONDS
    }
    paused = {
        s.arrival.generation_id for s in long if s.longest_pause > _MAX_PAUSE_SECONDS
    }
    ended = {
        s.arrival.generation_id
        for s in long
        if s.finished_at - s.arrival.at <= _LONG_DEADLINE_SECONDS
    }
    refused = {a.generation_id for a in simulation.refused}
    work: Counter[int] = Counter()
    requests: Counter[int] = Counter()
    for arrival in sent:
        if arrival.generation_id not in served:
            continue
        engine = served[arrival.generation_id].engine
        requests[engine] += 1
        work[engine] += arrival.prompt_tokens + arrival.length
    by_speed = [work[e] / speed for e, speed in enumerate(speeds)]
    mean = sum(work.values()) / sum(speeds)
    return UnevenFigures(
        first_p50=quantile(firsts, 0.5),
        first_p95=quantile(firsts, 0.95),
        in_time=len(ended - late - paused) / total,
        late=len(late) / total,
        paused=len(paused) / total,
        refused=len(refused & wanted) / total,
        busiest_by_speed=max(by_speed) / max(mean, 1e-9),
        busiest=max(requests.values()) * ENGINES / max(requests.total(), 1),
        duration=fmean(
            s.finished_at - s.arrival.at
            for s in long
            if s.arrival.generation_id in ended
        ),
        short_p50=quantile(short, 0.5),
        short_p95=quantile(short, 0.95),
    )
