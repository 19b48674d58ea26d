from typing import NamedTuple

import pytest

from heathertack.blackboard import (
    CONTROL,
    LEAVING_TARGETS,
    LISTED_TARGETS,
    TARGETS,
    Blackboard,
    ControlView,
)
from heathertack.controllers import (
    LEASE_TIMINGS,
    AdmissionController,
    InstanceIdentity,
    LeaseGrantorController,
    LeaseGrantReceived,
    LeaseHolderController,
    LeaseRequested,
    LeavingTargetsChanged,
    LeavingTargetsController,
    LeavingTargetsDue,
    PlacementController,
    PlacementDenied,
    PlacementRequested,
    PlatformTargetsListed,
    ReservationReceived,
    SendToPeer,
    TargetChosen,
    TargetLeavingReported,
    TargetReported,
    TargetSaidLeaving,
    TargetVersionsReceived,
    find_usable_targets,
    has_version,
    list_leaving_targets,
)
from heathertack.controllers._leaving_targets import Event
from heathertack.controllers.tests.test_admission import request
from heathertack.controllers.tests.test_leases import ControlWriter, lease_request
from heathertack.messages import (
    LeaseGrant,
    MemberRecord,
    MemberState,
    ReservationGrant,
    ReservationRequest,
    TableVersion,
    TargetRecord,
    TargetState,
    TargetVersion,
    TargetVersions,
)
from heathertack.policy import ADMISSION_TUNING

INSTANCE = "i1"
GROUP = "tutor:0"
LIVE, LEAVING, GONE = TargetState.LIVE, TargetState.LEAVING, TargetState.GONE
MANY = 6000


def target_record(
    name: str, state: TargetState = LIVE, address: str = "a:1", cache_tokens: int = 1000
) -> TargetRecord:
    return TargetRecord(name, "tutor", address, "d", state, cache_tokens, 8)


class LeavingSystem:
    """One instance that owns the group of its targets; no lease, no leader."""

    def __init__(self, *targets: TargetRecord, has_owner: bool = True) -> None:
        self.board = Blackboard()
        identity = InstanceIdentity(INSTANCE, 1, "x", "d")
        self.leaving = LeavingTargetsController(self.board)
        self.holder = LeaseHolderController(self.board, identity, (), LEASE_TIMINGS)
        tuning = ADMISSION_TUNING._replace(takeover_delay=0.0)
        self.admission = AdmissionController(self.board, INSTANCE, tuning)
        self.placement = PlacementController(self.board)
        self._has_owner = has_owner
        self._sequence = 0
        self.set_table(*targets)

    def set_table(
        self, *targets: TargetRecord, term: int = 1, now: float = 0.0
    ) -> None:
        """Apply the whole table of a leader, whose lease has run out."""
        self._sequence += 1
        alive = MemberRecord(INSTANCE, 1, MemberState.ALIVE, "x", "d", 1, 0)
        granted = LeaseGrant(
            term=term,
            leader="l",
            incarnation=1,
            bundle_index=0,
            bundle=None,
            duration=0.0,
            sent_at=0.0,
            table=TableVersion(term, self._sequence),
            is_full=True,
            is_settled=True,
            members=(alive,) if self._has_owner else (),
            targets=targets,
            suspects=None,
        )
        versions = tuple(TargetVersion(target.name, "") for target in targets)
        published = TargetVersionsReceived(TargetVersions(term, versions))
        self.holder.handle(published, now)
        self.holder.handle(LeaseGrantReceived(granted), now)
        self.handle(LeavingTargetsDue(), now)

    def handle(self, event: Event, now: float = 0.0) -> tuple[str, ...]:
        changed = self.leaving.handle(event, now)
        self.holder.handle(LeavingTargetsChanged(), now)
        return changed

    def state(self, name: str = "e0") -> TargetState:
        return self.board.read(TARGETS)[name].state

    def admit(self, wanted: ReservationRequest, now: float = 1.0) -> str:
        """Return the target that the owner grants, empty for none."""
        received = ReservationReceived(INSTANCE, wanted._replace(group=GROUP))
        replies = [a.message for a in self.admission.handle(received, now)]
        grants = [r for r in replies if isinstance(r, ReservationGrant)]
        return grants[0].target if grants else ""


class Table(NamedTuple):
    name: str
    #: Times and tables that the instance gets after the target said that it leaves.
    tables: tuple[tuple[float, tuple[TargetRecord, ...]], ...]
    state: TargetState


LISTED = (target_record("e0"),)
LISTED_LEAVING = (target_record("e0", LEAVING),)
LISTED_GONE = (target_record("e0", GONE),)
LISTED_ELSEWHERE = (target_record("e0", LIVE, "b:1"),)

TABLES = [
    Table("live", ((1.0, LISTED),), LEAVING),
    Table("live for long", ((1.0, LISTED), (900.0, LISTED)), LEAVING),
    Table("leaving, then live", ((1.0, LISTED_LEAVING), (2.0, LISTED)), LEAVING),
    Table("gone", ((1.0, LISTED_GONE),), GONE),
    Table("gone for a moment", ((1.0, LISTED_GONE), (5.0, LISTED)), LEAVING),
    Table("not listed for a moment", ((1.0, ()), (5.0, LISTED)), LEAVING),
    Table("gone for long", ((1.0, LISTED_GONE), (7.0, ()), (8.0, LISTED)), LIVE),
    Table("not listed for long", ((1.0, ()), (7.0, ()), (8.0, LISTED)), LIVE),
    Table(
        "gone for a moment twice",
        ((1.0, ()), (2.0, LISTED), (5.0, ()), (8.0, ()), (9.0, LISTED)),
        LEAVING,
    ),
    Table("at another address", ((1.0, LISTED_ELSEWHERE),), LIVE),
    Table("older record again", ((1.0, LISTED_ELSEWHERE), (2.0, LISTED)), LEAVING),
]


class Report(NamedTuple):
    name: str
    #: Start that the leaving target had reported.
    started_at: float | None
    report: TargetReported
    state: TargetState


def report(
    *, is_leaving: bool, started_at: float | None, requested_at: float = 5.0
) -> TargetReported:
    return TargetReported("e0", "a:1", is_leaving, started_at, requested_at)


REPORTS = [
    Report("leaves", 7.0, report(is_leaving=True, started_at=7.0), LEAVING),
    Report("another lifetime", 7.0, report(is_leaving=False, started_at=8.0), LIVE),
    Report("same lifetime", 7.0, report(is_leaving=False, started_at=7.0), LEAVING),
    Report("earlier start", 7.0, report(is_leaving=False, started_at=6.0), LEAVING),
    Report("unknown start", 7.0, report(is_leaving=False, started_at=None), LEAVING),
    Report("first known start", None, report(is_leaving=False, started_at=8.0), LIVE),
    Report(
        "asked before",
        None,
        report(is_leaving=False, started_at=8.0, requested_at=0.5),
        LEAVING,
    ),
    Report(
        "other address",
        7.0,
        TargetReported("e0", "b:1", False, 8.0, 5.0),
        LEAVING,
    ),
]


class TestLeavingTargets:
    # Guards against new work for a target that leaves, since the leader's table is
    # older than its answer or knows nothing of it.
    @pytest.mark.parametrize("case", TABLES, ids=[case.name for case in TABLES])
    def test_only_the_end_of_its_lifetime_ends_what_a_target_said(
        self, case: Table
    ) -> None:
        system = LeavingSystem(target_record("e0"))
        assert system.handle(TargetSaidLeaving("e0", "a:1")) == ("e0",)
        assert system.state() is LEAVING
        for term, (now, table) in enumerate(case.tables, start=2):
            system.set_table(*table, term=term, now=now)
        assert system.state() is case.state
        assert system.board.read(LISTED_TARGETS)["e0"] == case.tables[-1][1][0]

    # Guards against a target that gets no work in its next lifetime, at the same
    # address and under the same name.
    @pytest.mark.parametrize("case", REPORTS, ids=[case.name for case in REPORTS])
    def test_later_lifetime_is_live_again(self, case: Report) -> None:
        system = LeavingSystem(target_record("e0"))
        first = report(is_leaving=True, started_at=case.started_at)
        system.handle(first, 0.0)
        system.handle(case.report, 5.1)
        assert system.state() is case.state

    def test_known_start_is_kept_when_an_answer_names_none(self) -> None:
        system = LeavingSystem(target_record("e0"))
        system.handle(report(is_leaving=True, started_at=7.0), 0.0)
        assert system.handle(TargetSaidLeaving("e0", "a:1"), 1.0) == ()
        system.handle(report(is_leaving=False, started_at=7.0), 5.1)
        assert system.state() is LEAVING

    # Guards against an instance that forgets what it learns right after its start,
    # before it knows any target.
    def test_target_may_say_so_before_it_is_listed(self) -> None:
        system = LeavingSystem()
        system.handle(TargetSaidLeaving("e0", "a:1"))
        assert system.handle(LeavingTargetsDue(), 1.0) == ()
        system.set_table(target_record("e0"))
        assert system.state() is LEAVING

    def test_only_those_that_the_leader_calls_live_are_contradicted(self) -> None:
        records = [target_record(f"e{n}", address=f"a:{n}") for n in range(3)]
        system = LeavingSystem(*records)
        for number in range(3):
            system.handle(TargetSaidLeaving(f"e{number}", f"a:{number}"), 0.0)
        system.set_table(
            records[0],
            records[1]._replace(state=LEAVING),
            records[2]._replace(address="b:1"),
        )
        assert system.leaving.list_contradicted(0.5) == ()
        assert system.leaving.list_contradicted(1.5) == (records[0],)

    def test_number_of_targets_is_bounded(self) -> None:
        system = LeavingSystem()
        for number in range(MANY):
            said = TargetSaidLeaving(f"e{number}", "a:1")
            system.leaving.handle(said, float(number))
        leaving = system.board.read(LEAVING_TARGETS)
        assert len(leaving) == 4096
        assert f"e{MANY - 1}" in leaving


class TestPlacesOfWork:
    """Everything that places work, on an instance with no lease and no leader."""

    # Guards against each kind of new work for a target that leaves.
    @pytest.mark.parametrize(
        "wanted",
        [
            request("g"),
            request("g")._replace(attempt=2, excluded=("e1",)),
            request("g")._replace(preferred_target="e0"),
            request("g")._replace(is_running=True, excluded=("e2",)),
        ],
        ids=["first try", "retry", "continuation", "move"],
    )
    def test_owner_places_no_work(self, wanted: ReservationRequest) -> None:
        names = ("e0", "e1", "e2")
        system = LeavingSystem(*(target_record(name) for name in names))
        for name in names:
            system.handle(TargetSaidLeaving(name, "a:1"))
        assert system.admit(wanted) == ""
        assert LeavingSystem(*map(target_record, names)).admit(wanted)

    def test_owner_keeps_no_backup_there(self) -> None:
        records = [target_record(name, cache_tokens=100000) for name in ("e0", "e1")]
        for leaving, backup in ((False, "e1"), (True, "")):
            system = LeavingSystem(*records)
            if leaving:
                system.handle(TargetSaidLeaving("e1", "a:1"))
            received = ReservationReceived(
                INSTANCE,
                request("g")._replace(
                    group=GROUP, preferred_target="e0", needs_backup=True
                ),
            )
            (sent,) = system.admission.handle(received, 1.0)
            assert isinstance(sent.message, ReservationGrant)
            assert (sent.message.target, sent.message.backup) == ("e0", backup)

    def test_instance_without_an_owner_chooses_others(self) -> None:
        records = target_record("e0"), target_record("e1")
        system = LeavingSystem(*records, has_owner=False)
        for name, expected in (("e0", "e1"), ("e1", "")):
            system.handle(TargetSaidLeaving(name, "a:1"))
            asked = PlacementRequested(request(f"g-{name}"))
            (decision,) = system.placement.handle(asked, 1.0)
            if expected:
                assert isinstance(decision, TargetChosen)
                assert decision.target == expected
            else:
                assert isinstance(decision, PlacementDenied)
                assert decision.code == "no_target"

    def test_lists_of_live_targets_leave_it_out(self) -> None:
        system = LeavingSystem(target_record("e0"))
        assert has_version(system.board, "tutor", "")
        system.handle(TargetSaidLeaving("e0", "a:1"))
        assert find_usable_targets(system.board, "tutor", 1.0) == ()
        assert not has_version(system.board, "tutor", "")
        assert list_leaving_targets(system.board, "tutor") == ("e0",)
        assert list_leaving_targets(system.board, "portal") == ()


class TestLeader:
    # Guards against a leader that keeps all others from the next lifetime of a target
    # that was reported to leave.
    @pytest.mark.parametrize(
        ("listed", "state"),
        [
            ((LIVE, "a:1"), LEAVING),
            ((LEAVING, "a:1"), LEAVING),
            ((LIVE, "b:1"), LIVE),
        ],
        ids=["list lags", "listed as leaving", "another address"],
    )
    def test_report_ends_with_the_lifetime(
        self, listed: tuple[TargetState, str], state: TargetState
    ) -> None:
        assert self.publish((LIVE, "a:1"), listed)[-1] is state

    def test_report_ends_when_a_leaving_target_is_live_again(self) -> None:
        states = self.publish((LIVE, "a:1"), (LEAVING, "a:1"), (LIVE, "a:1"))
        assert states == [LEAVING, LEAVING, LIVE]

    def publish(self, *listed: tuple[TargetState, str]) -> list[TargetState]:
        """Return the published states after each list; reported after the first."""
        board = Blackboard()
        control = ControlWriter(board)
        control.set(ControlView(is_leader=True, term=1, lease_until=100.0))
        assert board.read(CONTROL).may_lead(0.0)
        leader = LeaseGrantorController(board, "l", LEASE_TIMINGS)
        states: list[TargetState] = []
        for number, (state, address) in enumerate(listed):
            record = target_record("e0", state, address)
            leader.handle(PlatformTargetsListed((record,)), float(number))
            if not number:
                leader.handle(TargetLeavingReported("e0"), 0.0)
            states.append(self.read_state(leader, float(number)))
        return states

    def read_state(self, leader: LeaseGrantorController, now: float) -> TargetState:
        actions = leader.handle(LeaseRequested(lease_request("i2", 0)), now)
        grants = [
            action.message
            for action in actions
            if isinstance(action, SendToPeer) and isinstance(action.message, LeaseGrant)
        ]
        return grants[-1].targets[0].state
