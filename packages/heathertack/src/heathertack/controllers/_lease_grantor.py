"""Maintains the leader's tables of members and targets, and grants leases."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, ClassVar, NamedTuple, assert_never

from heathertack.blackboard import CONTROL, Blackboard, ControlView, Section
from heathertack.controllers._actions import (
    ConfirmBundleInForce,
    ProposeCommand,
    SendToPeer,
)
from heathertack.controllers._bundle_archive import BundleArchive
from heathertack.controllers._cold_targets import ColdPublisher, ColdStart
from heathertack.controllers._control_log_events import TimePassed
from heathertack.controllers._evacuated_targets import EvacuationPublisher
from heathertack.controllers._lease_timings import LeaseTimings
from heathertack.controllers._loss_suspects import read_suspects
from heathertack.controllers._tables import VersionedTable
from heathertack.messages import (
    BundlePush,
    LeaderHint,
    LeaseGrant,
    LeaseRequest,
    MemberRecord,
    MemberState,
    PeerMessage,
    TableVersion,
    TargetRecord,
    TargetState,
    TargetVersion,
    TargetVersions,
)
from heathertack.state import AcceptedBundle, MarkOwnerLost, RecordServiceVersions

_CLOCK_DRIFT_FACTOR = 1.1
_ANNOUNCEMENT_INTERVAL_SECONDS = 0.5
#: Time after which a bundle counts as lost if the instance does not report it, seconds,
#: and the rate at which it is expected to be sent, bytes a second.
_PUSH_TIMEOUT_SECONDS = 0.7
_MIN_TRANSFER_RATE = 125_000
#: Interval at which versions are recorded again while some have no targets, seconds.
_VERSIONS_INTERVAL_SECONDS = 30.0


class LeaseRequested(NamedTuple):
    """An instance requested a lease."""

    request: LeaseRequest


class BundleCommitted(NamedTuple):
    """A bundle was committed."""

    accepted: AcceptedBundle


class PlatformTargetsListed(NamedTuple):
    """The platform returned its list of live and leaving targets."""

    targets: tuple[TargetRecord, ...]
    #: Software version of each target by name.
    versions: Mapping[str, str] = MappingProxyType({})
    #: Targets that may become cold, by name.
    cold_starts: Mapping[str, ColdStart] = MappingProxyType({})


class TargetLeavingReported(NamedTuple):
    """An instance reported that a target is leaving."""

    target: str


class TargetCordoned(NamedTuple):
    """A target must not receive new work until it is uncordoned."""

    target: str


class TargetUncordoned(NamedTuple):
    """A cordoned target may receive new work again."""

    target: str


Event = (
    LeaseRequested
    | BundleCommitted
    | PlatformTargetsListed
    | TargetLeavingReported
    | TargetCordoned
    | TargetUncordoned
    | TimePassed
)
Action = SendToPeer | ProposeCommand | ConfirmBundleInForce


class _Holder(NamedTuple):
    """State that the leader keeps for an instance that requested a lease."""

    request: LeaseRequest
    #: Time of the latest request, monotonic clock, seconds.
    last_request_at: float
    #: Time until which a lease of this leader may be valid on the instance.
    granted_until: float
    #: Log index of the bundle that was last sent, and the time until which it counts as
    #: on its way, monotonic clock, seconds.
    pushed_index: int = 0
    push_deadline: float = 0.0


class LeaseGrantorController:
    """Grants bundle leases while this instance leads.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    instance : str
        Name of this instance.
    timings : LeaseTimings
        Intervals, seconds.
    """

    READS: ClassVar[tuple[Section[Any], ...]] = (CONTROL,)
    WRITES: ClassVar[tuple[Section[Any], ...]] = ()

    def __init__(self, board: Blackboard, instance: str, timings: LeaseTimings) -> None:
        self._board = board
        self._instance = instance
        self._timings = timings
        self._archive = BundleArchive()
        self._term = 0
        self._leader_since = 0.0
        self._sequence = 0
        self._members: VersionedTable[MemberRecord] = VersionedTable(
            self._next_sequence
        )
        self._targets: VersionedTable[TargetRecord] = VersionedTable(
            self._next_sequence
        )
        self._versions: VersionedTable[TargetVersion] = VersionedTable(
            self._next_sequence
        )
        self._evacuations = EvacuationPublisher(self._next_sequence)
        self._cold = ColdPublisher()
        self._holders: dict[str, _Holder] = {}
        self._cordoned: frozenset[str] = frozenset()
        self._reported_leaving: frozenset[str] = frozenset()
        self._listed: dict[str, TargetRecord] = {}
        #: Versions last proposed for the record of the log, and when to do so again.
        self._proposed_versions: frozenset[tuple[str, str]] | None = None
        self._next_proposal = 0.0
        self._suspects: tuple[tuple[str, int], ...] = ()
        self._suspects_sequence = 0
        self._confirmed_index = 0
        self._committed_at = 0.0
        self._seeds: tuple[str, ...] = ()
        self._next_announcement = float("-inf")
        board.register(self)

    @property
    def in_force_index(self) -> int:
        """Log index of the latest bundle confirmed in force on all instances."""
        return self._confirmed_index

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Set the seeds, the instances that others contact first."""
        self._seeds = seeds

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Handle an event and return the resulting actions.

        Parameters
        ----------
        event : Event
            Event to handle.
        now : float
            Monotonic clock, seconds.

        Returns
        -------
        tuple of Action
            Messages, commands and confirmations.
        """
        control = self._board.read(CONTROL)
        if isinstance(event, BundleCommitted):
            self._archive.store(event.accepted)
            self._committed_at = now
        if not control.may_lead(now):
            return _redirect_to_leader(event, control)
        if control.bundle_index > self._archive.log_index:
            # The log holds a newer bundle, which is announced in a moment.
            return ()
        self._reset_on_new_term(control.term, now)
        pushes = (
            *self._update_suspects(control, now),
            *self._update_evacuations(control, now),
        )
        return (*pushes, *self._handle_as_leader(event, control, now))

    def _handle_as_leader(
        self, event: Event, control: ControlView, now: float
    ) -> tuple[Action, ...]:
        match event:
            case LeaseRequested():
                return self._grant(event.request, control, now)
            case BundleCommitted():
                return self._push_to_holders(control, now)
            case PlatformTargetsListed():
                return self._update_listed_targets(event, control, now)
            case TargetLeavingReported():
                self._reported_leaving |= {event.target}
                return self._push_target(event.target, control, now)
            case TargetCordoned():
                self._cordoned |= {event.target}
                return self._push_target(event.target, control, now)
            case TargetUncordoned():
                self._cordoned -= {event.target}
                return self._push_target(event.target, control, now)
            case TimePassed():
                return (
                    *self._expire_members(now),
                    *self._confirm_bundle(now),
                    *self._announce_leadership(now),
                )
            case _:
                assert_never(event)

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _reset_on_new_term(self, term: int, now: float) -> None:
        """Clear the tables when this instance leads a new term."""
        if term == self._term:
            return
        self._term = term
        self._leader_since = now
        self._sequence = 0
        self._members.clear()
        self._targets.clear()
        self._versions.clear()
        self._evacuations.clear()
        self._cold.clear()
        self._holders.clear()
        self._cordoned = frozenset()
        self._reported_leaving = frozenset()
        self._listed = {}
        self._proposed_versions = None
        self._suspects = ()
        self._suspects_sequence = self._next_sequence()

    def _update_suspects(self, control: ControlView, now: float) -> tuple[Action, ...]:
        """Publish changed suspects; push them at once if more must be refused."""
        if control.suspects == self._suspects:
            return ()
        known = read_suspects(dict(self._suspects)).causes
        causes = read_suspects(dict(control.suspects)).causes
        self._suspects = control.suspects
        self._suspects_sequence = self._next_sequence()
        known_parts = {cause.parts for cause in known}
        if all(cause.parts in known_parts for cause in causes):
            return ()
        return self._push_to_holders(control, now)

    def _update_evacuations(
        self, control: ControlView, now: float
    ) -> tuple[Action, ...]:
        """Publish the targets of evacuated or readmitted domains at once."""
        if not self._evacuations.set_domains(control.evacuated):
            return ()
        self._cold.set_evacuated(control.evacuated, now)
        for name in self._listed:
            self._put_target(name)
        return self._push_to_holders(control, now)

    def _grant(
        self, request: LeaseRequest, control: ControlView, now: float
    ) -> tuple[Action, ...]:
        previous = self._holders.get(request.instance)
        if previous is not None and previous.request.incarnation > request.incarnation:
            return ()
        actions: list[Action] = []
        if previous is not None and previous.request.incarnation < request.incarnation:
            lost = MarkOwnerLost(request.instance, request.incarnation - 1)
            actions.append(ProposeCommand(lost))
        if previous is None:
            lost = MarkOwnerLost(request.instance, request.incarnation - 1)
            actions.append(ProposeCommand(lost))
        holder = _Holder(request, now, 0.0)
        if previous is not None and previous.request.incarnation == request.incarnation:
            holder = previous._replace(request=request, last_request_at=now)
        lifetime = self._timings.duration * _CLOCK_DRIFT_FACTOR
        self._holders[request.instance] = holder._replace(granted_until=now + lifetime)
        self._members.put(request.instance, _describe_member(request, control))
        actions.extend(self._build_grant(request, control, now))
        return (*actions, *self._confirm_bundle(now))

    def _build_grant(
        self, request: LeaseRequest, control: ControlView, now: float
    ) -> tuple[SendToPeer, ...]:
        """Return a grant, preceded by what changed and has messages of its own.

        Returns nothing while the current bundle is on its way to the instance, which
        asks again when it has it: another copy would delay both.
        """
        push = self._archive.build_push(request.bundle_index)
        if push is not None and not self._start_push(request.instance, push, now):
            return ()
        is_full = request.table.term != self._term
        since = 0 if is_full else request.table.sequence
        grant = LeaseGrant(
            term=self._term,
            leader=self._instance,
            incarnation=request.incarnation,
            bundle_index=self._archive.log_index,
            bundle=push,
            duration=self._timings.duration,
            sent_at=request.sent_at,
            table=TableVersion(self._term, self._sequence),
            is_full=is_full,
            is_settled=now >= self._leader_since + self._timings.settling,
            members=self._members.changes_since(since),
            targets=self._targets.changes_since(since),
            suspects=control.suspects if self._suspects_sequence > since else None,
        )
        sent_grant = SendToPeer(request.instance, grant)
        preceding: list[PeerMessage] = [
            *self._evacuations.build(self._term, since),
            *self._cold.build(self._term, now),
        ]
        versions = self._versions.changes_since(since)
        if versions:
            preceding.append(TargetVersions(self._term, versions))
        sent = (SendToPeer(request.instance, message) for message in preceding)
        return (*sent, sent_grant)

    def _start_push(self, instance: str, push: BundlePush, now: float) -> bool:
        """Record that a bundle is sent, and return whether it must be."""
        holder = self._holders[instance]
        if holder.pushed_index == push.log_index and now < holder.push_deadline:
            return False
        transfer = len(push.data) / _MIN_TRANSFER_RATE
        self._holders[instance] = holder._replace(
            pushed_index=push.log_index,
            push_deadline=now + _PUSH_TIMEOUT_SECONDS + transfer,
        )
        return True

    def _push_to_holders(self, control: ControlView, now: float) -> tuple[Action, ...]:
        """Send the changes to every lease holder without extending its lease."""
        holders = [h for h in self._holders.values() if now < h.granted_until]
        pushes = [
            action
            for holder in holders
            for action in self._build_grant(holder.request, control, now)
        ]
        return (*pushes, *self._confirm_bundle(now))

    def _update_listed_targets(
        self, event: PlatformTargetsListed, control: ControlView, now: float
    ) -> tuple[Action, ...]:
        record = self._record_versions(event, control, now)
        names = {target.name for target in event.targets}
        restarted = {t.name for t in event.targets if self._has_restarted(t)}
        self._reported_leaving = (self._reported_leaving & names) - restarted
        self._listed = {target.name: target for target in event.targets}
        changed = self._cold.set_listed(event.targets, event.cold_starts, now)
        for name in names:
            version = TargetVersion(name, event.versions.get(name, ""))
            if self._versions.put(name, version):
                self._targets.touch(name)
                changed = True
            changed |= self._put_target(name)
        for name in tuple(self._targets):
            previous = self._targets.find(name)
            if name not in names and previous is not None:
                gone = previous._replace(state=TargetState.GONE)
                self._evacuations.forget(name)
                changed |= self._targets.put(name, gone)
        pushes = self._push_to_holders(control, now) if changed else ()
        return (*record, *pushes)

    def _record_versions(
        self, event: PlatformTargetsListed, control: ControlView, now: float
    ) -> tuple[Action, ...]:
        """Record in the log which versions serve, from which origins can be inferred.

        Repeated while versions without targets are remembered, so that they expire.
        """
        listed = frozenset(
            (target.service, event.versions.get(target.name, ""))
            for target in event.targets
        )
        if not listed:
            return ()
        is_new = listed != self._proposed_versions
        is_due = listed != frozenset(control.versions) and now >= self._next_proposal
        if not is_new and not is_due:
            return ()
        self._proposed_versions = listed
        self._next_proposal = now + _VERSIONS_INTERVAL_SECONDS
        return (ProposeCommand(RecordServiceVersions(tuple(sorted(listed)))),)

    def _has_restarted(self, target: TargetRecord) -> bool:
        """Return whether a listed target is another lifetime than the one before.

        A target that leaves never stays.
        """
        before = self._listed.get(target.name)
        if before is None:
            return False
        had_left = before.state is TargetState.LEAVING
        is_live = target.state is TargetState.LIVE
        return (had_left and is_live) or before.address != target.address

    def _put_target(self, name: str) -> bool:
        """Set the state of a listed target and return whether it changed.

        A report that the target is leaving takes precedence, since the platform's
        list may lag behind it. A record and its version are always published together,
        so that an instance notices if the message with the version is lost.
        """
        target = self._listed.get(name)
        if target is None:
            return False
        if name in self._cordoned or name in self._reported_leaving:
            target = target._replace(state=TargetState.LEAVING)
        target, is_evacuation_changed = self._evacuations.apply(target)
        is_changed = self._targets.put(name, target)
        if is_changed:
            self._versions.touch(name)
        return is_changed or is_evacuation_changed

    def _push_target(
        self, target: str, control: ControlView, now: float
    ) -> tuple[Action, ...]:
        changed = self._put_target(target)
        return self._push_to_holders(control, now) if changed else ()

    def _announce_leadership(self, now: float) -> tuple[Action, ...]:
        """Send a leader hint to the seeds that have not requested a lease.

        After a restart of all instances, a seed without a disk has no record of any
        other instance, so that it cannot find the leader by itself.
        """
        if now < self._next_announcement:
            return ()
        self._next_announcement = now + _ANNOUNCEMENT_INTERVAL_SECONDS
        without_lease = (s for s in self._seeds if s not in self._holders)
        return tuple(
            SendToPeer(seed, LeaderHint(self._instance))
            for seed in without_lease
            if seed != self._instance
        )

    def _expire_members(self, now: float) -> tuple[Action, ...]:
        oldest_allowed = now - self._timings.member_timeout
        lost = [h for h in self._holders.values() if h.last_request_at < oldest_allowed]
        actions: list[Action] = []
        for holder in lost:
            request = holder.request
            del self._holders[request.instance]
            record = self._members.find(request.instance)
            if record is not None:
                gone = record._replace(state=MemberState.GONE)
                self._members.put(request.instance, gone)
            command = MarkOwnerLost(request.instance, request.incarnation)
            actions.append(ProposeCommand(command))
        return tuple(actions)

    def _confirm_bundle(self, now: float) -> tuple[Action, ...]:
        """Confirm the current bundle once no instance can use an older one."""
        index = self._archive.log_index
        if index <= self._confirmed_index:
            return ()
        old_leases_end = (
            self._leader_since + self._timings.duration * _CLOCK_DRIFT_FACTOR
        )
        if now < old_leases_end:
            return ()
        for holder in self._holders.values():
            is_behind = holder.request.bundle_index < index
            if is_behind and now < holder.granted_until:
                return ()
        self._confirmed_index = index
        return (ConfirmBundleInForce(index),)


def _redirect_to_leader(event: Event, control: ControlView) -> tuple[Action, ...]:
    """Redirect a lease request to the leader; ignore all other events."""
    if isinstance(event, LeaseRequested):
        return (SendToPeer(event.request.instance, LeaderHint(control.leader)),)
    return ()


def _describe_member(request: LeaseRequest, control: ControlView) -> MemberRecord:
    is_leaving = request.leaving or request.instance in control.draining
    return MemberRecord(
        instance=request.instance,
        incarnation=request.incarnation,
        state=MemberState.LEAVING if is_leaving else MemberState.ALIVE,
        http_address=request.http_address,
        failure_domain=request.failure_domain,
        bundle_index=request.bundle_index,
        load=request.load,
    )
