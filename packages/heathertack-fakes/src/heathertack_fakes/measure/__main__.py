"""Measures the admission policies and prints tables.

Usage:
  measure [options]

Options:
  --seeds=N      runs of each combination [default: 5]
  --processes=N  runs beside each other [default: 6]
  --quick        only our policy beside two others at two loads
"""

from __future__ import annotations

import sys
from collections.abc import Iterable
from typing import NamedTuple

from docopt import docopt

from heathertack.policy import AdmissionTuning
from heathertack_fakes.measure._experiments import (
    Experiment,
    measure_capacity,
    run_all,
)
from heathertack_fakes.measure._routers import ROUTERS
from heathertack_fakes.measure._statistics import RunFigures, median_of, range_of
from heathertack_fakes.measure._workloads import WORKLOADS

_LOADS = (0.6, 0.85, 1.0, 1.3)
_FAULTS = ("engine dies", "engine slows", "owner lost")
_REFERENCE = "least outstanding"
_LIMIT = "clairvoyant"
_HEADER = (
    "| workload | load | policy | stall p50/p99/max s | preempted /1000 |"
    " gap p99/p99.9 ms | first token short/long p95 s | goodput tok/s |"
    " refused % | lost % | fairness | msgs/req |"
)
_RULE = "|" + "---|" * 12


class _Row(NamedTuple):
    """One combination with a label."""

    label: str
    experiment: Experiment


class _Target(NamedTuple):
    """A bound on our figure beside that of another policy."""

    figure: str
    other: str
    #: Greatest ratio, or least if ``is_least``.
    ratio: float
    is_least: bool = False


_TARGETS = (
    _Target("preemptions_per_1000", _REFERENCE, 0.1),
    _Target("stall_p99", _REFERENCE, 0.4),
    _Target("gap_p99", _REFERENCE, 0.6),
    _Target("goodput", _REFERENCE, 0.98, is_least=True),
    _Target("first_token_short_p95", _REFERENCE, 0.5),
    _Target("first_token_long_p95", _REFERENCE, 1.1),
    _Target("goodput", _LIMIT, 0.95, is_least=True),
    _Target("gap_p99", _LIMIT, 1.1),
    _Target("stall_p99", _LIMIT, 1.5),
)


def measure(rows: list[_Row], seeds: int, processes: int) -> dict[_Row, RunFigures]:
    """Run every row with every seed, print a table and return the medians."""
    experiments = [
        row.experiment._replace(seed=seed) for row in rows for seed in range(seeds)
    ]
    results = run_all(experiments, processes)
    print(_HEADER)
    print(_RULE)
    medians: dict[_Row, RunFigures] = {}
    for number, row in enumerate(rows):
        runs = results[number * seeds : (number + 1) * seeds]
        medians[row] = median_of(runs)
        print(_render(row, medians[row], runs), flush=True)
    print()
    return medians


def _render(row: _Row, median: RunFigures, runs: list[RunFigures]) -> str:
    low, high = range_of(runs, "stall_p99")
    experiment = row.experiment
    cells = (
        experiment.workload,
        f"{experiment.load:.0%}",
        row.label,
        f"{median.stall_p50:.2f} / {median.stall_p99:.2f} ({low:.2f}-{high:.2f})"
        f" / {median.stall_max:.1f}",
        f"{median.preemptions_per_1000:.1f}",
        f"{median.gap_p99 * 1000:.0f} / {median.gap_p999 * 1000:.0f}",
        f"{median.first_token_short_p95:.2f} / {median.first_token_long_p95:.2f}",
        f"{median.goodput:.0f}",
        f"{median.refused * 100:.1f}",
        f"{median.lost * 100:.2f}",
        f"{median.fairness:.2f}",
        f"{median.messages:.1f}",
    )
    return "| " + " | ".join(cells) + " |"


def _policy_rows(quick: bool) -> list[_Row]:
    policies: Iterable[str] = ROUTERS
    loads: Iterable[float] = _LOADS
    if quick:
        policies = (_REFERENCE, "ours", _LIMIT)
        loads = (0.85, 1.0)
    return [
        _Row(policy, Experiment(policy, workload, load, 0))
        for workload in WORKLOADS
        for load in loads
        for policy in policies
    ]


def _fault_rows() -> list[_Row]:
    return [
        _Row(
            f"{policy}, {fault}",
            Experiment(policy, workload, 0.85, 0, fault=fault),
        )
        for workload in WORKLOADS
        for fault in _FAULTS
        for policy in (_REFERENCE, "ours")
        if policy == "ours" or fault != "owner lost"
    ]


def _weighed_rows() -> list[_Row]:
    usual = AdmissionTuning()
    ways = {
        "ours": usual,
        "quantile 0.25": usual._replace(quantile=0.25, quantile_bounds=(0.25, 0.8)),
        "quantile 0.4": usual._replace(quantile=0.4),
        "quantile 0.85": usual._replace(quantile=0.85, quantile_bounds=(0.3, 0.9)),
        "strict order": usual._replace(look_ahead=0),
        "look 32 past the head": usual._replace(look_ahead=32),
        "prefills up to 1,024 tokens": usual._replace(prefill_budget=1024),
        "no bound on prefills": usual._replace(prefill_budget=1_000_000),
        "no room kept for small ones": usual._replace(large_cache_limit=0.98),
    }
    rows = [
        _Row(name, Experiment("ours", workload, 1.0, 0, tuning=tuning))
        for workload in WORKLOADS
        for name, tuning in ways.items()
    ]
    lags = [
        _Row(f"{policy}, lag {lag} s", Experiment(policy, w, 1.0, 0, report_lag=lag))
        for w in WORKLOADS
        for lag in (0.5, 2.0)
        for policy in ("least reported", "ours")
    ]
    return rows + lags


def _judge(medians: dict[_Row, RunFigures]) -> None:
    """Print how our figures stand to their targets."""
    by_key = {
        (row.experiment.workload, row.experiment.load, row.experiment.policy): figures
        for row, figures in medians.items()
    }
    print("| workload | load | figure | beside | ratio | target | met |")
    print("|---|---|---|---|---|---|---|")
    for workload in WORKLOADS:
        for load in (0.85, 1.0):
            for target in _TARGETS:
                ours = getattr(by_key[workload, load, "ours"], target.figure)
                other = getattr(by_key[workload, load, target.other], target.figure)
                print(_render_target(workload, load, target, ours, other))
    print()


def _render_target(
    workload: str, load: float, target: _Target, ours: float, other: float
) -> str:
    ratio = ours / other if other else float(ours > 0)
    is_met = ratio >= target.ratio if target.is_least else ratio <= target.ratio
    sign = ">=" if target.is_least else "<="
    cells = (
        workload,
        f"{load:.0%}",
        target.figure,
        target.other,
        f"{ratio:.2f}",
        f"{sign} {target.ratio}",
        "yes" if is_met else "NO",
    )
    return "| " + " | ".join(cells) + " |"


def main() -> int:
    """Run the measurement."""
    options = docopt(__doc__ or "")
    seeds = int(options["--seeds"])
    processes = int(options["--processes"])
    for workload in WORKLOADS:
        capacity = WORKLOADS[workload].capacity
        measured = measure_capacity(workload)
        print(f"{workload}: 100% is {capacity} requests/s, measured {measured:.2f}")
    print(f"\n{seeds} seeds from 0; medians, ranges in brackets\n")
    medians = measure(_policy_rows(options["--quick"]), seeds, processes)
    _judge(medians)
    if not options["--quick"]:
        measure(_fault_rows(), seeds, processes)
        measure(_weighed_rows(), seeds, processes)
    return 0


if __name__ == "__main__":
    sys.exit(main())
