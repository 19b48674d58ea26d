"""Admission owner: assigns targets to generations and decides when they start."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, ClassVar, NamedTuple, assert_never

from heathertack.blackboard import (
    MEMBERS,
    SUSPECTS,
    TARGET_VERSIONS,
    TARGETS,
    Blackboard,
    Section,
)
from heathertack.controllers._actions import SendToPeer
from heathertack.controllers._admission_group import AdmissionGroup
from heathertack.controllers._admission_types import (
    AddressedReply,
    EngineLoad,
    TargetCapacity,
)
from heathertack.controllers._software_versions import find_version
from heathertack.messages import (
    MemberState,
    ReservationAnnounce,
    ReservationBlame,
    ReservationProgress,
    ReservationRelease,
    ReservationRequest,
    ReservationUnknown,
    TargetRecord,
    TargetState,
)
from heathertack.policy import (
    AdmissionTuning,
    LengthEstimator,
    choose_owner,
    group_targets,
)


class ReservationReceived(NamedTuple):
    """An entry instance requested a target."""

    instance: str
    request: ReservationRequest


class AnnounceReceived(NamedTuple):
    """An entry instance announced a reservation that it uses."""

    instance: str
    announce: ReservationAnnounce


class ProgressReceived(NamedTuple):
    """An entry instance reported the progress of its generations."""

    instance: str
    progress: ReservationProgress


class ReleaseReceived(NamedTuple):
    """An entry instance ended a reservation."""

    release: ReservationRelease


class TargetLossReceived(NamedTuple):
    """An entry instance reported that a target failed while it ran a request."""

    loss: ReservationBlame


class LoadReportReceived(NamedTuple):
    """An engine reported its load."""

    target: str
    load: EngineLoad


class LoadReportMissed(NamedTuple):
    """An engine did not report its load."""

    target: str
    #: Number of consecutive missed reports.
    missed: int


class CacheEventReceived(NamedTuple):
    """An engine stored or evicted prompt prefixes."""

    target: str
    sequence: int
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


class AdmissionDue(NamedTuple):
    """The clock advanced."""


Event = (
    ReservationReceived
    | AnnounceReceived
    | ProgressReceived
    | ReleaseReceived
    | TargetLossReceived
    | LoadReportReceived
    | LoadReportMissed
    | CacheEventReceived
    | AdmissionDue
)

_MISSED_REPORTS_BEFORE_AVOIDANCE = 3
_UNRESPONSIVE_TARGET_AVOIDANCE_SECONDS = 2.0


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
        MEMBERS,
        SUSPECTS,
        TARGETS,
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
        self._owned_groups: frozenset[str] = frozenset()
        self._gone_instances: frozenset[str] = frozenset()
        board.register(self)

    @property
    def groups(self) -> tuple[AdmissionGroup, ...]:
        """Groups with state on this instance."""
        return tuple(self._groups.values())

    @property
    def watched_targets(self) -> tuple[str, ...]:
        """Targets whose load this instance polls."""
        owned = [
            t
            for t, group in self._group_of_target.items()
            if group in self._owned_groups
        ]
        return tuple(sorted(owned))

    def handle(self, event: Event, now: float) -> tuple[SendToPeer, ...]:
        """Handle an event and return the replies to send.

        Parameters
        ----------
        event : Event
            Event to handle.
        now : float
            Monotonic clock, seconds.

        Returns
        -------
        tuple of SendToPeer
            Replies to entry instances.
        """
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
        return _to_actions(group.request(request, event.instance, losses, now))

    def _record_progress(
        self, event: ProgressReceived, now: float
    ) -> tuple[SendToPeer, ...]:
        group = self._get_or_create_group(event.progress.group, now)
        unknown = tuple(
            item.generation_id
            for item in event.progress.items
            if not group.record_progress(item.generation_id, item.generated_tokens, now)
        )
        replies = _to_actions(group.dispatch(now))
        if unknown:
            message = ReservationUnknown(unknown)
            return (*replies, SendToPeer(event.instance, message))
        return replies

    def _handle_release(
        self, release: ReservationRelease, now: float
    ) -> tuple[SendToPeer, ...]:
        group = self._get_or_create_group(release.group, now)
        group.release(release, now)
        return _to_actions(group.dispatch(now))

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
        replies: list[SendToPeer] = []
        for name, group in tuple(self._groups.items()):
            replies.extend(
                _to_actions(group.expire_and_dispatch(self._gone_instances, now))
            )
            if group.is_idle and name not in self._owned_groups:
                del self._groups[name]
        return tuple(replies)

    def _get_or_create_group(self, name: str, now: float) -> AdmissionGroup:
        group = self._groups.get(name)
        if group is None:
            group = AdmissionGroup(name, self._tuning, self._estimator, now)
            self._groups[name] = group
            self._set_targets(group)
        return group

    def _apply_table_changes(self, now: float) -> None:
        """Update the groups if the tables of targets or members changed."""
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
        alive = [m.instance for m in members.values() if m.state is MemberState.ALIVE]
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


def _to_actions(replies: tuple[AddressedReply, ...]) -> tuple[SendToPeer, ...]:
    return tuple(SendToPeer(reply.instance, reply.reply) for reply in replies)
