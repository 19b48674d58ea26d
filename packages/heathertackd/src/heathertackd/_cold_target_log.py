"""Logs and counts the targets that handle few requests since they are cold."""

from __future__ import annotations

from collections.abc import Mapping

from heathertack.blackboard import COLD_TARGETS, LEASE, Blackboard
from heathertackd._logs import Logger
from heathertackd._metrics import Metrics


class ColdTargetLog:
    """Logs changes of what the leader says of cold targets.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    logger : Logger
        Logger of the instance.
    metrics : Metrics
        Counts the cold targets.
    """

    def __init__(self, board: Blackboard, logger: Logger, metrics: Metrics) -> None:
        self._board = board
        self._logger = logger
        self._metrics = metrics
        self._logged: Mapping[str, float] = {}

    def update(self) -> None:
        """Log what has changed since the last call."""
        cold = self._board.read(COLD_TARGETS)
        if cold == self._logged:
            return
        self._metrics.cold_targets.set(len(cold))
        self._logger.info(
            "cold_targets_changed",
            cold=sorted(cold.keys() - self._logged.keys()),
            warm=sorted(self._logged.keys() - cold.keys()),
            leader=self._board.read(LEASE).leader,
        )
        self._logged = cold
