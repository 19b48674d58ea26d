"""Decides which limits of targets another instance has to be told."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from heathertack.blackboard import (
    MEMBERS,
    TARGET_LIMITS,
    TARGET_REJECTIONS,
    Blackboard,
    Section,
    TargetLimit,
)
from heathertack.controllers._actions import SendToPeer
from heathertack.messages import TargetRate, TargetRates, TargetRejectionRates

#: Time after which an unchanged limit is told again, seconds: the other instance would
#: otherwise take an older answer without a limit for a newer one.
_REPEAT_SECONDS = 1.0
#: Maximum number of instances and targets that are remembered as told.
_MAX_TOLD = 8192


class _Told(NamedTuple):
    """What an instance was told of a target."""

    #: Incarnation of the instance; a later one knows nothing.
    incarnation: int
    rate: float | None
    told_at: float


#: Limits of targets, and the message that tells them.
_SHARED: tuple[
    tuple[Section[Mapping[str, TargetLimit]], type[TargetRates | TargetRejectionRates]],
    ...,
] = ((TARGET_LIMITS, TargetRates), (TARGET_REJECTIONS, TargetRejectionRates))


class LimitSharing:
    """Remembers what this instance has told others of the limits of targets.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    """

    def __init__(self, board: Blackboard) -> None:
        self._board = board
        #: What was told, by instance, target and name of the section.
        self._told: OrderedDict[tuple[str, str, str], _Told] = OrderedDict()

    @property
    def has_limits(self) -> bool:
        """Whether there is anything to tell."""
        return any(self._board.read(section) for section, _ in _SHARED)

    def build(
        self, instance: str, targets: Iterable[str], now: float
    ) -> tuple[SendToPeer, ...]:
        """Return the messages to send to an instance, if there is something to tell.

        Parameters
        ----------
        instance : str
            Instance that is about to use or to assign these targets.
        targets : iterable of str
            Names of targets.
        now : float
            Monotonic clock, seconds.
        """
        if not self.has_limits:
            return ()
        names = tuple(targets)
        actions: list[SendToPeer] = []
        for section, message in _SHARED:
            rates = self._select(section, instance, names, now)
            if rates:
                actions.append(SendToPeer(instance, message(rates)))
        while len(self._told) > _MAX_TOLD:
            self._told.popitem(last=False)
        return tuple(actions)

    def _select(
        self,
        section: Section[Mapping[str, TargetLimit]],
        instance: str,
        targets: Iterable[str],
        now: float,
    ) -> tuple[TargetRate, ...]:
        """Return what an instance does not know, and record that it is told."""
        limits = self._board.read(section)
        if not limits:
            return ()
        member = self._board.read(MEMBERS).get(instance)
        incarnation = member.incarnation if member is not None else 0
        rates: list[TargetRate] = []
        for target in targets:
            limit = limits.get(target)
            if limit is None:
                continue
            key = (instance, target, section.name)
            told = self._told.get(key)
            is_known = (
                told is not None
                and told.incarnation == incarnation
                and told.rate == limit.rate
                and (limit.rate is None or now - told.told_at < _REPEAT_SECONDS)
            )
            if not is_known:
                self._told[key] = _Told(incarnation, limit.rate, now)
                self._told.move_to_end(key)
                rates.append(TargetRate(target, limit.rate, now - limit.known_at))
        return tuple(rates)
