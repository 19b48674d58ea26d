from typing import Any, ClassVar

import pytest

from heathertack.blackboard import MEMBERS, TARGETS, Blackboard, Section
from heathertack.controllers import (
    OwnerReplied,
    PlacementController,
    PlacementDenied,
    PlacementDue,
    PlacementEnded,
    PlacementRequested,
    SendToPeer,
    TargetAnswered,
    TargetChosen,
    TargetLimitController,
    TokensGenerated,
)
from heathertack.controllers.tests.test_admission import request
from heathertack.messages import (
    MemberRecord,
    MemberState,
    ReservationAnnounce,
    ReservationGrant,
    ReservationOutcome,
    ReservationProgress,
    ReservationQueued,
    ReservationRefusal,
    ReservationRelease,
    ReservationRequest,
    ReservationUnknown,
    TargetRate,
    TargetRates,
    TargetRecord,
    TargetState,
)
from heathertack.policy import choose_owner

MEMBERS_ALIVE = ("a", "b", "c")
GRANT = OwnerReplied(ReservationGrant("g", 1, "e1", "free"))


class Entry:
    """A placement controller with tables that a test sets."""

    READS: ClassVar[tuple[Section[Any], ...]] = ()
    WRITES: ClassVar[tuple[Section[Any], ...]] = (MEMBERS, TARGETS)

    def __init__(self, engines: int = 2) -> None:
        self.board = Blackboard()
        self.board.register(self)
        names = [f"e{i}" for i in range(engines)]
        live = TargetState.LIVE
        targets = {n: TargetRecord(n, "tutor", "x", "d", live, 1000) for n in names}
        self.board.write(self, TARGETS, targets)
        self.set_members(MEMBERS_ALIVE)
        self.controller = PlacementController(self.board)

    def set_members(self, alive: tuple[str, ...], incarnation: int = 1) -> None:
        records = {
            name: MemberRecord(name, incarnation, MemberState.ALIVE, "x", "d", 1, 0)
            for name in alive
        }
        self.board.write(self, MEMBERS, records)

    def handle(self, event: Any, now: float = 0.0) -> tuple[Any, ...]:
        return self.controller.handle(event, now)

    def ask(self) -> str:
        (action,) = self.handle(PlacementRequested(request("g")))
        assert isinstance(action, SendToPeer)
        return action.instance


class TestPlacement:
    def test_requests_a_target_from_the_owner_and_uses_it(self) -> None:
        entry = Entry()
        assert entry.ask() == choose_owner("tutor:0", MEMBERS_ALIVE)
        assert entry.handle(GRANT) == (TargetChosen("g", 1, "e1", "free"),)
        assert entry.handle(GRANT) == ()

    def test_forwards_a_refusal(self) -> None:
        entry = Entry()
        entry.ask()
        refusal = ReservationRefusal("g", 1, "overloaded", 3.0, "full")
        (denied,) = entry.handle(OwnerReplied(refusal))
        assert denied == PlacementDenied("g", 1, "overloaded", 3.0, "full")

    # Guards against a refusal while another group of the service has room: the targets
    # of one group may all limit their rates.
    @pytest.mark.parametrize("code", ["overloaded", "queue_full"])
    def test_asks_the_other_groups_after_a_refusal(self, code: str) -> None:
        entry = Entry(engines=130)
        asked: list[str] = []
        (action,) = entry.handle(PlacementRequested(request("g", max_wait=2.0)))
        for number in range(3):
            assert isinstance(action, SendToPeer)
            assert isinstance(action.message, ReservationRequest)
            assert action.message.max_wait == pytest.approx(2.0 - 0.1 * number)
            asked.append(action.message.group)
            refusal = ReservationRefusal("g", 1, code, 3.0 + number, "full")
            replied = OwnerReplied(refusal, action.instance)
            (action,) = entry.handle(replied, 0.1 * (number + 1))
        assert sorted(asked) == ["tutor:0", "tutor:1", "tutor:2"]
        assert action == PlacementDenied("g", 1, code, 3.0, "full")

    def test_ignores_a_refusal_that_an_earlier_group_repeats(self) -> None:
        entry = Entry(engines=130)
        first = entry.ask()
        refusal = ReservationRefusal("g", 1, "overloaded", 3.0, "full")
        (asked,) = entry.handle(OwnerReplied(refusal, first))
        assert isinstance(asked, SendToPeer)
        assert asked.instance != first
        assert entry.handle(OwnerReplied(refusal, first)) == ()

    def test_asks_no_other_group_about_a_request_that_crashes_targets(self) -> None:
        entry = Entry(engines=130)
        entry.ask()
        refusal = ReservationRefusal("g", 1, "quarantined", 60.0, "lost")
        (denied,) = entry.handle(OwnerReplied(refusal))
        assert denied == PlacementDenied("g", 1, "quarantined", 60.0, "lost")

    def test_uses_the_grant_of_another_group(self) -> None:
        entry = Entry(engines=130)
        entry.ask()
        refusal = ReservationRefusal("g", 1, "overloaded", 3.0, "full")
        (asked,) = entry.handle(OwnerReplied(refusal))
        assert isinstance(asked, SendToPeer)
        granted = GRANT._replace(owner=asked.instance)
        assert entry.handle(granted) == (TargetChosen("g", 1, "e1", "free"),)
        (release,) = entry.handle(PlacementEnded("g", ReservationOutcome.FINISHED))
        assert isinstance(release, SendToPeer)
        assert isinstance(release.message, ReservationRelease)
        assert isinstance(asked.message, ReservationRequest)
        assert (release.instance, release.message.group) == (
            asked.instance,
            asked.message.group,
        )

    def test_denies_at_once_without_targets(self) -> None:
        (denied,) = Entry(engines=0).handle(PlacementRequested(request("g")))
        assert isinstance(denied, PlacementDenied)
        assert denied.code == "no_target"

    def test_target_without_known_slots_is_chosen_without_an_owner(self) -> None:
        entry = Entry(engines=0)
        plain = TargetRecord("p", "tutor", "x", "d", TargetState.LIVE, 0)
        entry.board.write(entry, TARGETS, {"p": plain})
        (chosen,) = entry.handle(PlacementRequested(request("g")))
        assert isinstance(chosen, TargetChosen)
        assert chosen.target == "p"
        assert entry.handle(PlacementDue(), 5.0) == ()
        assert entry.handle(PlacementEnded("g", ReservationOutcome.FINISHED), 6.0) == ()

    def test_asks_the_next_owner_if_one_does_not_respond(self) -> None:
        entry = Entry()
        owner = entry.ask()
        (again,) = entry.handle(PlacementDue(), 0.35)
        left = tuple(name for name in MEMBERS_ALIVE if name != owner)
        assert again.instance == choose_owner("tutor:0", left)
        assert again.message.max_wait == pytest.approx(9.65)

    def test_avoids_an_unresponsive_owner_temporarily(self) -> None:
        entry = Entry()
        owner = entry.ask()
        entry.handle(PlacementDue(), 0.35)
        requested = PlacementRequested(request("h"))
        assert entry.handle(requested, 0.4)[0].instance != owner
        assert entry.handle(PlacementRequested(request("i")), 4.0)[0].instance == owner

    def test_asks_an_owner_again_after_its_reply(self) -> None:
        entry = Entry()
        owner = entry.ask()
        entry.handle(PlacementDue(), 0.35)
        refusal = ReservationRefusal("z", 1, "overloaded", 1.0, "")
        entry.handle(OwnerReplied(refusal, owner), 0.4)
        requested = PlacementRequested(request("h"))
        assert entry.handle(requested, 0.5)[0].instance == owner

    def test_chooses_a_target_locally_if_no_owner_responds(self) -> None:
        entry = Entry()
        entry.ask()
        assert len(entry.handle(PlacementDue(), 0.35)) == 1
        assert len(entry.handle(PlacementDue(), 0.7)) == 1
        (chosen,) = entry.handle(PlacementDue(), 1.3)
        assert isinstance(chosen, TargetChosen)

    # Load pattern: many instances without an owner that have one request each. With
    # ties by name, all of them use the same target.
    def test_instances_without_an_owner_use_all_targets(self) -> None:
        chosen: list[str] = []
        for number in range(78):
            entry = Entry(engines=22)
            entry.set_members(())
            requested = PlacementRequested(request(f"g{number}"))
            (choice,) = entry.handle(requested)
            assert isinstance(choice, TargetChosen)
            chosen.append(choice.target)
        assert len(set(chosen)) >= 18
        assert max(chosen.count(name) for name in chosen) <= 12

    def test_instance_without_an_owner_uses_all_targets_in_turn(self) -> None:
        entry = Entry(engines=22)
        entry.set_members(())
        chosen: set[str] = set()
        for number in range(22):
            requested = PlacementRequested(request(f"g{number}"))
            (choice,) = entry.handle(requested)
            assert isinstance(choice, TargetChosen)
            chosen.add(choice.target)
        assert len(chosen) == 22

    def test_releases_a_grant_that_no_generation_waits_for(self) -> None:
        entry = Entry()
        late = ReservationGrant("gone", 1, "e1", "free", group="tutor:0")
        (released,) = entry.handle(OwnerReplied(late, "a"))
        assert released.instance == "a"
        assert isinstance(released.message, ReservationRelease)
        assert released.message.group == "tutor:0"

    def test_releases_the_grant_of_a_second_owner(self) -> None:
        entry = Entry()
        first = entry.ask()
        grant = ReservationGrant("g", 1, "e1", "free", group="tutor:0")
        entry.handle(OwnerReplied(grant, first))
        other = next(name for name in MEMBERS_ALIVE if name != first)
        (released,) = entry.handle(OwnerReplied(grant, other))
        assert released.instance == other
        assert entry.handle(OwnerReplied(grant, first)) == ()

    def test_keeps_waiting_while_the_request_is_queued(self) -> None:
        entry = Entry()
        entry.ask()
        entry.handle(OwnerReplied(ReservationQueued("g", 1)), 0.4)
        assert entry.handle(PlacementDue(), 1.3) == ()
        (again,) = entry.handle(PlacementDue(), 1.45)
        assert isinstance(again.message, ReservationRequest)

    # Guards against an owner that counts as unresponsive since nobody has asked it
    # anything: another one would assign the same places a second time.
    def test_asks_the_owner_again_that_has_queued_the_request(self) -> None:
        entry = Entry()
        owner = entry.ask()
        entry.handle(OwnerReplied(ReservationQueued("g", 1), owner), 0.01)
        (again,) = entry.handle(PlacementDue(), 1.05)
        assert again.instance == owner
        (other,) = entry.handle(PlacementRequested(request("other")), 1.1)
        assert other.instance == owner

    def test_asks_another_owner_if_the_one_that_queued_the_request_is_silent(
        self,
    ) -> None:
        entry = Entry()
        owner = entry.ask()
        entry.handle(OwnerReplied(ReservationQueued("g", 1), owner), 0.01)
        entry.handle(PlacementDue(), 1.05)
        (again,) = entry.handle(PlacementDue(), 1.4)
        assert isinstance(again.message, ReservationRequest)
        assert again.instance != owner

    def test_asks_the_next_owner_with_the_remaining_wait(self) -> None:
        entry = Entry()
        lost = entry.ask()
        left = tuple(name for name in MEMBERS_ALIVE if name != lost)
        entry.set_members(left)
        (again,) = entry.handle(PlacementDue(), 4.0)
        assert again.instance == choose_owner("tutor:0", left)
        assert again.message.max_wait == pytest.approx(6.0)

    def test_announces_reservations_to_the_next_owner(self) -> None:
        entry = Entry()
        lost = entry.ask()
        entry.handle(GRANT)
        left = tuple(name for name in MEMBERS_ALIVE if name != lost)
        entry.set_members(left)
        announced, progress = entry.handle(PlacementDue(), 1.0)
        assert isinstance(announced.message, ReservationAnnounce)
        assert isinstance(progress.message, ReservationProgress)
        assert announced.instance == choose_owner("tutor:0", left)

    def test_announces_reservations_unknown_to_the_owner(self) -> None:
        entry = Entry()
        entry.ask()
        entry.handle(GRANT)
        unknown = OwnerReplied(ReservationUnknown(("g", "other")))
        (action,) = entry.handle(unknown)
        assert isinstance(action.message, ReservationAnnounce)

    def test_reports_the_first_token_at_once_and_the_end(self) -> None:
        entry = Entry()
        entry.ask()
        entry.handle(GRANT)
        assert entry.handle(TokensGenerated("g", 0)) == ()
        (first,) = entry.handle(TokensGenerated("g", 1))
        assert isinstance(first.message, ReservationProgress)
        assert entry.handle(TokensGenerated("g", 9)) == ()
        (end,) = entry.handle(PlacementEnded("g", ReservationOutcome.FINISHED))
        assert isinstance(end.message, ReservationRelease)
        assert end.message.generated_tokens == 9


class TestLimits:
    # Guards against an owner that assigns a limited target before it knows the limit.
    def test_owner_is_told_a_limit_before_it_chooses(self) -> None:
        entry = Entry()
        limits = TargetLimitController(entry.board)
        limits.handle(TargetAnswered("e0", 2.5, 0.0), 1.0)
        told, asked = entry.handle(PlacementRequested(request("g")), 1.5)
        assert told == SendToPeer(
            asked.instance, TargetRates((TargetRate("e0", 2.5, 0.5),))
        )
        assert isinstance(asked.message, ReservationRequest)

    @pytest.mark.parametrize(
        ("name", "rate", "incarnation", "after", "is_told"),
        [
            ("unchanged", 2.5, 1, 0.5, False),
            ("unchanged for long", 2.5, 1, 1.5, True),
            ("changed", 3.0, 1, 0.5, True),
            ("ended", None, 1, 0.5, True),
            ("restarted owner", 2.5, 2, 0.5, True),
        ],
    )
    def test_owner_is_told_again(
        self,
        name: str,
        rate: float | None,
        incarnation: int,
        after: float,
        is_told: bool,
    ) -> None:
        entry = Entry()
        limits = TargetLimitController(entry.board)
        limits.handle(TargetAnswered("e0", 2.5, 0.0), 0.1)
        entry.handle(PlacementRequested(request("g")), 0.1)
        limits.handle(TargetAnswered("e0", rate, 0.2), 0.3)
        entry.set_members(MEMBERS_ALIVE, incarnation)
        actions = entry.handle(PlacementRequested(request("h")), 0.1 + after)
        assert (len(actions) == 2) == is_told, name

    def test_instance_without_an_owner_uses_its_part_only(self) -> None:
        entry = Entry(engines=0)
        plain = TargetRecord("p", "tutor", "x", "d", TargetState.LIVE, 0)
        entry.board.write(entry, TARGETS, {"p": plain})
        limits = TargetLimitController(entry.board)
        limits.handle(TargetAnswered("p", 3.0, 0.0), 0.1)
        chosen = 0
        for step in range(100):
            now = 0.1 * step
            (action,) = entry.handle(PlacementRequested(request(f"g{step}")), now)
            chosen += isinstance(action, TargetChosen)
            if isinstance(action, PlacementDenied):
                assert 0.0 < action.retry_after <= 1.0
        part = 3.0 / len(MEMBERS_ALIVE)
        assert chosen == pytest.approx(part * 10.0, abs=1.0)
