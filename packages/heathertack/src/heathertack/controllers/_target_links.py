"""Decides whether connections to a target are opened directly or through a relay."""

from __future__ import annotations

from enum import StrEnum
from typing import Any, ClassVar, NamedTuple, assert_never

from heathertack.blackboard import (
    MEMBERS,
    TARGET_LINKS,
    TARGETS,
    UNREACHABLE_SERVICES,
    Blackboard,
    Section,
    TargetLink,
)
from heathertack.controllers._actions import SendToPeer
from heathertack.controllers._addresses import RandomFloatSource
from heathertack.messages import MemberState, TargetState, UnreachableServices

#: Maximum number of relays that are asked for one connection.
_MAX_RELAYS = 6
#: Number of relays that must fail to connect to a target before it is taken to be down:
#: the link of a relay may fail, too, and the relay not know it yet.
_MIN_DOWN_REPORTS = 2
#: Time for which a target that is down is not asked for through relays, seconds.
_DOWN_SECONDS = 1.0
#: Time for which a relay that could not connect to an address is asked after others,
#: seconds.
_RELAY_AVOIDANCE_SECONDS = 1.0
#: Interval between direct attempts to an address that is used through relays, seconds.
_PROBE_INTERVAL_SECONDS = 0.5
#: Interval at which unreachable services are announced again, seconds.
_ANNOUNCEMENT_INTERVAL_SECONDS = 1.0
#: Time after which an announcement that was not repeated counts no more, seconds.
_ANNOUNCEMENT_LIFETIME_SECONDS = 3.0
#: Number of other targets that are connected to, to tell whether the own link works.
_MAX_WITNESSES = 2


class RelayOutcome(StrEnum):
    """How a relay answered the request for a connection to a target."""

    CONNECTED = "connected"
    #: The target's machine refused the connection of the relay.
    REFUSED = "refused"
    #: The target did not respond to the relay, which reaches other targets.
    UNREACHABLE = "unreachable"
    #: The link of the relay may have failed, too.
    CUT = "cut"
    #: The relay accepts no more connections.
    BUSY = "busy"
    #: The relay did not answer.
    SILENT = "silent"


class DirectAttempted(NamedTuple):
    """A direct connection to a target was opened or failed."""

    #: ``ip:port`` of the target.
    address: str
    is_connected: bool


class RelayAnswered(NamedTuple):
    """A relay was asked for a connection to a target."""

    #: ``ip:port`` of the target.
    address: str
    #: Instance that was asked.
    relay: str
    outcome: RelayOutcome


class UnreachableReceived(NamedTuple):
    """Another instance announced which services it can't connect to."""

    sender: str
    message: UnreachableServices


class LinksDue(NamedTuple):
    """The clock advanced."""


Event = DirectAttempted | RelayAnswered | UnreachableReceived | LinksDue


class TargetLinkController:
    """Tracks which targets this instance can connect to by itself.

    A failed attempt alone does not tell whether the target or the link to it has
    failed; a relay that connects to the same target does.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    instance : str
        Name of the instance.
    failure_domain : str
        Failure domain of the instance.
    """

    READS: ClassVar[tuple[Section[Any], ...]] = (MEMBERS, TARGETS)
    WRITES: ClassVar[tuple[Section[Any], ...]] = (TARGET_LINKS, UNREACHABLE_SERVICES)

    def __init__(self, board: Blackboard, instance: str, failure_domain: str) -> None:
        self._board = board
        self._instance = instance
        self._failure_domain = failure_domain
        #: Time of the latest direct connection by address, monotonic clock, seconds.
        self._connected_at: dict[str, float] = {}
        #: Relays that could not connect, with the time and the outcome, by address.
        self._failures: dict[str, dict[str, tuple[float, RelayOutcome]]] = {}
        #: Time until which a relay is asked after others, by relay and address.
        self._avoid_until: dict[tuple[str, str], float] = {}
        self._expires_at: dict[str, float] = {}
        self._next_probe_at: dict[str, float] = {}
        self._announced: tuple[str, ...] = ()
        self._next_announcement_at = float("-inf")
        board.register(self)

    def handle(self, event: Event, now: float) -> tuple[SendToPeer, ...]:
        """Handle an event and return announcements to other instances.

        Parameters
        ----------
        event : Event
            Event to handle.
        now : float
            Monotonic clock, seconds.
        """
        match event:
            case DirectAttempted():
                self._record_attempt(event, now)
            case RelayAnswered():
                self._record_answer(event, now)
            case UnreachableReceived():
                self._record_announcement(event, now)
            case LinksDue():
                self._forget(now)
            case _:
                assert_never(event)
        return self._announce(now)

    @property
    def unreachable_services(self) -> tuple[str, ...]:
        """Services to whose targets only relays have connected lately."""
        links = self._board.read(TARGET_LINKS)
        if not any(link.is_cut for link in links.values()):
            return ()
        cut_since: dict[str, float] = {}
        connected_at: dict[str, float] = {}
        for target in self._board.read(TARGETS).values():
            if target.state is TargetState.GONE:
                continue
            service = target.service
            link = links.get(target.address, TargetLink())
            if link.is_cut and link.failing_since is not None:
                earlier = cut_since.get(service, link.failing_since)
                cut_since[service] = min(earlier, link.failing_since)
            last = self._connected_at.get(target.address, float("-inf"))
            connected_at[service] = max(connected_at.get(service, last), last)
        return tuple(
            sorted(s for s, since in cut_since.items() if connected_at[s] < since)
        )

    def must_relay(self, address: str) -> bool:
        """Return whether a connection to an address is opened through relays first."""
        return self._board.read(TARGET_LINKS).get(address, TargetLink()).is_cut

    def is_target(self, address: str) -> bool:
        """Return whether a target is listed at an address."""
        return self._find_target(address) is not None

    def has_connected_since(self, since: float) -> bool:
        """Return whether this instance has connected to a target by itself.

        Parameters
        ----------
        since : float
            Monotonic clock, seconds.
        """
        latest = max(self._connected_at.values(), default=float("-inf"))
        return latest >= since

    def list_witnesses(
        self, address: str, random: RandomFloatSource
    ) -> tuple[str, ...]:
        """Return addresses of other targets, to which the own link can be tried."""
        links = self._board.read(TARGET_LINKS)
        others = [
            target.address
            for target in self._board.read(TARGETS).values()
            if target.state is TargetState.LIVE and target.address != address
        ]

        def rank(other: str) -> tuple[bool, float]:
            return (other in links, random.random())

        return tuple(sorted(others, key=rank)[:_MAX_WITNESSES])

    def is_down(self, address: str, now: float) -> bool:
        """Return whether other instances could not connect to an address either."""
        link = self._board.read(TARGET_LINKS).get(address, TargetLink())
        return now < link.down_until

    def is_refusing(self, address: str, now: float) -> bool:
        """Return whether a target refuses the connections of other instances, too."""
        link = self._board.read(TARGET_LINKS).get(address, TargetLink())
        return link.is_refusing and now < link.down_until

    def take_probes(self, now: float) -> tuple[str, ...]:
        """Return the addresses that are to be tried directly now."""
        due: list[str] = []
        for address, link in self._board.read(TARGET_LINKS).items():
            if link.is_cut and self._next_probe_at.get(address, now) <= now:
                self._next_probe_at[address] = now + _PROBE_INTERVAL_SECONDS
                due.append(address)
        return tuple(due)

    def list_relays(
        self, address: str, random: RandomFloatSource, now: float
    ) -> tuple[str, ...]:
        """Return the instances to ask for a connection, in order.

        Instances that are known not to reach the target are asked last, and a path
        within few failure domains is preferred.

        Parameters
        ----------
        address : str
            ``ip:port`` of the target.
        random : RandomFloatSource
            Spreads connections over relays.
        now : float
            Monotonic clock, seconds.
        """
        target = self._find_target(address)
        if target is None:
            return ()
        service, domain = target
        unreachable = self._board.read(UNREACHABLE_SERVICES)

        def rank(member: tuple[str, str]) -> tuple[bool, bool, int, float]:
            name, relay_domain = member
            is_cut = service in unreachable.get(name, frozenset())
            is_avoided = self._avoid_until.get((name, address), now) > now
            crossings = (relay_domain != self._failure_domain) + (
                relay_domain != domain
            )
            return (is_cut, is_avoided, crossings, random.random())

        members = [
            (member.instance, member.failure_domain)
            for member in self._board.read(MEMBERS).values()
            if member.state is MemberState.ALIVE and member.instance != self._instance
        ]
        return tuple(name for name, _ in sorted(members, key=rank)[:_MAX_RELAYS])

    def _find_target(self, address: str) -> tuple[str, str] | None:
        """Return the service and the failure domain of the target at an address."""
        for target in self._board.read(TARGETS).values():
            if target.address == address and target.state is not TargetState.GONE:
                return target.service, target.failure_domain
        return None

    def _record_attempt(self, event: DirectAttempted, now: float) -> None:
        link = self._board.read(TARGET_LINKS).get(event.address)
        if event.is_connected:
            self._connected_at[event.address] = now
            self._failures.pop(event.address, None)
            self._next_probe_at.pop(event.address, None)
            if link is not None:
                self._write_link(event.address, None)
        elif link is None or link.failing_since is None:
            self._write_link(event.address, TargetLink(failing_since=now))

    def _record_answer(self, event: RelayAnswered, now: float) -> None:
        address = event.address
        link = self._board.read(TARGET_LINKS).get(address, TargetLink())
        if event.outcome is RelayOutcome.CONNECTED:
            self._avoid_until.pop((event.relay, address), None)
            self._failures.pop(address, None)
            if link.failing_since is not None:
                changed = link._replace(relayed_at=now, down_until=float("-inf"))
                self._write_link(address, changed)
            return
        self._avoid_until[event.relay, address] = now + _RELAY_AVOIDANCE_SECONDS
        if event.outcome not in (RelayOutcome.REFUSED, RelayOutcome.UNREACHABLE):
            return
        failures = self._failures.setdefault(address, {})
        failures[event.relay] = (now, event.outcome)
        recent = [out for at, out in failures.values() if now - at < _DOWN_SECONDS]
        if len(recent) >= min(_MIN_DOWN_REPORTS, self._count_relays()):
            failures.clear()
            down = link._replace(
                relayed_at=None,
                down_until=now + _DOWN_SECONDS,
                is_refusing=RelayOutcome.REFUSED in recent,
            )
            self._write_link(address, down)

    def _count_relays(self) -> int:
        members = self._board.read(MEMBERS).values()
        alive = {m.instance for m in members if m.state is MemberState.ALIVE}
        return max(len(alive - {self._instance}), 1)

    def _record_announcement(self, event: UnreachableReceived, now: float) -> None:
        known = self._board.read(UNREACHABLE_SERVICES)
        services = frozenset(event.message.services)
        if services:
            self._expires_at[event.sender] = now + _ANNOUNCEMENT_LIFETIME_SECONDS
        if services != known.get(event.sender, frozenset()):
            others = {name: known[name] for name in known if name != event.sender}
            changed = {**others, event.sender: services} if services else others
            self._board.write(self, UNREACHABLE_SERVICES, changed)

    def _forget(self, now: float) -> None:
        """Remove expired announcements, and what concerns addresses without targets."""
        known = self._board.read(UNREACHABLE_SERVICES)
        valid = {name: known[name] for name in known if self._expires_at[name] > now}
        if len(valid) != len(known):
            self._board.write(self, UNREACHABLE_SERVICES, valid)
        self._expires_at = {name: self._expires_at[name] for name in valid}
        self._avoid_until = {k: t for k, t in self._avoid_until.items() if t > now}
        targets = self._board.read(TARGETS).values()
        used = {t.address for t in targets if t.state is not TargetState.GONE}
        links = self._board.read(TARGET_LINKS)
        if not links.keys() <= used:
            kept = {address: links[address] for address in links if address in used}
            self._board.write(self, TARGET_LINKS, kept)
        for address in self._connected_at.keys() - used:
            del self._connected_at[address]
        for address in self._failures.keys() - used:
            del self._failures[address]
        for address in self._next_probe_at.keys() - used:
            del self._next_probe_at[address]

    def _write_link(self, address: str, link: TargetLink | None) -> None:
        """Write the link to an address; ``None`` if connections succeed."""
        links = self._board.read(TARGET_LINKS)
        others = {other: links[other] for other in links if other != address}
        changed = {**others, address: link} if link is not None else others
        self._board.write(self, TARGET_LINKS, changed)

    def _announce(self, now: float) -> tuple[SendToPeer, ...]:
        """Announce the unreachable services when they change, and while there are any.

        An instance that reaches all of its targets sends nothing.
        """
        services = self.unreachable_services
        is_repeated = bool(services) and now >= self._next_announcement_at
        if services == self._announced and not is_repeated:
            return ()
        self._announced = services
        self._next_announcement_at = now + _ANNOUNCEMENT_INTERVAL_SECONDS
        message = UnreachableServices(services)
        return tuple(
            SendToPeer(member.instance, message)
            for member in self._board.read(MEMBERS).values()
            if member.state is MemberState.ALIVE and member.instance != self._instance
        )
