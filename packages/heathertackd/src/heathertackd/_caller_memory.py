"""Limits what a process holds for callers, operators and other instances.

Each connection is one holder: what is read of its requests, what its answers hold
until they are read, and what the buffers of its socket hold. The limits cover all
holders of a process together, since each member of a crowd may keep the limits on
single requests. A holder is counted in the step of the event loop that reads its bytes,
before any other connection is read.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple, Protocol, TypeVar

from heathertack.settings import Limits
from heathertackd import _clock
from heathertackd._line_limit import LineLimit
from heathertackd._logs import Logger
from heathertackd._metrics import Metrics

#: Part of the memory that large holders leave to small ones, so that requests without a
#: large body are read while whole bodies and answers use up the rest.
_SMALL_SHARE = 0.25
#: Maximum size of a holder that counts as small, bytes: more than a head within the
#: usual limit of 16 KB, with its objects.
_MAX_SMALL_BYTES = 96 * 1024
#: Interval at which closed holders are logged, seconds.
_LOG_INTERVAL_SECONDS = 1.0

Holder = TypeVar("Holder")


class Holding(NamedTuple):
    """What one holder holds."""

    held_bytes: int
    descriptors: int
    #: Time since which it has been open or was last answered, monotonic clock, seconds.
    since: float


def choose_closed(candidates: Mapping[Holder, Holding]) -> Holder | None:
    """Return the holder that is closed first, ``None`` without a candidate.

    It is the largest one, and the oldest one among those of about the same size, which
    is within a factor of two. A crowd is closed from its oldest member on, while a
    caller that has just connected is admitted.

    Parameters
    ----------
    candidates : mapping
        Holders whose requests are not whole, or whose answers are not read.
    """
    return max(candidates, key=lambda holder: _rank(candidates[holder]), default=None)


def _rank(holding: Holding) -> tuple[int, float]:
    return holding.held_bytes.bit_length(), -holding.since


def find_byte_limit(max_bytes: int, held_bytes: int) -> int:
    """Return the limit on all holders for one that grows to a size, bytes."""
    if held_bytes <= _MAX_SMALL_BYTES:
        return max_bytes
    return max_bytes - int(max_bytes * _SMALL_SHARE)


class MemoryHolder(Protocol):
    """A connection for which a process holds memory and descriptors."""

    @property
    def may_be_closed(self) -> bool:
        """Whether its request is not whole, or its answer is not being read."""
        ...

    def drop(self) -> None:
        """Close it without an answer, and give up what it holds."""
        ...


class CallerMemory:
    """Counts what a process holds for others, and closes holders above its limits.

    Parameters
    ----------
    limits : Limits
        Limits of the process; those that are ``None`` do not apply.
    metrics : Metrics
        Shows what is held, and counts the holders that were closed.
    logger : Logger
        Logger of the instance.
    """

    def __init__(self, limits: Limits, metrics: Metrics, logger: Logger) -> None:
        self._max_bytes = limits.max_held_bytes
        self._max_descriptors = limits.max_held_descriptors
        self._buffer_bytes = limits.socket_buffer_bytes
        self._metrics = metrics
        self._logger = logger
        self._holdings: dict[MemoryHolder, Holding] = {}
        self._held_bytes = 0
        self._descriptors = 0
        self._line_limit = LineLimit(_LOG_INTERVAL_SECONDS)
        metrics.held_bytes.set_function(lambda: self._held_bytes)
        metrics.held_descriptors.set_function(lambda: self._descriptors)

    @property
    def buffer_bytes(self) -> int | None:
        """Size of each buffer of a socket; ``None`` if the kernel chooses it."""
        return self._buffer_bytes

    @property
    def held_bytes(self) -> int:
        """What all holders hold, bytes."""
        return self._held_bytes

    @property
    def descriptors(self) -> int:
        """Descriptors of all holders."""
        return self._descriptors

    def open(self, holder: MemoryHolder, descriptors: int = 1) -> None:
        """Count a holder, and close others, or it, if there are too many."""
        self._holdings[holder] = Holding(0, descriptors, _clock.monotonic())
        self._descriptors += descriptors
        limit = self._max_descriptors
        while limit is not None and self._descriptors > limit:
            if not self._close_one(holder, "descriptors"):
                break

    def close(self, holder: MemoryHolder) -> None:
        """Give back all that a holder holds; further calls do nothing."""
        holding = self._holdings.pop(holder, None)
        if holding is None:
            return
        self._held_bytes -= holding.held_bytes
        self._descriptors -= holding.descriptors

    def restart(self, holder: MemoryHolder) -> None:
        """Count the age of a holder from now on: it has been answered."""
        holding = self._holdings.get(holder)
        if holding is not None:
            now = _clock.monotonic()
            self._holdings[holder] = holding._replace(since=now)

    def update(self, holder: MemoryHolder, held_bytes: int) -> bool:
        """Set what a holder holds, and close others, or it, if that is too much.

        Returns
        -------
        bool
            Whether the holder is still counted.
        """
        holding = self._holdings.get(holder)
        if holding is None:
            return False
        growth = held_bytes - holding.held_bytes
        if not growth:
            return True
        self._holdings[holder] = holding._replace(held_bytes=held_bytes)
        self._held_bytes += growth
        if growth > 0 and self._max_bytes is not None:
            limit = find_byte_limit(self._max_bytes, held_bytes)
            while self._held_bytes > limit and holder in self._holdings:
                if not self._close_one(holder, "memory"):
                    break
        return holder in self._holdings

    def _close_one(self, cause: MemoryHolder, reason: str) -> bool:
        """Close a holder, and return whether one could be closed.

        Without another candidate it is the one that is the cause.
        """
        candidates = {
            holder: holding
            for holder, holding in self._holdings.items()
            if holder.may_be_closed
        }
        holder = choose_closed(candidates) or cause
        holding = self._holdings.get(holder)
        if holding is None:
            return False
        self.close(holder)
        self._metrics.closed_holders.labels(reason).inc()
        self._log(reason, holding)
        holder.drop()
        return True

    def _log(self, reason: str, holding: Holding) -> None:
        """Log a closed holder, at most once in an interval."""
        now = _clock.monotonic()
        count = self._line_limit.admit(reason, now)
        if not count:
            return
        self._logger.warning(
            "holder_closed",
            reason=reason,
            held_bytes=holding.held_bytes,
            seconds=round(now - holding.since, 3),
            all_bytes=self._held_bytes,
            all_descriptors=self._descriptors,
            closed=count,
        )
