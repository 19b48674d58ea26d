"""Polls engines to learn that they leave, sooner than from the platform's list."""

from __future__ import annotations

import asyncio
from typing import NamedTuple, Protocol

from returns.result import Failure, Result

from heathertack.controllers import (
    TargetReported,
    WatchPlan,
    find_pause,
    keeps_running,
)
from heathertack.messages import TargetRecord
from heathertackd import _clock
from heathertackd._instance import Instance

#: Interval at which leaving engines are asked again while the leader calls them live,
#: seconds: it may have lost the report, or they may have started again.
_CONTRADICTION_INTERVAL_SECONDS = 2.0


class LeavingReport(NamedTuple):
    """What an engine reports of its lifetime."""

    #: Whether it is about to leave.
    is_leaving: bool
    #: Start of its process, Unix clock, seconds; ``None`` if it names none.
    started_at: float | None = None


class LeavingReporter(Protocol):
    """Queries engines for whether they are about to leave."""

    async def fetch(self, address: str) -> Result[LeavingReport, str]:
        """Return what the engine at an address reports, or why it can't be read."""
        ...


class LeavingWatcher:
    """Polls this instance's share of the engines, and leaving ones listed as live.

    ``WatchPlan`` divides the engines among the instances. What an engine said to this
    instance only this instance can check, so it asks again itself.

    Parameters
    ----------
    instance : Instance
        The daemon.
    reporter : LeavingReporter
        Queries the engines.
    interval : float
        Pause between two polls of the engines, seconds.
    """

    def __init__(
        self, instance: Instance, reporter: LeavingReporter, interval: float
    ) -> None:
        self._instance = instance
        self._reporter = reporter
        self._interval = interval
        self._plan = WatchPlan(instance.board, instance.name)
        self._next_contradictions_at = float("-inf")

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            engines = [t for t in self._plan.list_watched() if self._keeps_running(t)]
            engines.extend(self._list_contradicted())
            allowed = [engine for engine in engines if self._may_poll(engine)]
            results = await asyncio.gather(
                *(self._poll(engine) for engine in allowed), return_exceptions=True
            )
            for engine, result in zip(allowed, results, strict=True):
                if isinstance(result, Exception):
                    self._instance.failures.record(
                        "engine_report", result, target=engine.name
                    )
            await asyncio.sleep(self._interval)

    def _list_contradicted(self) -> tuple[TargetRecord, ...]:
        now = _clock.monotonic()
        if now < self._next_contradictions_at:
            return ()
        self._next_contradictions_at = now + _CONTRADICTION_INTERVAL_SECONDS
        return self._instance.leaving_targets.list_contradicted(now)

    def _keeps_running(self, engine: TargetRecord) -> bool:
        return keeps_running(self._instance.board, engine.name)

    def _may_poll(self, engine: TargetRecord) -> bool:
        return not find_pause(self._instance.board, engine.name, _clock.monotonic())

    async def _poll(self, engine: TargetRecord) -> None:
        requested_at = _clock.monotonic()
        result = await self._reporter.fetch(engine.address)
        if isinstance(result, Failure):
            self._instance.logger.info(
                "engine_report_missing", target=engine.name, detail=result.failure()
            )
            return
        report: LeavingReport = result.unwrap()
        self._instance.record_target_report(
            TargetReported(
                engine.name,
                engine.address,
                report.is_leaving,
                report.started_at,
                requested_at,
            )
        )
