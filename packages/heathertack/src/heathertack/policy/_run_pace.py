"""Shortest times that runs of a class of requests have taken lately."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

#: Number of runs of a class that are remembered. A run that can't end in time at the
#: pace of the fastest of them can't end in time anywhere.
_MAX_RUNS = 32
#: Number of runs from which the fastest one says something of the next.
_MIN_RUNS = 8


class RunPaceSample(NamedTuple):
    """How fast one run went."""

    #: Time from sending the request to its first event per prompt token, seconds.
    seconds_per_prompt_token: float
    #: Time per token after the first event, seconds.
    seconds_per_token: float


class RunPace:
    """Fastest paces of the latest runs, by class of requests."""

    def __init__(self) -> None:
        self._runs: dict[tuple[str, str], deque[RunPaceSample]] = {}

    def observe(self, class_key: tuple[str, str], sample: RunPaceSample) -> None:
        """Record a run that ended normally on its first target."""
        runs = self._runs.setdefault(class_key, deque(maxlen=_MAX_RUNS))
        runs.append(sample)

    def shortest_run(
        self, class_key: tuple[str, str], prompt_tokens: int, expected_tokens: int
    ) -> float:
        """Return the time that a run takes at least, seconds; 0 if unknown.

        Parameters
        ----------
        class_key : tuple of str
            Service and class of the request.
        prompt_tokens : int
            Length of the prompt, tokens.
        expected_tokens : int
            Expected length of the answer, tokens; 0 if it is not known.
        """
        runs = self._runs.get(class_key, ())
        if len(runs) < _MIN_RUNS:
            return 0.0
        start = min(run.seconds_per_prompt_token for run in runs) * prompt_tokens
        return start + min(run.seconds_per_token for run in runs) * expected_tokens
