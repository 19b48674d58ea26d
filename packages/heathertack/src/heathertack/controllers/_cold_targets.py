"""Targets that handle few requests for some seconds after they have become cold.

A cold target is one with a limited rate until it is warm, so admission treats it as one
that names a limit. The platform's list tells the leader which targets are cold, late:
targets of a readmitted domain may have become cold shortly before, and count as cold
until the list must show it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from heathertack.blackboard import COLD_TARGETS, MEMBERS, TARGET_LIMITS, Blackboard
from heathertack.messages import (
    ColdTarget,
    ColdTargets,
    MemberState,
    TargetRecord,
)
from heathertack.policy import RateUser, RequestRates

#: Time for which the targets of a readmitted domain count as cold, seconds: the list is
#: up to 0.8 s old, is read every 0.5 s, and takes a few tenths to reach all instances.
_READMITTED_SECONDS = 2.0
#: Time for which evacuated targets are announced as cold, seconds. They get no requests
#: meanwhile; if the domain is readmitted while the leader changes, the next leader does
#: not know when, and instances still have what the former one announced. It takes up to
#: two seconds until there is one, and two until its tables are complete.
_EVACUATED_SECONDS = 6.0
#: An end that is later by less than this is sent with the next renewal, seconds: a new
#: reading of the list often moves it by the age of the reading.
_MIN_EXTENSION_SECONDS = 0.3


class ColdStart(NamedTuple):
    """How a target takes requests while it is cold."""

    #: Time until it is warm, seconds; 0 if it is.
    remaining: float
    #: Requests a second that it handles while it is cold.
    rate: float


class _Known(NamedTuple):
    """What the leader knows of a target that may become cold."""

    domain: str
    rate: float
    #: Time until which it counts as cold, monotonic clock, seconds.
    until: float = float("-inf")


class ColdPublisher:
    """Tells lease holders which targets are cold, on the instance that leads."""

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}
        self._evacuated: frozenset[str] = frozenset()

    def clear(self) -> None:
        """Forget everything, since a new term begins."""
        self._known = {}
        self._evacuated = frozenset()

    def set_evacuated(self, domains: frozenset[str], now: float) -> None:
        """Set the evacuated domains; the targets of readmitted ones become cold."""
        readmitted = self._evacuated - domains
        self._evacuated = domains
        for name, known in self._known.items():
            if known.domain in readmitted:
                until = max(known.until, now + _READMITTED_SECONDS)
                self._known[name] = known._replace(until=until)

    def set_listed(
        self,
        targets: Iterable[TargetRecord],
        starts: Mapping[str, ColdStart],
        now: float,
    ) -> bool:
        """Set what the platform lists, and return whether it must be pushed at once.

        Parameters
        ----------
        targets : iterable of TargetRecord
            All listed targets.
        starts : mapping of str to ColdStart
            Targets that may become cold, by name.
        now : float
            Monotonic clock, seconds.
        """
        listed: dict[str, _Known] = {}
        is_urgent = False
        for target in targets:
            start = starts.get(target.name)
            if start is None:
                continue
            before = self._known.get(target.name)
            known_until = before.until if before is not None else float("-inf")
            until = known_until
            if start.remaining > 0.0:
                until = max(until, now + start.remaining)
            is_urgent |= until > max(known_until, now) + _MIN_EXTENSION_SECONDS
            listed[target.name] = _Known(target.failure_domain, start.rate, until)
        self._known = listed
        return is_urgent

    def build(self, term: int, now: float) -> tuple[ColdTargets, ...]:
        """Return what precedes a grant, nothing if no target is cold."""
        cold: list[ColdTarget] = []
        for name, known in sorted(self._known.items()):
            seconds = known.until - now
            if known.domain in self._evacuated:
                seconds = max(seconds, _EVACUATED_SECONDS)
            if seconds > 0.0:
                cold.append(ColdTarget(name, seconds, known.rate))
        return (ColdTargets(term, tuple(cold)),) if cold else ()


class ColdReceiver:
    """Keeps which targets are cold, on a lease holder.

    A message replaces what is known of the targets that it names. The others stay cold
    as long as they were announced, since a new leader may not know of them.
    """

    def __init__(self) -> None:
        self._term = 0
        #: End of the cold time, monotonic clock, seconds, and rate, by target.
        self._cold: dict[str, tuple[float, float]] = {}

    @property
    def rates(self) -> dict[str, float]:
        """Requests a second from all instances together, by target."""
        return {name: rate for name, (_, rate) in self._cold.items()}

    def receive(self, message: ColdTargets, term: int, now: float) -> None:
        """Adopt a message, unless it is of an earlier leader than one heard of.

        Parameters
        ----------
        message : ColdTargets
            The message.
        term : int
            Latest term of which a grant was received.
        now : float
            Monotonic clock, seconds.
        """
        if message.term < max(term, self._term):
            return
        self._term = message.term
        for target, seconds, rate in message.targets:
            self._cold[target] = (now + seconds, rate)

    def expire(self, now: float) -> None:
        """Forget the targets that are warm."""
        self._cold = {n: cold for n, cold in self._cold.items() if cold[0] > now}


def find_rates(board: Blackboard) -> dict[str, float]:
    """Return the rates of the targets that limit their requests or are cold.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.

    Returns
    -------
    dict of str to float
        Requests a second from all instances together, by target.
    """
    limits = board.read(TARGET_LIMITS)
    rates = {t: limit.rate for t, limit in limits.items() if limit.rate is not None}
    for target, rate in board.read(COLD_TARGETS).items():
        rates[target] = min(rate, rates.get(target, rate))
    return rates


class ColdShares:
    """Even part of this instance of the rates of cold targets.

    For callers of plain services, who choose targets without an admission owner.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    """

    def __init__(self, board: Blackboard) -> None:
        self._board = board
        self._rates = RequestRates()

    def accepts(self, target: str, now: float) -> bool:
        """Return whether a request may be sent to a target now."""
        user = self._update(now)
        return self._rates.accepts(target, user, now)

    def spend(self, target: str, now: float) -> None:
        """Record that a request is sent to a target."""
        self._rates.spend(target, self._update(now), now)

    def _update(self, now: float) -> RateUser:
        self._rates.set_rates(self._board.read(COLD_TARGETS), now)
        members = self._board.read(MEMBERS).values()
        alive = sum(member.state is MemberState.ALIVE for member in members)
        return RateUser("", 1.0 / max(alive, 1))
