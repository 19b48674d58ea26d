"""Figures of processes, read from the operating system."""

from __future__ import annotations

import os
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class ProcessFigures(NamedTuple):
    """Use of resources by one process."""

    #: Processor time since its start, seconds.
    cpu: float
    #: Resident memory, bytes.
    memory: int


def read_process(pid: int) -> ProcessFigures:
    """Return the figures of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu = (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND
    return ProcessFigures(cpu, int(fields[21]) * _PAGE_BYTES)


def quantile(values: Sequence[float], part: float) -> float:
    """Return a quantile of values."""
    ordered = sorted(values)
    return ordered[min(int(part * len(ordered)), len(ordered) - 1)]


def print_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    """Print a table in Markdown."""
    print("| " + " | ".join(header) + " |")
    print("|" + "---|" * len(header))
    for row in rows:
        print("| " + " | ".join(row) + " |")
    print(flush=True)
