"""Sends the leader's orders to engines."""

from __future__ import annotations

import asyncio
from typing import Any, assert_never

from heathertack.blackboard import CONTROL, TARGETS
from heathertack.controllers import (
    CordonTarget,
    EngineWeights,
    OrderAction,
    OrderController,
    OrdersDue,
    SendOrder,
    TargetCordoned,
    TargetUncordoned,
    UncordonTarget,
    WeightsReported,
)
from heathertack.messages import TargetRecord, TargetState
from heathertackd import _clock
from heathertackd._engine_client import EngineClient
from heathertackd._instance import Instance

_MIN_ROUND_SECONDS = 1.0
_MAX_REPORTS_PER_SECOND = 100.0


class OrderRunner:
    """Polls engines for their weights and sends orders while this instance leads.

    Parameters
    ----------
    instance : Instance
        The daemon.
    engines : EngineClient
        Connections to engines.
    """

    def __init__(self, instance: Instance, engines: EngineClient) -> None:
        self._instance = instance
        self._engines = engines
        self._controller = OrderController(instance.board)

    async def run(self) -> None:
        """Poll engines and send orders until cancelled."""
        while True:
            targets = self._engine_targets()
            if self._is_leader():
                results = await asyncio.gather(
                    *(self._poll(target) for target in targets), return_exceptions=True
                )
                for target, result in zip(targets, results, strict=True):
                    if isinstance(result, Exception):
                        self._instance.failures.record(
                            "weights_report", result, target=target.name
                        )
                await self._send_due_orders()
            pause = max(_MIN_ROUND_SECONDS, len(targets) / _MAX_REPORTS_PER_SECOND)
            await asyncio.sleep(pause)

    def _is_leader(self) -> bool:
        return self._instance.board.read(CONTROL).may_lead(_clock.monotonic())

    def _engine_targets(self) -> list[TargetRecord]:
        targets = self._instance.board.read(TARGETS).values()
        return [
            target
            for target in targets
            if target.cache_tokens and target.state is not TargetState.GONE
        ]

    async def _poll(self, target: TargetRecord) -> None:
        status = await self._engines.fetch_status(target.address)
        if status is None or not status.model:
            return
        weights = EngineWeights(status.model, status.version, status.adapters)
        running = status.load.running + status.load.waiting
        event = WeightsReported(target.name, weights, running, status.is_loading)
        self._controller.handle(event, _clock.monotonic())

    async def _send_due_orders(self) -> None:
        for action in self._controller.handle(OrdersDue(), _clock.monotonic()):
            await self._carry_out(action)

    async def _carry_out(self, action: OrderAction) -> None:
        grantor = self._instance.grantor
        if grantor is None:
            return
        now = _clock.monotonic()
        match action:
            case CordonTarget():
                cordoned = TargetCordoned(action.target)
                self._instance.carry_out(grantor.handle(cordoned, now))
                self._instance.logger.info("target_held", target=action.target)
            case UncordonTarget():
                uncordoned = TargetUncordoned(action.target)
                self._instance.carry_out(grantor.handle(uncordoned, now))
                self._instance.logger.info("target_freed", target=action.target)
            case SendOrder():
                await self._send(action)
            case _:
                assert_never(action)

    async def _send(self, action: SendOrder) -> None:
        """Send an order if the leader lease is still valid at this moment."""
        order: dict[str, Any] = {
            "action": "load",
            "model": action.weights.model,
            "version": action.weights.version,
            "adapters": list(action.weights.adapters),
            "fencing_number": action.fencing_number,
        }
        if not self._is_leader():
            return
        status = await self._engines.send_order(action.address, order)
        self._instance.logger.info(
            "order_sent",
            target=action.target,
            fencing_number=action.fencing_number,
            status=status,
        )
