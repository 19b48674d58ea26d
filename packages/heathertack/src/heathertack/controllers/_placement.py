"""Requests targets from the admission owners for one entry instance."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import Any, ClassVar, NamedTuple, assert_never

from heathertack.blackboard import (
    COLD_TARGETS,
    EVACUATED_DOMAINS,
    EVACUATED_TARGETS,
    LEAVING_TARGETS,
    MEMBERS,
    TARGET_HEALTH,
    TARGET_LIMITS,
    TARGET_PAUSES,
    TARGET_REJECTIONS,
    TARGETS,
    Blackboard,
    Section,
)
from heathertack.controllers._actions import SendToPeer
from heathertack.controllers._admission import partition_targets
from heathertack.controllers._evacuated_targets import (
    deny_evacuated,
    exclude_evacuated,
    is_evacuated,
)
from heathertack.controllers._limit_sharing import LimitSharing
from heathertack.controllers._local_target_chooser import LocalTargetChooser
from heathertack.controllers._placement_types import (
    CopyDropped,
    LimitObserved,
    OwnerReplied,
    PlacementAction,
    PlacementDenied,
    PlacementDue,
    PlacementEnded,
    PlacementEvent,
    PlacementRequested,
    TargetChosen,
    TargetLossReported,
    TokensGenerated,
    build_choice,
    build_denial,
)
from heathertack.controllers._target_pauses import (
    deny_paused,
    find_pause,
    find_service_pause,
    list_paused,
)
from heathertack.messages import (
    MemberState,
    ProgressItem,
    ReservationAnnounce,
    ReservationBlame,
    ReservationCopyDropped,
    ReservationGrant,
    ReservationOutcome,
    ReservationProgress,
    ReservationQueued,
    ReservationRefusal,
    ReservationRelease,
    ReservationRequest,
    ReservationUnknown,
    TargetPause,
    TargetPauses,
    TargetState,
)
from heathertack.policy import choose_owner

_RESEND_INTERVAL_SECONDS = 0.3
_QUEUED_RESEND_INTERVAL_SECONDS = 1.0
#: Time after which an owner that has not replied is avoided. Messages take a few
#: milliseconds, and a process may be delayed by tens of milliseconds.
_OWNER_REPLY_TIMEOUT_SECONDS = 0.3
#: Number of unresponsive owners after which an entry instance chooses a target itself.
_MAX_UNRESPONSIVE_OWNERS = 3
#: Time for which an unresponsive owner is avoided. A failed instance is removed from
#: the table of members sooner.
_OWNER_AVOIDANCE_SECONDS = 3.0
_LOCAL_FALLBACK_SECONDS = 1.2
_PROGRESS_INTERVAL_SECONDS = 1.0
#: Refusals that say nothing of the other groups of the service.
_GROUP_REFUSALS = frozenset({"overloaded", "queue_full"})


class _Placement(NamedTuple):
    """State of the placement of one generation."""

    request: ReservationRequest
    #: Time until which the generation may wait for a target.
    deadline: float
    owner: str
    #: Time of the latest reply from the current owner, or of the first request to it.
    last_contact_at: float
    #: Time of the latest reply from any owner, or of the first request.
    last_reply_at: float
    next_send: float
    target: str = ""
    generated_tokens: int = 0
    reported: int = 0
    backup: str = ""
    #: Owners that were asked since the latest reply.
    tried_owners: frozenset[str] = frozenset()
    #: Groups that refused the request.
    refused_groups: frozenset[str] = frozenset()
    #: Shortest delay for a retry that a group named, seconds.
    retry_after: float = float("inf")
    #: Whether the owner has assigned a target that wants no requests at present.
    has_given_back: bool = False
    #: Whether the owner has queued the request, and was not asked again since.
    is_queued: bool = False


class PlacementController:
    """Manages the reservations of one entry instance.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    instance : str
        Name of this instance.
    """

    READS: ClassVar[tuple[Section[Any], ...]] = (
        COLD_TARGETS,
        EVACUATED_DOMAINS,
        EVACUATED_TARGETS,
        LEAVING_TARGETS,
        MEMBERS,
        TARGETS,
        TARGET_HEALTH,
        TARGET_LIMITS,
        TARGET_PAUSES,
        TARGET_REJECTIONS,
    )
    WRITES: ClassVar[tuple[Section[Any], ...]] = ()

    def __init__(self, board: Blackboard, instance: str = "") -> None:
        self._board = board
        self._placements: dict[str, _Placement] = {}
        self._avoid_owner_until: dict[str, float] = {}
        self._next_progress = 0.0
        self._group_counter = 0
        self._sharing = LimitSharing(board)
        self._last_pauses: Mapping[str, float] = board.read(TARGET_PAUSES)
        self._chooser = LocalTargetChooser(board, instance)
        board.register(self)

    def handle(self, event: PlacementEvent, now: float) -> tuple[PlacementAction, ...]:
        """Handle an event and return the resulting actions.

        Parameters
        ----------
        event : PlacementEvent
            Event to handle.
        now : float
            Monotonic clock, seconds.

        Returns
        -------
        tuple of PlacementAction
            Messages to owners and decisions for generations.
        """
        match event:
            case PlacementRequested():
                return self._request_target(event.request, now)
            case OwnerReplied():
                return self._handle_reply(event, now)
            case TokensGenerated():
                return self._record_tokens(event, now)
            case PlacementEnded():
                return self._end(event, now)
            case TargetLossReported():
                return self._report_target_loss(event, now)
            case LimitObserved():
                return self._report_limit(event.target, now)
            case PlacementDue():
                return self._tick(now)
            case _:
                assert_never(event)

    def _request_target(
        self, request: ReservationRequest, now: float
    ) -> tuple[PlacementAction, ...]:
        denial = self._deny(request, now)
        if denial is not None:
            return (denial,)
        groups = self._list_groups(exclude_evacuated(self._board, request), now)
        if not groups:
            return self._choose_locally(request._replace(group=""), now)
        self._group_counter += 1
        request = request._replace(group=groups[self._group_counter % len(groups)])
        owner = self._find_owner(request.group, now)
        if owner is None:
            return self._choose_locally(request, now)
        deadline = now + request.max_wait
        placement = _Placement(
            request, deadline, owner, now, now, now + _RESEND_INTERVAL_SECONDS
        )
        self._placements[request.generation_id] = placement
        return self._ask_owner(owner, request, now)

    def _deny(self, request: ReservationRequest, now: float) -> PlacementDenied | None:
        """Return the denial of a request that no target may get now."""
        evacuated = deny_evacuated(self._board, request)
        return evacuated or deny_paused(self._board, request, now)

    def _ask_owner(
        self, owner: str, request: ReservationRequest, now: float
    ) -> tuple[SendToPeer, ...]:
        """Return a request, after what its owner must know of targets to serve it."""
        limits: tuple[SendToPeer, ...] = ()
        if self._sharing.has_limits:
            groups = partition_targets(self._board.read(TARGETS))
            limits = self._sharing.build(owner, groups.get(request.group, ()), now)
        pauses = self._tell_pauses(owner, request.service, now)
        wanted = exclude_evacuated(self._board, request)
        return (*limits, *pauses, SendToPeer(owner, wanted))

    def _tell_pauses(
        self, owner: str, service: str, now: float
    ) -> tuple[SendToPeer, ...]:
        """Tell an owner which targets of a service it must not assign."""
        paused = list_paused(self._board, service, now)
        if not paused:
            return ()
        pauses = tuple(
            TargetPause(name, find_pause(self._board, name, now)) for name in paused
        )
        return (SendToPeer(owner, TargetPauses(pauses)),)

    def _report_limit(self, target: str, now: float) -> tuple[SendToPeer, ...]:
        """Tell the owner of a target its limit."""
        owner = self._find_owner(self._find_group(target), now)
        return self._sharing.build(owner, (target,), now) if owner is not None else ()

    def _find_group(self, target: str) -> str:
        """Return the group of a target, empty for none."""
        groups = partition_targets(self._board.read(TARGETS))
        return next((g for g, names in groups.items() if target in names), "")

    def _list_groups(self, request: ReservationRequest, now: float) -> list[str]:
        """Return the groups of a service that have suitable targets.

        Without one, groups with excluded targets are returned before those whose
        targets all want no requests.
        """
        targets = self._board.read(TARGETS)
        paused = list_paused(self._board, request.service, now)
        groups = {
            name: names
            for name, names in partition_targets(targets).items()
            if name.rpartition(":")[0] == request.service
        }
        suitable = [
            name
            for name, names in groups.items()
            if not set(names) <= {*request.excluded, *paused}
        ]
        if not paused:
            return suitable or list(groups)
        accepting = [
            name
            for name, names in groups.items()
            if any(
                targets[target].state is TargetState.LIVE and target not in paused
                for target in names
            )
        ]
        return [g for g in suitable if g in accepting] or accepting or list(groups)

    def _find_owner(self, group: str, now: float) -> str | None:
        """Return the owner of a group, or the next in order if it is unresponsive.

        Targets with an unknown number of slots are in no group and have no owner.
        """
        if not group:
            return None
        members = self._board.read(MEMBERS).values()
        alive = [m.instance for m in members if m.state is MemberState.ALIVE]
        avoided = self._avoid_owner_until
        responsive = [name for name in alive if avoided.get(name, now) <= now]
        return choose_owner(group, responsive or alive)

    def _choose_locally(
        self, request: ReservationRequest, now: float
    ) -> tuple[PlacementAction, ...]:
        """Choose a target without an admission owner."""
        denial = self._deny(request, now)
        if denial is not None:
            return (denial,)
        counts = Counter(p.target for p in self._placements.values())
        decision = self._chooser.choose(request, counts, now)
        if isinstance(decision, TargetChosen):
            self._placements[request.generation_id] = _Placement(
                request,
                now + request.max_wait,
                "",
                now,
                now,
                float("inf"),
                decision.target,
            )
        return (decision,)

    def _handle_reply(
        self, event: OwnerReplied, now: float
    ) -> tuple[PlacementAction, ...]:
        reply = event.reply
        self._avoid_owner_until.pop(event.owner, None)
        if isinstance(reply, ReservationUnknown):
            return self._announce(reply.generation_ids)
        if isinstance(reply, ReservationCopyDropped):
            return self._handle_copy_dropped(reply)
        placement = self._placements.get(reply.generation_id)
        if placement is None or placement.request.attempt != reply.attempt:
            return _release_unused_grant(event)
        if placement.target:
            is_other = event.owner != placement.owner
            return _release_unused_grant(event) if is_other else ()
        match reply:
            case ReservationGrant():
                if self._must_not_use(reply.target, now):
                    return self._give_back(placement, event, now)
                group = reply.group or placement.request.group
                self._placements[reply.generation_id] = placement._replace(
                    request=placement.request._replace(group=group),
                    owner=event.owner or placement.owner,
                    last_contact_at=now,
                    last_reply_at=now,
                    tried_owners=frozenset(),
                    target=reply.target,
                    backup=reply.backup,
                )
                chosen = build_choice(placement.request, reply.target, reply.reason)
                return (chosen._replace(backup=reply.backup),)
            case ReservationRefusal():
                if placement.refused_groups and event.owner != placement.owner:
                    return ()  # the owner of an earlier group repeats its refusal
                return self._handle_refusal(placement, reply, now)
            case ReservationQueued():
                self._placements[reply.generation_id] = placement._replace(
                    last_contact_at=now,
                    last_reply_at=now,
                    tried_owners=frozenset(),
                    next_send=now + _QUEUED_RESEND_INTERVAL_SECONDS,
                    is_queued=True,
                )
                return ()
            case _:
                assert_never(reply)

    def _must_not_use(self, target: str, now: float) -> bool:
        """Return whether an owner assigned a target that must get no request now."""
        is_paused = find_pause(self._board, target, now) > 0.0
        return is_paused or is_evacuated(self._board, target)

    def _handle_refusal(
        self, placement: _Placement, refusal: ReservationRefusal, now: float
    ) -> tuple[PlacementAction, ...]:
        """Ask another group of the service for a target, or deny the request."""
        request = placement.request
        refused_groups = placement.refused_groups | {request.group}
        retry_after = min(placement.retry_after, refusal.retry_after)
        groups = [g for g in self._list_groups(request, now) if g not in refused_groups]
        owner = self._find_owner(groups[0], now) if groups else None
        if owner is None or refusal.code not in _GROUP_REFUSALS:
            del self._placements[request.generation_id]
            return (build_denial(request, refusal.code, retry_after, refusal.reason),)
        max_wait = max(placement.deadline - now, 0.0)
        request = request._replace(group=groups[0], max_wait=max_wait)
        self._placements[request.generation_id] = placement._replace(
            request=request,
            owner=owner,
            last_contact_at=now,
            last_reply_at=now,
            next_send=now + _RESEND_INTERVAL_SECONDS,
            tried_owners=frozenset(),
            refused_groups=refused_groups,
            retry_after=retry_after,
        )
        return self._ask_owner(owner, request, now)

    def _handle_copy_dropped(
        self, dropped: ReservationCopyDropped
    ) -> tuple[PlacementAction, ...]:
        placement = self._placements.get(dropped.generation_id)
        if placement is None or placement.backup != dropped.backup:
            return ()
        self._placements[dropped.generation_id] = placement._replace(backup="")
        return (CopyDropped(dropped.generation_id, dropped.backup),)

    def _announce(self, generation_ids: tuple[str, ...]) -> tuple[PlacementAction, ...]:
        actions: list[PlacementAction] = []
        for generation_id in generation_ids:
            placement = self._placements.get(generation_id)
            if placement is not None and placement.target and placement.owner:
                announce = ReservationAnnounce(
                    placement.request,
                    placement.target,
                    placement.generated_tokens,
                    placement.backup,
                )
                actions.append(SendToPeer(placement.owner, announce))
        return tuple(actions)

    def _record_tokens(
        self, event: TokensGenerated, now: float
    ) -> tuple[PlacementAction, ...]:
        placement = self._placements.get(event.generation_id)
        if placement is None:
            return ()
        is_first = placement.generated_tokens == 0 and event.generated_tokens > 0
        placement = placement._replace(generated_tokens=event.generated_tokens)
        self._placements[event.generation_id] = placement
        if is_first and not placement.owner:
            self._chooser.record_accepted(event.generation_id)
        if not is_first or not placement.owner:
            return ()
        item = ProgressItem(event.generation_id, event.generated_tokens)
        progress = ReservationProgress(placement.request.group, (item,))
        return (SendToPeer(placement.owner, progress),)

    def _end(self, event: PlacementEnded, now: float) -> tuple[PlacementAction, ...]:
        placement = self._placements.pop(event.generation_id, None)
        if placement is None:
            return ()
        if not placement.owner:
            target = placement.target
            running = sum(p.target == target for p in self._placements.values())
            self._chooser.record_end(
                event.generation_id, target, event.outcome, running, now
            )
            return ()
        release = ReservationRelease(
            placement.request.group,
            event.generation_id,
            placement.request.attempt,
            event.outcome,
            placement.generated_tokens,
        )
        return (SendToPeer(placement.owner, release),)

    def _report_target_loss(
        self, event: TargetLossReported, now: float
    ) -> tuple[PlacementAction, ...]:
        group = self._find_group(event.target) or f"{event.request.service}:0"
        owner = self._find_owner(group, now)
        if owner is None:
            return ()
        loss = ReservationBlame(group, event.request.fingerprint, event.target)
        return (SendToPeer(owner, loss),)

    def _tick(self, now: float) -> tuple[PlacementAction, ...]:
        actions: list[PlacementAction] = []
        actions.extend(self._apply_evacuations(now))
        actions.extend(self._apply_pauses(now))
        for placement in tuple(self._placements.values()):
            if not placement.target and now >= placement.next_send:
                actions.extend(self._resend_request(placement, now))
        if now >= self._next_progress:
            self._next_progress = now + _PROGRESS_INTERVAL_SECONDS
            actions.extend(self._announce_to_new_owners(now))
            actions.extend(self._report_progress())
        return tuple(actions)

    def _apply_evacuations(self, now: float) -> tuple[PlacementAction, ...]:
        """Deny the waiting requests of services that are evacuated as a whole."""
        if not self._board.read(EVACUATED_TARGETS):
            return ()
        actions: list[PlacementAction] = []
        for placement in tuple(self._placements.values()):
            if not placement.target:
                denial = deny_evacuated(self._board, placement.request)
                if denial is not None:
                    actions.extend(self._cancel(denial.generation_id, now))
                    actions.append(denial)
        return tuple(actions)

    def _apply_pauses(self, now: float) -> tuple[PlacementAction, ...]:
        """Tell owners of new pauses, and deny requests that have no target left."""
        pauses = self._board.read(TARGET_PAUSES)
        if pauses is self._last_pauses:
            return ()
        self._last_pauses = pauses
        actions: list[PlacementAction] = []
        waiting = [p for p in self._placements.values() if not p.target]
        services = {placement.request.service for placement in waiting}
        paused = {s for s in services if find_service_pause(self._board, s, now)}
        for placement in waiting:
            if placement.request.service in paused:
                actions.extend(self._renew_request(placement, now))
        owners = {(p.owner, p.request.service) for p in waiting if p.owner}
        for owner, service in sorted(owners):
            if service not in paused:
                actions.extend(self._tell_pauses(owner, service, now))
        return tuple(actions)

    def _cancel(self, generation_id: str, now: float) -> tuple[PlacementAction, ...]:
        ended = PlacementEnded(generation_id, ReservationOutcome.CANCELLED)
        return self._end(ended, now)

    def _give_back(
        self, placement: _Placement, grant: OwnerReplied, now: float
    ) -> tuple[PlacementAction, ...]:
        """Give back a paused or evacuated target that the owner assigned.

        The owner is asked again at once if it may not have known of that, and
        with the next resending if it was told and has not heeded it.
        """
        released = _release_unused_grant(grant)
        if placement.has_given_back:
            return released
        self._placements[placement.request.generation_id] = placement._replace(
            has_given_back=True,
            last_contact_at=now,
            next_send=now + _RESEND_INTERVAL_SECONDS,
        )
        return (*released, *self._renew_request(placement, now))

    def _renew_request(
        self, placement: _Placement, now: float
    ) -> tuple[PlacementAction, ...]:
        """Request another target instead of a paused one, or deny the request."""
        request = placement.request
        denial = self._deny(request, now)
        if denial is not None:
            return (*self._cancel(request.generation_id, now), denial)
        if not placement.owner:
            return self._choose_locally(request, now)
        max_wait = max(placement.deadline - now, 0.0)
        return self._ask_owner(
            placement.owner, request._replace(max_wait=max_wait), now
        )

    def _resend_request(
        self, placement: _Placement, now: float
    ) -> tuple[PlacementAction, ...]:
        request = placement.request
        if placement.is_queued:
            # The owner has been asked nothing since its reply.
            placement = placement._replace(is_queued=False, last_contact_at=now)
        elif now - placement.last_contact_at >= _OWNER_REPLY_TIMEOUT_SECONDS:
            self._avoid_owner_until[placement.owner] = now + _OWNER_AVOIDANCE_SECONDS
        owner = self._find_owner(request.group, now)
        tried_owners = placement.tried_owners | {placement.owner}
        is_timed_out = now - placement.last_reply_at >= _LOCAL_FALLBACK_SECONDS
        has_tried_enough = (
            owner in tried_owners or len(tried_owners) >= _MAX_UNRESPONSIVE_OWNERS
        )
        if owner is None or (is_timed_out and has_tried_enough):
            return self._choose_locally(request, now)
        if owner != placement.owner:
            placement = placement._replace(owner=owner, last_contact_at=now)
        self._placements[request.generation_id] = placement._replace(
            next_send=now + _RESEND_INTERVAL_SECONDS, tried_owners=tried_owners
        )
        max_wait = max(placement.deadline - now, 0.0)
        return self._ask_owner(owner, request._replace(max_wait=max_wait), now)

    def _announce_to_new_owners(self, now: float) -> tuple[PlacementAction, ...]:
        """Announce reservations in use to the new owners of their groups."""
        actions: list[PlacementAction] = []
        for generation_id, placement in tuple(self._placements.items()):
            owner = self._find_owner(placement.request.group, now)
            if placement.target and owner is not None and owner != placement.owner:
                self._placements[generation_id] = placement._replace(owner=owner)
                actions.extend(self._announce((generation_id,)))
        return tuple(actions)

    def _report_progress(self) -> tuple[PlacementAction, ...]:
        items: dict[tuple[str, str], list[ProgressItem]] = {}
        for generation_id, placement in self._placements.items():
            if placement.target and placement.owner:
                key = (placement.owner, placement.request.group)
                item = ProgressItem(generation_id, placement.generated_tokens)
                items.setdefault(key, []).append(item)
        return tuple(
            SendToPeer(owner, ReservationProgress(group, tuple(progress)))
            for (owner, group), progress in items.items()
        )


def _release_unused_grant(event: OwnerReplied) -> tuple[PlacementAction, ...]:
    """Release a grant that no generation waits for.

    An owner that resumes after a pause grants the requests that it received before,
    and would count these reservations as in use until they expire.
    """
    grant = event.reply
    if not isinstance(grant, ReservationGrant) or not event.owner:
        return ()
    release = ReservationRelease(
        grant.group,
        grant.generation_id,
        grant.attempt,
        ReservationOutcome.CANCELLED,
        0,
    )
    return (SendToPeer(event.owner, release),)
