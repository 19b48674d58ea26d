"""Measures the admission under overload in virtual time and prints a table.

Usage:
  overload [options]

Options:
  --loads=LIST   multiples of the capacity [default: 1.0,1.5,2.0,3.0]
  --seeds=N      runs of each load [default: 3]
  --engines=N    number of engines [default: 12]
  --seconds=N    duration of the arrivals, virtual [default: 60]
  --processes=N  runs in parallel [default: 1]
"""

from __future__ import annotations

import sys
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from docopt import docopt

from heathertack_fakes.measure._overload_simulation import (
    CallRecord,
    OverloadSimulation,
)
from heathertack_fakes.measure._overload_workload import KINDS, StreamKind, draw_calls

#: Requests per second and engine up to which all kinds are served within the waiting
#: times, with reclaims and without bursts: from 1.7 on, requests are queued.
CAPACITY_PER_ENGINE = 1.7
_WARM_UP_SECONDS = 8.0
#: Time after the last arrival in which all requests end, seconds.
_DRAIN_SECONDS = 45.0
_LARGE_FRACTION = 0.1
_MIN_REQUESTS_IN_SECOND = 3
_BIG_ACCOUNT = "account-0"
_HEADER = (
    "| load | kind | requests | in time % | late % | refused % | lost % |"
    " in time: big / other accounts % | largest tenth / all | worst second % |"
    " s to a refusal | refusals / request | served after a return % |"
)


class Run(NamedTuple):
    """Parameters of one run."""

    load: float
    seed: int
    engines: int
    seconds: float


def run_overload(run: Run) -> list[CallRecord]:
    """Run one load with one seed and return the requests after the warm-up."""
    rate = run.load * CAPACITY_PER_ENGINE * run.engines
    calls = draw_calls(rate, run.seconds, run.seed)
    simulation = OverloadSimulation(calls, run.engines, run.seed)
    records = simulation.run(run.seconds + _DRAIN_SECONDS)
    return [r for r in records if r.call.at >= _WARM_UP_SECONDS]


def render_row(load: float, kind: StreamKind, runs: list[list[CallRecord]]) -> str:
    """Return the table row of one kind at one load."""
    records = [r for run in runs for r in run if r.call.kind == kind]
    outcomes = Counter(r.outcome for r in records)
    total = len(records)
    large = sorted(records, key=lambda r: r.call.size)[-int(total * _LARGE_FRACTION) :]
    is_big = _is_of_big_account
    delays = [delay for r in records for delay in r.refusal_delays]
    returned = [r for r in records if r.refused_count]
    share = _in_time_share(records)
    cells = (
        f"{load:.1f}",
        kind.name,
        str(total),
        f"{share:.1f}",
        f"{100 * outcomes['late'] / total:.1f}",
        f"{100 * outcomes['refused'] / total:.1f}",
        f"{100 * (total - _count_ended(outcomes)) / total:.1f}",
        f"{_in_time_share(r for r in records if is_big(r)):.0f} /"
        f" {_in_time_share(r for r in records if not is_big(r)):.0f}",
        f"{_in_time_share(large) / max(share, 1e-9):.2f}",
        f"{min(_worst_second(run, kind) for run in runs):.0f}",
        f"{sum(delays) / max(len(delays), 1):.2f}",
        f"{len(delays) / total:.2f}",
        f"{_in_time_share(returned):.0f}",
    )
    return "| " + " | ".join(cells) + " |"


def _count_ended(outcomes: Counter[str]) -> int:
    return sum(outcomes[name] for name in ("served", "late", "refused"))


def _is_of_big_account(record: CallRecord) -> bool:
    return record.call.account == _BIG_ACCOUNT


def _in_time_share(records: Iterable[CallRecord]) -> float:
    """Return the share of requests that were served in time, percent."""
    in_time = [record.outcome == "served" for record in records]
    return 100 * sum(in_time) / max(len(in_time), 1)


def _worst_second(records: Iterable[CallRecord], kind: StreamKind) -> float:
    """Return the lowest share served in time of the arrivals of a second, percent."""
    by_second: dict[int, list[CallRecord]] = defaultdict(list)
    for record in records:
        if record.call.kind == kind:
            by_second[int(record.call.at)].append(record)
    return min(
        (
            _in_time_share(group)
            for group in by_second.values()
            if len(group) >= _MIN_REQUESTS_IN_SECOND
        ),
        default=0.0,
    )


def value_share(records: Iterable[CallRecord]) -> float:
    """Return the value that callers got, as a share of that of all requests."""
    got = 0.0
    offered = 0.0
    for record in records:
        kind = record.call.kind
        offered += kind.value
        got += {"served": kind.value, "late": kind.late_value}.get(record.outcome, 0.0)
    return got / max(offered, 1e-9)


def measure(
    loads: list[float],
    run_all: Callable[[list[Run]], list[list[CallRecord]]],
    base: Run,
) -> None:
    """Run all loads and print the table; ``base.seed`` is the number of seeds."""
    print(_HEADER)
    print("|" + "---|" * _HEADER[1:].count("|"))
    values: list[str] = []
    for load in loads:
        runs = [base._replace(load=load, seed=seed + 1) for seed in range(base.seed)]
        results = run_all(runs)
        for kind in KINDS:
            print(render_row(load, kind, results), flush=True)
        values.append(
            f"{load:.1f}: {value_share(r for run in results for r in run):.3f}"
        )
    print("\nvalue to callers, share of all:", ", ".join(values))


def main() -> int:
    """Run the measurements."""
    options = docopt(__doc__ or "")
    loads = [float(text) for text in options["--loads"].split(",")]
    base = Run(
        0.0,
        int(options["--seeds"]),
        int(options["--engines"]),
        float(options["--seconds"]),
    )
    with ProcessPoolExecutor(int(options["--processes"])) as executor:
        measure(loads, lambda runs: list(executor.map(run_overload, runs)), base)
    return 0


if __name__ == "__main__":
    sys.exit(main())
