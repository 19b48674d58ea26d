"""Renews the bundle lease of one instance and applies table changes."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, ClassVar, NamedTuple, assert_never

from heathertack.blackboard import (
    BUNDLE,
    COLD_TARGETS,
    CONTROL,
    DRAIN,
    EVACUATED_DOMAINS,
    EVACUATED_TARGETS,
    LEASE,
    LEAVING_TARGETS,
    LISTED_TARGETS,
    MEMBERS,
    SUSPECTS,
    TARGET_VERSIONS,
    TARGETS,
    Blackboard,
    BundleView,
    LeaseView,
    Section,
)
from heathertack.bundle import (
    Bundle,
    apply_changes,
    digest_content,
    index_accounts,
    unpack_bundle,
    unpack_changes,
)
from heathertack.controllers._actions import SendToPeer
from heathertack.controllers._cold_targets import ColdReceiver
from heathertack.controllers._evacuated_targets import EvacuationReceiver
from heathertack.controllers._lease_timings import LeaseTimings
from heathertack.controllers._leaving_targets import apply_leaving_targets
from heathertack.messages import (
    BundlePush,
    ColdTargets,
    EvacuatedTargets,
    LeaderHint,
    LeaseGrant,
    LeaseRequest,
    MemberState,
    TableVersion,
    TargetRecord,
    TargetState,
    TargetVersions,
)
from heathertack.routing import RouteTable


class LeaseDue(NamedTuple):
    """Time has passed; a lease request may be due."""


class ReportedStateChanged(NamedTuple):
    """State that this instance reports in its lease requests has changed."""


class LeaseGrantReceived(NamedTuple):
    """A leader answered a lease request or pushed a change."""

    grant: LeaseGrant


class TargetVersionsReceived(NamedTuple):
    """A leader sent software versions of targets."""

    versions: TargetVersions


class EvacuatedTargetsReceived(NamedTuple):
    """A leader named the evacuated failure domains and their targets."""

    evacuated: EvacuatedTargets


class ColdTargetsReceived(NamedTuple):
    """A leader named cold targets."""

    cold: ColdTargets


class LeaderHintReceived(NamedTuple):
    """A leader hint was received; it is empty if the sender has no leader."""

    hint: LeaderHint


class LeavingTargetsChanged(NamedTuple):
    """Another target said that it leaves, or the lifetime of one that did has ended."""


Event = (
    LeaseDue
    | ReportedStateChanged
    | LeaseGrantReceived
    | TargetVersionsReceived
    | EvacuatedTargetsReceived
    | ColdTargetsReceived
    | LeaderHintReceived
    | LeavingTargetsChanged
)

#: Interval at which the full tables are requested while a version is missing, seconds.
_MISSING_VERSION_INTERVAL_SECONDS = 2.0


class InstanceIdentity(NamedTuple):
    """Identity and location that an instance reports to the leader."""

    instance: str
    incarnation: int
    http_address: str
    failure_domain: str


class LeaseHolderController:
    """Requests leases and applies the bundles and tables of the grants.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    identity : InstanceIdentity
        Identity and location of this instance.
    control_instances : tuple of str
        Instances that may lead, this one included if it has a disk.
    timings : LeaseTimings
        Intervals, seconds.
    """

    READS: ClassVar[tuple[Section[Any], ...]] = (CONTROL, DRAIN, LEAVING_TARGETS)
    WRITES: ClassVar[tuple[Section[Any], ...]] = (
        BUNDLE,
        COLD_TARGETS,
        EVACUATED_DOMAINS,
        EVACUATED_TARGETS,
        LEASE,
        LISTED_TARGETS,
        MEMBERS,
        SUSPECTS,
        TARGET_VERSIONS,
        TARGETS,
    )

    def __init__(
        self,
        board: Blackboard,
        identity: InstanceIdentity,
        control_instances: tuple[str, ...],
        timings: LeaseTimings,
    ) -> None:
        self._board = board
        self._identity = identity
        self._control_instances = control_instances
        self._timings = timings
        self._candidate_index = 0
        self._leader = ""
        self._term = 0
        self._table = TableVersion()
        self._next_request = float("-inf")
        self._unanswered_since: float | None = None
        self._redirected_at = float("-inf")
        self._next_full_request = float("-inf")
        self._versions_term = 0
        #: Targets whose version has arrived since the latest grant.
        self._received_versions: set[str] = set()
        self._evacuations = EvacuationReceiver()
        self._cold = ColdReceiver()
        board.register(self)

    @property
    def next_deadline(self) -> float:
        """Time of the next request."""
        return self._next_request

    def set_control_instances(self, instances: tuple[str, ...]) -> None:
        """Replace the control instances to which lease requests are sent."""
        self._control_instances = instances

    def handle(self, event: Event, now: float) -> tuple[SendToPeer, ...]:
        """Handle an event and return the messages to send.

        Parameters
        ----------
        event : Event
            Event to handle.
        now : float
            Monotonic clock, seconds.

        Returns
        -------
        tuple of SendToPeer
            Requests for leases.
        """
        match event:
            case LeaseDue():
                self._write_cold(now)
                return self._request(now) if now >= self._next_request else ()
            case ReportedStateChanged():
                return self._request(now)
            case LeaseGrantReceived():
                return self._apply_grant(event.grant, now)
            case TargetVersionsReceived():
                return self._apply_versions(event.versions)
            case EvacuatedTargetsReceived():
                self._evacuations.receive(event.evacuated, self._term, now)
                return ()
            case ColdTargetsReceived():
                self._cold.receive(event.cold, self._term, now)
                self._write_cold(now)
                return ()
            case LeaderHintReceived():
                return self._handle_hint(event.hint, now)
            case LeavingTargetsChanged():
                self._write_targets(self._board.read(LISTED_TARGETS))
                return ()
            case _:
                assert_never(event)

    def _request(self, now: float) -> tuple[SendToPeer, ...]:
        waited_since = self._unanswered_since
        if waited_since is None:
            self._unanswered_since = now
        elif now - waited_since >= self._timings.answer_timeout:
            self._advance_candidate()
            self._unanswered_since = now
        self._next_request = now + self._timings.renewal
        if not self._control_instances:
            return ()
        drain = self._board.read(DRAIN)
        request = LeaseRequest(
            instance=self._identity.instance,
            incarnation=self._identity.incarnation,
            http_address=self._identity.http_address,
            failure_domain=self._identity.failure_domain,
            leaving=drain.leaving,
            load=_round_load(drain.open_requests),
            bundle_index=self._board.read(BUNDLE).log_index,
            table=self._choose_table(now),
            sent_at=now,
        )
        leader = self._leader or self._board.read(CONTROL).leader
        return (SendToPeer(leader or self._select_candidate(), request),)

    def _choose_table(self, now: float) -> TableVersion:
        """Return the version of the tables; none if they are needed in full.

        The message with a version may be lost although the grant that followed it was
        received.
        """
        versions = self._board.read(TARGET_VERSIONS)
        is_missing = any(
            target.name not in versions
            for target in self._board.read(TARGETS).values()
            if target.state is not TargetState.GONE
        )
        if not is_missing or now < self._next_full_request:
            return self._table
        self._next_full_request = now + _MISSING_VERSION_INTERVAL_SECONDS
        return TableVersion()

    def _apply_versions(self, received: TargetVersions) -> tuple[SendToPeer, ...]:
        if received.term < max(self._term, self._versions_term):
            return ()
        if received.term > self._versions_term:
            self._received_versions.clear()
        self._versions_term = received.term
        self._received_versions.update(target for target, _ in received.versions)
        known = self._board.read(TARGET_VERSIONS)
        versions = {**known, **dict(received.versions)}
        self._board.write(self, TARGET_VERSIONS, versions)
        return ()

    def _take_received_versions(self, term: int) -> frozenset[str]:
        """Return the targets whose version came before a grant of a term."""
        received = frozenset(self._received_versions)
        self._received_versions.clear()
        return received if term == self._versions_term else frozenset()

    def _forget_versions(
        self, grant: LeaseGrant, received_versions: frozenset[str]
    ) -> None:
        """Remove the versions of targets that may be old.

        The versions of all records in a grant come before it. If that message was lost,
        the targets may have started again with other software.
        """
        targets = self._board.read(TARGETS)
        known = self._board.read(TARGET_VERSIONS)
        lost = {
            target.name
            for target in grant.targets
            if target.state is not TargetState.GONE
            and target.name not in received_versions
        }
        is_complete = grant.is_full and grant.is_settled
        versions = {
            name: known[name]
            for name in known
            if name not in lost and (name in targets or not is_complete)
        }
        if len(versions) != len(known):
            self._board.write(self, TARGET_VERSIONS, versions)

    def _select_candidate(self) -> str:
        """Return the instance to send the request to while the leader is unknown.

        The control instances are tried in turn. After each round one other member is
        tried, which can name the leader if all control instances are gone.
        """
        control_instances = self._control_instances
        others = self._list_other_members()
        round_index, position = divmod(
            self._candidate_index, len(control_instances) + 1
        )
        if position < len(control_instances):
            return control_instances[position]
        return others[round_index % len(others)] if others else control_instances[0]

    def _list_other_members(self) -> tuple[str, ...]:
        own = self._identity.instance
        return tuple(
            member.instance
            for member in self._board.read(MEMBERS).values()
            if member.state is not MemberState.GONE
            and member.instance != own
            and member.instance not in self._control_instances
        )

    def _advance_candidate(self) -> None:
        self._leader = ""
        self._candidate_index += 1

    def _handle_hint(self, hint: LeaderHint, now: float) -> tuple[SendToPeer, ...]:
        """Send a request to the named leader at once, but rate-limited.

        Replicas may name each other while none of them leads, which would otherwise
        cause a stream of requests.
        """
        is_new = bool(hint.leader) and hint.leader != self._leader
        self._unanswered_since = None
        if not is_new:
            self._advance_candidate()
            return ()
        self._leader = hint.leader
        if now - self._redirected_at < self._timings.renewal:
            return ()
        self._redirected_at = now
        return self._request(now)

    def _apply_grant(self, grant: LeaseGrant, now: float) -> tuple[SendToPeer, ...]:
        received_versions = self._take_received_versions(grant.term)
        current = self._board.read(BUNDLE)
        is_other_incarnation = grant.incarnation != self._identity.incarnation
        is_old = grant.term < self._term or grant.bundle_index < current.log_index
        if is_other_incarnation or is_old:
            return ()
        self._term = grant.term
        self._leader = grant.leader
        self._unanswered_since = None
        if grant.bundle_index > current.log_index:
            bundle = _unpack_push(grant.bundle, current)
            if bundle is None or grant.bundle is None:
                return self._request(now)
            view = BundleView(
                grant.bundle.log_index,
                bundle,
                index_accounts(bundle),
                RouteTable(bundle.get("routes", {})),
            )
            self._board.write(self, BUNDLE, view)
        self._apply_tables(grant, received_versions)
        self._write_evacuations(now)
        lease = self._board.read(LEASE)
        valid_until = max(lease.valid_until, grant.sent_at + grant.duration)
        confirmed_at = max(lease.confirmed_at, grant.sent_at)
        renewed = LeaseView(valid_until, grant.leader, confirmed_at)
        self._board.write(self, LEASE, renewed)
        if grant.bundle_index > current.log_index:
            return self._request(now)
        return ()

    def _apply_tables(
        self, grant: LeaseGrant, received_versions: frozenset[str]
    ) -> None:
        is_same_term = grant.table.term == self._table.term
        if not grant.is_full and not is_same_term:
            return
        if is_same_term and grant.table.sequence < self._table.sequence:
            return
        replaces_tables = grant.is_full and grant.is_settled
        known_members = self._board.read(MEMBERS)
        members = {} if replaces_tables else dict(known_members)
        members.update({record.instance: record for record in grant.members})
        known_targets = self._board.read(LISTED_TARGETS)
        targets = {} if replaces_tables else dict(known_targets)
        targets.update({record.name: record for record in grant.targets})
        self._board.write(self, MEMBERS, members)
        self._write_targets(targets)
        self._forget_versions(grant, received_versions)
        if grant.suspects is not None:
            self._board.write(self, SUSPECTS, dict(grant.suspects))
        if grant.is_settled or not grant.is_full:
            self._table = grant.table

    def _write_evacuations(self, now: float) -> None:
        """Write what the leader said of evacuations before its grant."""
        self._evacuations.expire(now)
        found = (
            (EVACUATED_DOMAINS, self._evacuations.domains),
            (EVACUATED_TARGETS, self._evacuations.targets),
        )
        for section, names in found:
            if names != self._board.read(section):
                self._board.write(self, section, names)

    def _write_cold(self, now: float) -> None:
        """Write the targets that are cold now."""
        self._cold.expire(now)
        if self._cold.rates != self._board.read(COLD_TARGETS):
            self._board.write(self, COLD_TARGETS, self._cold.rates)

    def _write_targets(self, listed: Mapping[str, TargetRecord]) -> None:
        """Write the listed targets, and with the states that they tell themselves."""
        leaving = self._board.read(LEAVING_TARGETS)
        self._board.write(self, LISTED_TARGETS, listed)
        self._board.write(self, TARGETS, apply_leaving_targets(listed, leaving))


def _unpack_push(push: BundlePush | None, current: BundleView) -> Bundle | None:
    """Return the pushed bundle, ``None`` if it does not apply to the current one."""
    if push is None:
        return None
    if push.base_index == 0:
        bundle = unpack_bundle(push.data)
    elif push.base_index == current.log_index and current.bundle is not None:
        base = current.bundle
        changes = unpack_changes(push.data)
        bundle = changes.bind(lambda unpacked: apply_changes(base, unpacked))
    else:
        return None
    unpacked = bundle.value_or(None)
    is_whole = unpacked is not None and digest_content(unpacked) == push.digest
    return unpacked if is_whole else None


def _round_load(open_requests: int) -> int:
    """Round a number of open requests down to a power of two; 0 stays 0."""
    return 1 << (open_requests.bit_length() - 1) if open_requests else 0
