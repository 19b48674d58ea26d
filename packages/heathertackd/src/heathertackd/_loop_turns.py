"""Lets the event loop turn while more messages are at hand."""

from __future__ import annotations

import asyncio
from typing import Any

import zmq.asyncio

from heathertackd import _clock

#: Time for which messages are handled before anything else runs, seconds.
_MAX_TURN_SECONDS = 0.01


class LoopTurns:
    """Receives messages, and returns to the event loop at regular intervals.

    Awaiting a message that has arrived does not return to it, so that nothing else
    would run until a queue is empty.
    """

    def __init__(self) -> None:
        self._end_at = 0.0

    async def receive(self, source: zmq.asyncio.Socket, **options: Any) -> list[Any]:
        """Return the frames of the next message.

        Parameters
        ----------
        source : zmq.asyncio.Socket
            Where the message arrives.
        **options
            Options of its ``recv_multipart``.

        Raises
        ------
        zmq.ZMQError
            If no message can be received.
        """
        receiving: asyncio.Future[list[Any]] = asyncio.ensure_future(
            source.recv_multipart(**options)
        )
        has_arrived = receiving.done()
        if has_arrived and _clock.monotonic() < self._end_at:
            return await receiving
        if has_arrived:
            await asyncio.sleep(0)
        frames = await receiving
        self._end_at = _clock.monotonic() + _MAX_TURN_SECONDS
        return frames
