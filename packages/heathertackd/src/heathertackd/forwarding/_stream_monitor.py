"""Watches open streams for the loss of targets that they depend on."""

from __future__ import annotations

import asyncio
from typing import Protocol

from heathertackd._supervision import FailureLog

#: An instance may learn that a target leaves only a few hundred milliseconds before
#: the target stops.
_CHECK_INTERVAL_SECONDS = 0.05


class MonitoredStream(Protocol):
    """A stream that may have to move to another target, or waits for one."""

    def move_if_at_risk(self) -> None:
        """Start a move if the stream would be lost with its target."""
        ...

    def end_wait_if_copy_is_lost(self) -> None:
        """End the wait for a target if the copy to continue from is lost."""
        ...


class StreamMonitor:
    """Periodically checks every open stream for the need to move.

    Parameters
    ----------
    failures : FailureLog
        Log of failures.
    """

    def __init__(self, failures: FailureLog) -> None:
        self._failures = failures
        self._streams: set[MonitoredStream] = set()

    def add(self, stream: MonitoredStream) -> None:
        """Start monitoring a stream."""
        self._streams.add(stream)

    def remove(self, stream: MonitoredStream) -> None:
        """Stop monitoring a stream."""
        self._streams.discard(stream)

    async def run(self) -> None:
        """Check the streams until cancelled."""
        while True:
            for stream in tuple(self._streams):
                try:
                    stream.move_if_at_risk()
                    stream.end_wait_if_copy_is_lost()
                except Exception as error:
                    self._failures.record("stream_move", error)
            await asyncio.sleep(_CHECK_INTERVAL_SECONDS)
