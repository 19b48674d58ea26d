"""The admission owner's model of the targets of one group."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from heathertack.controllers._admission_types import HeldReservation, TargetCapacity
from heathertack.controllers._target_changes import TargetChanges
from heathertack.messages import ReservationOutcome, ReservationRequest
from heathertack.policy import (
    USUAL_SPEED,
    AdmissionTuning,
    BriefRequestRoom,
    CallDurations,
    GenerationProgress,
    LedgerEntry,
    PrefixIndex,
    RateUser,
    RejectionBounds,
    RejectionUser,
    RequestRates,
    TargetLedger,
    TargetSpeed,
    TargetSpeeds,
)

#: Time for which a target is avoided after a failure, by outcome.
_AVOIDANCE_SECONDS_BY_OUTCOME = {
    ReservationOutcome.ANSWER_LOST: 0.3,
    ReservationOutcome.TARGET_LOST: 5.0,
    ReservationOutcome.UNREACHABLE: 2.0,
    ReservationOutcome.REJECTED: 1.0,
}


class TargetGroup:
    """Ledgers, slots and links of the targets of one group.

    Parameters
    ----------
    tuning : AdmissionTuning
        Parameters.
    now : float
        Monotonic clock, seconds.
    """

    def __init__(self, tuning: AdmissionTuning, now: float) -> None:
        self._tuning = tuning
        self._ledgers: dict[str, TargetLedger] = {}
        self._prefixes: dict[str, PrefixIndex] = {}
        self._slots: dict[str, int] = {}
        self._domains: dict[str, str] = {}
        self._versions: Mapping[str, str | None] = {}
        self._usable: frozenset[str] = frozenset()
        self._avoid_until: dict[str, float] = {}
        #: Endpoints of the KV cache transfers in progress, by generation.
        self._transfers: dict[str, frozenset[str]] = {}
        #: Number of these transfers, by endpoint.
        self._transfer_counts: Counter[str] = Counter()
        self._changes = TargetChanges()
        self._rates = RequestRates()
        self._bounds = RejectionBounds(now)
        self._room = BriefRequestRoom()
        #: Of the usable targets, by name.
        self._positions: Mapping[str, int] = {}
        self._speeds = TargetSpeeds()
        self._calls = CallDurations()

    @property
    def usable(self) -> frozenset[str]:
        """Targets that accept new requests."""
        return self._usable

    @property
    def changes(self) -> TargetChanges:
        """Changes of the room that targets have for requests.

        Those that follow from time alone are not included.
        """
        return self._changes

    @property
    def limited(self) -> frozenset[str]:
        """Targets that limit their requests in time."""
        return frozenset(self._rates.limited | self._bounds.bounded)

    def set_capacities(self, capacities: Mapping[str, TargetCapacity]) -> None:
        """Set the targets that accept new requests, with their capacities."""
        self._changes.record_all()
        self._usable = frozenset(capacities)
        self._positions = {name: i for i, name in enumerate(sorted(capacities))}
        for target, capacity in capacities.items():
            self._domains[target] = capacity.failure_domain
            self._slots[target] = capacity.slots or self._tuning.batch_limit
            ledger = self._ledgers.get(target)
            if ledger is None:
                self._ledgers[target] = TargetLedger(capacity.cache_tokens)
                self._prefixes[target] = PrefixIndex()
            else:
                ledger.capacity = capacity.cache_tokens
        for target in tuple(self._ledgers):
            if target not in self._usable and self._ledgers[target].is_empty:
                del self._ledgers[target]
                del self._prefixes[target]
                del self._slots[target]
                del self._domains[target]
                self._speeds.forget(target)
                self._calls.forget(target)

    def set_versions(self, versions: Mapping[str, str | None]) -> None:
        """Set the software versions of all targets, ``None`` for unknown ones."""
        self._versions = versions
        self._changes.record_all()

    def set_rates(self, rates: Mapping[str, float], now: float) -> None:
        """Set the rates of the targets that limit their requests, requests a second."""
        self._changes.record_all()
        self._rates.set_rates(rates, now)

    def forget_rates(self) -> None:
        """Forget what the rates of the targets allow at present."""
        self._rates = RequestRates()

    def set_rejection_bounds(
        self, bounds: Mapping[str, float], instances: Iterable[str], now: float
    ) -> None:
        """Set how many requests targets may turn away in a second.

        Parameters
        ----------
        bounds : mapping of str to float
            Requests a second of all instances together, by target.
        instances : iterable of str
            Instances that may send requests.
        now : float
            Monotonic clock, seconds.
        """
        self._changes.record_all()
        self._bounds.set_bounds(bounds, instances, now)

    def accepts(self, target: str, user: RateUser, now: float) -> bool:
        """Return whether the limits of a usable target allow one more request."""
        return target in self._usable and self._allows(target, user, now)

    def spend(
        self, target: str, user: RateUser, request: ReservationRequest, now: float
    ) -> None:
        """Record that a request is about to be sent to a target."""
        self._rates.spend(target, user, now)
        self._bounds.record_sent(
            target,
            _find_rejection_user(user),
            request.generation_id,
            self._count(target),
            now,
        )
        ledger = self._ledgers.get(target)
        if ledger is None:
            return
        if not ledger.capacity:
            self._calls.record_sent(request.generation_id, target, now)
            return
        ahead = ledger.waiting_prompt_tokens
        unread = 0 if request.is_running else self._unread(request, target) + ahead
        self._speeds.record_sent(request.generation_id, target, unread, now)

    def record_progress(self, held: HeldReservation, tokens: int, now: float) -> None:
        """Record how many tokens of a request its target has generated."""
        request, target = held.request, held.target
        self._bounds.record_accepted(request.generation_id)
        ledger = self._ledgers.get(target)
        if ledger is not None and ledger.capacity:
            unread = 0 if request.is_running else self._unread(request, target)
            progress = GenerationProgress(unread, tokens, ledger.count)
            self._speeds.record_progress(request.generation_id, target, progress, now)

    def record_ended(
        self, generation_id: str, outcome: ReservationOutcome, now: float
    ) -> None:
        """Record that a request has ended and was not turned away."""
        self._bounds.record_ended(generation_id)
        self._room.record_ended(generation_id, now)
        self._speeds.record_ended(generation_id)
        is_finished = outcome is ReservationOutcome.FINISHED
        self._calls.record_ended(generation_id, now, is_finished=is_finished)

    def describe(self, target: str, now: float) -> str:
        """Return what a target is used for and its speeds, empty if it is unknown."""
        ledger = self._ledgers.get(target)
        if ledger is None:
            return ""
        speed = self._find_speed(target, now)
        if speed == USUAL_SPEED:
            return ledger.describe()
        speeds = f"speed {speed.prompt:.2f} reading, {speed.step:.2f} in steps"
        return f"{ledger.describe()}, {speeds}"

    def record_refused(self, target: str, generation_id: str, now: float) -> None:
        """Record that a target turned a request away, which has no reservation."""
        self._bounds.record_refused(target, generation_id, self._count(target), now)
        self._room.record_ended(generation_id, now)
        self._speeds.record_ended(generation_id)
        self._calls.record_ended(generation_id, now, is_finished=False)

    def is_bounded(self, target: str) -> bool:
        """Return whether a target bounds the requests that it turns away."""
        return target in self._bounds.bounded

    def is_out_of_places(self, now: float) -> bool:
        """Return whether all usable targets have bounds, and no place is free."""
        return (
            bool(self._usable)
            and self._usable <= self._bounds.bounded
            and all(
                self._count(target) >= self._find_places(target, now)
                for target in self._usable
            )
        )

    def list_speeds(self, now: float) -> Mapping[str, TargetSpeed]:
        """Return the speeds of the targets that differ from the others."""
        speeds = {target: self._find_speed(target, now) for target in self._usable}
        return {t: speed for t, speed in speeds.items() if speed != USUAL_SPEED}

    def _find_speed(self, target: str, now: float) -> TargetSpeed:
        """Return the speed of a target that its score uses."""
        if not self._tuning.compares_speeds:
            return USUAL_SPEED
        ledger = self._ledgers.get(target)
        if ledger is not None and not ledger.capacity:
            return self._calls.find(target, now)
        return self._speeds.find(target, now)

    def _unread(self, request: ReservationRequest, target: str) -> int:
        """Return the prompt tokens of a request that a target has to read."""
        saved = self._prefixes[target].saved_tokens(request.prefix)
        return max(request.prompt_tokens - saved, 0)

    def _allows(self, target: str, user: RateUser, now: float) -> bool:
        """Return whether the limits of a target allow one more request."""
        if not self._rates.accepts(target, user, now):
            return False
        return target not in self._bounds.bounded or self._bounds.accepts(
            target, _find_rejection_user(user), self._count(target), now
        )

    def _count(self, target: str) -> int:
        """Return the number of requests that a target has."""
        ledger = self._ledgers.get(target)
        return ledger.count if ledger is not None else 0

    def _find_places(self, target: str, now: float) -> float:
        """Return the number of requests that a target may get at one time."""
        most = min(self._tuning.batch_limit, self._slots[target])
        return min(most, self._bounds.find_places(target, now))

    def wait_for_rate(self, user: RateUser, ahead: int, now: float) -> float:
        """Return how long the rates of the targets delay a request, seconds.

        Parameters
        ----------
        user : RateUser
            Who sends the request.
        ahead : int
            Number of requests that are sent first.
        now : float
            Monotonic clock, seconds.
        """
        if not self._usable:
            return 0.0
        return self._rates.wait(self._usable, user, ahead, now)

    def find_ledger(self, target: str) -> TargetLedger | None:
        """Return the ledger of a target, ``None`` if the target is unknown."""
        return self._ledgers.get(target)

    def find_prefixes(self, target: str) -> PrefixIndex | None:
        """Return the prefix index of a target, ``None`` if the target is unknown."""
        return self._prefixes.get(target)

    def avoid(self, target: str, until: float) -> None:
        """Prefer other targets until a point in time."""
        self._changes.record_all()
        self._avoid_until[target] = until

    def avoid_after(self, outcome: ReservationOutcome, target: str, now: float) -> None:
        """Prefer other targets for a while after a request that a target failed."""
        if outcome in _AVOIDANCE_SECONDS_BY_OUTCOME:
            self.avoid(target, now + _AVOIDANCE_SECONDS_BY_OUTCOME[outcome])

    def begin_transfer(self, generation_id: str, endpoints: Iterable[str]) -> None:
        """Mark the links of both endpoints as busy with a KV cache transfer."""
        self.end_transfer(generation_id)
        self._transfers[generation_id] = frozenset(endpoints)
        self._transfer_counts.update(self._transfers[generation_id])

    def end_transfer(self, generation_id: str) -> None:
        """Mark the links used by a generation's transfer as free."""
        for endpoint in self._transfers.pop(generation_id, ()):
            self._transfer_counts[endpoint] -= 1
            if not self._transfer_counts[endpoint]:
                del self._transfer_counts[endpoint]
            self._changes.record(endpoint)

    def list_candidates(
        self,
        request: ReservationRequest,
        user: RateUser,
        now: float,
        paused: frozenset[str] = frozenset(),
        among: frozenset[str] | None = None,
    ) -> tuple[str, ...]:
        """Return the targets that a request may go to.

        A running request moves with its KV cache, from the target that it excludes.
        Targets whose rate is used up are left to later requests, and paused ones to
        requests of other entry instances.

        Parameters
        ----------
        request : ReservationRequest
            Request that needs a target.
        user : RateUser
            Who sends the request.
        now : float
            Monotonic clock, seconds.
        paused : frozenset of str
            Targets that the entry instance may not use.
        among : frozenset of str or None
            Targets of which the suitable ones are returned; ``None`` for all.
        """
        accepting = self._usable - paused
        suitable = accepting.difference(request.excluded)
        if not suitable and not request.is_running:
            suitable = accepting
        usable = suitable if among is None else suitable & among
        if request.is_running:
            usable = frozenset(
                target
                for target in usable
                if all(self._can_copy(source, target) for source in request.excluded)
            )
        allowed = tuple(t for t in usable if self._allows(t, user, now))
        preferred = tuple(t for t in allowed if not self._is_avoided(t, now))
        if preferred or among is None or not allowed:
            return preferred or allowed
        # Targets to avoid are used only if there are no others at all.
        candidates = self.list_candidates(request, user, now, paused)
        return tuple(t for t in allowed if t in candidates)

    def _is_avoided(self, target: str, now: float) -> bool:
        return self._avoid_until.get(target, now) > now

    def order_candidates(
        self,
        request: ReservationRequest,
        user: RateUser,
        now: float,
        paused: frozenset[str] = frozenset(),
        among: frozenset[str] | None = None,
    ) -> list[str]:
        """Order targets by cache use, less the prefill that a cached prefix saves.

        Cache use counts for more on slow targets. For a run that moves, those in the
        failure domain of its target come first.
        """
        weight = self._tuning.prefix_weight

        def rank(target: str) -> tuple[bool, float, str]:
            is_far = (
                request.is_running
                and self._tuning.controls_overload
                and self._crosses_domains(request.excluded, target)
            )
            saved = self._prefixes[target].saved_tokens(request.prefix)
            ledger = self._ledgers[target]
            run_penalty = self._tuning.run_weight * ledger.count * ledger.capacity
            load = ledger.cached - weight * saved + run_penalty
            speed = self._find_speed(target, now)
            if speed != USUAL_SPEED:
                cost = speed.find_cost(
                    request.prompt_tokens, request.max_tokens, ledger.count
                )
                # An empty target is used for the request at least.
                own = request.prompt_tokens
                load = _scale(load + own, cost) - own
            return (is_far, load, target)

        candidates = self.list_candidates(request, user, now, paused, among)
        return sorted(candidates, key=rank)

    def score(
        self,
        request: ReservationRequest,
        target: str,
        candidate: LedgerEntry,
        now: float,
    ) -> float | None:
        """Return the score of a target with a request added, ``None`` if it is full.

        The score is the projected load; lower is better. On a target of another speed
        than usual it is weighted by the cost of the request there.

        Parameters
        ----------
        request : ReservationRequest
            Request to add.
        target : str
            Name of a known target.
        candidate : LedgerEntry
            Predicted cache use of the request.
        now : float
            Monotonic clock, seconds.
        """
        load = self._project_load(request, target, candidate, now)
        speed = self._find_speed(target, now)
        if load is None or speed == USUAL_SPEED:
            return load
        if not self._ledgers[target].capacity:
            own = 1 / self._slots[target]
            return (load + own) / speed.step - own
        prompt = 0 if request.is_running else self._unread(request, target)
        running = self._ledgers[target].count
        cost = speed.find_cost(prompt, candidate.remaining, running)
        return _scale(load, cost)

    def fits(
        self,
        request: ReservationRequest,
        target: str,
        candidate: LedgerEntry,
        now: float,
    ) -> bool:
        """Return whether a target has room for a request."""
        return self._project_load(request, target, candidate, now) is not None

    def record_request(
        self, request: ReservationRequest, candidate: LedgerEntry, now: float
    ) -> None:
        """Record the predicted cache use of a new request."""
        self._room.record_request(request.class_name, candidate, now)

    def _project_load(
        self,
        request: ReservationRequest,
        target: str,
        candidate: LedgerEntry,
        now: float,
    ) -> float | None:
        """Return the load of a target with a request added, ``None`` if it is full."""
        tuning = self._tuning
        ledger = self._ledgers[target]
        if not self.has_slot(request, target):
            return None
        if not ledger.capacity:
            return ledger.count / self._slots[target]
        saved = self._prefixes[target].saved_tokens(request.prefix)
        capacity = max(ledger.capacity, 1)
        limit = tuning.cache_limit * capacity
        if (
            candidate.cached + candidate.remaining
            > tuning.large_request_fraction * capacity
        ):
            limit = tuning.large_cache_limit * capacity
        if tuning.controls_overload and not request.is_running:
            position = self._positions[target]
            limit -= self._room.find(request.class_name, position, now)
        if not ledger.is_empty and ledger.cached + request.prompt_tokens > limit:
            return None
        peak = ledger.peak_with(candidate)
        if not ledger.is_empty and peak > limit:
            return None
        penalty = tuning.run_weight * ledger.count
        if request.is_running and self._crosses_domains(request.excluded, target):
            penalty += (
                tuning.move_cross_domain_penalty
                if tuning.controls_overload
                else tuning.cross_domain_penalty
            )
        return (peak - tuning.prefix_weight * saved) / capacity + penalty

    def has_slot(self, request: ReservationRequest, target: str) -> bool:
        """Return whether a target could start a request, memory aside.

        Candidates have free places: see `list_candidates`.
        """
        ledger = self._ledgers[target]
        if ledger.count >= min(self._tuning.batch_limit, self._slots[target]):
            return False
        if request.is_running:
            return not self._is_link_busy(request, target)
        waiting = ledger.waiting_prompt_tokens
        saved = self._prefixes[target].saved_tokens(request.prefix)
        prompt = max(request.prompt_tokens - saved, 0)
        return not waiting or waiting + prompt <= self._tuning.prefill_budget

    def choose_backup_target(
        self, target: str, backup: LedgerEntry, paused: frozenset[str] = frozenset()
    ) -> str:
        """Return the target with the most room for a backup, empty if none has room.

        A target with a limit, or a paused one, might not accept the request that
        continues there.

        Parameters
        ----------
        target : str
            Target that runs the generation.
        backup : LedgerEntry
            Predicted cache use of the backup.
        paused : frozenset of str
            Targets that the entry instance may not use.
        """
        if self._run_load(backup) > self._tuning.backup_load_limit:
            return ""
        candidates: list[tuple[float, str]] = []
        limited = self._rates.limited | self._bounds.bounded
        for other in self._usable - limited - paused - {target}:
            if not self._can_copy(target, other):
                continue
            ledger = self._ledgers[other]
            peak = ledger.peak_with(backup)
            if peak <= self._tuning.backup_limit * ledger.capacity:
                crosses_domains = self._crosses_domains((target,), other)
                penalty = self._tuning.cross_domain_penalty if crosses_domains else 0.0
                candidates.append((peak / max(ledger.capacity, 1) + penalty, other))
        return min(candidates)[1] if candidates else ""

    def _can_copy(self, source: str, target: str) -> bool:
        """Return whether a target can continue from the KV cache of another one."""
        version = self._versions.get(source, "")
        return version is not None and version == self._versions.get(target, "")

    def _run_load(self, added: LedgerEntry) -> float:
        """Return the fraction of all caches that running generations fill.

        Includes one more generation with the given entry.
        """
        ledgers = [self._ledgers[target] for target in self._usable]
        capacity = sum(ledger.capacity for ledger in ledgers)
        used = sum(ledger.run_tokens for ledger in ledgers)
        return (used + added.cached) / max(capacity, 1)

    def _crosses_domains(self, sources: Iterable[str], target: str) -> bool:
        """Return whether a transfer to a target would cross failure domains."""
        source_domains = {self._domains.get(source, "") for source in sources}
        return self._domains.get(target) not in source_domains

    def _is_link_busy(self, request: ReservationRequest, target: str) -> bool:
        """Return whether a transfer from or to one of the targets is in progress.

        Transfers over the same link queue behind each other, and a generation is
        paused while the rest of its KV cache waits for transfer.
        """
        return any(e in self._transfer_counts for e in (*request.excluded, target))


def _scale(load: float, cost: float) -> float:
    """Return a load weighted by the cost of a request.

    A cached prefix that saves more than the rest of the load gives a negative one.
    """
    return load * cost if load > 0 else load / cost


def _find_rejection_user(user: RateUser) -> RejectionUser:
    return RejectionUser("" if user.is_owner else user.name)
