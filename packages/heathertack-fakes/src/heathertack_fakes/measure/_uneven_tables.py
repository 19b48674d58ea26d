"""Tables of policies on engines of different speeds."""

from __future__ import annotations

from heathertack.policy import AdmissionTuning
from heathertack_fakes.measure._uneven import (
    CHOOSERS,
    UnevenFigures,
    UnevenRun,
    measure_uneven,
)

#: The platform's tuning of admission.
_TUNING = AdmissionTuning(prefill_budget=4096, batch_limit=24)
_WITHOUT_SPEEDS = _TUNING._replace(compares_speeds=False)
_ENTRIES = (9, 78, 300)
_REPORT_AGES = (0.25, 1.0, 2.0)
_UNTIL_SECONDS = 65.0
#: Policies whose choices depend on reports.
_USES_REPORTS = ("last report", "report", "water")
_HEADER = (
    "| policy | instances | reports s | first event p50/p95 s | paused % | in time % |"
    " refused % | busiest by speed | busiest |"
)


def print_uneven(seeds: int, processes: int) -> None:
    """Print the tables of speeds and of policies."""
    rows = [
        (f"reservations{label}, load {load}", UnevenRun(tuning, 0, load))
        for load in (1.0, 1.3)
        for label, tuning in ((" without speeds", _WITHOUT_SPEEDS), ("", _TUNING))
    ]
    _print_table(rows, seeds, processes)
    rows = [
        (
            policy,
            UnevenRun(
                _TUNING,
                0,
                policy=policy,
                entries=entries,
                report_age=age,
                until=_UNTIL_SECONDS,
            ),
        )
        for policy in ("reservations", *CHOOSERS)
        for entries in (_ENTRIES if policy in CHOOSERS else _ENTRIES[1:2])
        for age in _REPORT_AGES
        if age == 1.0 or policy.startswith(_USES_REPORTS) or policy not in CHOOSERS
    ]
    _print_table(rows, seeds, processes)


def _print_table(rows: list[tuple[str, UnevenRun]], seeds: int, processes: int) -> None:
    print(_HEADER)
    print("|---" * 9 + "|")
    medians = measure_uneven([run for _, run in rows], seeds, processes)
    for (label, run), figures in zip(rows, medians, strict=True):
        print(_render(label, run, figures), flush=True)
    print()


def _render(label: str, run: UnevenRun, figures: UnevenFigures) -> str:
    cells = (
        label,
        str(run.entries),
        f"{run.report_age}",
        f"{figures.first_p50:.2f} / {figures.first_p95:.2f}",
        f"{figures.paused * 100:.1f}",
        f"{figures.in_time * 100:.1f}",
        f"{figures.refused * 100:.1f}",
        f"{figures.busiest_by_speed:.2f}",
        f"{figures.busiest:.2f}",
    )
    return "| " + " | ".join(cells) + " |"
