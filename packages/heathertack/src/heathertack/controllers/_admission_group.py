"""Admission to the targets of one group."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from heathertack.controllers._admission_types import (
    AddressedReply,
    EngineLoad,
    HeldReservation,
    TargetCapacity,
    WaitingRequest,
)
from heathertack.controllers._instance_pauses import InstancePauses
from heathertack.controllers._overload import OverloadControl
from heathertack.controllers._target_group import TargetGroup
from heathertack.controllers._wait_estimator import WaitEstimator
from heathertack.messages import (
    ReservationAnnounce,
    ReservationBlame,
    ReservationCopyDropped,
    ReservationGrant,
    ReservationOutcome,
    ReservationQueued,
    ReservationRelease,
    ReservationRequest,
)
from heathertack.policy import (
    AdmissionTuning,
    FairQueue,
    LedgerEntry,
    LengthEstimator,
    QueuedItem,
    RateUser,
    ReservedQuantile,
    TargetLossCounter,
    TargetSpeed,
)

_LOSSES_TO_QUARANTINE = 2
#: Draws on the rates for all instances together.
_WHOLE_RATE = RateUser("", 1.0, is_owner=True)
#: A length is predicted again after it has grown by one part in this number.
_REPREDICTION_GROWTH_DIVISOR = 6
_BACKUP_SUFFIX = "/backup"
#: Time after which queued requests are compared with all targets again, seconds: rates,
#: avoided targets and expected lengths change with time alone.
_COMPARISON_SECONDS = 0.1


class _Comparison(NamedTuple):
    """The last time that a queued request was compared with targets, in vain."""

    #: Number of the latest change of the targets.
    change: int
    #: Targets that its entry instance could not use.
    paused: frozenset[str]
    #: Whether some target could start the request, memory aside.
    waits_for_memory: bool


class AdmissionGroup:
    """Queue and ledgers of the targets of one group.

    Parameters
    ----------
    name : str
        Name of the group.
    tuning : AdmissionTuning
        Parameters.
    estimator : LengthEstimator
        Length estimator, shared by all groups of the instance.
    now : float
        Monotonic clock, seconds.
    pauses : InstancePauses or None
        Targets that entry instances may not use; ``None`` for none.
    """

    def __init__(
        self,
        name: str,
        tuning: AdmissionTuning,
        estimator: LengthEstimator,
        now: float,
        pauses: InstancePauses | None = None,
    ) -> None:
        self.name = name
        self._tuning = tuning
        self._estimator = estimator
        self._pauses = pauses or InstancePauses()
        self._dispatch_from = now + tuning.takeover_delay
        self._queue: FairQueue[WaitingRequest] = FairQueue()
        self._targets = TargetGroup(tuning, now)
        self._comparisons: dict[str, _Comparison] = {}
        self._next_comparison_at = now
        self._held: dict[str, HeldReservation] = {}
        self._loads: dict[str, EngineLoad] = {}
        self._last_memory_wait_at = float("-inf")
        self._losses = TargetLossCounter()
        self._quantile = ReservedQuantile(tuning, now)
        self._waits = WaitEstimator(tuning.rate_window)
        self._overload = OverloadControl(tuning)
        #: Part of each limited rate for each entry instance; ``None`` if this owner
        #: assigns the whole rates.
        self._rate_part: float | None = None
        #: Whether no other owner assigns more than instances that don't reach this one.
        self._is_only_owner = False

    @property
    def is_idle(self) -> bool:
        """Whether there are no queued requests and no reservations."""
        return not self._held and not len(self._queue)

    @property
    def queue_length(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    @property
    def held_count(self) -> int:
        """Number of reservations in use."""
        return len(self._held)

    @property
    def quantile(self) -> float:
        """Quantile of the remaining length for which memory is reserved."""
        return self._quantile.value

    @property
    def targets(self) -> tuple[str, ...]:
        """Targets that accept new requests."""
        return tuple(sorted(self._targets.usable))

    def list_speeds(self, now: float) -> Mapping[str, TargetSpeed]:
        """Return the speeds of the targets that differ from the others."""
        return self._targets.list_speeds(now)

    def take_refusal_counts(self) -> Mapping[str, int]:
        """Return the requests refused since the last call, by reason."""
        return self._overload.take_refusal_counts()

    def set_targets(self, capacities: Mapping[str, TargetCapacity]) -> None:
        """Set the targets that accept new requests, with their capacities.

        Runs at a target that is listed again take their places there at once.
        """
        added = {t for t in capacities if self._targets.find_ledger(t) is None}
        self._targets.set_capacities(capacities)
        if not added:
            return
        for generation_id, held in self._held.items():
            if not added.isdisjoint((held.target, held.backup)):
                self._reserve(generation_id, held)

    def set_versions(self, versions: Mapping[str, str | None]) -> None:
        """Set the software versions of all targets, ``None`` for unknown ones."""
        self._targets.set_versions(versions)

    def set_rates(
        self, rates: Mapping[str, float], rate_part: float | None, now: float
    ) -> None:
        """Set the rates of the targets that limit their requests.

        Parameters
        ----------
        rates : mapping of str to float
            Requests a second from all instances together, by target.
        rate_part : float or None
            Part of the rates that each entry instance may use if another owner may
            assign the same targets; ``None`` if there is no other owner.
        now : float
            Monotonic clock, seconds.
        """
        if (rate_part is None) != (self._rate_part is None):
            # What other owners assigned meanwhile is not known.
            self._targets.forget_rates()
        self._rate_part = rate_part
        self._targets.set_rates(rates, now)

    def set_rejection_bounds(
        self,
        bounds: Mapping[str, float],
        instances: Iterable[str],
        now: float,
        *,
        is_only_owner: bool,
    ) -> None:
        """Set how many requests targets may turn away in a second, by target.

        Parameters
        ----------
        bounds : mapping of str to float
            Requests a second of all instances together.
        instances : iterable of str
            Instances that may send requests.
        now : float
            Monotonic clock, seconds.
        is_only_owner : bool
            Whether no other owner assigns more than instances that don't reach this
            one.
        """
        self._is_only_owner = is_only_owner
        self._targets.set_rejection_bounds(bounds, instances, now)

    def request(
        self, request: ReservationRequest, instance: str, losses: int, now: float
    ) -> tuple[AddressedReply, ...]:
        """Queue a request, or repeat the answer if it was received before."""
        held = self._held.get(request.generation_id)
        if held is not None and held.request.attempt == request.attempt:
            grant = _grant(held.request, held.target, "repeated", held.backup)
            return (AddressedReply(instance, grant),)
        if held is not None:
            self._remove_reservation(request.generation_id)
        losses = max(losses, self._losses.count(request.fingerprint, now))
        if losses >= _LOSSES_TO_QUARANTINE:
            longest = self._tuning.retry_after_bounds[1]
            reason = f"{losses} targets were lost to this request"
            return (
                self._overload.refuse(
                    request, instance, "quarantined", longest, reason
                ),
            )
        queued = self._dequeue(request.generation_id)
        user = self._rate_user(instance)
        is_paused = request.preferred_target in self._pauses.find(instance, now)
        if not is_paused and self._targets.accepts(request.preferred_target, user, now):
            waiting = WaitingRequest(request, instance, now, now, losses)
            return (self._place(waiting, request.preferred_target, now),)
        if queued is None and not request.is_running:
            self._targets.record_request(request, self._predict(request, 0), now)
            refusal = self._refuse_early(request, instance, now)
            if refusal is not None:
                return (refusal,)
        self._queue.add(
            self._overload.build_queued(request, instance, queued, losses, now)
        )
        replies = self.dispatch(now)
        if request.generation_id in self._queue:
            reply = ReservationQueued(request.generation_id, request.attempt)
            return (*replies, AddressedReply(instance, reply))
        return replies

    def refresh(self, generation_id: str, now: float) -> None:
        """Record that the entry instance still waits for a queued request."""
        queued = self._queue.remove(generation_id)
        if queued is not None:
            waiting = queued.item._replace(last_contact_at=now)
            self._queue.add(queued._replace(item=waiting))

    def announce(
        self, announce: ReservationAnnounce, instance: str, now: float
    ) -> None:
        """Record a reservation that another owner granted."""
        request = announce.request
        self._dequeue(request.generation_id)
        self._store_reservation(
            request,
            instance,
            announce.target,
            announce.generated_tokens,
            now,
            backup=announce.backup,
        )

    def record_progress(
        self, generation_id: str, generated_tokens: int, now: float
    ) -> bool:
        """Record the progress of a generation, and return whether it is known."""
        held = self._held.get(generation_id)
        if held is None:
            return generation_id in self._queue
        if generated_tokens:
            self._targets.end_transfer(generation_id)
            self._overload.record_start(generation_id, now)
            self._targets.record_progress(held, generated_tokens, now)
        self._charge(held, generated_tokens)
        self._store_reservation(
            held.request,
            held.instance,
            held.target,
            generated_tokens,
            now,
            backup=held.backup,
        )
        return True

    def release(self, release: ReservationRelease, now: float) -> None:
        """Remove a reservation or a queued request."""
        self._dequeue(release.generation_id)
        held = self._held.get(release.generation_id)
        if held is None or held.request.attempt != release.attempt:
            return
        self._charge(held, release.generated_tokens)
        self._remove_reservation(release.generation_id)
        if release.outcome is ReservationOutcome.REJECTED:
            self._targets.record_refused(held.target, release.generation_id, now)
        else:
            self._targets.record_ended(release.generation_id, release.outcome, now)
        request = held.request
        if release.outcome is ReservationOutcome.FINISHED:
            self._estimator.observe(
                request.service,
                request.account,
                request.class_name,
                release.generated_tokens,
            )
            self._losses.clear(request.fingerprint)
        if release.outcome is ReservationOutcome.TARGET_LOST:
            self._losses.record_loss(request.fingerprint, now)
        is_bounded = self._targets.is_bounded(held.target)
        if is_bounded and release.outcome is ReservationOutcome.REJECTED:
            return  # its places are known better than by the outcome alone
        self._targets.avoid_after(release.outcome, held.target, now)

    def record_target_loss(self, loss: ReservationBlame, now: float) -> None:
        """Record that a target failed while it ran a request."""
        self._losses.record_loss(loss.fingerprint, now)
        self._targets.avoid_after(ReservationOutcome.TARGET_LOST, loss.target, now)

    def record_load(self, target: str, load: EngineLoad, now: float) -> None:
        """Apply a load report of a target."""
        ledger = self._targets.find_ledger(target)
        previous = self._loads.get(target)
        if ledger is None or (previous and load.sequence <= previous.sequence):
            return
        self._loads[target] = load
        if load.cache_capacity:
            ledger.capacity = load.cache_capacity
        ledger.record_reported_usage(load.cache_tokens, load.cache_capacity // 10)
        self._targets.changes.record(target)
        if previous is not None and load.preemptions > previous.preemptions:
            self._quantile.raise_for(load.preemptions - previous.preemptions)

    def avoid_unresponsive_target(
        self, target: str, duration: float, now: float
    ) -> None:
        """Avoid a target that did not report its load for a duration, seconds."""
        self._targets.avoid(target, now + duration)

    def record_cache_event(
        self,
        target: str,
        sequence: int,
        stored: tuple[int, ...],
        evicted: tuple[int, ...],
    ) -> None:
        """Apply a cache event of a target."""
        index = self._targets.find_prefixes(target)
        if index is not None:
            index.apply_event(sequence, stored, evicted)

    def expire_and_dispatch(
        self, gone: frozenset[str], now: float
    ) -> tuple[AddressedReply, ...]:
        """Expire reservations and requests, and place queued requests.

        Requests past their deadline are refused. Those of instances that are gone or
        no longer send updates are removed without a reply.

        Parameters
        ----------
        gone : frozenset of str
            Instances that are gone. Instances missing from the table of members are
            not included, since they may have just started.
        now : float
            Monotonic clock, seconds.

        Returns
        -------
        tuple of AddressedReply
            Replies to the entry instances.
        """
        self._quantile.decay(now)
        limit = now - self._tuning.reservation_timeout
        for generation_id, held in tuple(self._held.items()):
            if held.last_contact_at < limit or held.instance in gone:
                self._remove_reservation(generation_id)
                outcome = ReservationOutcome.CANCELLED
                self._targets.record_ended(generation_id, outcome, now)
        refusals: list[AddressedReply] = []
        for queued in tuple(self._queue.ordered(now)):
            waiting = queued.item
            if waiting.last_contact_at < limit or waiting.instance in gone:
                self._dequeue(queued.key)
            elif now >= waiting.deadline:
                self._dequeue(queued.key)
                refusals.append(self._refuse_expired(waiting, now))
        self._queue.evict_idle_accounts()
        return (*refusals, *self.dispatch(now))

    def dispatch(self, now: float) -> tuple[AddressedReply, ...]:
        """Place queued requests on targets with room.

        A request that fits on no target is compared again only with those targets that
        have changed, and with all of them at regular intervals.
        """
        if now < self._dispatch_from:
            return ()
        if now >= self._next_comparison_at:
            self._next_comparison_at = now + _COMPARISON_SECONDS
            self._targets.changes.record_all()
        replies: list[AddressedReply] = []
        skipped = 0
        for queued in tuple(self._queue.ordered(now)):
            waiting = queued.item
            dropped, target = self._find_target(waiting, now)
            replies.extend(dropped)
            if target is not None:
                self._dequeue(queued.key)
                self._overload.record_grant(queued, now)
                replies.append(self._place(waiting, target, now))
                continue
            if waiting.request.is_running:
                continue
            if self._may_pause(queued, now):
                # The targets that it may not use are free for other instances.
                continue
            if self._comparisons[queued.key].waits_for_memory:
                self._last_memory_wait_at = now
            skipped += 1
            if self._overload.is_old(queued, now) or skipped > self._tuning.look_ahead:
                break
        ordered = self._queue.ordered(now)
        backlog = [q for q in ordered if not self._may_pause(q, now)]
        refusals = self._overload.refuse_unservable(backlog, now)
        for refusal in refusals:
            self._dequeue(refusal.reply.generation_id)
        self._waits.record_queue_length(len(backlog) - len(refusals), now)
        replies.extend(refusals)
        return tuple(replies)

    def _dequeue(self, generation_id: str) -> QueuedItem[WaitingRequest] | None:
        """Remove a queued request, and return it if there was one."""
        self._comparisons.pop(generation_id, None)
        return self._queue.remove(generation_id)

    def _find_target(
        self, waiting: WaitingRequest, now: float
    ) -> tuple[tuple[AddressedReply, ...], str | None]:
        """Return a target with room for a queued request.

        Returns
        -------
        tuple
            Messages to the entry instances whose backups are dropped for it, and the
            target, ``None`` if there is none.
        """
        request = waiting.request
        earlier = self._comparisons.get(request.generation_id)
        paused = self._pauses.find(waiting.instance, now)
        changed = self._list_changed(request, earlier, paused)
        if changed is None or changed:
            target = self._choose_target(waiting, now, changed)
            if target is not None:
                return (), target
            dropped, target = self._evict_backups(waiting, changed, now)
            if target is not None:
                return dropped, target
        if earlier is None or changed is None:
            waits_for_memory = self._waits_for_memory(waiting, now)
        else:
            waits_for_memory = earlier.waits_for_memory
        self._comparisons[request.generation_id] = _Comparison(
            self._targets.changes.count, paused, waits_for_memory
        )
        return (), None

    def _list_changed(
        self,
        request: ReservationRequest,
        earlier: _Comparison | None,
        paused: frozenset[str],
    ) -> frozenset[str] | None:
        """Return the targets that may have room since a comparison, ``None`` for all.

        A run that moves needs the link of the target that it leaves, too.
        """
        if earlier is None:
            return None
        changed = self._targets.changes.list_since(earlier.change)
        if changed is None:
            return None
        if request.is_running and not changed.isdisjoint(request.excluded):
            return None
        return changed | self._targets.limited | (earlier.paused - paused)

    def _may_pause(self, queued: QueuedItem[WaitingRequest], now: float) -> bool:
        """Return whether a request may wait only because targets pause for it."""
        return bool(self._pauses.find(queued.item.instance, now))

    def _refuse_early(
        self, request: ReservationRequest, instance: str, now: float
    ) -> AddressedReply | None:
        """Return a refusal if the expected wait of a request is too long."""
        ahead = sum(
            1
            for queued in self._queue.ordered(now)
            if queued.priority >= request.priority
            and queued.objective_deadline >= now
            and not self._may_pause(queued, now)
        )
        estimate = max(
            self._waits.estimate(ahead, now),
            self._targets.wait_for_rate(self._rate_user(instance), ahead, now),
        )
        if self._targets.is_out_of_places(now):
            estimate = max(estimate, self._waits.drain_time(ahead + 1, now))
        if len(self._queue) >= self._tuning.queue_limit:
            reason = f"{len(self._queue)} requests wait already"
            return self._overload.refuse(
                request, instance, "queue_full", estimate, reason
            )
        if estimate > request.max_wait:
            reason = f"the wait would be about {estimate:.1f} s"
            wait = estimate - request.max_wait
            return self._overload.refuse(request, instance, "overloaded", wait, reason)
        return None

    def _refuse_expired(self, waiting: WaitingRequest, now: float) -> AddressedReply:
        request = waiting.request
        wait = self._waits.drain_time(len(self._queue), now)
        reason = f"no target had room within {request.max_wait:.1f} s"
        return self._overload.refuse(
            request, waiting.instance, "overloaded", wait, reason
        )

    def _choose_target(
        self, waiting: WaitingRequest, now: float, among: frozenset[str] | None
    ) -> str | None:
        """Return the target with the lowest score, ``None`` if all are full.

        Parameters
        ----------
        waiting : WaitingRequest
            A queued request.
        now : float
            Monotonic clock, seconds.
        among : frozenset of str or None
            Targets to choose from; ``None`` for all.
        """
        request = waiting.request
        if waiting.losses and self._has_reservation(request.fingerprint):
            return None
        best: tuple[float, str] | None = None
        compared = 0
        candidate = self._predict(request, 0)
        user = self._rate_user(waiting.instance)
        paused = self._pauses.find(waiting.instance, now)
        candidates = self._targets.order_candidates(request, user, now, paused, among)
        for target in candidates:
            score = self._targets.score(request, target, candidate, now)
            if score is None:
                continue
            if best is None or (score, target) < best:
                best = (score, target)
            compared += 1
            if compared == self._tuning.max_scored_targets:
                break
        return best[1] if best is not None else None

    def _evict_backups(
        self,
        waiting: WaitingRequest,
        among: frozenset[str] | None,
        now: float,
    ) -> tuple[tuple[AddressedReply, ...], str | None]:
        """Drop backups of running generations for a request that fits on no target.

        A backup is useful only if the target of its generation fails, whereas a
        queued request is delayed with certainty. Chooses the target on which the
        fewest backups have to be dropped, of all targets or among some.

        Returns
        -------
        tuple
            Messages to the entry instances whose backups are dropped, and the target
            that has room afterwards; no messages and ``None`` if dropping backups
            does not make room.
        """
        request = waiting.request
        if waiting.losses and self._has_reservation(request.fingerprint):
            return (), None
        best: tuple[int, str, tuple[str, ...]] | None = None
        candidate = self._predict(request, 0)
        user = self._rate_user(waiting.instance)
        paused = self._pauses.find(waiting.instance, now)
        for target in self._targets.list_candidates(request, user, now, paused, among):
            dropped = self._select_backups_to_drop(request, target, candidate, now)
            if dropped and (best is None or (len(dropped), target) < best[:2]):
                best = (len(dropped), target, dropped)
        if best is None:
            return (), None
        return tuple(self._drop_backup(key) for key in best[2]), best[1]

    def _select_backups_to_drop(
        self,
        request: ReservationRequest,
        target: str,
        candidate: LedgerEntry,
        now: float,
    ) -> tuple[str, ...]:
        """Return the generations whose backups must be dropped for a request to fit."""
        ledger = self._targets.find_ledger(target)
        if ledger is None or not self._targets.has_slot(request, target):
            return ()
        entries = sorted(
            ledger.backups,
            key=lambda backup: (backup[1].cached, backup[0]),
            reverse=True,
        )
        dropped = len(entries)
        try:
            for key, _ in entries:
                ledger.release(key)
            if not entries or not self._targets.fits(request, target, candidate, now):
                return ()
            # Reserves the smallest ones again for as long as the request fits.
            while dropped > 1:
                ledger.reserve_backup(*entries[dropped - 1])
                if not self._targets.fits(request, target, candidate, now):
                    break
                dropped -= 1
            return tuple(_backup_owner(key) for key, _ in entries[:dropped])
        finally:
            for key, entry in entries:
                ledger.reserve_backup(key, entry)

    def _drop_backup(self, generation_id: str) -> AddressedReply:
        held = self._held[generation_id]
        self._release_backup(held.backup, generation_id)
        self._held[generation_id] = held._replace(backup="")
        dropped = ReservationCopyDropped(generation_id, held.backup)
        return AddressedReply(held.instance, dropped)

    def _rate_user(self, instance: str) -> RateUser:
        """Return who draws on the rates for the requests of an entry instance."""
        if self._rate_part is None:
            return _WHOLE_RATE
        return RateUser(instance, self._rate_part, self._is_only_owner)

    def _waits_for_memory(self, waiting: WaitingRequest, now: float) -> bool:
        """Return whether a request waits for memory, not only for prefill."""
        request = waiting.request
        user = self._rate_user(waiting.instance)
        paused = self._pauses.find(waiting.instance, now)
        candidates = self._targets.list_candidates(request, user, now, paused)
        return any(self._targets.has_slot(request, target) for target in candidates)

    def _has_reservation(self, fingerprint: str) -> bool:
        """Return whether a request with this fingerprint has a reservation."""
        held_requests = (held.request for held in self._held.values())
        return any(request.fingerprint == fingerprint for request in held_requests)

    def _choose_backup_target(
        self, waiting: WaitingRequest, target: str, now: float
    ) -> str:
        """Return the target for the backup of a generation, empty for none."""
        request = waiting.request
        is_quiet = now - self._last_memory_wait_at >= self._tuning.backup_quiet_period
        if not request.needs_backup or not is_quiet:
            return ""
        paused = self._pauses.find(waiting.instance, now)
        entry = self._predict(request, 0)
        return self._targets.choose_backup_target(target, entry, paused)

    def _predict(
        self, request: ReservationRequest, generated_tokens: int
    ) -> LedgerEntry:
        if request.expected_tokens > generated_tokens:
            remaining = (
                min(request.expected_tokens, request.max_tokens) - generated_tokens
            )
            return LedgerEntry(
                request.prompt_tokens + generated_tokens, max(remaining, 1)
            )
        remaining = self._estimator.predict_remaining(
            request.service,
            request.account,
            request.class_name,
            generated_tokens=generated_tokens,
            limit=request.max_tokens,
            quantile=self._quantile.value,
        )
        return LedgerEntry(request.prompt_tokens + generated_tokens, remaining)

    def _place(
        self, waiting: WaitingRequest, target: str, now: float
    ) -> AddressedReply:
        request = waiting.request
        ledger_state = self._targets.describe(target, now)
        backup = self._choose_backup_target(waiting, target, now)
        if request.is_running:
            endpoints = (*request.excluded, target)
            self._targets.begin_transfer(request.generation_id, endpoints)
        self._targets.spend(target, self._rate_user(waiting.instance), request, now)
        self._store_reservation(
            request, waiting.instance, target, 0, now, backup=backup
        )
        prefixes = self._targets.find_prefixes(target)
        if prefixes is not None:
            prefixes.record_sent(request.prefix)
        self._queue.charge(request.account, request.share, request.prompt_tokens)
        self._waits.record_grant(now)
        self._overload.record_placed(request, now)
        grant = _grant(request, target, ledger_state, backup)
        return AddressedReply(waiting.instance, grant)

    def _store_reservation(
        self,
        request: ReservationRequest,
        instance: str,
        target: str,
        generated_tokens: int,
        now: float,
        *,
        backup: str,
    ) -> None:
        key = request.generation_id
        previous = self._held.get(key)
        if (
            previous is not None
            and previous.generated_tokens <= generated_tokens < previous.predicted_until
        ):
            length = previous.predicted_length
            until = previous.predicted_until
        else:
            length = (
                generated_tokens + self._predict(request, generated_tokens).remaining
            )
            until = min(
                generated_tokens + generated_tokens // _REPREDICTION_GROWTH_DIVISOR + 1,
                length,
            )
        held = HeldReservation(
            request, instance, target, generated_tokens, now, length, until, backup
        )
        self._held[key] = held
        self._reserve(key, held)

    def _reserve(self, key: str, held: HeldReservation) -> None:
        """Enter a reservation in the ledgers of its target and of its backup."""
        generated = held.generated_tokens
        entry = LedgerEntry(
            held.request.prompt_tokens + generated,
            max(held.predicted_length - generated, 1),
        )
        ledger = self._targets.find_ledger(held.target)
        if ledger is not None:
            self._targets.changes.record(held.target)
            ledger.reserve(key, entry, started=generated > 0 or held.request.is_running)
        backup_ledger = self._targets.find_ledger(held.backup)
        if backup_ledger is not None:
            self._targets.changes.record(held.backup)
            backup_ledger.reserve_backup(_backup_key(key), entry)

    def _remove_reservation(self, generation_id: str) -> None:
        held = self._held.pop(generation_id, None)
        self._targets.end_transfer(generation_id)
        self._overload.record_end(generation_id)
        if held is None:
            return
        ledger = self._targets.find_ledger(held.target)
        if ledger is not None:
            self._targets.changes.record(held.target)
            ledger.release(generation_id)
        self._release_backup(held.backup, generation_id)

    def _release_backup(self, backup: str, generation_id: str) -> None:
        ledger = self._targets.find_ledger(backup)
        if ledger is not None:
            self._targets.changes.record(backup)
            ledger.release(_backup_key(generation_id))

    def _charge(self, held: HeldReservation, generated_tokens: int) -> None:
        tokens = max(generated_tokens - held.generated_tokens, 0)
        if tokens:
            self._queue.charge(held.request.account, held.request.share, tokens)


def _grant(
    request: ReservationRequest, target: str, reason: str, backup: str = ""
) -> ReservationGrant:
    return ReservationGrant(
        request.generation_id, request.attempt, target, reason, backup, request.group
    )


def _backup_key(generation_id: str) -> str:
    """Return the ledger key of the backup of a generation."""
    return f"{generation_id}{_BACKUP_SUFFIX}"


def _backup_owner(key: str) -> str:
    """Return the generation whose backup has a ledger key."""
    return key.removesuffix(_BACKUP_SUFFIX)
