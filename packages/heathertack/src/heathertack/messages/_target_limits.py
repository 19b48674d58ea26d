"""Messages about the rates of requests and of rejections that targets bear.

They are messages of their own, and not fields of older ones, since an instance of an
older build ignores messages of a type that it does not know.
"""

from __future__ import annotations

from typing import NamedTuple


class TargetRate(NamedTuple):
    """Limit of one target."""

    target: str
    #: Number a second from all instances together; ``None`` for no limit any more.
    rate: float | None
    #: Time since this was known to hold, seconds. Clocks of instances differ.
    age: float


class TargetRates(NamedTuple):
    """Tells an instance the limits of targets."""

    rates: tuple[TargetRate, ...]


class TargetRejectionRates(NamedTuple):
    """Tells an instance how many requests targets may turn away in a second."""

    rates: tuple[TargetRate, ...]
