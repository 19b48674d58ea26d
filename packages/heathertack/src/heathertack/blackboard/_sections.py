"""Sections of the blackboard of one instance."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from heathertack.blackboard._board import Section
from heathertack.bundle import Bundle
from heathertack.messages import MemberRecord, TargetRecord
from heathertack.routing import RouteTable


class BundleView(NamedTuple):
    """Bundle in force on this instance."""

    #: Index of its log entry; 0 before the first one.
    log_index: int = 0
    bundle: Bundle | None = None
    #: Client accounts by the SHA-256 of their caller key.
    accounts: Mapping[str, str] = MappingProxyType({})
    #: Routes of forwarded requests.
    routes: RouteTable = RouteTable({})


class LeaseView(NamedTuple):
    """Lease that confirms the bundle and the tables."""

    #: End of the lease, monotonic clock, seconds.
    valid_until: float = float("-inf")
    #: Instance that leads, empty if unknown.
    leader: str = ""
    #: Time at which the bundle and the tables were last known to be those of the
    #: leader, monotonic clock, seconds.
    confirmed_at: float = float("-inf")

    def is_valid(self, now: float) -> bool:
        """Return whether the instance may accept new work."""
        return now < self.valid_until


class ControlView(NamedTuple):
    """State of the control log on this instance."""

    is_leader: bool = False
    term: int = 0
    #: Instance that this replica follows as leader, empty if unknown.
    leader: str = ""
    #: End of the leader lease, monotonic clock, seconds.
    lease_until: float = float("-inf")
    #: Fencing token of this leadership for orders to targets.
    fencing_number: int = 0
    #: Log index of the latest accepted bundle.
    bundle_index: int = 0
    #: Request fingerprints with the number of target losses attributed to each.
    suspects: tuple[tuple[str, int], ...] = ()
    #: Instances that an operator marked as leaving.
    draining: frozenset[str] = frozenset()
    #: Services with the software versions that their targets have, or had lately.
    versions: tuple[tuple[str, str], ...] = ()
    #: Failure domains whose targets must get no new requests.
    evacuated: frozenset[str] = frozenset()

    def may_lead(self, now: float) -> bool:
        """Return whether this instance may act as the leader."""
        return self.is_leader and now < self.lease_until


class DrainView(NamedTuple):
    """Whether this instance is leaving, and its number of open requests."""

    leaving: bool = False
    open_requests: int = 0


class TargetHealth(NamedTuple):
    """Health of a target as observed by this instance."""

    #: Number of consecutive failures.
    failures: int = 0
    #: End of the back-off after failures, monotonic clock, seconds.
    avoid_until: float = float("-inf")
    #: Mean time between two consecutive events of a stream, seconds.
    mean_gap: float = 0.0
    #: Mean deviation of the time between two events, seconds.
    gap_deviation: float = 0.0


class TargetLimit(NamedTuple):
    """Rate of requests, or of rejections, that a target bears."""

    #: Number a second from all instances together; ``None`` for no limit any more.
    rate: float | None
    #: Time at which this was known to hold, monotonic clock, seconds.
    known_at: float


class TargetLink(NamedTuple):
    """Direct connections from this instance to one address of a target."""

    #: Time of the first failed attempt since the latest successful one, monotonic
    #: clock, seconds; ``None`` if none has failed.
    failing_since: float | None = None
    #: Time at which a relay last connected to it while direct attempts failed,
    #: monotonic clock, seconds; ``None`` if none did since direct attempts fail.
    relayed_at: float | None = None
    #: Time until which the target is taken to be down, since others can't connect to
    #: it either, monotonic clock, seconds.
    down_until: float = float("-inf")
    #: Whether one of these refused a connection, so that the target's machine runs.
    is_refusing: bool = False

    @property
    def is_cut(self) -> bool:
        """Whether only the link to the target fails, and not the target."""
        return self.failing_since is not None and self.relayed_at is not None


class LeavingTarget(NamedTuple):
    """A target that says in its answers that it is about to leave."""

    #: ``ip:port`` that said so.
    address: str
    #: Time at which it last said so, monotonic clock, seconds.
    known_at: float
    #: Start of its process, Unix clock, seconds; ``None`` if unknown.
    started_at: float | None = None


BUNDLE: Section[BundleView] = Section("bundle", BundleView())
LEASE: Section[LeaseView] = Section("lease", LeaseView())
MEMBERS: Section[Mapping[str, MemberRecord]] = Section("members", {})
#: Targets as the leader's table lists them.
LISTED_TARGETS: Section[Mapping[str, TargetRecord]] = Section("listed_targets", {})
#: The listed targets; those that say that they leave are leaving here, whatever the
#: leader's table says.
TARGETS: Section[Mapping[str, TargetRecord]] = Section("targets", {})
#: Leaving targets by name, as they told this instance.
LEAVING_TARGETS: Section[Mapping[str, LeavingTarget]] = Section("leaving_targets", {})
#: Requests a second that cold targets handle, from all instances together, by name.
COLD_TARGETS: Section[Mapping[str, float]] = Section("cold_targets", {})
#: Targets that would be live if their failure domain were not evacuated.
EVACUATED_TARGETS: Section[frozenset[str]] = Section("evacuated_targets", frozenset())
#: Failure domains whose targets must get no requests, as the leader says.
EVACUATED_DOMAINS: Section[frozenset[str]] = Section("evacuated_domains", frozenset())
#: Software version by the name of the target; empty if the leader publishes none.
TARGET_VERSIONS: Section[Mapping[str, str]] = Section("target_versions", {})
SUSPECTS: Section[Mapping[str, int]] = Section("suspects", {})
CONTROL: Section[ControlView] = Section("control", ControlView())
DRAIN: Section[DrainView] = Section("drain", DrainView())
#: Limits by the name of the target, without those that never named one.
TARGET_LIMITS: Section[Mapping[str, TargetLimit]] = Section("target_limits", {})
#: Bounds on rejections by the name of the target, without those that never named one.
TARGET_REJECTIONS: Section[Mapping[str, TargetLimit]] = Section("target_rejections", {})
TARGET_HEALTH: Section[Mapping[str, TargetHealth]] = Section("target_health", {})
#: Time until which this instance sends a target nothing, monotonic clock, seconds, by
#: the name of the target.
TARGET_PAUSES: Section[Mapping[str, float]] = Section("target_pauses", {})
#: Direct connections by ``ip:port`` of the target, without those that succeed.
TARGET_LINKS: Section[Mapping[str, TargetLink]] = Section("target_links", {})
#: Services that other instances can't connect to by themselves, by instance.
UNREACHABLE_SERVICES: Section[Mapping[str, frozenset[str]]] = Section(
    "unreachable_services", {}
)
