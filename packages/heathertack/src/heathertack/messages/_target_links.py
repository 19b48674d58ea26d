"""Messages about connections to targets.

They are messages of their own, which instances of older builds ignore.
"""

from __future__ import annotations

from typing import NamedTuple


class UnreachableServices(NamedTuple):
    """Tells other instances which services the sender can't connect to by itself."""

    #: Names of the services; empty once the sender reaches all of them again.
    services: tuple[str, ...]


class RelayedPause(NamedTuple):
    """Tells a relay that a target wants no requests from it.

    A target sees the connection of the relay, which forwards bytes and does not read
    the answers.
    """

    #: Name of the target.
    target: str
    #: Time for which the target wants no requests, seconds.
    seconds: float
