"""Polls engines to learn that they leave, sooner than from the platform's list."""

from __future__ import annotations

import asyncio
from typing import Protocol

from returns.result import Failure, Result

from heathertack.blackboard import LEASE
from heathertack.controllers import WatchPlan
from heathertack.messages import TargetRecord, TargetReport, TargetState
from heathertackd._instance import Instance


class LeavingReporter(Protocol):
    """Queries engines for whether they are about to leave."""

    async def is_leaving(self, address: str) -> Result[bool, str]:
        """Return whether the engine at an address is about to leave."""
        ...


class LeavingWatcher:
    """Polls this instance's share of the engines.

    ``WatchPlan`` divides the engines among the instances.

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

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            engines = [t for t in self._plan.list_watched() if _is_live(t)]
            await asyncio.gather(*(self._poll(engine) for engine in engines))
            await asyncio.sleep(self._interval)

    async def _poll(self, engine: TargetRecord) -> None:
        result = await self._reporter.is_leaving(engine.address)
        if isinstance(result, Failure):
            self._instance.logger.info(
                "engine_report_missing", target=engine.name, detail=result.failure()
            )
            return
        if not result.unwrap():
            return
        leader = self._instance.board.read(LEASE).leader
        self._instance.logger.info("target_leaves", target=engine.name, leader=leader)
        if leader:
            self._instance.send(leader, TargetReport(engine.name))


def _is_live(target: TargetRecord) -> bool:
    return target.state is TargetState.LIVE
