"""What a daemon offers to callers, operators and targets."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any, Protocol

import aiohttp

from heathertackd._instance import Instance


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

    def background_work(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """Return what runs until the daemon stops."""
        ...

    def stop_accepting(self) -> None:
        """Take no more callers; called once."""
        ...

    def has_unrecorded_work(self) -> bool:
        """Tell whether outcomes of requests are still being recorded."""
        ...

    async def stop(self) -> None:
        """Close the listeners."""
        ...


class FrontendFactory(Protocol):
    """Builds the frontend of a daemon."""

    def __call__(self, instance: Instance, session: aiohttp.ClientSession) -> Frontend:
        """Return a frontend that uses a session for its connections to targets."""
        ...
