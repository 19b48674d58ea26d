"""Restarts background work that fails, or lets the process leave without it."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable, Coroutine
from enum import Enum
from typing import Any, NamedTuple

from heathertackd import _clock
from heathertackd._line_limit import LineLimit
from heathertackd._logs import Logger
from heathertackd._metrics import Metrics

_MIN_PAUSE_SECONDS = 0.1
_MAX_PAUSE_SECONDS = 5.0
#: Work that ran for so long without an error starts again with the shortest pause.
_SOUND_SECONDS = 30.0
#: Time for which work may fail before the process leaves without it, seconds.
_MAX_FAILING_SECONDS = 10.0
#: Interval at which a failure at the same place is logged again, seconds.
_LOG_INTERVAL_SECONDS = 10.0


class FailurePolicy(Enum):
    """What becomes of the process while a part of its work fails."""

    #: The process goes on, and starts the work again after a pause.
    RESTART = "restart"
    #: The work is started again, but the process leaves in an orderly way if that does
    #: not help, since it can't keep its promises without the work.
    LEAVE = "leave"


class BackgroundWork(NamedTuple):
    """Work that runs until the daemon stops."""

    #: Name in logs and metrics.
    name: str
    #: Starts the work; called again after a failure.
    run: Callable[[], Coroutine[Any, Any, None]]
    policy: FailurePolicy = FailurePolicy.RESTART


class FailureLog:
    """Counts the failures of background work, and logs the first ones of each place.

    Parameters
    ----------
    logger : Logger
        Logger of the instance.
    metrics : Metrics
        Counts the failures of each part of the work.
    """

    def __init__(self, logger: Logger, metrics: Metrics) -> None:
        self._logger = logger
        self._metrics = metrics
        self._line_limit = LineLimit(_LOG_INTERVAL_SECONDS)

    def record(self, task: str, error: BaseException, **context: object) -> None:
        """Record that a step of a task raised an exception."""
        self._metrics.task_failures.labels(task).inc()
        frames = traceback.extract_tb(error.__traceback__)
        where = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
        if not self._line_limit.admit((task, where), _clock.monotonic()):
            return
        self._logger.error(
            "background_task_failed",
            task=task,
            detail=repr(error)[:500],
            where=where,
            **context,
        )


class StepGuard:
    """Isolates steps of periodic work from each other.

    Parameters
    ----------
    failures : FailureLog
        Log of failures.
    """

    def __init__(self, failures: FailureLog) -> None:
        self._failures = failures
        self._failing_since: dict[str, float] = {}

    def run(self, name: str, step: Callable[[], object]) -> None:
        """Run a step, and record the exception that it raises."""
        try:
            step()
        except Exception as error:
            self._failing_since.setdefault(name, _clock.monotonic())
            self._failures.record(name, error)
        else:
            self._failing_since.pop(name, None)

    def find_stuck(self, now: float) -> str | None:
        """Return a step that has failed for too long, ``None`` without one."""
        for name, since in self._failing_since.items():
            if now - since >= _MAX_FAILING_SECONDS:
                return name
        return None


class StuckError(Exception):
    """A step of periodic work keeps failing."""


class Supervisor:
    """Runs background work.

    Parameters
    ----------
    failures : FailureLog
        Log of failures.
    logger : Logger
        Logger of the instance.
    leave : callable
        Lets the process leave in an orderly way.
    """

    def __init__(
        self, failures: FailureLog, logger: Logger, leave: Callable[[], None]
    ) -> None:
        self._failures = failures
        self._logger = logger
        self._leave = leave
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, work: BackgroundWork) -> None:
        """Start work that is supervised until it is stopped."""
        task = asyncio.create_task(self._supervise(work), name=work.name)
        self._tasks.append(task)

    def stop(self) -> None:
        """Cancel all work."""
        for task in self._tasks:
            task.cancel()

    async def _supervise(self, work: BackgroundWork) -> None:
        pause = _MIN_PAUSE_SECONDS
        failing_since: float | None = None
        while True:
            started_at = _clock.monotonic()
            try:
                await work.run()
                error: Exception = RuntimeError(f"{work.name} ended")
            except Exception as raised:
                error = raised
            now = _clock.monotonic()
            if now - started_at >= _SOUND_SECONDS:
                pause = _MIN_PAUSE_SECONDS
                failing_since = None
            failing_since = failing_since if failing_since is not None else now
            self._failures.record(work.name, error, pause=pause)
            is_lost = isinstance(error, StuckError) or (
                now - failing_since >= _MAX_FAILING_SECONDS
            )
            if work.policy is FailurePolicy.LEAVE and is_lost:
                self._logger.critical(
                    "leaving_without_task",
                    task=work.name,
                    failing_seconds=round(now - failing_since, 3),
                    detail=repr(error)[:500],
                )
                self._leave()
                return
            await asyncio.sleep(pause)
            pause = min(2 * pause, _MAX_PAUSE_SECONDS)
