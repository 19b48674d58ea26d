"""Resource use of processes, quantiles and tables."""

from __future__ import annotations

import os
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class ProcessUsage(NamedTuple):
    """Resource use of one process."""

    #: Processor time since the start of the process, seconds.
    cpu: float
    #: Resident memory, bytes.
    memory: int


def read_process_usage(pid: int) -> ProcessUsage:
    """Return the resource use of a process, read from ``/proc``."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu = (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND
    return ProcessUsage(cpu, int(fields[21]) * _PAGE_BYTES)


def quantile(values: Sequence[float], fraction: float) -> float:
    """Return a quantile of values, of which there must be at least one."""
    ordered = sorted(values)
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]


def print_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    """Print a table in Markdown."""
    print("| " + " | ".join(header) + " |")
    print("|" + "---|" * len(header))
    for row in rows:
        print("| " + " | ".join(row) + " |")
    print(flush=True)
