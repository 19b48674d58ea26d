"""Distribution of large bundles over links of limited rate, in virtual time."""

import hashlib
import heapq
import itertools
import random
import string
from collections import deque
from collections.abc import Callable, Hashable
from functools import partial
from typing import ClassVar, NamedTuple

import pytest

from heathertack.blackboard import (
    BUNDLE,
    CONTROL,
    LEASE,
    Blackboard,
    ControlView,
    Section,
)
from heathertack.bundle import (
    Bundle,
    ForwardingRoute,
    SignedBundle,
    canonical_text,
    digest_content,
    pack_bundle,
)
from heathertack.controllers import (
    BundleCommitted,
    InstanceIdentity,
    LeaseDue,
    LeaseGrantorController,
    LeaseGrantReceived,
    LeaseHolderController,
    LeaseRequested,
    LeaseTimings,
    PlatformTargetsListed,
    SendToPeer,
    TargetCordoned,
    TimePassed,
    derive_lease_timings,
)
from heathertack.controllers._bundle_archive import BundleArchive
from heathertack.controllers.tests.slow_link_cluster import measure_frames
from heathertack.messages import (
    LeaseGrant,
    LeaseRequest,
    PeerMessage,
    TargetRecord,
    TargetState,
)
from heathertack.state import AcceptedBundle

BYTES_PER_MEGABIT = 125_000
LEADER_LINK_MEGABITS = 50
HOLDER_LINK_MEGABITS = 5
#: Bytes that one connection sends before another one has its turn.
TURN_BYTES = 12_000
#: Time in which half a core applies a bundle of 1,400 routes, seconds.
APPLICATION_SECONDS = 0.025
CONTROL_TICK_SECONDS = 0.05
HOLDER_TICK_SECONDS = 0.1

PROPAGATION_SECONDS = 2.5
TIMINGS = derive_lease_timings(PROPAGATION_SECONDS, 5.0)

SMALL, LARGE = 40, 1400
SETTLED = 5.0


def build_bundle(version: int, routes: int, accounts: int = 300) -> Bundle:
    """Return a bundle whose names share as little as those of a real one."""
    return {
        "version": version,
        "services": {"a": {"kind": "forwarding"}, "b": {"kind": "forwarding"}},
        "classes": {"forwarded": 0},
        "accounts": {
            f"account{number}": {
                "key_sha256": digest_key(2 * number),
                "more_keys_sha256": [digest_key(2 * number + 1)],
                "share": 1.0,
                "max_in_progress": 1_000_000,
                "default_class": "forwarded",
            }
            for number in range(accounts)
        },
        "routes": {
            f"{route['host']}{route['path_prefix']}": route
            for route in map(build_route, range(routes))
        },
    }


def build_route(number: int) -> ForwardingRoute:
    letters = random.Random(number).choices(string.ascii_lowercase, k=13)
    name = "".join(letters)
    return {
        "host": f"{name[:6]}.example",
        "path_prefix": f"/{name[6:]}/",
        "kind": "streaming",
        "services": {"a": 90, "b": 10},
        "timeout": 39.0,
        "latency_objective": 1.8,
        "gap_objective": 0.18,
        "priority": -1,
        "max_attempts": 1,
        "public": False,
    }


def digest_key(number: int) -> str:
    return hashlib.sha256(str(number).encode()).hexdigest()


def accept(index: int, bundle: Bundle) -> AcceptedBundle:
    signed = SignedBundle(canonical_text(bundle), "", "")
    return AcceptedBundle(index, index, digest_content(bundle), signed, 0.0)


class ControlWriter:
    """Fake control log that writes the control section."""

    READS: ClassVar[tuple[Section[object], ...]] = ()
    WRITES: ClassVar[tuple[Section[ControlView], ...]] = (CONTROL,)

    def __init__(self, board: Blackboard) -> None:
        self._board = board
        board.register(self)

    def set(self, view: ControlView) -> None:
        self._board.write(self, CONTROL, view)


class Clock:
    """Runs callbacks in the order of their times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._order = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, time: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._due, (time, next(self._order), callback))

    def run(self, until: float) -> None:
        while self._due and self._due[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._due)
            callback()
        self.now = until


class _Transfer(NamedTuple):
    size: int
    done: Callable[[], None]


class Link:
    """A link whose connections take turns; each sends its messages in order."""

    def __init__(self, clock: Clock, megabits: float) -> None:
        self._clock = clock
        self._rate = megabits * BYTES_PER_MEGABIT
        self._waiting: dict[Hashable, deque[_Transfer]] = {}
        self._is_busy = False
        self.queued_bytes = 0

    def send(self, connection: Hashable, size: int, done: Callable[[], None]) -> None:
        self.queued_bytes += size
        self._waiting.setdefault(connection, deque()).append(_Transfer(size, done))
        if not self._is_busy:
            self._take_turn()

    def _take_turn(self) -> None:
        self._is_busy = bool(self._waiting)
        if not self._waiting:
            return
        connection = next(iter(self._waiting))
        transfers = self._waiting.pop(connection)
        transfer = transfers.popleft()
        sent = min(TURN_BYTES, transfer.size)
        if sent < transfer.size:
            transfers.appendleft(transfer._replace(size=transfer.size - sent))
        if transfers:
            self._waiting[connection] = transfers
        is_complete = sent == transfer.size

        def finish() -> None:
            self.queued_bytes -= sent
            if is_complete:
                transfer.done()
            self._take_turn()

        self._clock.at(self._clock.now + sent / self._rate, finish)


class Cluster:
    """A leader and holders, with the real controllers and sizes of messages."""

    def __init__(self, holders: int, timings: LeaseTimings = TIMINGS) -> None:
        self.clock = Clock()
        board = Blackboard()
        self._control = ControlWriter(board)
        self._control.set(ControlView(True, 1, lease_until=1e9))
        self.grantor = LeaseGrantorController(board, "leader", timings)
        self._leader_link = Link(self.clock, LEADER_LINK_MEGABITS)
        self.boards = {f"i{number}": Blackboard() for number in range(holders)}
        self._links = {n: Link(self.clock, HOLDER_LINK_MEGABITS) for n in self.boards}
        self.holders = {
            name: LeaseHolderController(
                board,
                InstanceIdentity(name, 1, "127.0.0.1:1", "zone-a"),
                ("leader",),
                timings,
            )
            for name, board in self.boards.items()
        }
        self.copies = dict.fromkeys(self.boards, 0)
        self.bundle_bytes = 0
        self.in_use_at: dict[str, float] = {}
        self.longest_delay = 0.0
        self.expired: set[str] = set()
        self.isolated: set[str] = set()
        self._lost_pushes: dict[str, int] = {}
        self._start()

    def _start(self) -> None:
        self.grantor.handle(BundleCommitted(accept(1, build_bundle(1, SMALL))), 0.0)
        self.clock.at(0.0, self._tick_leader)
        for number, name in enumerate(self.holders):
            offset = number * TIMINGS.renewal / len(self.holders)
            self.clock.at(offset, partial(self._tick_holder, name))
        self.clock.run(SETTLED)
        assert all(b.read(BUNDLE).log_index == 1 for b in self.boards.values())
        self.copies = dict.fromkeys(self.boards, 0)
        self.bundle_bytes = 0
        self.in_use_at = {}
        self.longest_delay = 0.0
        self.expired.clear()

    def commit(self, bundle: Bundle) -> None:
        self.carry_out(
            self.grantor.handle(BundleCommitted(accept(2, bundle)), self.clock.now)
        )

    def set_control(self, view: ControlView) -> None:
        self._control.set(view)

    def lose_next_push(self, name: str) -> None:
        self._lost_pushes[name] = 1

    def run(self, seconds: float) -> None:
        self.clock.run(self.clock.now + seconds)

    def carry_out(self, actions: tuple[object, ...]) -> None:
        for action in actions:
            if isinstance(action, SendToPeer):
                self._send_from_leader(action.instance, action.message)

    def _send_from_leader(self, name: str, message: PeerMessage) -> None:
        size = measure_frames(message)
        if isinstance(message, LeaseGrant) and message.bundle is not None:
            self.copies[name] += 1
            self.bundle_bytes += len(message.bundle.data)
            if self._lost_pushes.pop(name, 0):
                return
        sent_at = self.clock.now

        def receive() -> None:
            self.longest_delay = max(self.longest_delay, self.clock.now - sent_at)
            if isinstance(message, LeaseGrant) and name not in self.isolated:
                cost = APPLICATION_SECONDS if message.bundle is not None else 0.0
                done = self.clock.now + cost
                self.clock.at(done, lambda: self._receive_grant(name, message))

        def pass_on() -> None:
            self._links[name].send("leader", size, receive)

        self._leader_link.send(name, size, pass_on)

    def _receive_grant(self, name: str, grant: LeaseGrant) -> None:
        now = self.clock.now
        actions = self.holders[name].handle(LeaseGrantReceived(grant), now)
        if self.boards[name].read(BUNDLE).log_index == 2:
            self.in_use_at.setdefault(name, now)
        self._send_requests(name, actions)

    def _send_requests(self, name: str, actions: tuple[SendToPeer, ...]) -> None:
        for action in actions:
            request = action.message
            if isinstance(request, LeaseRequest) and name not in self.isolated:
                size = measure_frames(request)
                arrival = self.clock.now + size / (
                    HOLDER_LINK_MEGABITS * BYTES_PER_MEGABIT
                )
                self.clock.at(arrival, partial(self._receive_request, request))

    def _receive_request(self, request: LeaseRequest) -> None:
        event = LeaseRequested(request)
        self.carry_out(self.grantor.handle(event, self.clock.now))

    def _tick_leader(self) -> None:
        now = self.clock.now
        self.carry_out(self.grantor.handle(TimePassed(0.0), now))
        self.clock.at(now + CONTROL_TICK_SECONDS, self._tick_leader)

    def _tick_holder(self, name: str) -> None:
        now = self.clock.now
        self._send_requests(name, self.holders[name].handle(LeaseDue(), now))
        if not self.boards[name].read(LEASE).is_valid(now):
            self.expired.add(name)
        self.clock.at(now + HOLDER_TICK_SECONDS, partial(self._tick_holder, name))


def list_target(name: str) -> TargetRecord:
    return TargetRecord(name, "a", "127.0.0.1:1", "zone-a", TargetState.LIVE, 1000)


@pytest.mark.parametrize("holders", [63, 72])
class TestLargeBundle:
    # Guards against a queue that grows by a whole bundle at each renewal.
    def test_is_not_sent_again_while_it_is_on_its_way(self, holders: int) -> None:
        cluster = Cluster(holders)
        cluster.commit(build_bundle(2, LARGE))
        cluster.run(4.0)
        assert set(cluster.copies.values()) == {1}

    # Guards against a push of the tables that repeats the bundle to every holder.
    def test_is_not_sent_again_with_changes_of_targets(self, holders: int) -> None:
        cluster = Cluster(holders)
        names = [f"t{number}" for number in range(4)]
        listed = PlatformTargetsListed(tuple(map(list_target, names)))
        cluster.carry_out(cluster.grantor.handle(listed, cluster.clock.now))
        cluster.run(1.0)
        cluster.commit(build_bundle(2, LARGE))
        for name in names:
            cluster.run(0.05)
            cordoned = TargetCordoned(name)
            cluster.carry_out(cluster.grantor.handle(cordoned, cluster.clock.now))
        cluster.run(4.0)
        assert set(cluster.copies.values()) == {1}

    def test_is_in_use_everywhere_in_time(self, holders: int) -> None:
        cluster = Cluster(holders)
        committed_at = cluster.clock.now
        cluster.commit(build_bundle(2, LARGE))
        cluster.run(6.0)
        assert len(cluster.in_use_at) == holders
        assert max(cluster.in_use_at.values()) <= committed_at + PROPAGATION_SECONDS

    def test_expires_no_lease(self, holders: int) -> None:
        cluster = Cluster(holders)
        cluster.commit(build_bundle(2, LARGE))
        cluster.run(6.0)
        assert not cluster.expired

    def test_is_sent_again_in_time_if_lost(self, holders: int) -> None:
        cluster = Cluster(holders)
        committed_at = cluster.clock.now
        cluster.lose_next_push("i7")
        cluster.commit(build_bundle(2, LARGE))
        cluster.run(6.0)
        assert cluster.in_use_at["i7"] <= committed_at + PROPAGATION_SECONDS


class TestOldBundle:
    # Guards against a lease that outlives the bound of propagation.
    def test_is_not_used_longer_than_the_bound(self) -> None:
        cluster = Cluster(3)
        lease_of = cluster.boards["i1"].read
        while lease_of(LEASE).valid_until < cluster.clock.now + TIMINGS.duration - 0.1:
            cluster.run(0.05)
        cluster.isolated.add("i1")
        cluster.commit(build_bundle(2, SMALL + 1))
        cluster.run(PROPAGATION_SECONDS)
        assert lease_of(BUNDLE).log_index == 1
        assert not lease_of(LEASE).is_valid(cluster.clock.now)


class TestNewLeader:
    # Guards against leases for a bundle that is older than the log's latest. The log
    # publishes that it leads before the bundle that it has applied is announced.
    def test_grants_no_lease_for_an_older_bundle(self) -> None:
        cluster = Cluster(1)
        (request,) = cluster.holders["i0"].handle(LeaseDue(), 100.0)
        assert isinstance(request.message, LeaseRequest)
        cluster.set_control(ControlView(True, 2, lease_until=1e9, bundle_index=2))
        asked = LeaseRequested(request.message)
        granted = [
            action.message.bundle_index
            for action in cluster.grantor.handle(asked, 100.0)
            if isinstance(action, SendToPeer) and isinstance(action.message, LeaseGrant)
        ]
        assert 1 not in granted


class TestBundlePush:
    # Guards against changes that are larger than the bundle itself.
    @pytest.mark.parametrize("routes", [SMALL + 1, 1040, LARGE])
    def test_is_never_larger_than_the_whole_bundle(self, routes: int) -> None:
        archive = BundleArchive()
        archive.store(accept(1, build_bundle(1, SMALL)))
        archive.build_push(0)
        bundle = build_bundle(2, routes)
        archive.store(accept(2, bundle))
        push = archive.build_push(1)
        assert push is not None
        assert len(push.data) <= len(pack_bundle(bundle))
