import random
from typing import ClassVar

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from heathertack.blackboard import (
    BUNDLE,
    CONTROL,
    LEASE,
    MEMBERS,
    SUSPECTS,
    TARGET_VERSIONS,
    TARGETS,
    Blackboard,
    ControlView,
    Section,
)
from heathertack.bundle import (
    Bundle,
    SignedBundle,
    canonical_text,
    digest_content,
)
from heathertack.controllers import (
    LEASE_TIMINGS,
    BundleCommitted,
    ConfirmBundleInForce,
    InstanceIdentity,
    LeaderHintReceived,
    LeaseDue,
    LeaseGrantorController,
    LeaseGrantReceived,
    LeaseHolderController,
    LeaseRequested,
    PlatformTargetsListed,
    ProposeCommand,
    SendToPeer,
    TargetLeavingReported,
    TargetVersionsReceived,
    TimePassed,
    choose_addresses,
)
from heathertack.messages import (
    LeaderHint,
    LeaseGrant,
    LeaseRequest,
    MemberState,
    TableVersion,
    TargetRecord,
    TargetState,
    TargetVersions,
)
from heathertack.state import AcceptedBundle, MarkOwnerLost

STEP_SECONDS = 0.1


def accepted_bundle(index: int) -> AcceptedBundle:
    bundle: Bundle = {
        "version": index,
        "services": {},
        "classes": {"c": index},
        "accounts": {},
    }
    signed = SignedBundle(canonical_text(bundle), "", "")
    return AcceptedBundle(index, index, digest_content(bundle), signed, 0.0)


def target_record(
    state: TargetState = TargetState.LIVE, name: str = "e1"
) -> TargetRecord:
    return TargetRecord(name, "tutor", "127.0.0.1:1", "nairobi-a", state, 1000)


class ControlWriter:
    """Fake control log that writes the control section."""

    READS: ClassVar[tuple[Section[object], ...]] = ()
    WRITES: ClassVar[tuple[Section[ControlView], ...]] = (CONTROL,)

    def __init__(self, board: Blackboard) -> None:
        self._board = board
        board.register(self)

    def set(self, view: ControlView) -> None:
        self._board.write(self, CONTROL, view)


class Leader:
    def __init__(self, name: str, seeds: tuple[str, ...] = ()) -> None:
        board = Blackboard()
        self.name = name
        self.control = ControlWriter(board)
        self.grantor = LeaseGrantorController(board, name, LEASE_TIMINGS)
        self.grantor.set_seeds(seeds)

    def lead(self, term: int, until: float) -> None:
        self.control.set(ControlView(True, term, lease_until=until))


class Holder:
    def __init__(self, name: str, incarnation: int, leaders: tuple[str, ...]) -> None:
        self.name = name
        self.board = Blackboard()
        identity = InstanceIdentity(name, incarnation, "127.0.0.1:1", "nairobi-a")
        self.controller = LeaseHolderController(
            self.board, identity, leaders, LEASE_TIMINGS
        )

    @property
    def index(self) -> int:
        return self.board.read(BUNDLE).log_index

    def may_serve(self, now: float) -> bool:
        return self.board.read(LEASE).is_valid(now)


class LeaseMachine(RuleBasedStateMachine):
    """Leaders change, and instances are isolated and restart."""

    @initialize()
    def start(self) -> None:
        self.now = 0.0
        self.term = 0
        self.committed: list[int] = []
        self.leaders = {name: Leader(name) for name in ("p", "q")}
        self.leader = "p"
        self.lease_until = 0.0
        self.holders = {
            name: Holder(name, 1, ("p", "q")) for name in ("e1", "e2", "e3")
        }
        self.incarnations = dict.fromkeys(self.holders, 1)
        self.highest_index = dict.fromkeys(self.holders, 0)
        self.in_flight: list[tuple[float, str, str, object]] = []
        self.isolated: set[str] = set()
        self.change_leader("p")

    @rule(name=st.sampled_from(["p", "q"]))
    def change_leader(self, name: str) -> None:
        """The next leader starts once the lease of the previous one has expired."""
        self.now = max(self.now, self.lease_until)
        self.term += 1
        self.leader = name
        self.renew()

    def renew(self) -> None:
        self.lease_until = self.now + 0.6
        self.leaders[self.leader].lead(self.term, self.lease_until)

    @rule(steps=st.integers(1, 25), renews=st.booleans())
    def run(self, steps: int, renews: bool) -> None:
        for _ in range(steps):
            self.now += STEP_SECONDS
            if renews or self.now < self.lease_until - 0.3:
                self.renew() if renews else None
            self.deliver()
            for leader in self.leaders.values():
                actions = leader.grantor.handle(TimePassed(0.0), self.now)
                self.carry_out(leader.name, actions)
            for holder in self.holders.values():
                actions = holder.controller.handle(LeaseDue(), self.now)
                self.carry_out(holder.name, actions)
            self.check()

    @rule()
    def commit_bundle(self) -> None:
        leader = self.leaders[self.leader]
        if self.now >= self.lease_until:
            return
        index = len(self.committed) + 1
        self.committed.append(index)
        for each_leader in self.leaders.values():
            event = BundleCommitted(accepted_bundle(index))
            self.carry_out(
                each_leader.name, each_leader.grantor.handle(event, self.now)
            )
        assert leader.name == self.leader

    @rule(name=st.sampled_from(["e1", "e2", "e3"]))
    def isolate(self, name: str) -> None:
        self.isolated.add(name)

    @rule()
    def heal_network(self) -> None:
        self.isolated.clear()

    @rule(name=st.sampled_from(["e1", "e2", "e3"]))
    def restart(self, name: str) -> None:
        self.incarnations[name] += 1
        self.highest_index[name] = 0
        self.holders[name] = Holder(name, self.incarnations[name], ("p", "q"))
        assert not self.holders[name].may_serve(self.now)

    @rule()
    def delay_all(self) -> None:
        """Delays all messages in flight, so that later ones overtake them."""
        self.in_flight = [(at + 1.0, *rest) for at, *rest in self.in_flight]  # type: ignore[misc]

    def carry_out(self, sender: str, actions: tuple[object, ...]) -> None:
        for action in actions:
            if isinstance(action, SendToPeer):
                envelope = (self.now + 0.05, sender, action.instance, action.message)
                self.in_flight.append(envelope)
            elif isinstance(action, ConfirmBundleInForce):
                self.check_in_force(action.log_index)

    def deliver(self) -> None:
        due = [envelope for envelope in self.in_flight if envelope[0] <= self.now]
        self.in_flight = [
            envelope for envelope in self.in_flight if envelope[0] > self.now
        ]
        for _, sender, receiver, message in due:
            if self.isolated & {sender, receiver}:
                continue
            if isinstance(message, LeaseRequest) and receiver in self.leaders:
                grantor = self.leaders[receiver].grantor
                actions = grantor.handle(LeaseRequested(message), self.now)
                self.carry_out(receiver, actions)
            elif isinstance(message, LeaseGrant):
                controller = self.holders[receiver].controller
                got = controller.handle(LeaseGrantReceived(message), self.now)
                self.carry_out(receiver, got)

    def check_in_force(self, index: int) -> None:
        for holder in self.holders.values():
            if holder.may_serve(self.now):
                assert holder.index >= index, f"{holder.name} serves an older bundle"

    def check(self) -> None:
        for name, holder in self.holders.items():
            assert holder.index >= self.highest_index[name], (
                "the bundle index decreased"
            )
            self.highest_index[name] = holder.index
        for leader in self.leaders.values():
            self.check_in_force(leader.grantor.in_force_index)

    def teardown(self) -> None:
        """Without faults, every instance has the latest bundle within 3 s."""
        if not hasattr(self, "now"):
            return
        self.heal_network()
        self.in_flight.clear()
        self.change_leader(self.leader)
        self.commit_bundle()
        self.run(30, renews=True)
        for holder in self.holders.values():
            assert holder.index == len(self.committed)
            assert holder.may_serve(self.now)
        leader = self.leaders[self.leader]
        assert leader.grantor.in_force_index == len(self.committed)


LeaseMachine.TestCase.settings = settings(stateful_step_count=30)
TestBundleLeasesUnderFaults = LeaseMachine.TestCase


class TestInForce:
    def test_waits_for_an_isolated_holder(self) -> None:
        machine = LeaseMachine()
        machine.start()
        machine.run(25, renews=True)
        machine.isolate("e1")
        machine.commit_bundle()
        machine.run(5, renews=True)
        grantor = machine.leaders["p"].grantor
        assert machine.holders["e2"].index == 1
        assert machine.holders["e1"].may_serve(machine.now)
        assert grantor.in_force_index == 0
        machine.run(20, renews=True)
        assert grantor.in_force_index == 1
        assert not machine.holders["e1"].may_serve(machine.now)


class TestLeaseHolder:
    def test_late_grant_of_an_old_leader_is_ignored(self) -> None:
        holder = Holder("e1", 1, ("p", "q"))
        old, new = Leader("p"), Leader("q")
        old.lead(1, until=100.0)
        new.lead(2, until=100.0)
        old.grantor.handle(PlatformTargetsListed((target_record(),)), 0.0)
        (request,) = holder.controller.handle(LeaseDue(), 0.0)
        assert isinstance(request.message, LeaseRequest)
        asked = LeaseRequested(request.message)
        sent = [
            action.message
            for leader in (new, old)
            for action in leader.grantor.handle(asked, 0.0)
            if isinstance(action, SendToPeer)
        ]
        for message in sent:
            if isinstance(message, TargetVersions):
                holder.controller.handle(TargetVersionsReceived(message), 0.1)
            else:
                assert isinstance(message, LeaseGrant)
                holder.controller.handle(LeaseGrantReceived(message), 0.1)
        assert [type(m) for m in sent] == [LeaseGrant, TargetVersions, LeaseGrant]
        assert holder.board.read(TARGETS) == {}
        assert holder.board.read(TARGET_VERSIONS) == {}
        assert holder.board.read(LEASE).leader == "q"

    def receiver(self, holder: Holder, hint: str, now: float) -> list[str]:
        actions = holder.controller.handle(LeaderHintReceived(LeaderHint(hint)), now)
        return [action.instance for action in actions]

    def test_follows_a_hint_at_once(self) -> None:
        holder = Holder("e1", 1, ("p", "q", "r"))
        holder.controller.handle(LeaseDue(), 0.0)
        assert self.receiver(holder, "r", 0.01) == ["r"]

    def test_limits_requests_to_replicas_that_name_each_other(self) -> None:
        holder = Holder("e1", 1, ("p", "q"))
        holder.controller.handle(LeaseDue(), 0.0)
        asked = [self.receiver(holder, "qp"[i % 2], i / 100) for i in range(20)]
        assert sum(len(instances) for instances in asked) == 1

    def test_asks_the_next_candidate_after_an_empty_hint(self) -> None:
        holder = Holder("e1", 1, ("p", "q"))
        holder.controller.handle(LeaseDue(), 0.0)
        assert self.receiver(holder, "", 0.01) == []
        (request,) = holder.controller.handle(LeaseDue(), 0.5)
        assert request.instance == "q"


class TestSeedsWithoutMembers:
    """The leader must contact the seeds if all instances restart at once.

    Seeds without a disk have no record of any other instance then.
    """

    def test_leader_sends_them_a_hint(self) -> None:
        leader = Leader("a", seeds=("s1", "s2"))
        leader.lead(1, 100.0)
        sent = leader.grantor.handle(TimePassed(0.0), 1.0)
        hints = [(s.instance, s.message) for s in sent if isinstance(s, SendToPeer)]
        assert hints == [("s1", LeaderHint("a")), ("s2", LeaderHint("a"))]

    def test_seed_with_a_lease_gets_no_hint(self) -> None:
        leader = Leader("a", seeds=("s1", "a"))
        leader.lead(1, 100.0)
        event = LeaseRequested(lease_request("s1", bundle_index=0))
        leader.grantor.handle(event, 1.0)
        assert leader.grantor.handle(TimePassed(0.0), 1.1) == ()

    def test_instance_that_does_not_lead_sends_no_hint(self) -> None:
        leader = Leader("a", seeds=("s1",))
        assert leader.grantor.handle(TimePassed(0.0), 1.0) == ()

    def test_seed_requests_a_lease_from_the_hinted_leader(self) -> None:
        seed = Holder("s1", 1, ("s1", "s2"))
        sent = seed.controller.handle(LeaderHintReceived(LeaderHint("a")), 1.0)
        assert [action.instance for action in sent] == ["a"]

    def test_follower_asks_the_leader_of_its_log(self) -> None:
        follower = Holder("b", 1, ("s1", "s2"))
        ControlWriter(follower.board).set(ControlView(leader="a"))
        sent = follower.controller.handle(LeaseDue(), 1.0)
        assert [action.instance for action in sent] == ["a"]


class TestRestartedInstance:
    """A restarted process requests its lease before it has received a bundle."""

    def offered_addresses(self, requests: tuple[LeaseRequest, ...]) -> set[str]:
        """Return the addresses that another instance returns after the requests."""
        leader = Leader("a")
        leader.lead(1, 100.0)
        leader.grantor.handle(BundleCommitted(accepted_bundle(1)), 0.0)
        other = Holder("b", 1, ("a",))
        for request in requests:
            leader.grantor.handle(LeaseRequested(request), 3.0)
        for asked in other.controller.handle(LeaseDue(), 3.0):
            assert isinstance(asked.message, LeaseRequest)
            for sent in leader.grantor.handle(LeaseRequested(asked.message), 3.0):
                if isinstance(sent, SendToPeer) and sent.instance == "b":
                    assert isinstance(sent.message, LeaseGrant)
                    other.controller.handle(LeaseGrantReceived(sent.message), 3.0)
        answer = choose_addresses(other.board, "", 1.0, random.Random(1))
        return {choice.address for choice in answer.addresses}

    def test_is_not_offered_before_it_has_a_bundle(self) -> None:
        request = lease_request("c", bundle_index=0)
        assert request.http_address not in self.offered_addresses((request,))

    def test_is_offered_once_it_has_one(self) -> None:
        requests = tuple(lease_request("c", bundle_index=n) for n in (0, 1))
        assert requests[0].http_address in self.offered_addresses(requests)


def lease_request(instance: str, bundle_index: int) -> LeaseRequest:
    return LeaseRequest(
        instance,
        7,
        "127.0.0.3:1",
        "nairobi-a",
        False,
        0,
        bundle_index,
        TableVersion(),
        3.0,
    )


class TestLeaseGrantor:
    @staticmethod
    def request(
        incarnation: int = 1, leaving: bool = False, at: float = 0.0
    ) -> LeaseRequested:
        holder = Holder("e1", incarnation, ("p",))
        (action,) = holder.controller.handle(LeaseDue(), at)
        assert isinstance(action.message, LeaseRequest)
        return LeaseRequested(action.message._replace(leaving=leaving))

    def test_leader_without_a_lease_grants_nothing(self) -> None:
        leader = Leader("p")
        leader.lead(1, until=1.0)
        (action,) = leader.grantor.handle(self.request(), 1.5)
        assert isinstance(action, SendToPeer)
        assert not isinstance(action.message, LeaseGrant)

    @pytest.mark.parametrize(
        ("pause", "second_incarnation", "lost"),
        [(2.1, 1, {0, 1}), (0.4, 2, {0, 1}), (0.4, 1, {0})],
    )
    def test_marks_the_calls_of_a_lost_process(
        self, pause: float, second_incarnation: int, lost: set[int]
    ) -> None:
        leader = Leader("p")
        leader.lead(1, until=100.0)
        actions = [*leader.grantor.handle(self.request(), 0.0)]
        if pause > LEASE_TIMINGS.member_timeout:
            actions += leader.grantor.handle(TimePassed(0.0), pause)
        else:
            again = self.request(second_incarnation, at=pause)
            actions += leader.grantor.handle(again, pause)
        commands = [a.command for a in actions if isinstance(a, ProposeCommand)]
        marked = {c.incarnation for c in commands if isinstance(c, MarkOwnerLost)}
        assert marked == lost

    @pytest.mark.parametrize(
        "events",
        [
            [PlatformTargetsListed((target_record(TargetState.LEAVING),))],
            [PlatformTargetsListed(())],
            [TargetLeavingReported("e1")],
            [TargetLeavingReported("e1"), PlatformTargetsListed((target_record(),))],
        ],
        ids=["listed as leaving", "not listed", "reported", "list lags"],
    )
    def test_leaving_target_is_pushed_at_once(
        self, events: list[PlatformTargetsListed | TargetLeavingReported]
    ) -> None:
        leader = Leader("p")
        leader.lead(1, until=100.0)
        holder = Holder("e1", 1, ("p",))
        (request,) = holder.controller.handle(LeaseDue(), 0.0)
        assert isinstance(request.message, LeaseRequest)
        leader.grantor.handle(PlatformTargetsListed((target_record(),)), 0.0)
        sent = [*leader.grantor.handle(LeaseRequested(request.message), 0.0)]
        for event in events:
            sent += leader.grantor.handle(event, 0.1)
        for action in sent:
            if isinstance(action, SendToPeer) and isinstance(
                action.message, LeaseGrant
            ):
                holder.controller.handle(LeaseGrantReceived(action.message), 0.1)
        assert holder.board.read(TARGETS)["e1"].state is not TargetState.LIVE
        assert holder.board.read(LEASE).valid_until == LEASE_TIMINGS.duration

    def test_process_whose_clock_stepped_back_gets_a_lease_soon(self) -> None:
        """Its incarnation is a wall-clock time, lower than the previous process's."""
        leader = Leader("p")
        leader.lead(1, until=100.0)
        leader.grantor.handle(self.request(5, at=0.0), 0.0)
        assert leader.grantor.handle(self.request(3, at=0.5), 0.5) == ()
        after = LEASE_TIMINGS.member_timeout + 0.1
        leader.grantor.handle(TimePassed(0.0), after)
        granted = leader.grantor.handle(self.request(3, at=after), after)
        assert any(isinstance(action, SendToPeer) for action in granted)

    def test_suspects_are_sent_when_they_change(self) -> None:
        leader = Leader("p")
        holder = Holder("e1", 1, ("p",))
        suspects = (("f", 1),)
        sent: list[object] = []
        for step, known in ((0, ()), (3, suspects), (6, suspects)):
            view = ControlView(True, 1, lease_until=100.0, suspects=known)
            leader.control.set(view)
            (request,) = holder.controller.handle(LeaseDue(), float(step))
            assert isinstance(request.message, LeaseRequest)
            for action in leader.grantor.handle(
                LeaseRequested(request.message), float(step)
            ):
                if isinstance(action, SendToPeer):
                    assert isinstance(action.message, LeaseGrant)
                    sent.append(action.message.suspects)
                    grant = LeaseGrantReceived(action.message)
                    holder.controller.handle(grant, float(step))
        assert sent == [(), suspects, None]
        assert holder.board.read(SUSPECTS) == {"f": 1}

    def test_member_that_leaves_is_listed_as_leaving(self) -> None:
        leader = Leader("p")
        leader.lead(1, until=100.0)
        actions = leader.grantor.handle(self.request(leaving=True), 0.0)
        holder = Holder("e1", 1, ("p",))
        for action in actions:
            if isinstance(action, SendToPeer):
                assert isinstance(action.message, LeaseGrant)
                holder.controller.handle(LeaseGrantReceived(action.message), 0.0)
        assert holder.board.read(MEMBERS)["e1"].state is MemberState.LEAVING
