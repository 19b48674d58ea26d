"""Client that commits commands through the leader of the control log."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable

from returns.result import Failure, Result as Outcome, Success

from heathertack.messages import ControlReply, ControlRequest, ControlStatus
from heathertack.state import COMMAND_CODEC, RESULT_CODEC, Command, Result

_ATTEMPT_TIMEOUT_SECONDS = 0.7
_RETRY_INTERVAL_SECONDS = 0.1

Send = Callable[[str, ControlRequest], None]
FindLeader = Callable[[], str]


class ControlUnavailableError(Exception):
    """A command was not confirmed in time; it may still be committed."""


class ControlClient:
    """Sends commands to the leader, retrying until one is confirmed as committed.

    Commands are idempotent, so resending one is safe.

    Parameters
    ----------
    send : callable
        Sends a request to an instance.
    find_leader : callable
        Returns the instance that is the leader, empty while unknown.
    """

    def __init__(self, send: Send, find_leader: FindLeader) -> None:
        self._send = send
        self._find_leader = find_leader
        self._pending_replies: dict[str, asyncio.Future[ControlReply]] = {}

    def receive(self, reply: ControlReply) -> None:
        """Process the reply to a request."""
        future = self._pending_replies.pop(reply.request_id, None)
        if future is not None and not future.done():
            future.set_result(reply)

    async def commit(
        self, command: Command, timeout: float
    ) -> Outcome[Result, ControlUnavailableError]:
        """Commit a command.

        Parameters
        ----------
        command : Command
            The command.
        timeout : float
            Time limit over all attempts, seconds.

        Returns
        -------
        Outcome[Result, ControlUnavailableError]
            Result of the command, or why it was not confirmed.
        """
        encoded = COMMAND_CODEC.encode(command)
        try:
            async with asyncio.timeout(timeout):
                return Success(await self._commit(encoded))
        except TimeoutError:
            return Failure(
                ControlUnavailableError("no leader confirmed the command in time")
            )

    async def _commit(self, encoded: bytes) -> Result:
        while True:
            reply = await self._send_to_leader(encoded)
            if reply is not None and reply.status is ControlStatus.DONE:
                return RESULT_CODEC.decode(reply.result).unwrap()
            await asyncio.sleep(_RETRY_INTERVAL_SECONDS)

    async def _send_to_leader(self, encoded: bytes) -> ControlReply | None:
        leader = self._find_leader()
        if not leader:
            return None
        request_id = secrets.token_hex(8)
        future: asyncio.Future[ControlReply] = asyncio.Future()
        self._pending_replies[request_id] = future
        self._send(leader, ControlRequest(request_id, encoded))
        try:
            return await asyncio.wait_for(future, _ATTEMPT_TIMEOUT_SECONDS)
        except TimeoutError:
            return None
        finally:
            self._pending_replies.pop(request_id, None)
