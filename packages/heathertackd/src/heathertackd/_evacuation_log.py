"""Logs and counts the targets that get no requests by order of an operator."""

from __future__ import annotations

from heathertack.blackboard import (
    EVACUATED_DOMAINS,
    EVACUATED_TARGETS,
    LEASE,
    TARGETS,
    Blackboard,
)
from heathertack.controllers import is_service_evacuated
from heathertackd._logs import Logger
from heathertackd._metrics import Metrics


class EvacuationLog:
    """Logs changes of what the leader says of evacuations.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    logger : Logger
        Logger of the instance.
    metrics : Metrics
        Counts the evacuated targets.
    """

    def __init__(self, board: Blackboard, logger: Logger, metrics: Metrics) -> None:
        self._board = board
        self._logger = logger
        self._metrics = metrics
        self._logged: tuple[frozenset[str], frozenset[str]] = (frozenset(), frozenset())
        self._services: frozenset[str] = frozenset()

    def update(self) -> None:
        """Log what has changed since the last call."""
        board = self._board
        found = (board.read(EVACUATED_DOMAINS), board.read(EVACUATED_TARGETS))
        if found != self._logged:
            self._logged = found
            domains, targets = found
            self._metrics.evacuated_targets.set(len(targets))
            self._logger.info(
                "evacuated_targets_changed",
                domains=sorted(domains),
                targets=sorted(targets),
                leader=board.read(LEASE).leader,
            )
        self._log_services()

    def _log_services(self) -> None:
        """Log services that have no target outside the evacuated domains."""
        if not self._logged[0] and not self._services:
            return
        known = {target.service for target in self._board.read(TARGETS).values()}
        services = frozenset(s for s in known if self._is_evacuated(s))
        for service in sorted(services - self._services):
            self._logger.warning("service_evacuated", service=service)
        for service in sorted(self._services - services):
            self._logger.info("service_readmitted", service=service)
        self._services = services

    def _is_evacuated(self, service: str) -> bool:
        return is_service_evacuated(self._board, service)
