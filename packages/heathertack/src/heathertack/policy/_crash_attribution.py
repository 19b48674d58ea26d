"""Finds the prompt parts to which crashes of targets are attributed.

Each crash leaves one or more requests that the target had not begun to answer, and one
of their parts may have caused it. Parts that occur in all requests of several crashes
are the likely cause; parts that a target has begun to answer since are not.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from itertools import combinations
from typing import NamedTuple

#: Number of crashes with the same parts after which these parts are refused. Fewer
#: may be coincidence: a crash also ends the other requests of its target.
_MIN_CRASHES = 3
#: A set of parts explains the crashes as well as a subset of it if it occurs in at most
#: this many fewer of them: one crash may have another cause.
_TOLERATED_CRASHES = 1
#: Number of crashes from which a subset that occurs in all of them is preferred.
_TOLERANCE_LIMIT = 5
#: Maximum number of different sets of parts that are compared.
_MAX_SETS = 32
_MAX_CANDIDATES = 128


class LostRun(NamedTuple):
    """A run that was lost in a crash before its first events."""

    #: Identifies the crash; runs lost in the same crash share it.
    crash: str
    #: Parts of its prompt that are not known to be harmless.
    parts: frozenset[str]


class CrashCause(NamedTuple):
    """Parts that crash targets when a prompt contains all of them."""

    parts: frozenset[str]
    #: Number of crashes attributed to them.
    crashes: int


def find_crash_causes(runs: Iterable[LostRun]) -> tuple[CrashCause, ...]:
    """Return the sets of parts to refuse.

    A set is as large as the crashes allow, so that requests that share only some of
    the parts are still sent. Such a request either begins, which clears its parts, or
    crashes a target, which narrows the set down. Crashes that one group of sets
    explains are not attributed to other parts as well.

    Parameters
    ----------
    runs : iterable of LostRun
        Lost runs, oldest first.

    Returns
    -------
    tuple of CrashCause
        Sets of parts, the largest first.
    """
    crashes_by_set: dict[frozenset[str], set[str]] = {}
    for run in runs:
        if run.parts:
            crashes_by_set.setdefault(run.parts, set()).add(run.crash)
    observed = list(crashes_by_set)[-_MAX_SETS:]
    crashes_by_candidate = {
        parts: {
            crash
            for other in observed
            if parts <= other
            for crash in crashes_by_set[other]
        }
        for parts in _list_candidates(observed)
    }
    causes: list[CrashCause] = []
    unexplained = {crash for crashes in crashes_by_set.values() for crash in crashes}
    while unexplained:
        found = _find_group(crashes_by_candidate, unexplained)
        if not found:
            break
        for parts in found:
            crashes = crashes_by_candidate[parts]
            causes.append(CrashCause(parts, len(crashes)))
            unexplained = unexplained - crashes
    return tuple(causes)


def _find_group(
    crashes_by_candidate: Mapping[frozenset[str], set[str]], unexplained: set[str]
) -> tuple[frozenset[str], ...]:
    """Return the overlapping sets that explain the most crashes, empty for none."""
    counts = {
        parts: len(crashes & unexplained)
        for parts, crashes in crashes_by_candidate.items()
    }
    most = max(counts.values(), default=0)
    least = most - _TOLERATED_CRASHES if most < _TOLERANCE_LIMIT else most
    best = [parts for parts, crashes in counts.items() if crashes >= least]
    largest = [
        parts
        for parts in best
        if counts[parts] >= _MIN_CRASHES and not any(parts < other for other in best)
    ]
    if not largest:
        return ()
    first = max(largest, key=lambda parts: (counts[parts], len(parts)))
    return tuple(parts for parts in largest if parts & first)


def _list_candidates(observed: Sequence[frozenset[str]]) -> list[frozenset[str]]:
    """Return the intersections of the observed sets, the largest first."""
    candidates = dict.fromkeys(observed)
    for _ in range(2):
        for first, second in combinations(tuple(candidates), 2):
            if len(candidates) >= _MAX_CANDIDATES:
                break
            common = first & second
            if common:
                candidates[common] = None
    return sorted(candidates, key=lambda parts: (-len(parts), sorted(parts)))
