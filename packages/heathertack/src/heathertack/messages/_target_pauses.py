"""Messages about targets that want no requests from one instance for a while.

They are messages of their own, and not fields of older ones, since an instance of an
older build ignores messages of a type that it does not know.
"""

from __future__ import annotations

from typing import NamedTuple


class TargetPause(NamedTuple):
    """Pause of one target."""

    target: str
    #: Time for which the sender must not use the target, seconds. Clocks of instances
    #: differ.
    seconds: float


class TargetPauses(NamedTuple):
    """Tells an admission owner which targets it must not assign to the sender."""

    pauses: tuple[TargetPause, ...]
