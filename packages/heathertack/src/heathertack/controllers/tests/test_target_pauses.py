"""Targets that want no requests from one instance, in virtual time."""

from typing import Any, ClassVar, NamedTuple

import pytest

from heathertack.blackboard import (
    MEMBERS,
    TARGET_PAUSES,
    TARGET_VERSIONS,
    TARGETS,
    Blackboard,
    Section,
)
from heathertack.controllers import (
    AdmissionController,
    AdmissionDue,
    OwnerReplied,
    PauseRequested,
    PausesDue,
    PausesReceived,
    PlacementController,
    PlacementDenied,
    PlacementDue,
    PlacementRequested,
    ReservationReceived,
    SendToPeer,
    TargetChosen,
    TargetPauseController,
    find_pause,
    find_service_pause,
    find_usable_targets,
)
from heathertack.controllers.tests.test_admission import TUNING, request
from heathertack.messages import (
    MemberRecord,
    MemberState,
    ReservationGrant,
    ReservationQueued,
    ReservationRelease,
    ReservationRequest,
    TargetPause,
    TargetPauses,
    TargetRecord,
    TargetState,
)

MANY = 3000
ENTRY = "a"


class PauseSystem:
    """The controllers of one instance, which owns the only group of targets."""

    READS: ClassVar[tuple[Section[Any], ...]] = ()
    WRITES: ClassVar[tuple[Section[Any], ...]] = (MEMBERS, TARGETS, TARGET_VERSIONS)

    def __init__(self, targets: int = 2, slots: int = 8, capacity: int = 0) -> None:
        self.board = Blackboard()
        self.board.register(self)
        records = {
            f"t{n}": TargetRecord(
                f"t{n}", "tutor", "x", "d", TargetState.LIVE, capacity, slots
            )
            for n in range(targets)
        }
        self.board.write(self, TARGETS, records)
        self.board.write(self, TARGET_VERSIONS, dict.fromkeys(records, ""))
        member = MemberRecord(ENTRY, 1, MemberState.ALIVE, "x", "d", 1, 0)
        self.board.write(self, MEMBERS, {ENTRY: member})
        self.pauses = TargetPauseController(self.board)
        self.placement = PlacementController(self.board)
        self.admission = AdmissionController(self.board, ENTRY, TUNING)
        self.decisions: list[TargetChosen | PlacementDenied] = []

    def pause(self, target: str, seconds: float, now: float) -> float:
        return self.pauses.handle(PauseRequested(target, seconds), now)

    def find_pause(self, target: str, now: float) -> float:
        return find_pause(self.board, target, now)

    def place(
        self, asked: ReservationRequest, now: float
    ) -> TargetChosen | PlacementDenied | None:
        """Return the decision on a request, ``None`` while it is queued."""
        count = len(self.decisions)
        self.deliver(self.placement.handle(PlacementRequested(asked), now), now)
        return self.decisions[-1] if len(self.decisions) > count else None

    def advance(self, now: float) -> None:
        self.deliver(self.admission.handle(AdmissionDue(), now), now)
        self.deliver(self.placement.handle(PlacementDue(), now), now)

    def find_told_pauses(self, now: float) -> list[TargetPauses]:
        """Return the pauses that the entry instance tells owners at a tick."""
        actions = self.placement.handle(PlacementDue(), now)
        messages = [a.message for a in actions if isinstance(a, SendToPeer)]
        return [m for m in messages if isinstance(m, TargetPauses)]

    def deliver(self, actions: tuple[Any, ...], now: float) -> None:
        """Deliver messages between the entry instance and the owner at once."""
        for action in actions:
            if isinstance(action, TargetChosen | PlacementDenied):
                self.decisions.append(action)
            elif isinstance(action, SendToPeer):
                self.deliver(self.receive(action.message, now), now)

    def receive(self, message: Any, now: float) -> tuple[Any, ...]:
        match message:
            case ReservationRequest():
                return self.admission.handle(ReservationReceived(ENTRY, message), now)
            case TargetPauses():
                return self.admission.handle(PausesReceived(ENTRY, message), now)
            case ReservationGrant() | ReservationQueued():
                return self.placement.handle(OwnerReplied(message, ENTRY), now)
            case _:
                return ()


class Case(NamedTuple):
    name: str
    #: Times of answers, with the seconds that they name.
    answers: tuple[tuple[float, float], ...]
    #: Time until which the target gets nothing.
    until: float


CASES = [
    Case("one answer", ((1.0, 2.5),), 3.5),
    Case("nothing", ((1.0, 0.0),), 1.0),
    Case("longer", ((1.0, 2.0), (1.5, 4.0)), 5.5),
    Case("shorter", ((1.0, 4.0), (1.5, 1.0)), 5.0),
    Case("again after its end", ((1.0, 1.0), (3.0, 0.5)), 3.5),
    Case("too long", ((1.0, 1e9),), 3601.0),
]


class TestTargetPauses:
    # Guards against a pause that an answer to a request sent together shortens.
    @pytest.mark.parametrize("case", CASES, ids=[case.name for case in CASES])
    def test_latest_end_counts(self, case: Case) -> None:
        system = PauseSystem()
        for at, seconds in case.answers:
            system.pause("t0", seconds, at)
        last = case.answers[-1][0]
        assert system.find_pause("t0", last) == pytest.approx(case.until - last)
        assert system.find_pause("t0", case.until) == 0.0
        assert system.find_pause("t1", last) == 0.0

    def test_ended_pause_is_forgotten(self) -> None:
        system = PauseSystem()
        system.pause("t0", 1.0, 0.0)
        system.pauses.handle(PausesDue(), 0.9)
        assert system.board.read(TARGET_PAUSES)
        system.pauses.handle(PausesDue(), 1.0)
        assert not system.board.read(TARGET_PAUSES)

    def test_pauses_are_bounded(self) -> None:
        system = PauseSystem()
        for number in range(MANY):
            system.pause(f"x{number}", 1.0 + number, 0.0)
        kept = system.board.read(TARGET_PAUSES)
        assert len(kept) == 1024
        assert f"x{MANY - 1}" in kept

    def test_only_a_change_is_reported(self) -> None:
        system = PauseSystem()
        assert system.pause("t0", 2.0, 0.0) == 2.0
        assert system.pause("t0", 1.0, 0.5) == 0.0
        assert system.pause("t0", 2.0, 0.5) == 2.0

    def test_paused_target_is_not_usable_even_if_it_is_the_last(self) -> None:
        system = PauseSystem()
        system.pause("t0", 2.0, 0.0)
        usable = find_usable_targets(system.board, "tutor", 1.0)
        assert [target.name for target in usable] == ["t1"]
        system.pause("t1", 1.0, 0.0)
        assert find_usable_targets(system.board, "tutor", 0.9) == ()
        assert find_service_pause(system.board, "tutor", 0.25) == 0.75
        assert find_service_pause(system.board, "tutor", 1.0) == 0.0


#: Requests that must not go to a paused target.
KINDS = [
    pytest.param(request("g"), id="first try"),
    pytest.param(request("g", attempt=2, excluded=("t1",)), id="retry"),
    pytest.param(request("g")._replace(preferred_target="t0"), id="resumption"),
    pytest.param(
        request("g", excluded=("t1",))._replace(is_running=True, max_wait=0.0),
        id="move",
    ),
]


class TestPlacement:
    # Guards against an owner that assigns what one instance may not use.
    @pytest.mark.parametrize("slots", [8, 0])
    @pytest.mark.parametrize("asked", KINDS)
    def test_paused_target_is_assigned_after_its_pause_only(
        self, asked: ReservationRequest, slots: int
    ) -> None:
        system = PauseSystem(slots=slots)
        system.pause("t0", 2.0, 0.0)
        for step in range(40):
            now = 0.05 * step
            decision = system.place(asked._replace(generation_id=f"g{step}"), now)
            if isinstance(decision, TargetChosen):
                assert decision.target != "t0"
        system.pauses.handle(PausesDue(), 2.0)
        targets = set()
        for step in range(20):
            decision = system.place(asked._replace(generation_id=f"h{step}"), 2.0)
            if isinstance(decision, TargetChosen):
                targets.add(decision.target)
        if not asked.is_running or slots:
            assert "t0" in targets

    # Guards against waiting for targets that are known to be of no use.
    @pytest.mark.parametrize("slots", [8, 0])
    def test_request_is_denied_until_the_first_target_may_be_used(
        self, slots: int
    ) -> None:
        system = PauseSystem(slots=slots)
        system.pause("t0", 5.0, 0.0)
        system.pause("t1", 2.5, 0.0)
        denied = system.place(request("g"), 1.0)
        assert isinstance(denied, PlacementDenied)
        assert (denied.code, denied.retry_after) == ("overloaded", 1.5)
        chosen = system.place(request("h"), 2.5)
        assert isinstance(chosen, TargetChosen)
        assert chosen.target == "t1"

    def test_queued_request_is_denied_once_all_targets_pause(self) -> None:
        system = PauseSystem(slots=1)
        for key in ("a", "b"):
            assert isinstance(system.place(request(key), 0.0), TargetChosen)
        assert system.place(request("g"), 0.0) is None
        system.pause("t0", 3.0, 0.1)
        system.advance(0.15)
        assert len(system.decisions) == 2
        system.pause("t1", 2.0, 0.2)
        system.advance(0.25)
        denied = system.decisions[-1]
        assert isinstance(denied, PlacementDenied)
        assert denied.generation_id == "g"
        assert denied.retry_after == pytest.approx(1.95)

    def test_owner_of_a_queued_request_learns_of_a_new_pause(self) -> None:
        system = PauseSystem(slots=1)
        for key in ("a", "b"):
            system.place(request(key), 0.0)
        assert system.place(request("g"), 0.0) is None
        system.pause("t0", 2.0, 0.1)
        (told,) = system.find_told_pauses(0.15)
        ((target, seconds),) = told.pauses
        assert target == "t0"
        assert seconds == pytest.approx(1.95)
        assert not system.find_told_pauses(0.2)

    # Guards against a grant that the owner sent before it learned of the pause.
    def test_grant_of_a_paused_target_is_given_back(self) -> None:
        system = PauseSystem()
        system.placement.handle(PlacementRequested(request("g")), 0.0)
        system.pause("t0", 2.0, 0.0)
        grant = ReservationGrant("g", 1, "t0", "free", group="tutor:0")
        messages = [
            action.message
            for action in system.placement.handle(OwnerReplied(grant, ENTRY), 0.1)
            if isinstance(action, SendToPeer)
        ]
        assert [type(message) for message in messages] == [
            ReservationRelease,
            TargetPauses,
            ReservationRequest,
        ]
        # An owner that does not heed the pause is not asked again at once.
        again = system.placement.handle(OwnerReplied(grant, ENTRY), 0.2)
        assert [type(a.message) for a in again if isinstance(a, SendToPeer)] == [
            ReservationRelease
        ]


class TestAdmission:
    # Guards against one instance's pause that keeps others from a target.
    def test_other_instances_may_use_the_target(self) -> None:
        system = PauseSystem(targets=2)
        told = TargetPauses((TargetPause("t0", 5.0),))
        system.admission.handle(PausesReceived("b", told), 0.0)
        for number in range(8):
            for instance, expected in (("b", "t1"), ("c", "t0")):
                asked = request(f"{instance}{number}", prompt=0)
                received = ReservationReceived(instance, asked)
                for action in system.admission.handle(received, 1.0):
                    assert isinstance(action.message, ReservationGrant)
                    assert action.message.target == expected

    # Guards against a queue whose head may use no target and holds up all others.
    def test_waiting_request_does_not_hold_up_other_instances(self) -> None:
        system = PauseSystem(targets=1)
        told = TargetPauses((TargetPause("t0", 60.0),))
        system.admission.handle(PausesReceived("b", told), 0.0)
        waiting = ReservationReceived("b", request("b0", max_wait=30.0))
        system.admission.handle(waiting, 1.0)
        late = 1.0 + TUNING.head_age_limit + 0.1
        system.admission.handle(ReservationReceived("b", waiting.request), late)
        asked = ReservationReceived("c", request("c0", max_wait=5.0))
        actions = (
            *system.admission.handle(asked, late),
            *system.admission.handle(AdmissionDue(), late + 0.5),
        )
        granted = {
            action.instance
            for action in actions
            if isinstance(action, SendToPeer)
            and isinstance(action.message, ReservationGrant)
        }
        assert granted == {"c"}

    def test_backup_is_kept_elsewhere(self) -> None:
        system = PauseSystem(targets=3, capacity=10_000)
        told = TargetPauses((TargetPause("t1", 5.0),))
        system.admission.handle(PausesReceived("b", told), 0.0)
        backups = set()
        for number in range(6):
            asked = request(f"g{number}")._replace(needs_backup=True)
            received = ReservationReceived("b", asked)
            for action in system.admission.handle(received, 1.0):
                assert isinstance(action.message, ReservationGrant)
                assert action.message.target != "t1"
                backups.add(action.message.backup)
        assert "t1" not in backups
        assert backups - {""}
