"""What the admission owner knows of the targets of one group."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from heathertack.controllers._admission_types import TargetCapacity
from heathertack.messages import ReservationRequest
from heathertack.policy import (
    AdmissionTuning,
    LedgerEntry,
    PrefixIndex,
    TargetLedger,
)


class TargetGroup:
    """Ledgers, places and links of the targets of one group.

    Parameters
    ----------
    tuning : AdmissionTuning
        Parameters.
    """

    def __init__(self, tuning: AdmissionTuning) -> None:
        self._tuning = tuning
        self._ledgers: dict[str, TargetLedger] = {}
        self._prefixes: dict[str, PrefixIndex] = {}
        self._slots: dict[str, int] = {}
        self._domains: dict[str, str] = {}
        self._usable: frozenset[str] = frozenset()
        self._avoid_until: dict[str, float] = {}
        #: Ends of the moves in progress, by generation.
        self._moving: dict[str, frozenset[str]] = {}

    @property
    def usable(self) -> frozenset[str]:
        """Targets that take new work."""
        return self._usable

    def set_capacities(self, capacities: Mapping[str, TargetCapacity]) -> None:
        """Set the targets that take new work, with what they can hold."""
        self._usable = frozenset(capacities)
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

    def find_ledger(self, target: str) -> TargetLedger | None:
        """Return the ledger of a target that is known."""
        return self._ledgers.get(target)

    def find_prefixes(self, target: str) -> PrefixIndex | None:
        """Return the prefixes that a known target is believed to hold."""
        return self._prefixes.get(target)

    def avoid(self, target: str, until: float) -> None:
        """Prefer other targets until a time."""
        self._avoid_until[target] = until

    def begin_move(self, generation_id: str, ends: Iterable[str]) -> None:
        """Note that the memory of a generation uses the links of its ends."""
        self._moving[generation_id] = frozenset(ends)

    def end_move(self, generation_id: str) -> None:
        """Note that the links of a generation's move are free."""
        self._moving.pop(generation_id, None)

    def list_candidates(
        self, request: ReservationRequest, now: float
    ) -> tuple[str, ...]:
        """Return the targets that a request may go to."""
        usable = tuple(t for t in self._usable if t not in request.excluded)
        if not usable and not request.is_running:
            usable = tuple(self._usable)
        willing = tuple(t for t in usable if self._avoid_until.get(t, now) <= now)
        return willing or usable

    def order_candidates(self, request: ReservationRequest, now: float) -> list[str]:
        """Order targets by what they hold, less what a kept prefix would save."""
        weight = self._tuning.prefix_weight

        def rank(target: str) -> tuple[float, str]:
            saved = self._prefixes[target].saved_tokens(request.prefix)
            ledger = self._ledgers[target]
            crowding = self._tuning.run_weight * ledger.count * ledger.capacity
            return (ledger.cached - weight * saved + crowding, target)

        return sorted(self.list_candidates(request, now), key=rank)

    def score(
        self, request: ReservationRequest, target: str, candidate: LedgerEntry
    ) -> float | None:
        """Return the load of a target with a request added, ``None`` if it is full.

        Parameters
        ----------
        request : ReservationRequest
            The request.
        target : str
            A known target.
        candidate : LedgerEntry
            What the request is expected to hold.
        """
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
        if not ledger.is_empty and ledger.cached + request.prompt_tokens > limit:
            return None
        peak = ledger.peak_with(candidate)
        if not ledger.is_empty and peak > limit:
            return None
        crowding = tuning.run_weight * ledger.count
        if request.is_running and self._is_far(request.excluded, target):
            crowding += tuning.cross_domain_penalty
        return (peak - tuning.prefix_weight * saved) / capacity + crowding

    def has_slot(self, request: ReservationRequest, target: str) -> bool:
        """Tell whether a target could begin a request if it had the memory."""
        ledger = self._ledgers[target]
        if ledger.count >= min(self._tuning.batch_limit, self._slots[target]):
            return False
        if request.is_running:
            return not self._is_link_busy(request, target)
        waiting = ledger.waiting_prompt_tokens
        saved = self._prefixes[target].saved_tokens(request.prefix)
        prompt = max(request.prompt_tokens - saved, 0)
        return not waiting or waiting + prompt <= self._tuning.prefill_budget

    def choose_backup_target(self, target: str, copy: LedgerEntry) -> str:
        """Return the target with the most room for a copy, empty if none has any.

        Parameters
        ----------
        target : str
            Target that runs the generation.
        copy : LedgerEntry
            What the copy is expected to hold.
        """
        if self._run_load(copy) > self._tuning.backup_load_limit:
            return ""
        rooms: list[tuple[float, str]] = []
        for other in self._usable - {target}:
            ledger = self._ledgers[other]
            peak = ledger.peak_with(copy)
            if peak <= self._tuning.backup_limit * ledger.capacity:
                is_far = self._is_far((target,), other)
                distance = self._tuning.cross_domain_penalty if is_far else 0.0
                rooms.append((peak / max(ledger.capacity, 1) + distance, other))
        return min(rooms)[1] if rooms else ""

    def _run_load(self, added: LedgerEntry) -> float:
        """Return the part of all caches that runs fill with one more of them."""
        ledgers = [self._ledgers[target] for target in self._usable]
        capacity = sum(ledger.capacity for ledger in ledgers)
        filled = sum(ledger.run_tokens for ledger in ledgers)
        return (filled + added.cached) / max(capacity, 1)

    def _is_far(self, sources: Iterable[str], target: str) -> bool:
        """Tell whether memory for a target would cross failure domains."""
        origins = {self._domains.get(source, "") for source in sources}
        return self._domains.get(target) not in origins

    def _is_link_busy(self, request: ReservationRequest, target: str) -> bool:
        """Tell whether a move from or to one of two targets is in progress.

        Moves of one link wait for each other, and a run stands still while the rest
        of its memory waits.
        """
        ends = frozenset((*request.excluded, target))
        return any(ends & busy for busy in self._moving.values())
