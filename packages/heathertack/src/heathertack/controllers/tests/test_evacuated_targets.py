"""Publication of evacuated targets, and the placement of requests around them."""

from typing import Any, ClassVar, NamedTuple

import pytest

from heathertack.blackboard import (
    EVACUATED_DOMAINS,
    EVACUATED_TARGETS,
    LEAVING_TARGETS,
    MEMBERS,
    TARGETS,
    Blackboard,
    ControlView,
    LeavingTarget,
    Section,
)
from heathertack.controllers import (
    EvacuatedTargetsReceived,
    LeaseDue,
    LeaseGrantReceived,
    LeaseRequested,
    OwnerReplied,
    PlacementController,
    PlacementDenied,
    PlacementDue,
    PlacementRequested,
    PlatformTargetsListed,
    SendToPeer,
    TargetChosen,
    TargetLeavingReported,
    TargetVersionsReceived,
    TimePassed,
    find_usable_targets,
    is_evacuated,
    is_service_evacuated,
    keeps_running,
)
from heathertack.controllers.tests.test_admission import request
from heathertack.controllers.tests.test_leases import Holder, Leader
from heathertack.messages import (
    EvacuatedTargets,
    LeaseGrant,
    LeaseRequest,
    MemberRecord,
    MemberState,
    ReservationGrant,
    ReservationRelease,
    ReservationRequest,
    TargetRecord,
    TargetState,
    TargetVersions,
)

LIVE, LEAVING, GONE = TargetState.LIVE, TargetState.LEAVING, TargetState.GONE
#: Targets by name, with the failure domain of each.
DOMAINS = {"a1": "a", "a2": "a", "b1": "b"}
FOREVER = 10_000.0


def record(
    name: str, state: TargetState = LIVE, *, slots: int = 8, cache_tokens: int = 1000
) -> TargetRecord:
    domain = DOMAINS[name]
    return TargetRecord(name, "tutor", f"{name}:1", domain, state, cache_tokens, slots)


class Published:
    """A leader and one lease holder; messages may be lost."""

    def __init__(self) -> None:
        self.holder = Holder("h", 1, ("p",))
        self.board = self.holder.board
        self.loses_evacuations = False
        self.loses_all = False
        self.now = 0.0
        self.begin_term(1)

    def begin_term(self, term: int, *evacuated: str) -> None:
        self.term = term
        self.leader = Leader("p")
        self.set_evacuated(*evacuated)
        self.list_targets()

    def set_evacuated(self, *domains: str) -> None:
        """Commit orders so that these domains are the evacuated ones."""
        view = ControlView(
            True, self.term, lease_until=FOREVER, evacuated=frozenset(domains)
        )
        self.leader.control.set(view)
        self.deliver(self.leader.grantor.handle(TimePassed(0.0), self.now))

    def list_targets(self, **states: TargetState) -> None:
        targets = tuple(record(name, states.get(name, LIVE)) for name in DOMAINS)
        listed = PlatformTargetsListed(targets, dict.fromkeys(DOMAINS, "v1"))
        self.deliver(self.leader.grantor.handle(listed, self.now))

    def renew(self, seconds: float = 0.5) -> None:
        self.now += seconds
        for action in self.holder.controller.handle(LeaseDue(), self.now):
            if isinstance(action.message, LeaseRequest):
                asked = LeaseRequested(action.message)
                self.deliver(self.leader.grantor.handle(asked, self.now))

    def deliver(self, actions: tuple[Any, ...]) -> None:
        controller = self.holder.controller
        for action in actions:
            message = action.message if isinstance(action, SendToPeer) else None
            if self.loses_all:
                continue
            if isinstance(message, EvacuatedTargets) and not self.loses_evacuations:
                controller.handle(EvacuatedTargetsReceived(message), self.now)
            elif isinstance(message, TargetVersions):
                controller.handle(TargetVersionsReceived(message), self.now)
            elif isinstance(message, LeaseGrant):
                controller.handle(LeaseGrantReceived(message), self.now)

    @property
    def usable(self) -> list[str]:
        return [t.name for t in find_usable_targets(self.board, "tutor", self.now)]

    @property
    def running(self) -> list[str]:
        return [name for name in DOMAINS if keeps_running(self.board, name)]


class TestPublication:
    # Guards against an order that waits for the next renewal of each lease.
    def test_order_is_pushed_at_once(self) -> None:
        published = Published()
        published.renew()
        published.set_evacuated("a")
        assert published.usable == ["b1"]
        assert published.board.read(EVACUATED_TARGETS) == {"a1", "a2"}
        assert published.board.read(EVACUATED_DOMAINS) == {"a"}

    def test_readmission_is_pushed_at_once(self) -> None:
        published = Published()
        published.renew()
        published.set_evacuated("a")
        published.set_evacuated()
        assert published.usable == ["a1", "a2", "b1"]
        assert published.board.read(EVACUATED_TARGETS) == frozenset()

    # Guards against a leader that publishes the targets as live before it applies the
    # orders of its log.
    def test_new_leader_publishes_orders_from_its_first_table_on(self) -> None:
        published = Published()
        published.renew()
        published.set_evacuated("a")
        published.begin_term(2, "a")
        for _ in range(8):
            published.renew()
            assert published.usable == ["b1"]
            assert published.running == list(DOMAINS)

    # Guards against an order that is lost with the leader that committed it.
    def test_order_of_a_lost_leader_is_published_by_the_next(self) -> None:
        published = Published()
        published.renew()
        published.loses_all = True
        published.set_evacuated("a")
        published.loses_all = False
        published.begin_term(2, "a")
        published.renew()
        assert published.usable == ["b1"]

    # Guards against requests that go on, or streams that all move for good, since one
    # message was lost.
    def test_lost_message_is_repeated_with_the_next_grant(self) -> None:
        published = Published()
        published.renew()
        published.loses_evacuations = True
        published.set_evacuated("a")
        assert published.usable == ["b1"]
        published.loses_evacuations = False
        published.renew()
        assert published.running == list(DOMAINS)

    def test_one_lost_message_does_not_make_streams_move(self) -> None:
        published = Published()
        published.renew()
        published.set_evacuated("a")
        published.loses_evacuations = True
        published.renew()
        assert published.running == list(DOMAINS)

    # Guards against a domain that stays evacuated here since the message that readmits
    # it was lost.
    def test_lost_message_of_a_readmission_does_no_harm(self) -> None:
        published = Published()
        published.renew()
        published.set_evacuated("a")
        published.loses_evacuations = True
        published.set_evacuated()
        assert published.usable == ["a1", "a2", "b1"]
        assert not is_evacuated(published.board, "a1")
        for _ in range(12):
            published.renew()
        assert published.board.read(EVACUATED_DOMAINS) == frozenset()

    def test_message_of_a_former_leader_is_ignored(self) -> None:
        published = Published()
        published.begin_term(2, "b")
        published.renew()
        former = EvacuatedTargets(1, ("a1",), ("a",))
        published.holder.controller.handle(
            EvacuatedTargetsReceived(former), published.now
        )
        published.renew()
        assert published.board.read(EVACUATED_DOMAINS) == {"b"}

    # Guards against a change for deployments where nothing is evacuated.
    def test_nothing_is_sent_without_an_order(self) -> None:
        leader = Leader("p")
        leader.lead(1, until=FOREVER)
        listed = PlatformTargetsListed((record("a1"),), {"a1": "v1"})
        leader.grantor.handle(listed, 0.0)
        asked = Holder("h", 1, ("p",)).controller.handle(LeaseDue(), 0.0)
        wanted = asked[0].message
        assert isinstance(wanted, LeaseRequest)
        actions = leader.grantor.handle(LeaseRequested(wanted), 0.1)
        sent = [a.message for a in actions if isinstance(a, SendToPeer)]
        assert not any(isinstance(message, EvacuatedTargets) for message in sent)

    def test_two_domains_at_once(self) -> None:
        published = Published()
        published.renew()
        published.set_evacuated("a", "b")
        assert published.usable == []
        published.set_evacuated("b")
        assert published.usable == ["a1", "a2"]


class TestTargetsThatLeave:
    """A target of an evacuated domain may be reclaimed as well."""

    # Guards against a stream that is lost since its target runs no longer, although the
    # record of the target stays the same.
    @pytest.mark.parametrize("source", ["list", "report", "answer"])
    def test_streams_move(self, source: str) -> None:
        published = Published()
        published.renew()
        published.set_evacuated("a")
        if source == "list":
            published.list_targets(a1=LEAVING)
        elif source == "report":
            reported = TargetLeavingReported("a1")
            published.deliver(published.leader.grantor.handle(reported, published.now))
        else:
            board = published.board
            said = LeavingTarget("a1:1", published.now)
            writer = Writer(board)
            board.write(writer, LEAVING_TARGETS, {"a1": said})
        assert published.running == ["a2", "b1"]
        assert is_evacuated(published.board, "a1")

    def test_target_that_is_gone_is_not_named(self) -> None:
        published = Published()
        published.renew()
        published.set_evacuated("a")
        listed = PlatformTargetsListed((record("a2"), record("b1")), {})
        published.deliver(published.leader.grantor.handle(listed, published.now))
        published.renew()
        assert published.board.read(EVACUATED_TARGETS) == {"a2"}
        assert published.running == ["a2", "b1"]

    def test_target_that_starts_in_the_domain_gets_nothing(self) -> None:
        published = Published()
        published.renew()
        published.list_targets(a1=GONE)
        published.set_evacuated("a")
        published.list_targets()
        assert published.usable == ["b1"]


class Writer:
    """Writes sections that no controller of a test writes."""

    READS: ClassVar[tuple[Section[Any], ...]] = ()
    WRITES: ClassVar[tuple[Section[Any], ...]] = (LEAVING_TARGETS,)

    def __init__(self, board: Blackboard) -> None:
        board.register(self)


class Services(NamedTuple):
    name: str
    states: dict[str, TargetState]
    evacuated: frozenset[str]
    is_evacuated: bool


A, B = frozenset({"a1", "a2"}), frozenset({"b1"})
SERVICES = [
    Services("one domain", {"a1": LEAVING, "a2": LEAVING, "b1": LIVE}, A, False),
    Services("all domains", {"a1": LEAVING, "a2": LEAVING, "b1": LEAVING}, A | B, True),
    Services("others are gone", {"a1": LEAVING, "b1": GONE}, frozenset({"a1"}), True),
    Services("others leave", {"a1": LEAVING, "b1": LEAVING}, frozenset({"a1"}), True),
    Services("all leave", {"a1": LEAVING, "b1": LEAVING}, frozenset(), False),
    Services("readmitted", {"a1": LIVE, "a2": LIVE}, A, False),
]


class PlacementSystem:
    """An entry instance with the targets of a table, and an owner for them."""

    READS: ClassVar[tuple[Section[Any], ...]] = ()
    WRITES: ClassVar[tuple[Section[Any], ...]] = (
        MEMBERS,
        TARGETS,
        EVACUATED_TARGETS,
        EVACUATED_DOMAINS,
    )

    def __init__(
        self,
        states: dict[str, TargetState],
        evacuated: frozenset[str],
        *,
        slots: int = 8,
        cache_tokens: int = 1000,
    ) -> None:
        self.board = Blackboard()
        self.board.register(self)
        member = MemberRecord("owner", 1, MemberState.ALIVE, "", "", 1, 0)
        self.board.write(self, MEMBERS, {"owner": member})
        self.slots = slots
        self.cache_tokens = cache_tokens
        self.placement = PlacementController(self.board, "i")
        self.set(states, evacuated)

    def set(self, states: dict[str, TargetState], evacuated: frozenset[str]) -> None:
        targets = {
            name: record(name, state, slots=self.slots, cache_tokens=self.cache_tokens)
            for name, state in states.items()
        }
        domains = frozenset(DOMAINS[name] for name in evacuated)
        self.board.write(self, TARGETS, targets)
        self.board.write(self, EVACUATED_TARGETS, evacuated)
        self.board.write(self, EVACUATED_DOMAINS, domains)

    def ask(self, wanted: ReservationRequest, now: float = 0.0) -> tuple[Any, ...]:
        return self.placement.handle(PlacementRequested(wanted), now)


ONE_EVACUATED = {"a1": LEAVING, "a2": LEAVING, "b1": LIVE}
ALL_EVACUATED = {"a1": LEAVING, "a2": LEAVING, "b1": LEAVING}


class TestWholeService:
    @pytest.mark.parametrize("case", SERVICES, ids=[case.name for case in SERVICES])
    def test_is_evacuated(self, case: Services) -> None:
        system = PlacementSystem(case.states, case.evacuated)
        assert is_service_evacuated(system.board, "tutor") is case.is_evacuated

    # Guards against requests that wait in a queue for targets that an operator keeps
    # from them, with slots, without, and without an owner.
    @pytest.mark.parametrize(("slots", "cache_tokens"), [(8, 1000), (6, 0), (0, 0)])
    def test_requests_are_refused_at_once(self, slots: int, cache_tokens: int) -> None:
        system = PlacementSystem(
            ALL_EVACUATED, A | B, slots=slots, cache_tokens=cache_tokens
        )
        (denial,) = system.ask(request("r"))
        assert isinstance(denial, PlacementDenied)
        assert denial.code == "evacuated"
        assert denial.retry_after > 0.0

    def test_waiting_requests_are_refused(self) -> None:
        system = PlacementSystem(dict.fromkeys(DOMAINS, LIVE), frozenset())
        system.ask(request("r"))
        system.set(ALL_EVACUATED, A | B)
        actions = system.placement.handle(PlacementDue(), 0.1)
        denials = [a for a in actions if isinstance(a, PlacementDenied)]
        sent = [a.message for a in actions if isinstance(a, SendToPeer)]
        assert [denial.code for denial in denials] == ["evacuated"]
        assert any(isinstance(message, ReservationRelease) for message in sent)


class TestChoices:
    """The owner of a target may not know that it is evacuated."""

    def find_request(self, actions: tuple[Any, ...]) -> ReservationRequest:
        messages = [a.message for a in actions if isinstance(a, SendToPeer)]
        (found,) = [m for m in messages if isinstance(m, ReservationRequest)]
        return found

    def test_owner_is_told_what_to_exclude(self) -> None:
        system = PlacementSystem(ONE_EVACUATED, A)
        asked = self.find_request(system.ask(request("r")))
        assert set(asked.excluded) == {"a1", "a2"}

    # Guards against a destination that looks like a source of the run.
    def test_source_of_a_moving_run_stays_the_only_excluded_target(self) -> None:
        system = PlacementSystem(ONE_EVACUATED, A)
        wanted = request("r", excluded=("a1",))._replace(is_running=True)
        assert self.find_request(system.ask(wanted)).excluded == ("a1",)

    # Guards against a first try, or a move, at a target that was evacuated while the
    # owner decided.
    @pytest.mark.parametrize("is_running", [False, True])
    def test_evacuated_choice_is_given_back(self, is_running: bool) -> None:
        system = PlacementSystem(dict.fromkeys(DOMAINS, LIVE), frozenset())
        wanted = request("r")._replace(is_running=is_running)
        asked = self.find_request(system.ask(wanted))
        system.set(ONE_EVACUATED, A)
        granted = ReservationGrant("r", asked.attempt, "a1", "free", "", asked.group)
        replied = OwnerReplied(granted, "owner")
        actions = system.placement.handle(replied, 0.1)
        assert not any(isinstance(action, TargetChosen) for action in actions)
        sent = [a.message for a in actions if isinstance(a, SendToPeer)]
        assert any(isinstance(message, ReservationRelease) for message in sent)
        again = self.find_request(actions)
        assert is_running or set(again.excluded) == {"a1", "a2"}

    # Guards against the choice of an instance that reaches no owner, or that chooses
    # among targets with an unknown number of slots.
    def test_local_choice_is_outside_the_domain(self) -> None:
        system = PlacementSystem(ONE_EVACUATED, A, slots=0, cache_tokens=0)
        chosen = [system.ask(request(f"r{n}"))[0] for n in range(6)]
        assert {choice.target for choice in chosen} == {"b1"}
