"""Publication of cold targets, and the requests that they get."""

from typing import Any, ClassVar

import pytest

from heathertack.blackboard import (
    COLD_TARGETS,
    LEASE,
    MEMBERS,
    TARGET_LIMITS,
    TARGETS,
    Blackboard,
    LeaseView,
    Section,
    TargetLimit,
)
from heathertack.controllers import (
    AdmissionController,
    ColdShares,
    ColdStart,
    ColdTargetsReceived,
    LeaseDue,
    PlatformTargetsListed,
    ReservationReceived,
    SendToPeer,
    find_rates,
)
from heathertack.controllers.tests.test_admission import request
from heathertack.controllers.tests.test_evacuated_targets import (
    DOMAINS,
    Published,
    record,
)
from heathertack.messages import (
    ColdTarget,
    ColdTargets,
    LeaseGrant,
    MemberRecord,
    MemberState,
    ReservationGrant,
    TargetRecord,
    TargetState,
)
from heathertack.policy import ADMISSION_TUNING

RATE = 27.0


class PublishedCold(Published):
    """A leader whose platform says when targets become warm, and a lease holder."""

    def __init__(self) -> None:
        self.remaining: dict[str, float] = {}
        self.rate: float | None = RATE
        self.sent: list[Any] = []
        super().__init__()

    def list_targets(self, **states: TargetState) -> None:
        targets = tuple(
            record(name, states.get(name, TargetState.LIVE)) for name in DOMAINS
        )
        starts = {
            name: ColdStart(self.remaining.get(name, 0.0), self.rate)
            for name in DOMAINS
            if self.rate is not None
        }
        listed = PlatformTargetsListed(targets, dict.fromkeys(DOMAINS, "v1"), starts)
        self.deliver(self.leader.grantor.handle(listed, self.now))

    def deliver(self, actions: tuple[Any, ...]) -> None:
        controller = self.holder.controller
        for action in actions:
            message = action.message if isinstance(action, SendToPeer) else None
            if message is not None:
                self.sent.append(message)
            if isinstance(message, ColdTargets) and not self.loses_all:
                controller.handle(ColdTargetsReceived(message), self.now)
            else:
                super().deliver((action,))

    def pass_time(self, seconds: float) -> None:
        """Let time pass in which no lease is renewed."""
        self.now += seconds
        self.loses_all = True
        self.holder.controller.handle(LeaseDue(), self.now)
        self.loses_all = False

    @property
    def cold(self) -> dict[str, float]:
        rates = self.board.read(COLD_TARGETS)
        return dict(rates)


class TestPublication:
    def test_listed_cold_target_is_pushed_until_it_is_warm(self) -> None:
        published = PublishedCold()
        published.renew()
        published.remaining = {"a1": 1.0}
        published.list_targets()
        assert published.cold == {"a1": RATE}
        published.pass_time(0.9)
        assert published.cold == {"a1": RATE}
        published.pass_time(0.2)
        assert published.cold == {}

    # Guards against a list that is read late and would end the time too early.
    def test_later_reading_of_the_list_does_not_shorten_the_time(self) -> None:
        published = PublishedCold()
        published.renew()
        published.remaining = {"a1": 2.0}
        published.list_targets()
        published.remaining = {}
        published.list_targets()
        published.renew()
        assert published.cold == {"a1": RATE}

    # Guards against a push to all instances at each reading of the list.
    def test_readings_that_agree_are_pushed_once(self) -> None:
        published = PublishedCold()
        published.renew()
        published.remaining = {"a1": 2.0}
        published.list_targets()
        count = len(published.sent)
        published.now += 0.5
        published.remaining = {"a1": 1.7}
        published.list_targets()
        assert len(published.sent) == count

    def test_nothing_is_sent_where_targets_never_become_cold(self) -> None:
        published = PublishedCold()
        published.rate = None
        published.remaining = {"a1": 5.0}
        published.renew()
        published.list_targets()
        published.set_evacuated("a")
        published.set_evacuated()
        assert not any(isinstance(m, ColdTargets) for m in published.sent)

    # Guards against a target that is known to be live before it is known to be cold.
    def test_cold_targets_precede_the_grant(self) -> None:
        published = PublishedCold()
        published.renew()
        published.set_evacuated("a")
        published.sent.clear()
        published.set_evacuated()
        kinds = [type(message) for message in published.sent]
        assert kinds.index(ColdTargets) < kinds.index(LeaseGrant)


class TestReadmission:
    # Guards against the load of a whole domain that has become cold shortly before,
    # which the list does not show yet.
    def test_targets_of_the_domain_are_cold_for_two_seconds(self) -> None:
        published = PublishedCold()
        published.renew()
        published.set_evacuated("a")
        published.renew()
        published.set_evacuated()
        assert published.cold == dict.fromkeys(("a1", "a2"), RATE)
        published.pass_time(1.9)
        assert published.cold == dict.fromkeys(("a1", "a2"), RATE)
        published.pass_time(0.2)
        assert published.cold == {}

    # Guards against a readmission that the next leader does not know of.
    def test_leader_that_is_lost_with_the_readmission(self) -> None:
        published = PublishedCold()
        published.renew()
        published.set_evacuated("a")
        for _ in range(4):
            published.renew()
        published.loses_all = True
        published.set_evacuated()
        published.now += 2.0
        published.loses_all = False
        published.begin_term(2)
        published.renew()
        assert published.usable == list(DOMAINS)
        assert published.cold == dict.fromkeys(("a1", "a2"), RATE)
        published.pass_time(4.5)
        assert published.cold == {}

    def test_message_of_a_former_leader_is_ignored(self) -> None:
        published = PublishedCold()
        published.begin_term(2)
        published.renew()
        former = ColdTargets(1, (ColdTarget("b1", 60.0, 1.0),))
        published.holder.controller.handle(ColdTargetsReceived(former), published.now)
        assert published.cold == {}


class Owner:
    """An owner that admits requests to the targets of a table."""

    READS: ClassVar[tuple[Section[Any], ...]] = ()
    WRITES: ClassVar[tuple[Section[Any], ...]] = (
        COLD_TARGETS,
        LEASE,
        MEMBERS,
        TARGET_LIMITS,
        TARGETS,
    )

    def __init__(self, *targets: TargetRecord) -> None:
        self.board = Blackboard()
        self.board.register(self)
        tuning = ADMISSION_TUNING._replace(takeover_delay=0.0)
        self.admission = AdmissionController(self.board, "i", tuning)
        alive = MemberRecord("i", 1, MemberState.ALIVE, "", "", 1, 0)
        self.board.write(self, MEMBERS, {"i": alive})
        self.board.write(self, LEASE, LeaseView(1000.0, "i"))
        self.board.write(self, TARGETS, {t.name: t for t in targets})

    def set_cold(self, **rates: float) -> None:
        self.board.write(self, COLD_TARGETS, rates)

    def offer(self, count: int, begin: float, end: float) -> list[str]:
        """Return the targets granted to requests that arrive evenly."""
        granted: list[str] = []
        for number in range(count):
            now = begin + (end - begin) * number / count
            wanted = request(f"r{begin}-{number}")._replace(
                group="tutor:0", max_wait=0.0, prompt_tokens=0, max_tokens=0
            )
            event = ReservationReceived("i", wanted)
            replies = [a.message for a in self.admission.handle(event, now)]
            granted += [r.target for r in replies if isinstance(r, ReservationGrant)]
        return granted


class TestOwner:
    # Guards against a cold target that crashes under the load of a warm one.
    @pytest.mark.parametrize("rate", [0.0, 1.0, 5.0, RATE])
    def test_cold_target_gets_no_more_than_its_rate(self, rate: float) -> None:
        slots = 1000
        owner = Owner(record("a1", slots=slots, cache_tokens=0))
        owner.set_cold(a1=rate)
        for second in range(3):
            granted = owner.offer(200, float(second), second + 1.0)
            assert len(granted) <= rate * 1.5 + 5
            assert len(granted) >= int(rate * 0.8) or second == 0

    def test_warm_targets_take_the_rest(self) -> None:
        owner = Owner(
            record("a1", slots=1000, cache_tokens=0),
            record("b1", slots=1000, cache_tokens=0),
        )
        owner.set_cold(a1=10.0)
        granted = owner.offer(200, 0.0, 1.0)
        assert len(granted) == 200
        assert granted.count("a1") <= 20

    def test_target_that_is_warm_again_has_no_limit(self) -> None:
        owner = Owner(record("a1", slots=1000, cache_tokens=0))
        owner.set_cold(a1=1.0)
        assert len(owner.offer(50, 0.0, 1.0)) <= 6
        owner.set_cold()
        assert len(owner.offer(50, 1.0, 2.0)) == 50


class TestShares:
    # Guards against calls that choose targets without an owner and know of no rates.
    def test_instances_together_send_no_more_than_the_rate(self) -> None:
        owner = Owner(record("a1"))
        members = {
            name: MemberRecord(name, 1, MemberState.ALIVE, "", "", 1, 0)
            for name in ("i", "j", "k")
        }
        owner.board.write(owner, MEMBERS, members)
        owner.set_cold(a1=9.0)
        instances = [ColdShares(owner.board) for _ in members]
        sent = 0
        for step in range(100):
            for shares in instances:
                if shares.accepts("a1", step / 100):
                    shares.spend("a1", step / 100)
                    sent += 1
        assert 5 <= sent <= 9
        assert instances[0].accepts("b1", 1.0)

    # Guards against a target that names a limit and gets more while it is cold.
    @pytest.mark.parametrize(
        ("limit", "expected"), [(4.0, 4.0), (20.0, 9.0), (None, 9.0)]
    )
    def test_smaller_of_two_limits_applies(
        self, limit: float | None, expected: float
    ) -> None:
        owner = Owner(record("a1"))
        owner.set_cold(a1=9.0)
        owner.board.write(owner, TARGET_LIMITS, {"a1": TargetLimit(limit, 0.0)})
        assert find_rates(owner.board) == {"a1": expected}
