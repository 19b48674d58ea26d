"""Looks after streams whose target or copy is about to be lost."""

from __future__ import annotations

import asyncio
from typing import Protocol

#: A notice to leave is seen a few hundred milliseconds before the end.
_CHECK_SECONDS = 0.05


class KeptStream(Protocol):
    """A stream that may have to move."""

    def check_protection(self) -> None:
        """Begin to move if the stream would be lost with its target."""
        ...


class StreamKeeper:
    """Asks every open stream in turn whether it is protected."""

    def __init__(self) -> None:
        self._streams: set[KeptStream] = set()

    def add(self, stream: KeptStream) -> None:
        """Look after a stream."""
        self._streams.add(stream)

    def remove(self, stream: KeptStream) -> None:
        """Forget a stream."""
        self._streams.discard(stream)

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            for stream in tuple(self._streams):
                stream.check_protection()
            await asyncio.sleep(_CHECK_SECONDS)
