"""Client that has evacuation orders committed by the leader of the control log."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from collections.abc import Callable
from typing import NamedTuple

from aiohttp import web

from heathertack.messages import (
    EvacuationReply,
    EvacuationRequest,
    EvacuationStatus,
)
from heathertackd import _clock
from heathertackd._logs import Logger

#: Time for an order to be committed, and for the reply to arrive. A copy that was not
#: lost is harmless: the leader proposes a request once.
_ATTEMPT_TIMEOUT_SECONDS = 0.3
_RETRY_INTERVAL_SECONDS = 0.05
#: Time from the arrival of an order until it is sent with the leader's values. The end
#: of a connection that was held up follows its request within a round trip; operators
#: bear a second without an answer.
_CLOSE_NOTICE_SECONDS = 0.1

Send = Callable[[str, EvacuationRequest], None]
FindLeader = Callable[[], str]
IsAwaited = Callable[[], bool]


class EvacuationOrder(NamedTuple):
    """Order of an operator about a failure domain."""

    domain: str
    #: Whether the domain is to be evacuated; otherwise it is readmitted.
    evacuated: bool

    @property
    def kind(self) -> str:
        """Name of the order in logs."""
        return "evacuate" if self.evacuated else "readmit"


class _PendingOrder:
    """An order whose confirmation is awaited."""

    def __init__(self, request: EvacuationRequest) -> None:
        #: Request with the values that the leader named last.
        self.request = request
        #: Instance to which the request was last sent.
        self.leader = ""
        self.is_done = False
        self.is_stale = False
        #: Time before which the order is not sent with the leader's values, monotonic
        #: clock, seconds.
        self.earliest = _clock.monotonic() + _CLOSE_NOTICE_SECONDS
        #: Set when a reply ends the wait.
        self.is_answered = asyncio.Event()


class EvacuationClient:
    """Sends evacuation orders to the leader until one is confirmed as committed.

    Each order first asks for the values of the leader, and none are kept for the next
    one: an operator that gave up has closed its connection by the time of the second
    request, so that an order which reached this instance late goes no further.

    Parameters
    ----------
    send : callable
        Sends a request to an instance.
    find_leader : callable
        Returns the instance that is the leader, empty while unknown.
    logger : Logger
        Logger of the instance.
    """

    def __init__(self, send: Send, find_leader: FindLeader, logger: Logger) -> None:
        self._send = send
        self._find_leader = find_leader
        self._logger = logger
        self._pending: dict[str, _PendingOrder] = {}

    def receive(self, sender: str, reply: EvacuationReply) -> None:
        """Process the reply of an instance.

        A confirmation counts whenever it comes. Other replies count only from the
        instance to which the order was last sent.
        """
        pending = self._pending.get(reply.request_id)
        if pending is None:
            return
        if reply.status is EvacuationStatus.DONE:
            pending.is_done = True
            pending.is_answered.set()
        elif sender == pending.leader:
            if reply.status is EvacuationStatus.STALE:
                pending.is_stale = True
                pending.request = pending.request._replace(
                    term=reply.term, sequence=reply.sequence
                )
            pending.is_answered.set()

    async def confirm(
        self,
        order: EvacuationOrder,
        timeout: float,
        is_awaited: IsAwaited = lambda: True,
    ) -> bool:
        """Have an order committed; return whether it is.

        Without a confirmation it may still be committed.

        Parameters
        ----------
        order : EvacuationOrder
            The order.
        timeout : float
            Time limit over all attempts, seconds.
        is_awaited : callable
            Returns whether the operator still waits. The order is not sent again once
            it does not.
        """
        began_at = _clock.monotonic()
        self._logger.info("evacuation_received", domain=order.domain, order=order.kind)
        request_id = secrets.token_hex(8)
        request = EvacuationRequest(request_id, order.domain, order.evacuated, 0, 0)
        pending = _PendingOrder(request)
        self._pending[request_id] = pending
        try:
            async with asyncio.timeout(timeout):
                await self._send_until_done(pending, is_awaited)
        except TimeoutError:
            pass
        finally:
            del self._pending[request_id]
        log = self._logger.info if pending.is_done else self._logger.warning
        log(
            "evacuation_acknowledged" if pending.is_done else "evacuation_unconfirmed",
            domain=order.domain,
            order=order.kind,
            leader=pending.leader or self._find_leader(),
            seconds=round(_clock.monotonic() - began_at, 3),
        )
        return pending.is_done

    async def _send_until_done(
        self, pending: _PendingOrder, is_awaited: IsAwaited
    ) -> None:
        while not pending.is_done and is_awaited():
            leader = self._find_leader()
            if leader:
                pending.leader = leader
                pending.is_stale = False
                pending.is_answered.clear()
                self._send(leader, pending.request)
                await self._wait(pending)
            if leader and pending.is_stale:
                await asyncio.sleep(max(pending.earliest - _clock.monotonic(), 0.0))
            elif not pending.is_done:
                await asyncio.sleep(_RETRY_INTERVAL_SECONDS)

    async def _wait(self, pending: _PendingOrder) -> None:
        """Wait for a reply, until the time is over or another instance leads."""
        deadline = _clock.monotonic() + _ATTEMPT_TIMEOUT_SECONDS
        while _clock.monotonic() < deadline and not pending.is_answered.is_set():
            if self._find_leader() not in ("", pending.leader):
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_RETRY_INTERVAL_SECONDS):
                    await pending.is_answered.wait()


def is_connected(request: web.BaseRequest) -> bool:
    """Return whether the sender of a request has not closed its connection."""
    transport = request.transport
    return transport is not None and not transport.is_closing()
