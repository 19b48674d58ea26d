"""Interface between a daemon and the listeners that it runs."""

from __future__ import annotations

from typing import Protocol

import aiohttp

from heathertackd._instance import Instance
from heathertackd._supervision import BackgroundWork


class Frontend(Protocol):
    """Listeners and background work of one daemon."""

    async def start(self) -> None:
        """Open the listeners.

        Raises
        ------
        OSError
            If an address can't be used.
        """
        ...

    def background_work(self) -> tuple[BackgroundWork, ...]:
        """Return the work that runs until the daemon stops."""
        ...

    def stop_accepting(self) -> None:
        """Stop accepting callers, and close those of their connections that are idle.

        Called again and again, since others become idle.
        """
        ...

    def limit_time(self, until: float) -> None:
        """Answer all open requests by a time on the monotonic clock, seconds."""
        ...

    def has_open_requests(self) -> bool:
        """Return whether anything has arrived on a listener that is not answered."""
        ...

    def has_unrecorded_work(self) -> bool:
        """Return whether outcomes of requests are still being recorded."""
        ...

    async def stop(self) -> None:
        """Close the listeners."""
        ...


class FrontendFactory(Protocol):
    """Builds the frontend of a daemon."""

    def __call__(self, instance: Instance, session: aiohttp.ClientSession) -> Frontend:
        """Return a frontend that connects to targets through a session."""
        ...
