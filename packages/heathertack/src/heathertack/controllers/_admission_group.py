"""Admission to the targets of one group."""

from __future__ import annotations

from collections.abc import Mapping

from heathertack.controllers._admission_types import (
    AddressedReply,
    EngineLoad,
    HeldReservation,
    TargetCapacity,
    WaitingRequest,
)
from heathertack.controllers._target_group import TargetGroup
from heathertack.controllers._wait_estimator import WaitEstimator
from heathertack.messages import (
    ReservationAnnounce,
    ReservationBlame,
    ReservationCopyDropped,
    ReservationGrant,
    ReservationOutcome,
    ReservationQueued,
    ReservationRefusal,
    ReservationRelease,
    ReservationRequest,
)
from heathertack.policy import (
    AdmissionTuning,
    FairQueue,
    LedgerEntry,
    LengthEstimator,
    QueuedItem,
    ReservedQuantile,
    TargetLossCounter,
)

_LOSSES_TO_QUARANTINE = 2
_PREDICTIONS_PER_DOUBLING = 6


class AdmissionGroup:
    """Queue and ledgers of the targets of one group.

    Parameters
    ----------
    name : str
        Name of the group.
    tuning : AdmissionTuning
        Parameters.
    estimator : LengthEstimator
        Learnt lengths, shared by all groups of the instance.
    now : float
        Monotonic clock, seconds.
    """

    def __init__(
        self,
        name: str,
        tuning: AdmissionTuning,
        estimator: LengthEstimator,
        now: float,
    ) -> None:
        self.name = name
        self._tuning = tuning
        self._estimator = estimator
        self._settled_at = now + tuning.takeover_delay
        self._queue: FairQueue[WaitingRequest] = FairQueue()
        self._targets = TargetGroup(tuning)
        self._held: dict[str, HeldReservation] = {}
        self._loads: dict[str, EngineLoad] = {}
        self._last_wait_at = float("-inf")
        self._losses = TargetLossCounter()
        self._quantile = ReservedQuantile(tuning, now)
        self._waits = WaitEstimator(tuning.rate_window)

    @property
    def is_idle(self) -> bool:
        """Whether nothing waits and nothing is reserved."""
        return not self._held and not len(self._queue)

    @property
    def queue_length(self) -> int:
        """Number of requests that wait."""
        return len(self._queue)

    @property
    def held_count(self) -> int:
        """Number of reservations in use."""
        return len(self._held)

    @property
    def quantile(self) -> float:
        """Quantile of the remaining length that is reserved."""
        return self._quantile.value

    @property
    def targets(self) -> tuple[str, ...]:
        """Targets that take new work."""
        return tuple(sorted(self._targets.usable))

    def set_targets(self, capacities: Mapping[str, TargetCapacity]) -> None:
        """Set the targets that take new work, with what they can hold."""
        self._targets.set_capacities(capacities)

    def request(
        self, request: ReservationRequest, instance: str, losses: int, now: float
    ) -> tuple[AddressedReply, ...]:
        """Queue a request, or repeat the answer to an earlier copy of it."""
        held = self._held.get(request.generation_id)
        if held is not None and held.request.attempt == request.attempt:
            grant = _grant(held.request, held.target, "repeated", held.backup)
            return (AddressedReply(instance, grant),)
        if held is not None:
            self._drop(request.generation_id)
        losses = max(losses, self._losses.count(request.fingerprint, now))
        if losses >= _LOSSES_TO_QUARANTINE:
            longest = self._tuning.retry_after_bounds[1]
            reason = f"{losses} targets were lost to this request"
            return (self._refuse(request, instance, "quarantined", longest, reason),)
        queued = self._queue.remove(request.generation_id)
        if request.preferred_target in self._targets.usable:
            waiting = WaitingRequest(request, instance, now, now, losses)
            return (self._place(waiting, request.preferred_target, now),)
        if queued is None and not request.is_running:
            refusal = self._refuse_early(request, instance, now)
            if refusal is not None:
                return (refusal,)
        self._enqueue(request, instance, queued, losses, now)
        replies = self.dispatch(now)
        if request.generation_id in self._queue:
            reply = ReservationQueued(request.generation_id, request.attempt)
            return (*replies, AddressedReply(instance, reply))
        return replies

    def refresh(self, generation_id: str, now: float) -> None:
        """Note that the entry of a waiting request still wants it."""
        queued = self._queue.remove(generation_id)
        if queued is not None:
            waiting = queued.item._replace(last_contact_at=now)
            self._queue.add(queued._replace(item=waiting))

    def announce(
        self, announce: ReservationAnnounce, instance: str, now: float
    ) -> None:
        """Take over a reservation that another owner granted."""
        request = announce.request
        self._queue.remove(request.generation_id)
        self._hold(
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
        """Note the tokens of a generation, and tell whether it is known."""
        held = self._held.get(generation_id)
        if held is None:
            return generation_id in self._queue
        if generated_tokens:
            self._targets.end_move(generation_id)
        self._charge(held, generated_tokens)
        self._hold(
            held.request,
            held.instance,
            held.target,
            generated_tokens,
            now,
            backup=held.backup,
        )
        return True

    def release(self, release: ReservationRelease, now: float) -> None:
        """End a reservation or withdraw a request."""
        self._queue.remove(release.generation_id)
        held = self._held.get(release.generation_id)
        if held is None or held.request.attempt != release.attempt:
            return
        self._charge(held, release.generated_tokens)
        self._drop(release.generation_id)
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
        if release.outcome in _TARGET_FAILURES:
            pause = _TARGET_FAILURES[release.outcome]
            self._targets.avoid(held.target, now + pause)

    def record_target_loss(self, blame: ReservationBlame, now: float) -> None:
        """Count a target that went down while it ran a request."""
        self._losses.record_loss(blame.fingerprint, now)
        pause = _TARGET_FAILURES[ReservationOutcome.TARGET_LOST]
        self._targets.avoid(blame.target, now + pause)

    def record_load(self, target: str, load: EngineLoad, now: float) -> None:
        """Take over a load report."""
        ledger = self._targets.find_ledger(target)
        previous = self._loads.get(target)
        if ledger is None or (previous and load.sequence <= previous.sequence):
            return
        self._loads[target] = load
        if load.cache_capacity:
            ledger.capacity = load.cache_capacity
        ledger.record_reported_usage(load.cache_tokens, load.cache_capacity // 10)
        if previous is not None and load.preemptions > previous.preemptions:
            self._quantile.raise_for(load.preemptions - previous.preemptions)

    def avoid_unresponsive_target(self, target: str, pause: float, now: float) -> None:
        """Avoid a target that does not report its load, for some seconds."""
        self._targets.avoid(target, now + pause)

    def record_cache_event(
        self,
        target: str,
        sequence: int,
        stored: tuple[int, ...],
        evicted: tuple[int, ...],
    ) -> None:
        """Take over a cache event of a target."""
        index = self._targets.find_prefixes(target)
        if index is not None:
            index.apply_event(sequence, stored, evicted)

    def expire_and_dispatch(
        self, gone: frozenset[str], now: float
    ) -> tuple[AddressedReply, ...]:
        """Drop what nobody waits for, refuse what is late, and place the rest.

        Parameters
        ----------
        gone : frozenset of str
            Instances that are gone. One that is not listed yet may have started a
            moment ago.
        now : float
            Monotonic clock, seconds.

        Returns
        -------
        tuple of AddressedReply
            Replies to the entries.
        """
        self._quantile.decay(now)
        limit = now - self._tuning.reservation_timeout
        for generation_id, held in tuple(self._held.items()):
            if held.last_contact_at < limit or held.instance in gone:
                self._drop(generation_id)
        refusals: list[AddressedReply] = []
        for queued in tuple(self._queue.ordered(now)):
            waiting = queued.item
            if waiting.last_contact_at < limit or waiting.instance in gone:
                self._queue.remove(queued.key)
            elif now >= waiting.deadline:
                self._queue.remove(queued.key)
                refusals.append(self._refuse_late(waiting, now))
        self._queue.evict_idle_accounts()
        return (*refusals, *self.dispatch(now))

    def dispatch(self, now: float) -> tuple[AddressedReply, ...]:
        """Place waiting requests on targets that have room."""
        if now < self._settled_at:
            return ()
        replies: list[AddressedReply] = []
        passed = 0
        for queued in tuple(self._queue.ordered(now)):
            waiting = queued.item
            target = self._choose_target(waiting, now)
            if target is None:
                dropped, target = self._make_room(waiting, now)
                replies.extend(dropped)
            if target is not None:
                self._queue.remove(queued.key)
                replies.append(self._place(waiting, target, now))
                continue
            if waiting.request.is_running:
                continue
            if self._lacks_memory(waiting.request, now):
                self._last_wait_at = now
            passed += 1
            is_old_head = now - queued.queued_at >= self._tuning.head_age_limit
            if is_old_head or passed > self._tuning.look_ahead:
                break
        self._waits.record_queue_length(len(self._queue), now)
        return tuple(replies)

    def _enqueue(
        self,
        request: ReservationRequest,
        instance: str,
        earlier: QueuedItem[WaitingRequest] | None,
        losses: int,
        now: float,
    ) -> None:
        """Add a request, or refresh one that keeps its place."""
        queued_at = earlier.queued_at if earlier is not None else now
        deadline = (
            earlier.item.deadline if earlier is not None else now + request.max_wait
        )
        waiting = WaitingRequest(request, instance, deadline, now, losses)
        self._queue.add(
            QueuedItem(
                request.generation_id,
                request.account,
                request.priority,
                request.share,
                queued_at,
                waiting,
                now + (request.latency_budget or float("inf")),
            )
        )

    def _refuse_early(
        self, request: ReservationRequest, instance: str, now: float
    ) -> AddressedReply | None:
        """Refuse a request at once that would wait longer than it may."""
        ahead = sum(
            1
            for queued in self._queue.ordered(now)
            if queued.priority >= request.priority and queued.objective_deadline >= now
        )
        estimate = self._waits.estimate(ahead, now)
        if len(self._queue) >= self._tuning.queue_limit:
            reason = f"{len(self._queue)} requests wait already"
            return self._refuse(request, instance, "queue_full", estimate, reason)
        if estimate > request.max_wait:
            reason = f"the wait would be about {estimate:.1f} s"
            wait = estimate - request.max_wait
            return self._refuse(request, instance, "overloaded", wait, reason)
        return None

    def _refuse_late(self, waiting: WaitingRequest, now: float) -> AddressedReply:
        request = waiting.request
        wait = self._waits.drain_time(len(self._queue), now)
        reason = f"no target had room within {request.max_wait:.1f} s"
        return self._refuse(request, waiting.instance, "overloaded", wait, reason)

    def _refuse(
        self,
        request: ReservationRequest,
        instance: str,
        code: str,
        retry_after: float,
        reason: str,
    ) -> AddressedReply:
        shortest, longest = self._tuning.retry_after_bounds
        wait = min(max(retry_after, shortest), longest)
        refusal = ReservationRefusal(
            request.generation_id, request.attempt, code, wait, reason
        )
        return AddressedReply(instance, refusal)

    def _choose_target(self, waiting: WaitingRequest, now: float) -> str | None:
        """Return the target with the lowest projected load that has room."""
        request = waiting.request
        if waiting.losses and self._is_running(request.fingerprint):
            return None
        best: tuple[float, str] | None = None
        compared = 0
        candidate = self._predict(request, 0)
        for target in self._targets.order_candidates(request, now):
            score = self._targets.score(request, target, candidate)
            if score is None:
                continue
            if best is None or (score, target) < best:
                best = (score, target)
            compared += 1
            if compared == self._tuning.max_scored_targets:
                break
        return best[1] if best is not None else None

    def _make_room(
        self, waiting: WaitingRequest, now: float
    ) -> tuple[tuple[AddressedReply, ...], str | None]:
        """Drop copies of running generations for a request that fits nowhere.

        A copy is of use only if its generation loses its target; a request that
        waits loses its time for certain. The target that needs the fewest drops is
        taken.

        Returns
        -------
        tuple
            Messages for the entries whose copies are dropped, and the target that
            has room then; nothing if no number of drops makes room.
        """
        request = waiting.request
        if waiting.losses and self._is_running(request.fingerprint):
            return (), None
        best: tuple[int, str, tuple[str, ...]] | None = None
        for target in self._targets.list_candidates(request, now):
            dropped = self._count_drops(request, target)
            if dropped and (best is None or (len(dropped), target) < best[:2]):
                best = (len(dropped), target, dropped)
        if best is None:
            return (), None
        return tuple(self._drop_copy(key) for key in best[2]), best[1]

    def _count_drops(self, request: ReservationRequest, target: str) -> tuple[str, ...]:
        """Return the generations whose copies must go for a request to fit."""
        ledger = self._targets.find_ledger(target)
        if ledger is None or not self._targets.has_slot(request, target):
            return ()
        candidate = self._predict(request, 0)
        copies = [
            (ledger.cached_of(_backup_key(key)), key)
            for key, held in self._held.items()
            if held.backup == target
        ]
        taken: list[tuple[str, LedgerEntry]] = []
        try:
            for _, key in sorted(copies, reverse=True):
                entry = ledger.find(_backup_key(key))
                if entry is None:
                    continue
                taken.append((key, entry))
                ledger.release(_backup_key(key))
                if self._targets.score(request, target, candidate) is not None:
                    return tuple(name for name, _ in taken)
            return ()
        finally:
            for key, entry in taken:
                ledger.reserve_copy(_backup_key(key), entry)

    def _drop_copy(self, generation_id: str) -> AddressedReply:
        held = self._held[generation_id]
        self._release_copy(held.backup, generation_id)
        self._held[generation_id] = held._replace(backup="")
        dropped = ReservationCopyDropped(generation_id, held.backup)
        return AddressedReply(held.instance, dropped)

    def _lacks_memory(self, request: ReservationRequest, now: float) -> bool:
        """Tell whether a request waits for memory, not only for prompts before it."""
        candidates = self._targets.list_candidates(request, now)
        return any(self._targets.has_slot(request, target) for target in candidates)

    def _is_running(self, fingerprint: str) -> bool:
        """Tell whether a copy of a request is running."""
        held_requests = (held.request for held in self._held.values())
        return any(request.fingerprint == fingerprint for request in held_requests)

    def _choose_backup_target(
        self, request: ReservationRequest, target: str, now: float
    ) -> str:
        """Return the target that is to keep a copy, empty for none."""
        is_calm = now - self._last_wait_at >= self._tuning.backup_quiet_period
        if not request.needs_backup or not is_calm:
            return ""
        return self._targets.choose_backup_target(target, self._predict(request, 0))

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
        ledger = self._targets.find_ledger(target)
        before = ledger.describe() if ledger is not None else ""
        backup = self._choose_backup_target(request, target, now)
        if request.is_running:
            ends = (*request.excluded, target)
            self._targets.begin_move(request.generation_id, ends)
        self._hold(request, waiting.instance, target, 0, now, backup=backup)
        prefixes = self._targets.find_prefixes(target)
        if prefixes is not None:
            prefixes.record_sent(request.prefix)
        self._queue.charge(request.account, request.share, request.prompt_tokens)
        self._waits.record_grant(now)
        grant = _grant(request, target, before, backup)
        return AddressedReply(waiting.instance, grant)

    def _hold(
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
        known = self._held.get(key)
        if (
            known is not None
            and known.generated_tokens <= generated_tokens < known.predicted_until
        ):
            length = known.predicted_length
            until = known.predicted_until
        else:
            length = (
                generated_tokens + self._predict(request, generated_tokens).remaining
            )
            until = min(
                generated_tokens + generated_tokens // _PREDICTIONS_PER_DOUBLING + 1,
                length,
            )
        self._held[key] = HeldReservation(
            request, instance, target, generated_tokens, now, length, until, backup
        )
        entry = LedgerEntry(
            request.prompt_tokens + generated_tokens, max(length - generated_tokens, 1)
        )
        ledger = self._targets.find_ledger(target)
        if ledger is not None:
            ledger.reserve(
                key, entry, started=generated_tokens > 0 or request.is_running
            )
        copies = self._targets.find_ledger(backup)
        if copies is not None:
            copies.reserve_copy(_backup_key(key), entry)

    def _drop(self, generation_id: str) -> None:
        held = self._held.pop(generation_id, None)
        self._targets.end_move(generation_id)
        if held is None:
            return
        ledger = self._targets.find_ledger(held.target)
        if ledger is not None:
            ledger.release(generation_id)
        self._release_copy(held.backup, generation_id)

    def _release_copy(self, keeper: str, generation_id: str) -> None:
        ledger = self._targets.find_ledger(keeper)
        if ledger is not None:
            ledger.release(_backup_key(generation_id))

    def _charge(self, held: HeldReservation, generated_tokens: int) -> None:
        tokens = max(generated_tokens - held.generated_tokens, 0)
        if tokens:
            self._queue.charge(held.request.account, held.request.share, tokens)


#: Seconds for which a target is avoided after a failure.
_TARGET_FAILURES = {
    ReservationOutcome.ANSWER_LOST: 0.3,
    ReservationOutcome.TARGET_LOST: 5.0,
    ReservationOutcome.UNREACHABLE: 2.0,
    ReservationOutcome.REJECTED: 1.0,
}


def _grant(
    request: ReservationRequest, target: str, reason: str, backup: str = ""
) -> ReservationGrant:
    return ReservationGrant(
        request.generation_id, request.attempt, target, reason, backup, request.group
    )


def _backup_key(generation_id: str) -> str:
    """Return the key under which a ledger counts the copy of a generation."""
    return f"{generation_id}/backup"
