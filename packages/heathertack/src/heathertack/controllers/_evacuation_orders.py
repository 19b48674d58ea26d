"""Decides which orders to evacuate a failure domain the leader proposes.

An order may reach the leader long after its operator gave up, and after the operator
sent the opposite one. The leader therefore proposes an order only if it names the
leader's current term and number of accepted orders, which every accepted order changes.
"""

from __future__ import annotations

from typing import NamedTuple

from heathertack.controllers._actions import SendToPeer
from heathertack.controllers._control_log_events import EvacuationReceived
from heathertack.messages import (
    EvacuationReply,
    EvacuationRequest,
    EvacuationStatus,
)
from heathertack.state import SetDraining, order_evacuation


class LogState(NamedTuple):
    """State of the control log at the moment of a decision."""

    #: Whether this replica leads and has applied everything that was confirmed.
    has_lease: bool
    term: int
    #: Instance that leads, empty if unknown.
    leader: str
    #: Failure domains that are evacuated according to the applied entries.
    evacuated: frozenset[str]


class _PendingOrder(NamedTuple):
    """An order that is proposed and not applied yet."""

    sender: str
    request: EvacuationRequest
    term: int


class EvacuationOrders:
    """Evacuation orders that one replica received while it leads."""

    def __init__(self) -> None:
        self._term = 0
        #: Number of orders that were proposed, or confirmed since they change nothing,
        #: in the term. The second kind counts, too: otherwise a delayed copy of the
        #: opposite order would still carry current values and undo the confirmed one.
        self._sequence = 0
        #: By log index.
        self._pending: dict[int, _PendingOrder] = {}

    def decide(
        self, received: EvacuationReceived, log: LogState
    ) -> SetDraining | SendToPeer | None:
        """Decide about an order.

        Parameters
        ----------
        received : EvacuationReceived
            The order and its sender.
        log : LogState
            State of the control log.

        Returns
        -------
        SetDraining or SendToPeer or None
            Command to propose, or reply to the sender; ``None`` if the same request is
            proposed already, so that its commit answers it.
        """
        request = received.request
        if not log.has_lease:
            status = EvacuationStatus.NOT_LEADER
            reply = EvacuationReply(request.request_id, status, log.leader, 0, 0)
            return SendToPeer(received.sender, reply)
        if log.term != self._term:
            self._term = log.term
            self._sequence = 0
        pending = tuple(p.request for p in self._pending.values())
        if any(p.request_id == request.request_id for p in pending):
            return None
        changes = (request.domain in log.evacuated) != request.evacuated
        if not changes and all(p.domain != request.domain for p in pending):
            self._sequence += 1
            status = EvacuationStatus.DONE
            return self._reply(received.sender, request, status, log.leader)
        if (request.term, request.sequence) != (self._term, self._sequence):
            status = EvacuationStatus.STALE
            return self._reply(received.sender, request, status, log.leader)
        self._sequence += 1
        return order_evacuation(request.domain, evacuated=request.evacuated)

    def record_proposal(
        self, received: EvacuationReceived, index: int, term: int
    ) -> None:
        """Record at which index and in which term an order was proposed."""
        self._pending[index] = _PendingOrder(received.sender, received.request, term)

    def confirm(self, index: int, term: int, leader: str) -> SendToPeer | None:
        """Return the reply to the order that an applied entry commits.

        Parameters
        ----------
        index, term : int
            Index and term of the applied entry.
        leader : str
            Instance that leads, empty if unknown.
        """
        pending = self._pending.pop(index, None)
        if pending is None:
            return None
        is_same = pending.term == term
        status = EvacuationStatus.DONE if is_same else EvacuationStatus.UNAVAILABLE
        return self._reply(pending.sender, pending.request, status, leader)

    def abandon(self, leader: str) -> tuple[SendToPeer, ...]:
        """Return the replies to pending orders after the lead was lost.

        They may still be committed by the next leader.
        """
        pending = tuple(self._pending.values())
        self._pending.clear()
        status = EvacuationStatus.UNAVAILABLE
        return tuple(self._reply(p.sender, p.request, status, leader) for p in pending)

    def _reply(
        self,
        sender: str,
        request: EvacuationRequest,
        status: EvacuationStatus,
        leader: str,
    ) -> SendToPeer:
        reply = EvacuationReply(
            request.request_id, status, leader, self._term, self._sequence
        )
        return SendToPeer(sender, reply)
