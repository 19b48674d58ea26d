"""Measures the admission policies in simulation and prints tables.

Usage:
  measure [options]

Options:
  --seeds=N      runs of each combination [default: 5]
  --processes=N  runs in parallel [default: 6]
  --quick        only our policy and two others, at two loads
  --uneven       only engines of different speeds
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
from heathertack_fakes.measure._uneven_tables import print_uneven
from heathertack_fakes.measure._workloads import WORKLOADS

_LOADS = (0.6, 0.85, 1.0, 1.3)
_FAULTS = ("engine dies", "engine slows", "owner lost")
_BASELINE_POLICY = "least outstanding"
_BEST_CASE_POLICY = "clairvoyant"
_HEADER = (
    "| workload | load | policy | stall p50/p99/max s | preempted /1000 |"
    " gap p99/p99.9 ms | first token short/long p95 s | goodput tok/s |"
    " refused % | lost % | fairness | msgs/req |"
)
_HEADER_RULE = "|" + "---|" * 12


class _Row(NamedTuple):
    """Experiment with the label of its table row."""

    label: str
    experiment: Experiment


class _Objective(NamedTuple):
    """Bound on the ratio of our figure to that of another policy."""

    figure: str
    other: str
    #: Maximum of the ratio, or its minimum if ``is_minimum``.
    ratio: float
    is_minimum: bool = False


_OBJECTIVES = (
    _Objective("preemptions_per_1000", _BASELINE_POLICY, 0.1),
    _Objective("stall_p99", _BASELINE_POLICY, 0.4),
    _Objective("gap_p99", _BASELINE_POLICY, 0.6),
    _Objective("goodput", _BASELINE_POLICY, 0.98, is_minimum=True),
    _Objective("first_token_short_p95", _BASELINE_POLICY, 0.5),
    _Objective("first_token_long_p95", _BASELINE_POLICY, 1.1),
    _Objective("goodput", _BEST_CASE_POLICY, 0.95, is_minimum=True),
    _Objective("gap_p99", _BEST_CASE_POLICY, 1.1),
    _Objective("stall_p99", _BEST_CASE_POLICY, 1.5),
)


def measure(rows: list[_Row], seeds: int, processes: int) -> dict[_Row, RunFigures]:
    """Run every row with each seed, print a table and return the medians."""
    experiments = [
        row.experiment._replace(seed=seed) for row in rows for seed in range(seeds)
    ]
    results = run_all(experiments, processes)
    print(_HEADER)
    print(_HEADER_RULE)
    medians: dict[_Row, RunFigures] = {}
    for number, row in enumerate(rows):
        runs = results[number * seeds : (number + 1) * seeds]
        medians[row] = median_of(runs)
        print(_render_row(row, medians[row], runs), flush=True)
    print()
    return medians


def _render_row(row: _Row, median: RunFigures, runs: list[RunFigures]) -> str:
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
        policies = (_BASELINE_POLICY, "ours", _BEST_CASE_POLICY)
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
        for policy in (_BASELINE_POLICY, "ours")
        if policy == "ours" or fault != "owner lost"
    ]


def _tuning_rows() -> list[_Row]:
    default = AdmissionTuning()
    tunings = {
        "ours": default,
        "quantile 0.25": default._replace(quantile=0.25, quantile_bounds=(0.25, 0.8)),
        "quantile 0.4": default._replace(quantile=0.4),
        "quantile 0.85": default._replace(quantile=0.85, quantile_bounds=(0.3, 0.9)),
        "strict order": default._replace(look_ahead=0),
        "look 32 past the head": default._replace(look_ahead=32),
        "prefills up to 1,024 tokens": default._replace(prefill_budget=1024),
        "no bound on prefills": default._replace(prefill_budget=1_000_000),
        "no room kept for small ones": default._replace(large_cache_limit=0.98),
    }
    rows = [
        _Row(name, Experiment("ours", workload, 1.0, 0, tuning=tuning))
        for workload in WORKLOADS
        for name, tuning in tunings.items()
    ]
    lag_rows = [
        _Row(f"{policy}, lag {lag} s", Experiment(policy, w, 1.0, 0, report_lag=lag))
        for w in WORKLOADS
        for lag in (0.5, 2.0)
        for policy in ("least reported", "ours")
    ]
    return rows + lag_rows


def _print_objectives(medians: dict[_Row, RunFigures]) -> None:
    """Print whether our figures meet their objectives."""
    by_key = {
        (row.experiment.workload, row.experiment.load, row.experiment.policy): figures
        for row, figures in medians.items()
    }
    print("| workload | load | figure | beside | ratio | target | met |")
    print("|---|---|---|---|---|---|---|")
    for workload in WORKLOADS:
        for load in (0.85, 1.0):
            for objective in _OBJECTIVES:
                ours = getattr(by_key[workload, load, "ours"], objective.figure)
                other = getattr(
                    by_key[workload, load, objective.other], objective.figure
                )
                print(_render_objective(workload, load, objective, ours, other))
    print()


def _render_objective(
    workload: str, load: float, objective: _Objective, ours: float, other: float
) -> str:
    ratio = ours / other if other else float(ours > 0)
    is_met = (
        ratio >= objective.ratio if objective.is_minimum else ratio <= objective.ratio
    )
    sign = ">=" if objective.is_minimum else "<="
    cells = (
        workload,
        f"{load:.0%}",
        objective.figure,
        objective.other,
        f"{ratio:.2f}",
        f"{sign} {objective.ratio}",
        "yes" if is_met else "NO",
    )
    return "| " + " | ".join(cells) + " |"


def main() -> int:
    """Run the measurements."""
    options = docopt(__doc__ or "")
    seeds = int(options["--seeds"])
    processes = int(options["--processes"])
    if options["--uneven"]:
        print_uneven(seeds, processes)
        return 0
    for workload in WORKLOADS:
        capacity = WORKLOADS[workload].capacity
        measured = measure_capacity(workload)
        print(f"{workload}: 100% is {capacity} requests/s, measured {measured:.2f}")
    print(f"\n{seeds} seeds from 0; medians, ranges in brackets\n")
    medians = measure(_policy_rows(options["--quick"]), seeds, processes)
    _print_objectives(medians)
    if not options["--quick"]:
        measure(_fault_rows(), seeds, processes)
        measure(_tuning_rows(), seeds, processes)
    return 0


if __name__ == "__main__":
    sys.exit(main())
