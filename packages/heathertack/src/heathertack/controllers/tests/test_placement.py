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
    TargetChosen,
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

    def set_members(self, alive: tuple[str, ...]) -> None:
        records = {
            name: MemberRecord(name, 1, MemberState.ALIVE, "x", "d", 1, 0)
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
    def test_asks_the_owner_and_takes_its_choice(self) -> None:
        entry = Entry()
        assert entry.ask() == choose_owner("tutor:0", MEMBERS_ALIVE)
        assert entry.handle(GRANT) == (TargetChosen("g", 1, "e1", "free"),)
        assert entry.handle(GRANT) == ()

    def test_passes_a_refusal_on(self) -> None:
        entry = Entry()
        entry.ask()
        refusal = ReservationRefusal("g", 1, "overloaded", 3.0, "full")
        (denied,) = entry.handle(OwnerReplied(refusal))
        assert denied == PlacementDenied("g", 1, "overloaded", 3.0, "full")

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

    def test_asks_the_next_owner_when_one_is_silent(self) -> None:
        entry = Entry()
        silent = entry.ask()
        (again,) = entry.handle(PlacementDue(), 0.35)
        left = tuple(name for name in MEMBERS_ALIVE if name != silent)
        assert again.instance == choose_owner("tutor:0", left)
        assert again.message.max_wait == pytest.approx(9.65)

    def test_asks_a_silent_owner_no_more_for_a_while(self) -> None:
        entry = Entry()
        silent = entry.ask()
        entry.handle(PlacementDue(), 0.35)
        wanted = PlacementRequested(request("h"))
        assert entry.handle(wanted, 0.4)[0].instance != silent
        assert entry.handle(PlacementRequested(request("i")), 4.0)[0].instance == silent

    def test_asks_an_owner_again_that_was_heard_of(self) -> None:
        entry = Entry()
        silent = entry.ask()
        entry.handle(PlacementDue(), 0.35)
        refusal = ReservationRefusal("z", 1, "overloaded", 1.0, "")
        entry.handle(OwnerReplied(refusal, silent), 0.4)
        wanted = PlacementRequested(request("h"))
        assert entry.handle(wanted, 0.5)[0].instance == silent

    def test_chooses_by_itself_when_every_owner_is_silent(self) -> None:
        entry = Entry()
        entry.ask()
        assert len(entry.handle(PlacementDue(), 0.35)) == 1
        assert len(entry.handle(PlacementDue(), 0.7)) == 1
        (chosen,) = entry.handle(PlacementDue(), 1.3)
        assert isinstance(chosen, TargetChosen)

    def test_gives_back_a_place_that_nobody_waits_for(self) -> None:
        entry = Entry()
        late = ReservationGrant("gone", 1, "e1", "free", group="tutor:0")
        (returned,) = entry.handle(OwnerReplied(late, "a"))
        assert returned.instance == "a"
        assert isinstance(returned.message, ReservationRelease)
        assert returned.message.group == "tutor:0"

    def test_gives_back_the_place_of_a_second_owner(self) -> None:
        entry = Entry()
        first = entry.ask()
        grant = ReservationGrant("g", 1, "e1", "free", group="tutor:0")
        entry.handle(OwnerReplied(grant, first))
        other = next(name for name in MEMBERS_ALIVE if name != first)
        (returned,) = entry.handle(OwnerReplied(grant, other))
        assert returned.instance == other
        assert entry.handle(OwnerReplied(grant, first)) == ()

    def test_waits_on_while_the_owner_says_so(self) -> None:
        entry = Entry()
        entry.ask()
        entry.handle(OwnerReplied(ReservationQueued("g", 1)), 0.4)
        assert entry.handle(PlacementDue(), 1.3) == ()
        (again,) = entry.handle(PlacementDue(), 1.45)
        assert isinstance(again.message, ReservationRequest)

    def test_asks_the_next_owner_for_the_rest_of_its_patience(self) -> None:
        entry = Entry()
        lost = entry.ask()
        left = tuple(name for name in MEMBERS_ALIVE if name != lost)
        entry.set_members(left)
        (again,) = entry.handle(PlacementDue(), 4.0)
        assert again.instance == choose_owner("tutor:0", left)
        assert again.message.max_wait == pytest.approx(6.0)

    def test_announces_to_the_next_owner(self) -> None:
        entry = Entry()
        lost = entry.ask()
        entry.handle(GRANT)
        left = tuple(name for name in MEMBERS_ALIVE if name != lost)
        entry.set_members(left)
        announced, progress = entry.handle(PlacementDue(), 1.0)
        assert isinstance(announced.message, ReservationAnnounce)
        assert isinstance(progress.message, ReservationProgress)
        assert announced.instance == choose_owner("tutor:0", left)

    def test_announces_what_the_owner_does_not_know(self) -> None:
        entry = Entry()
        entry.ask()
        entry.handle(GRANT)
        unknown = OwnerReplied(ReservationUnknown(("g", "other")))
        (action,) = entry.handle(unknown)
        assert isinstance(action.message, ReservationAnnounce)

    def test_tells_of_the_first_token_at_once_and_of_the_end(self) -> None:
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
