"""Admission owner: assigns targets to generations and decides when they start."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import Any, ClassVar, assert_never

from heathertack.blackboard import (
    COLD_TARGETS,
    LEASE,
    MEMBERS,
    SUSPECTS,
    TARGET_LIMITS,
    TARGET_REJECTIONS,
    TARGET_VERSIONS,
    TARGETS,
    Blackboard,
    Section,
    TargetLimit,
)
from heathertack.controllers._actions import SendToPeer
from heathertack.controllers._admission_events import (
    AdmissionDue,
    AdmissionEvent,
    AnnounceReceived,
    CacheEventReceived,
    LoadReportMissed,
    LoadReportReceived,
    PausesReceived,
    ProgressReceived,
    ReleaseReceived,
    ReservationReceived,
    TargetLossReceived,
)
from heathertack.controllers._admission_group import AdmissionGroup
from heathertack.controllers._admission_types import (
    AddressedReply,
    TargetCapacity,
)
from heathertack.controllers._cold_targets import find_rates
from heathertack.controllers._instance_pauses import InstancePauses
from heathertack.controllers._limit_sharing import LimitSharing
from heathertack.controllers._software_versions import find_version
from heathertack.messages import (
    MemberState,
    ReservationGrant,
    ReservationRelease,
    ReservationUnknown,
    TargetRecord,
    TargetState,
)
from heathertack.policy import (
    AdmissionTuning,
    LengthEstimator,
    TargetSpeed,
    choose_owner,
    group_targets,
    rank_successors,
)

_MISSED_REPORTS_BEFORE_AVOIDANCE = 3
_UNRESPONSIVE_TARGET_AVOIDANCE_SECONDS = 2.0
#: Time after which an instance that has not asked may use another owner, seconds.
_CONTACT_SECONDS = 1.0


class AdmissionController:
    """Admission to the target groups that this instance owns.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    instance : str
        Name of this instance.
    tuning : AdmissionTuning
        Parameters.
    """

    READS: ClassVar[tuple[Section[Any], ...]] = (
        COLD_TARGETS,
        LEASE,
        MEMBERS,
        SUSPECTS,
        TARGETS,
        TARGET_LIMITS,
        TARGET_REJECTIONS,
        TARGET_VERSIONS,
    )
    WRITES: ClassVar[tuple[Section[Any], ...]] = ()

    def __init__(
        self, board: Blackboard, instance: str, tuning: AdmissionTuning
    ) -> None:
        self._board = board
        self._instance = instance
        self._tuning = tuning
        self._estimator = LengthEstimator()
        self._groups: dict[str, AdmissionGroup] = {}
        self._group_of_target: dict[str, str] = {}
        self._last_targets: Mapping[str, TargetRecord] | None = None
        self._last_members: Mapping[str, object] | None = None
        self._last_versions: Mapping[str, str] | None = None
        self._last_limits: Mapping[str, TargetLimit] | None = None
        self._last_cold: Mapping[str, float] | None = None
        self._last_bounds: Mapping[str, TargetLimit] | None = None
        self._had_lease = False
        #: Time at which each instance last asked this owner.
        self._heard_at: dict[str, float] = {}
        self._has_majority = False
        #: Time since which most instances use this owner; infinite if they don't.
        self._majority_since = float("inf")
        #: Failure domains of the instances that accept work.
        self._live_domains: Mapping[str, str] = {}
        self._sharing = LimitSharing(board)
        self._pauses = InstancePauses()
        self._owned_groups: frozenset[str] = frozenset()
        self._gone_instances: frozenset[str] = frozenset()
        board.register(self)

    @property
    def groups(self) -> tuple[AdmissionGroup, ...]:
        """Groups with state on this instance."""
        return tuple(self._groups.values())

    def list_speeds(self, now: float) -> Mapping[str, TargetSpeed]:
        """Return the speeds of the owned targets that differ from the others."""
        speeds: dict[str, TargetSpeed] = {}
        for group in self._groups.values():
            if group.name in self._owned_groups:
                speeds.update(group.list_speeds(now))
        return speeds

    @property
    def watched_targets(self) -> tuple[str, ...]:
        """Targets whose load this instance polls."""
        owned = [
            t
            for t, group in self._group_of_target.items()
            if group in self._owned_groups
        ]
        return tuple(sorted(owned))

    def take_refusal_counts(self) -> Counter[str]:
        """Return the requests refused since the last call, by reason."""
        counts: Counter[str] = Counter()
        for group in self._groups.values():
            counts.update(group.take_refusal_counts())
        return counts

    def handle(self, event: AdmissionEvent, now: float) -> tuple[SendToPeer, ...]:
        """Handle an event and return the replies to send.

        Parameters
        ----------
        event : AdmissionEvent
            Event to handle.
        now : float
            Monotonic clock, seconds.

        Returns
        -------
        tuple of SendToPeer
            Replies to entry instances.
        """
        self._record_contact(event, now)
        self._apply_table_changes(now)
        match event:
            case ReservationReceived():
                return self._handle_request(event, now)
            case AnnounceReceived():
                group = self._get_or_create_group(event.announce.request.group, now)
                group.announce(event.announce, event.instance, now)
                return ()
            case ProgressReceived():
                return self._record_progress(event, now)
            case ReleaseReceived():
                return self._handle_release(event.release, now)
            case TargetLossReceived():
                self._get_or_create_group(event.loss.group, now).record_target_loss(
                    event.loss, now
                )
                return ()
            case LoadReportReceived():
                self._record_load(event, now)
                return ()
            case LoadReportMissed():
                self._record_missed_load(event, now)
                return ()
            case CacheEventReceived():
                self._record_cache_event(event)
                return ()
            case PausesReceived():
                self._pauses.record(event.instance, event.pauses, now)
                return ()
            case AdmissionDue():
                return self._expire_and_dispatch(now)
            case _:
                assert_never(event)

    def _handle_request(
        self, event: ReservationReceived, now: float
    ) -> tuple[SendToPeer, ...]:
        request = event.request
        group = self._get_or_create_group(request.group, now)
        losses = self._board.read(SUSPECTS).get(request.fingerprint, 0)
        return self._address(group.request(request, event.instance, losses, now), now)

    def _record_progress(
        self, event: ProgressReceived, now: float
    ) -> tuple[SendToPeer, ...]:
        group = self._get_or_create_group(event.progress.group, now)
        unknown = tuple(
            item.generation_id
            for item in event.progress.items
            if not group.record_progress(item.generation_id, item.generated_tokens, now)
        )
        replies = self._address(group.dispatch(now), now)
        if unknown:
            message = ReservationUnknown(unknown)
            return (*replies, SendToPeer(event.instance, message))
        return replies

    def _handle_release(
        self, release: ReservationRelease, now: float
    ) -> tuple[SendToPeer, ...]:
        group = self._get_or_create_group(release.group, now)
        group.release(release, now)
        return self._address(group.dispatch(now), now)

    def _record_load(self, event: LoadReportReceived, now: float) -> None:
        group = self._groups.get(self._group_of_target.get(event.target, ""))
        if group is not None:
            group.record_load(event.target, event.load, now)

    def _record_missed_load(self, event: LoadReportMissed, now: float) -> None:
        group = self._groups.get(self._group_of_target.get(event.target, ""))
        if group is not None and event.missed >= _MISSED_REPORTS_BEFORE_AVOIDANCE:
            duration = _UNRESPONSIVE_TARGET_AVOIDANCE_SECONDS
            group.avoid_unresponsive_target(event.target, duration, now)

    def _record_cache_event(self, event: CacheEventReceived) -> None:
        group = self._groups.get(self._group_of_target.get(event.target, ""))
        if group is not None:
            group.record_cache_event(
                event.target, event.sequence, event.stored, event.evicted
            )

    def _expire_and_dispatch(self, now: float) -> tuple[SendToPeer, ...]:
        self._pauses.forget(now)
        replies = list(self._inform_successors(now))
        for name, group in tuple(self._groups.items()):
            replies.extend(
                self._address(group.expire_and_dispatch(self._gone_instances, now), now)
            )
            if group.is_idle and name not in self._owned_groups:
                del self._groups[name]
        return tuple(replies)

    def _inform_successors(self, now: float) -> tuple[SendToPeer, ...]:
        """Tell the next owners of limited targets their limits.

        The entry instances that use a new owner first may not know of the limits.
        """
        if not self._sharing.has_limits:
            return ()
        actions: list[SendToPeer] = []
        for name in self._groups:
            targets = [t for t, group in self._group_of_target.items() if group == name]
            for instance in rank_successors(name, self._live_domains):
                if instance != self._instance:
                    actions.extend(self._sharing.build(instance, targets, now))
        return tuple(actions)

    def _get_or_create_group(self, name: str, now: float) -> AdmissionGroup:
        group = self._groups.get(name)
        if group is None:
            group = AdmissionGroup(
                name, self._tuning, self._estimator, now, self._pauses
            )
            self._groups[name] = group
            self._set_targets(group)
            self._set_rates(group, now)
        return group

    def _address(
        self, replies: tuple[AddressedReply, ...], now: float
    ) -> tuple[SendToPeer, ...]:
        """Return the messages with replies, each after what it says of limits.

        An entry instance that gets a target learns its limit, so that it can tell it
        to the next owner. If the target bounds its rejections, the instance learns of
        all targets of the group, any of which it may have to choose without an owner.
        """
        bounds = self._board.read(TARGET_REJECTIONS)
        actions: list[SendToPeer] = []
        for reply in replies:
            if isinstance(reply.reply, ReservationGrant):
                targets: tuple[str, ...] = (reply.reply.target,)
                if reply.reply.target in bounds:
                    group = self._group_of_target.get(reply.reply.target)
                    of_group = self._group_of_target.items()
                    targets = tuple(t for t, name in of_group if name == group)
                if reply.instance != self._instance:
                    actions.extend(self._sharing.build(reply.instance, targets, now))
            actions.append(SendToPeer(reply.instance, reply.reply))
        return tuple(actions)

    def _apply_table_changes(self, now: float) -> None:
        """Update the groups if tables, limits or the lease changed."""
        self._apply_tables(now)
        limits = self._board.read(TARGET_LIMITS)
        cold = self._board.read(COLD_TARGETS)
        bounds = self._board.read(TARGET_REJECTIONS)
        has_lease = self._board.read(LEASE).is_valid(now)
        has_majority = bool(bounds) and self._hears_majority(now)
        if (
            limits is self._last_limits
            and cold is self._last_cold
            and bounds is self._last_bounds
            and has_lease == self._had_lease
            and has_majority == self._has_majority
        ):
            return
        self._last_limits = limits
        self._last_cold = cold
        self._last_bounds = bounds
        self._had_lease = has_lease
        self._has_majority = has_majority
        for group in self._groups.values():
            self._set_rates(group, now)

    def _record_contact(self, event: AdmissionEvent, now: float) -> None:
        """Record which instance asks this owner."""
        if isinstance(event, ReservationReceived):
            self._heard_at[event.instance] = now

    def _hears_majority(self, now: float) -> bool:
        """Return whether most instances use this owner, so that no other one can.

        They have to use it for as long as another owner may count them as its own.
        """
        since = now - _CONTACT_SECONDS
        heard = sum(self._heard_at.get(i, since) > since for i in self._live_domains)
        if 2 * heard <= len(self._live_domains):
            self._majority_since = float("inf")
            return False
        self._majority_since = min(self._majority_since, now)
        return now - self._majority_since >= _CONTACT_SECONDS

    def _apply_tables(self, now: float) -> None:
        targets = self._board.read(TARGETS)
        members = self._board.read(MEMBERS)
        versions = self._board.read(TARGET_VERSIONS)
        if (
            targets is self._last_targets
            and members is self._last_members
            and versions is self._last_versions
        ):
            return
        self._last_targets = targets
        self._last_versions = versions
        self._last_members = members
        self._last_limits = None
        # With other members, instances may use another owner.
        self._heard_at.clear()
        alive = {
            m.instance: m.failure_domain
            for m in members.values()
            if m.state is MemberState.ALIVE
        }
        self._live_domains = alive
        self._gone_instances = frozenset(
            m.instance for m in members.values() if m.state is MemberState.GONE
        )
        groups = partition_targets(targets)
        self._group_of_target = {
            target: group for group, names in groups.items() for target in names
        }
        self._owned_groups = frozenset(
            group for group in groups if choose_owner(group, alive) == self._instance
        )
        for name in self._owned_groups:
            self._get_or_create_group(name, now)
        for group in self._groups.values():
            self._set_targets(group)

    def _set_rates(self, group: AdmissionGroup, now: float) -> None:
        """Set the rates of a group's targets that limit them or are cold.

        An owner that may be cut off from the others, or that stands in for an
        unresponsive one, assigns each entry instance its even part only.
        """
        is_sole_owner = self._had_lease and group.name in self._owned_groups
        rates = {
            target: rate
            for target, rate in find_rates(self._board).items()
            if self._group_of_target.get(target) == group.name
        }
        part = None if is_sole_owner else 1.0 / max(len(self._live_domains), 1)
        group.set_rates(rates, part, now)
        bounds = {
            target: limit.rate
            for target, limit in self._board.read(TARGET_REJECTIONS).items()
            if limit.rate is not None
            and self._group_of_target.get(target) == group.name
        }
        is_owned = group.name in self._owned_groups
        is_only_owner = is_owned and (self._had_lease or self._has_majority)
        group.set_rejection_bounds(
            bounds, self._live_domains, now, is_only_owner=is_only_owner
        )

    def _set_targets(self, group: AdmissionGroup) -> None:
        targets = self._board.read(TARGETS)
        capacities = {
            name: TargetCapacity(
                targets[name].cache_tokens,
                targets[name].slots,
                targets[name].failure_domain,
            )
            for name, group_name in self._group_of_target.items()
            if group_name == group.name and targets[name].state is TargetState.LIVE
        }
        group.set_targets(capacities)
        group.set_versions(
            {
                name: find_version(self._board, name)
                for name, group_name in self._group_of_target.items()
                if group_name == group.name
            }
        )


def partition_targets(
    targets: Mapping[str, TargetRecord],
) -> dict[str, tuple[str, ...]]:
    """Return the targets that are not gone, by the name of their group.

    Targets without a KV cache and with an unknown number of slots are in no group;
    entry instances choose them without an admission owner.
    """
    by_service: dict[str, list[str]] = {}
    for target in targets.values():
        is_counted = target.cache_tokens or target.slots
        if target.state is not TargetState.GONE and is_counted:
            by_service.setdefault(target.service, []).append(target.name)
    groups: dict[str, tuple[str, ...]] = {}
    for service, names in by_service.items():
        groups.update(group_targets(service, names))
    return groups
