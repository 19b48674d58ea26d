"""Simulation runs of a policy under a workload and a load."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from heathertack.policy import AdmissionTuning
from heathertack_fakes._engine_model import EngineSize
from heathertack_fakes.measure._reservation_routers import ReservationRouter
from heathertack_fakes.measure._routers import ROUTERS, build_tuned_factory
from heathertack_fakes.measure._simulation import Simulation
from heathertack_fakes.measure._statistics import RunFigures
from heathertack_fakes.measure._workloads import (
    WORKLOADS,
    Workload,
    draw_arrivals,
    mean_length,
)

ENGINES = 5
SIZE = EngineSize(cache_tokens=30_000)
WARM_UP_SECONDS = 40.0
UNTIL_SECONDS = 220.0
_FAULT_AT_SECONDS = 100.0
_SLOWDOWN_FACTOR = 3.0
_CALIBRATION_SECONDS = 120.0
_CALIBRATION_REQUESTS_PER_SECOND = 60.0


class Experiment(NamedTuple):
    """Parameters of one run."""

    policy: str
    workload: str
    #: Rate of arrivals as a fraction of the capacity.
    load: float
    seed: int
    entries: int = 10
    #: Age of the load reports that routers receive, seconds.
    report_lag: float = 1.0
    fault: str = "none"
    tuning: AdmissionTuning | None = None


def run_experiment(experiment: Experiment) -> RunFigures:
    """Run one experiment and return its figures."""
    workload = WORKLOADS[experiment.workload]
    rate = experiment.load * workload.capacity
    arrivals = draw_arrivals(
        workload, rate, UNTIL_SECONDS, experiment.entries, experiment.seed
    )
    simulation = Simulation(ENGINES, SIZE, experiment.report_lag, WARM_UP_SECONDS)
    factory = ROUTERS[experiment.policy]
    if experiment.tuning is not None:
        factory = build_tuned_factory(experiment.tuning)
    router = factory(simulation, experiment.entries, workload.delay, experiment.seed)
    _schedule_fault(simulation, router, experiment.fault)
    simulation.run(arrivals, router, UNTIL_SECONDS)
    return simulation.figures(arrivals, UNTIL_SECONDS)


def run_all(experiments: list[Experiment], processes: int) -> list[RunFigures]:
    """Run experiments in parallel and return their figures in order."""
    with ProcessPoolExecutor(processes) as executor:
        return list(executor.map(run_experiment, experiments, chunksize=1))


def measure_capacity(name: str) -> float:
    """Measure the rate of requests that saturates the engines, requests per second.

    The capacity is the rate at which saturated engines generate tokens under the
    clairvoyant policy without priorities, divided by the mean length of an answer.
    """
    workload = _without_priorities(WORKLOADS[name])
    arrivals = draw_arrivals(
        workload, _CALIBRATION_REQUESTS_PER_SECOND, _CALIBRATION_SECONDS, 1, 99
    )
    simulation = Simulation(ENGINES, SIZE, 0.0, WARM_UP_SECONDS)
    router = ROUTERS["clairvoyant"](simulation, 1, 0.0, 0)
    simulation.run(arrivals, router, _CALIBRATION_SECONDS)
    tokens = simulation.count_generated_tokens(WARM_UP_SECONDS)
    return tokens / (_CALIBRATION_SECONDS - WARM_UP_SECONDS) / mean_length(workload)


def _without_priorities(workload: Workload) -> Workload:
    classes = tuple(kind._replace(priority=1) for kind in workload.classes)
    return workload._replace(classes=classes)


def _schedule_fault(simulation: Simulation, router: object, fault: str) -> None:
    if fault == "engine dies":
        simulation.at(_FAULT_AT_SECONDS, lambda: simulation.kill_engine(0))
    elif fault == "engine slows":
        simulation.at(
            _FAULT_AT_SECONDS, lambda: simulation.slow_down_engine(0, _SLOWDOWN_FACTOR)
        )
    elif fault == "owner lost" and isinstance(router, ReservationRouter):
        simulation.at(_FAULT_AT_SECONDS, router.replace_owner)
