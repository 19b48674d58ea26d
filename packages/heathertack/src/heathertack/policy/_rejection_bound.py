"""Keeps what targets have to turn away within the numbers that they bear."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from heathertack.policy._rendezvous import rank_instances

#: Time in which a target may turn away as many requests as its bound, seconds; longer
#: than the second that targets count, by what messages are late.
_WINDOW_SECONDS = 1.15
#: Time in which another owner may have used its part of a bound before this one took
#: over, seconds. Instances announce what they have at targets within a second.
_TAKEOVER_SECONDS = 1.05
#: Time after which a request that was not turned away counts as accepted, seconds.
_MIN_SETTLING_SECONDS = 0.05
_MAX_SETTLING_SECONDS = 0.5
#: Refusals may take this many times as long as the latest ones.
_SETTLING_FACTOR = 2.0
#: The slowest refusal is forgotten by this factor with each later one.
_SETTLING_DECAY = 0.9
#: Time from a refusal until one more place than before is tried, seconds. It is shorter
#: at targets with large bounds, of which trials may use this part, and doubles each
#: time that the place is not there.
_FIRST_RAISE_SECONDS = 1.0
_TRIAL_PART = 0.5
_MAX_RAISE_SECONDS = 8.0
#: Part of the places that is given up after a refusal at targets with the least bounds.
_MAX_CUT = 0.5


class RejectionUser(NamedTuple):
    """For whom requests are sent to targets."""

    #: Instance that uses only its part of the bounds; empty for the owner of the
    #: targets, which uses what is not reserved for instances that don't reach it.
    instance: str = ""
    #: Whether the targets have no owner, so that instances share the whole bounds.
    is_ownerless: bool = False


class _Sent(NamedTuple):
    target: str
    instance: str
    sent_at: float
    #: Whether it was sent beyond the places that the target is known to have.
    is_trial: bool


class _Refusal(NamedTuple):
    at: float
    instance: str
    is_trial: bool


class _Places:
    """What is believed of the room of one target."""

    def __init__(self, bound: float, *, is_unknown: bool) -> None:
        #: Whether an earlier owner may know of less room.
        self.is_unknown = is_unknown
        part = max(bound, 1.0) / 2
        trials = _TRIAL_PART * part
        self._first_raise = min(_WINDOW_SECONDS / trials, _FIRST_RAISE_SECONDS)
        #: Part of the places that is kept after a refusal; the smaller the bound, the
        #: fewer refusals may tell how far the room shrank.
        self._kept = 1.0 - _MAX_CUT / max(part, 1.0)
        #: Number of requests for which there was room at last; ``None`` if no refusal
        #: has told otherwise than the table of targets.
        self.proven: int | None = None
        self.raise_at = 0.0
        self.raise_seconds = self._first_raise
        self.refusals: deque[_Refusal] = deque()
        #: Requests that may still be turned away.
        self.unsettled: dict[str, _Sent] = {}

    def take_over(self, running: int, now: float) -> None:
        """Believe for now that there is room only for what runs at the target."""
        self.is_unknown = False
        if self.proven is None:
            self.proven = max(running, 1)
            self.raise_at = now

    def find(self, now: float) -> float:
        """Return the number of requests that the target may get at one time."""
        if self.proven is None:
            return math.inf
        return self.proven + (1 if now >= self.raise_at else 0)

    def count_risk(
        self, instance: str, since: float, settled: float, *, is_trial: bool
    ) -> int:
        """Return the number of requests that were, or may be, turned away.

        Parameters
        ----------
        instance : str
            Count those of one instance; all if it is empty.
        since : float
            Earliest refusal that counts, monotonic clock, seconds.
        settled : float
            Requests that were sent earlier have been accepted.
        is_trial : bool
            Whether refusals of trials count.
        """
        while self.refusals and self.refusals[0].at <= since:
            self.refusals.popleft()
        for key in [k for k, s in self.unsettled.items() if s.sent_at <= settled]:
            self._settle(key)
        refused = sum(
            instance in ("", refusal.instance) and (is_trial or not refusal.is_trial)
            for refusal in self.refusals
        )
        sent = sum(instance in ("", s.instance) for s in self.unsettled.values())
        return refused + sent

    def accept(self, request_id: str) -> None:
        """Record that a request has room."""
        if request_id in self.unsettled:
            self._settle(request_id)

    def refuse(
        self, request_id: str, sent: _Sent | None, running: int, now: float
    ) -> None:
        """Record that a request was turned away while others had room."""
        was_settled = self.unsettled.pop(request_id, None) is None
        is_trial = sent is not None and sent.is_trial and not was_settled
        instance = sent.instance if sent is not None else ""
        self.refusals.append(_Refusal(now, instance, is_trial))
        if is_trial:
            self.raise_seconds = min(2 * self.raise_seconds, _MAX_RAISE_SECONDS)
        else:
            # The others may run since before the room shrank.
            known = running if self.proven is None else min(running, self.proven)
            self.proven = max(math.ceil(known * self._kept - _MAX_CUT), 1)
            self.raise_seconds = self._first_raise
        self.raise_at = now + self.raise_seconds

    def _settle(self, request_id: str) -> None:
        sent = self.unsettled.pop(request_id)
        if sent.is_trial and self.proven is not None:
            self.proven += 1
            self.raise_seconds = self._first_raise


class RejectionBounds:
    """Bounds on the requests that targets turn away for want of room.

    A target may get as many requests as it had room for at last, and one more from
    time to time. Its room may shrink at any moment, so each request may be turned away
    until it is known to be accepted: no more of these are sent than the target may turn
    away within a second, less those that it has turned away already.

    Parameters
    ----------
    now : float
        Monotonic clock, seconds. What was sent and turned away before is not known.
    """

    def __init__(self, now: float) -> None:
        self._sole_from = now + _TAKEOVER_SECONDS
        self._bounds: Mapping[str, float] = {}
        self._bounded: frozenset[str] = frozenset()
        self._places: dict[str, _Places] = {}
        #: Requests that have not ended.
        self._sent: dict[str, _Sent] = {}
        self._instances: frozenset[str] = frozenset()
        #: Instances that may send without the owner, by target.
        self._allowed: dict[tuple[str, bool], frozenset[str]] = {}
        self._slowest = 0.0

    @property
    def bounded(self) -> frozenset[str]:
        """Targets with a bound."""
        return self._bounded

    def set_bounds(
        self, bounds: Mapping[str, float], instances: Iterable[str], now: float
    ) -> None:
        """Replace the bounds of all targets.

        Parameters
        ----------
        bounds : mapping of str to float
            Requests that a target may turn away in a second, by target; targets that
            are missing have no bound.
        instances : iterable of str
            Instances that may send requests.
        now : float
            Monotonic clock, seconds.
        """
        names = frozenset(instances)
        if bounds == self._bounds and names == self._instances:
            return
        self._bounds = dict(bounds)
        self._bounded = frozenset(bounds)
        self._instances = names
        self._allowed.clear()
        is_new = now < self._sole_from
        self._places = {
            name: self._places.get(name) or _Places(bound, is_unknown=is_new)
            for name, bound in bounds.items()
        }
        self._sent = {key: s for key, s in self._sent.items() if s.target in bounds}

    def find_places(self, target: str, now: float) -> float:
        """Return the number of requests that a target may get at one time."""
        places = self._places.get(target)
        return math.inf if places is None else places.find(now)

    def accepts(
        self, target: str, user: RejectionUser, running: int, now: float
    ) -> bool:
        """Return whether a request may be sent to a target.

        Parameters
        ----------
        target : str
            Name of the target.
        user : RejectionUser
            Who sends the request.
        running : int
            Number of requests that the target has from this user.
        now : float
            Monotonic clock, seconds.
        """
        places = self._places.get(target)
        if places is None:
            return True
        if places.is_unknown and now >= self._sole_from:
            places.take_over(running, now)
        if running >= places.find(now):
            return False
        since = now - _WINDOW_SECONDS
        settled = now - self._settling_seconds
        is_trial = self._is_trial(places, running)
        risk = places.count_risk("", since, settled, is_trial=is_trial)
        if risk >= self._find_part(target, user, now):
            return False
        if not user.instance:
            return True
        own = places.count_risk(user.instance, since, settled, is_trial=is_trial)
        return not own and user.instance in self._find_allowed(target, user)

    def record_sent(
        self,
        target: str,
        user: RejectionUser,
        request_id: str,
        running: int,
        now: float,
    ) -> None:
        """Record that a request is sent to a target that has others running."""
        places = self._places.get(target)
        if places is not None:
            is_trial = self._is_trial(places, running)
            sent = _Sent(target, user.instance, now, is_trial)
            places.unsettled[request_id] = self._sent[request_id] = sent

    def record_accepted(self, request_id: str) -> None:
        """Record that a request has room at its target."""
        sent = self._sent.get(request_id)
        if sent is not None:
            self._places[sent.target].accept(request_id)

    def record_ended(self, request_id: str) -> None:
        """Record that a request has left its target, which did not turn it away."""
        self.record_accepted(request_id)
        self._sent.pop(request_id, None)

    def record_refused(
        self, target: str, request_id: str, running: int, now: float
    ) -> None:
        """Record that a target turned a request away while others ran there."""
        sent = self._sent.pop(request_id, None)
        places = self._places.get(target)
        if places is None:
            return
        others = sum(key != request_id for key in places.unsettled)
        places.refuse(request_id, sent, max(running - others, 0), now)
        delay = now - sent.sent_at if sent is not None else 0.0
        if delay <= _MAX_SETTLING_SECONDS:  # else it has waited at the target
            self._slowest = max(_SETTLING_DECAY * self._slowest, delay)

    @property
    def _settling_seconds(self) -> float:
        seconds = max(_SETTLING_FACTOR * self._slowest, _MIN_SETTLING_SECONDS)
        return min(seconds, _MAX_SETTLING_SECONDS)

    def _is_trial(self, places: _Places, running: int) -> bool:
        return places.proven is not None and running >= places.proven

    def _find_part(self, target: str, user: RejectionUser, now: float) -> int:
        """Return how many requests a target may turn away in a second.

        The owner keeps half of each bound, rounded up. The rest is for instances that
        don't reach the owner, and for one that has just taken over.
        """
        bound = self._find_bound(target)
        if user.instance:
            return bound if user.is_ownerless else bound // 2
        return bound - bound // 2 if now >= self._sole_from else bound // 2

    def _find_allowed(self, target: str, user: RejectionUser) -> frozenset[str]:
        """Return the instances that may send without the owner, one request each."""
        key = (target, user.is_ownerless)
        allowed = self._allowed.get(key)
        if allowed is None:
            bound = self._find_bound(target)
            number = bound if user.is_ownerless else bound // 2
            ranked = rank_instances(target, dict.fromkeys(self._instances, ""))
            allowed = self._allowed[key] = frozenset(ranked[:number])
        return allowed

    def _find_bound(self, target: str) -> int:
        return max(int(self._bounds[target]), 1)
