"""Admission owner: decides which target serves a generation, and when."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, ClassVar, NamedTuple, assert_never

from heathertack.blackboard import (
    MEMBERS,
    SUSPECTS,
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
    """An entry asks for a target."""

    instance: str
    request: ReservationRequest


class AnnounceReceived(NamedTuple):
    """An entry tells of a reservation that it uses."""

    instance: str
    announce: ReservationAnnounce


class ProgressReceived(NamedTuple):
    """An entry tells how far its generations are."""

    instance: str
    progress: ReservationProgress


class ReleaseReceived(NamedTuple):
    """An entry ends a reservation."""

    release: ReservationRelease


class TargetLossReceived(NamedTuple):
    """An entry saw a target go down while it ran a request."""

    loss: ReservationBlame


class LoadReportReceived(NamedTuple):
    """An engine reported its load."""

    target: str
    load: EngineLoad


class LoadReportMissed(NamedTuple):
    """An engine did not report its load."""

    target: str
    #: Reports missed in a row.
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

_MISSED_REPORTS_TO_AVOID = 3
_SILENT_TARGET_PAUSE_SECONDS = 2.0


class AdmissionController:
    """Holds the groups that this instance admits to.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    instance : str
        Name of this instance.
    tuning : AdmissionTuning
        Parameters.
    """

    READS: ClassVar[tuple[Section[Any], ...]] = (MEMBERS, SUSPECTS, TARGETS)
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
        self._seen_targets: Mapping[str, TargetRecord] | None = None
        self._seen_members: Mapping[str, object] | None = None
        self._owned: frozenset[str] = frozenset()
        self._gone: frozenset[str] = frozenset()
        board.register(self)

    @property
    def groups(self) -> tuple[AdmissionGroup, ...]:
        """Groups that this instance holds."""
        return tuple(self._groups.values())

    @property
    def watched_targets(self) -> tuple[str, ...]:
        """Targets whose load this instance asks for."""
        owned = [
            t for t, group in self._group_of_target.items() if group in self._owned
        ]
        return tuple(sorted(owned))

    def handle(self, event: Event, now: float) -> tuple[SendToPeer, ...]:
        """Act on an event and return the replies to send.

        Parameters
        ----------
        event : Event
            What happened.
        now : float
            Monotonic clock, seconds.

        Returns
        -------
        tuple of SendToPeer
            Replies to entries.
        """
        self._follow_tables(now)
        match event:
            case ReservationReceived():
                return self._request(event, now)
            case AnnounceReceived():
                group = self._group(event.announce.request.group, now)
                group.announce(event.announce, event.instance, now)
                return ()
            case ProgressReceived():
                return self._note_progress(event, now)
            case ReleaseReceived():
                return self._release(event.release, now)
            case TargetLossReceived():
                self._group(event.loss.group, now).record_target_loss(event.loss, now)
                return ()
            case LoadReportReceived():
                self._note_load(event, now)
                return ()
            case LoadReportMissed():
                self._note_missed_load(event, now)
                return ()
            case CacheEventReceived():
                self._note_cache_event(event)
                return ()
            case AdmissionDue():
                return self._pass_time(now)
            case _:
                assert_never(event)

    def _request(
        self, event: ReservationReceived, now: float
    ) -> tuple[SendToPeer, ...]:
        request = event.request
        group = self._group(request.group, now)
        losses = self._board.read(SUSPECTS).get(request.fingerprint, 0)
        return _send(group.request(request, event.instance, losses, now))

    def _note_progress(
        self, event: ProgressReceived, now: float
    ) -> tuple[SendToPeer, ...]:
        group = self._group(event.progress.group, now)
        unknown = tuple(
            item.generation_id
            for item in event.progress.items
            if not group.record_progress(item.generation_id, item.generated_tokens, now)
        )
        replies = _send(group.dispatch(now))
        if unknown:
            question = ReservationUnknown(unknown)
            return (*replies, SendToPeer(event.instance, question))
        return replies

    def _release(
        self, release: ReservationRelease, now: float
    ) -> tuple[SendToPeer, ...]:
        group = self._group(release.group, now)
        group.release(release, now)
        return _send(group.dispatch(now))

    def _note_load(self, event: LoadReportReceived, now: float) -> None:
        group = self._groups.get(self._group_of_target.get(event.target, ""))
        if group is not None:
            group.record_load(event.target, event.load, now)

    def _note_missed_load(self, event: LoadReportMissed, now: float) -> None:
        group = self._groups.get(self._group_of_target.get(event.target, ""))
        if group is not None and event.missed >= _MISSED_REPORTS_TO_AVOID:
            pause = _SILENT_TARGET_PAUSE_SECONDS
            group.avoid_unresponsive_target(event.target, pause, now)

    def _note_cache_event(self, event: CacheEventReceived) -> None:
        group = self._groups.get(self._group_of_target.get(event.target, ""))
        if group is not None:
            group.record_cache_event(
                event.target, event.sequence, event.stored, event.evicted
            )

    def _pass_time(self, now: float) -> tuple[SendToPeer, ...]:
        replies: list[SendToPeer] = []
        for name, group in tuple(self._groups.items()):
            replies.extend(_send(group.expire_and_dispatch(self._gone, now)))
            if group.is_idle and name not in self._owned:
                del self._groups[name]
        return tuple(replies)

    def _group(self, name: str, now: float) -> AdmissionGroup:
        group = self._groups.get(name)
        if group is None:
            group = AdmissionGroup(name, self._tuning, self._estimator, now)
            self._groups[name] = group
            self._set_targets(group)
        return group

    def _follow_tables(self, now: float) -> None:
        """Bring the groups in line with changed tables."""
        targets = self._board.read(TARGETS)
        members = self._board.read(MEMBERS)
        if targets is self._seen_targets and members is self._seen_members:
            return
        self._seen_targets = targets
        self._seen_members = members
        alive = [m.instance for m in members.values() if m.state is MemberState.ALIVE]
        self._gone = frozenset(
            m.instance for m in members.values() if m.state is MemberState.GONE
        )
        groups = partition_targets(targets)
        self._group_of_target = {
            target: group for group, names in groups.items() for target in names
        }
        self._owned = frozenset(
            group for group in groups if choose_owner(group, alive) == self._instance
        )
        for name in self._owned:
            self._group(name, now)
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
            for name, owner_group in self._group_of_target.items()
            if owner_group == group.name and targets[name].state is TargetState.LIVE
        }
        group.set_targets(capacities)


def partition_targets(
    targets: Mapping[str, TargetRecord],
) -> dict[str, tuple[str, ...]]:
    """Return the targets that are not gone, by the name of their group.

    A plain target whose slots are not known is chosen without an owner.
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


def _send(replies: tuple[AddressedReply, ...]) -> tuple[SendToPeer, ...]:
    return tuple(SendToPeer(reply.instance, reply.reply) for reply in replies)
