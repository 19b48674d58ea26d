from typing import Any

import pytest

from heathertack.controllers import AdmissionGroup, EngineLoad, TargetCapacity
from heathertack.controllers._target_group import TargetGroup
from heathertack.messages import (
    ReservationAnnounce,
    ReservationBlame,
    ReservationCopyDropped,
    ReservationGrant,
    ReservationOutcome,
    ReservationQueued,
    ReservationRefusal,
    ReservationRelease,
    ReservationRequest,
)
from heathertack.policy import AdmissionTuning, LengthEstimator

TUNING = AdmissionTuning(takeover_delay=0.0)
NO_INSTANCES: frozenset[str] = frozenset()


def request(
    key: str,
    *,
    prompt: int = 100,
    priority: int = 1,
    account: str = "school",
    max_wait: float = 10.0,
    attempt: int = 1,
    fingerprint: str = "",
    excluded: tuple[str, ...] = (),
    max_tokens: int = 400,
) -> ReservationRequest:
    return ReservationRequest(
        generation_id=key,
        attempt=attempt,
        service="tutor",
        group="tutor:0",
        account=account,
        class_name="critique",
        priority=priority,
        share=1.0,
        prompt_tokens=prompt,
        max_tokens=max_tokens,
        prefix=(),
        fingerprint=fingerprint or key,
        excluded=excluded,
        max_wait=max_wait,
    )


class Group:
    """An admission group that stores its replies by generation."""

    def __init__(
        self,
        engines: int = 1,
        capacity: int = 1000,
        backup_load_limit: float = 0.4,
        *,
        controls_overload: bool = False,
    ) -> None:
        tuning = TUNING._replace(
            backup_load_limit=backup_load_limit, controls_overload=controls_overload
        )
        self.group = AdmissionGroup("tutor:0", tuning, LengthEstimator(), 0.0)
        self.group.set_targets(
            {f"e{i}": TargetCapacity(capacity) for i in range(engines)}
        )
        self.replies: dict[str, object] = {}
        self.dropped: list[str] = []

    def store(self, replies: tuple[object, ...]) -> None:
        for addressed in replies:
            reply = addressed.reply  # type: ignore[attr-defined]
            if isinstance(reply, ReservationCopyDropped):
                self.dropped.append(reply.generation_id)
                continue
            self.replies[reply.generation_id] = reply

    def ask(
        self,
        new_request: ReservationRequest,
        now: float = 0.0,
        losses: int = 0,
        instance: str = "entry",
    ) -> str:
        self.store(self.group.request(new_request, instance, losses, now))
        return self.target(new_request.generation_id)

    def target(self, key: str) -> str:
        reply = self.replies[key]
        return reply.target if isinstance(reply, ReservationGrant) else ""

    def backup(self, key: str) -> str:
        reply = self.replies[key]
        return reply.backup if isinstance(reply, ReservationGrant) else ""

    def started(self, key: str, now: float = 0.0) -> None:
        self.group.record_progress(key, 1, now)

    def report(self, key: str, tokens: int, now: float) -> None:
        self.group.record_progress(key, tokens, now)
        self.store(self.group.dispatch(now))

    def end(
        self,
        key: str,
        now: float = 0.0,
        outcome: ReservationOutcome = ReservationOutcome.FINISHED,
        attempt: int = 1,
    ) -> None:
        self.group.release(
            ReservationRelease("tutor:0", key, attempt, outcome, 50), now
        )
        self.store(self.group.dispatch(now))


class TestTargetSelection:
    def test_spreads_over_engines(self) -> None:
        group = Group(engines=2)
        assert {group.ask(request("a")), group.ask(request("b"))} == {"e0", "e1"}

    def test_full_engine_gets_no_new_requests(self) -> None:
        group = Group()
        group.ask(request("a", prompt=700))
        group.started("a")
        assert group.ask(request("b", prompt=400)) == ""
        assert isinstance(group.replies["b"], ReservationQueued)
        group.end("a")
        assert group.target("b") == "e0"

    def test_request_larger_than_an_engine_runs_alone(self) -> None:
        assert Group().ask(request("a", prompt=5000)) == "e0"

    def test_long_prompts_wait_for_the_first_token_of_others(self) -> None:
        group = Group(capacity=100_000)
        group.ask(request("a", prompt=900))
        assert group.ask(request("b", prompt=900)) == ""
        group.started("a")
        group.store(group.group.dispatch(0.0))
        assert group.target("b") == "e0"

    def test_repeated_request_gets_the_same_answer(self) -> None:
        group = Group(engines=3)
        assert group.ask(request("a")) == group.ask(request("a"))
        assert group.group.held_count == 1

    def test_new_attempt_avoids_the_lost_engine(self) -> None:
        group = Group(engines=2)
        first = group.ask(request("a"))
        second = group.ask(request("a", attempt=2, excluded=(first,)))
        assert second not in ("", first)
        assert group.group.held_count == 1

    @pytest.mark.parametrize("outcome", ["target_lost", "unreachable", "rejected"])
    def test_engine_that_failed_is_avoided(self, outcome: str) -> None:
        group = Group(engines=2)
        failed = group.ask(request("a"))
        group.end("a", outcome=ReservationOutcome(outcome))
        assert group.ask(request("b")) not in ("", failed)

    def test_last_engine_is_used_although_it_failed(self) -> None:
        group = Group(engines=1)
        group.ask(request("a"))
        group.end("a", outcome=ReservationOutcome.TARGET_LOST)
        assert group.ask(request("b")) == "e0"

    def test_unattributed_load_counts(self) -> None:
        group = Group(capacity=1000)
        group.group.record_load("e0", EngineLoad(1, 1, 0, 900, 1000, 0), 0.0)
        group.ask(request("tiny", prompt=10, max_tokens=10))
        group.started("tiny")
        assert group.ask(request("b", prompt=300)) == ""

    def test_preemptions_raise_the_reserved_quantile(self) -> None:
        group = Group().group
        before = group.quantile
        group.record_load("e0", EngineLoad(1, 1, 0, 10, 1000, 0), 0.0)
        group.record_load("e0", EngineLoad(2, 1, 0, 10, 1000, 2), 0.5)
        assert group.quantile > before
        group.expire_and_dispatch(NO_INSTANCES, 1000.0)
        assert group.quantile == before


class TestInstanceWithoutLinks:
    """One instance reaches no target, while the others reach all."""

    def test_others_use_all_targets(self) -> None:
        group = Group(engines=2)
        for key in ("a", "b"):
            group.ask(request(key), instance="cut")
            group.end(key, outcome=ReservationOutcome.UNREACHABLE)
        assert {group.ask(request("c")), group.ask(request("d"))} == {"e0", "e1"}


class TestOrder:
    def test_higher_priority_is_served_first(self) -> None:
        group = Group()
        group.ask(request("a", prompt=900))
        group.started("a")
        group.ask(request("low", prompt=800))
        group.ask(request("high", prompt=800, priority=2))
        group.end("a")
        assert (group.target("low"), group.target("high")) == ("", "e0")

    def test_large_account_does_not_starve_a_small_one(self) -> None:
        group = Group()
        group.ask(request("a", prompt=900, account="large"))
        group.started("a")
        for number in range(5):
            group.ask(request(f"large-{number}", prompt=800, account="large"))
        group.ask(request("small", prompt=800, account="small"))
        group.end("a")
        assert group.target("small") == "e0"

    def test_short_request_overtakes_a_head_that_does_not_fit(self) -> None:
        group = Group(capacity=2000)
        group.ask(request("a", prompt=1200))
        group.started("a")
        assert group.ask(request("long", prompt=1800)) == ""
        assert group.ask(request("short", prompt=20, max_tokens=20)) == "e0"

    def test_no_request_overtakes_an_old_head(self) -> None:
        group = Group(capacity=2000)
        group.ask(request("a", prompt=1200))
        group.started("a")
        group.ask(request("long", prompt=1800, max_wait=60.0))
        late = TUNING.head_age_limit + 0.1
        assert group.ask(request("short", prompt=20, max_tokens=20), late) == ""


class TestRefusals:
    def refusal(self, group: Group, key: str) -> ReservationRefusal:
        reply = group.replies[key]
        assert isinstance(reply, ReservationRefusal)
        assert reply.retry_after >= 1.0
        return reply

    def test_late_request_is_refused_at_its_deadline(self) -> None:
        group = Group()
        group.ask(request("a", prompt=900))
        group.started("a")
        group.ask(request("b", prompt=800, max_wait=2.0))
        group.started("a", 1.9)
        group.store(group.group.expire_and_dispatch(NO_INSTANCES, 2.0))
        assert self.refusal(group, "b").code == "overloaded"

    def test_request_with_too_long_an_expected_wait_is_refused(self) -> None:
        group = Group()
        group.ask(request("a", prompt=900))
        group.started("a")
        for number in range(20):
            group.ask(request(f"b{number}", prompt=800, max_wait=60.0), 0.1)
        group.started("a", 3.5)
        group.ask(request("c", prompt=800, max_wait=2.0), 4.0)
        assert self.refusal(group, "c").code == "overloaded"

    def test_full_queue_refuses(self) -> None:
        group = Group()
        group.ask(request("a", prompt=900))
        group.started("a")
        for number in range(TUNING.queue_limit):
            group.ask(request(f"b{number}", prompt=800))
        group.ask(request("c", prompt=800))
        assert self.refusal(group, "c").code == "queue_full"

    def test_request_with_two_target_losses_is_refused(self) -> None:
        group = Group(engines=3)
        group.ask(request("a"), losses=2)
        assert self.refusal(group, "a").code == "quarantined"

    def test_two_losses_recorded_locally_are_enough(self) -> None:
        group = Group(engines=4)
        for attempt in (1, 2):
            group.ask(request("a", attempt=attempt, fingerprint="f"))
            lost = ReservationOutcome.TARGET_LOST
            group.end("a", outcome=lost, attempt=attempt)
        group.ask(request("b", fingerprint="f"))
        assert self.refusal(group, "b").code == "quarantined"

    def test_request_with_a_target_loss_runs_once_at_a_time(self) -> None:
        group = Group(engines=4)
        assert group.ask(request("a", fingerprint="f"), losses=1)
        assert group.ask(request("b", fingerprint="f"), losses=1) == ""


class TestOwnership:
    def test_new_owner_waits_for_announcements(self) -> None:
        tuning = AdmissionTuning(takeover_delay=0.6)
        group = AdmissionGroup("tutor:0", tuning, LengthEstimator(), 10.0)
        group.set_targets({"e0": TargetCapacity(1000)})
        group.request(request("b", prompt=500), "entry", 0, 10.1)
        announced = ReservationAnnounce(request("a", prompt=900), "e0", 5)
        group.announce(announced, "entry", 10.2)
        assert not group.dispatch(10.7)

    @pytest.mark.parametrize(
        ("gone", "now"),
        [(frozenset({"entry"}), 1.0), (NO_INSTANCES, 5.0)],
        ids=["gone", "unresponsive"],
    )
    def test_reservations_of_a_lost_entry_are_freed(
        self, gone: frozenset[str], now: float
    ) -> None:
        group = Group()
        group.ask(request("a"))
        group.group.expire_and_dispatch(gone, now)
        assert group.group.is_idle

    # Guards against places that are given twice: a new leader's first table does not
    # hold a target, and a later one does while runs go on there.
    @pytest.mark.parametrize(
        ("target", "backup", "chosen", "dropped"),
        [
            pytest.param("e0", "", "", [], id="run"),
            pytest.param("e9", "e0", "e0", ["a"], id="backup"),
        ],
    )
    def test_runs_keep_their_places_at_a_target_that_is_listed_again(
        self, target: str, backup: str, chosen: str, dropped: list[str]
    ) -> None:
        group = Group(engines=0)
        announced = ReservationAnnounce(request("a", prompt=700), target, 5, backup)
        group.group.announce(announced, "entry", 0.0)
        group.group.set_targets({"e0": TargetCapacity(1000)})
        assert group.ask(request("b", prompt=700)) == chosen
        assert group.dropped == dropped

    def test_progress_of_an_unknown_generation_is_not_accepted(self) -> None:
        assert not Group().group.record_progress("x", 3, 0.0)


class TestOverload:
    """Load pattern: temporarily more requests than fit into memory."""

    def test_requests_past_their_objective_are_served_last(self) -> None:
        group = Group(engines=1)
        group.ask(request("runs", prompt=800, max_tokens=10))
        group.started("runs")
        for key, at in (("late", 0.0), ("fresh", 1.9)):
            new_request = request(key, prompt=800, max_tokens=10)
            group.ask(new_request._replace(latency_budget=1.6), at)
        group.end("runs", 2.0)
        assert isinstance(group.replies["fresh"], ReservationGrant)
        assert isinstance(group.replies["late"], ReservationQueued)
        group.end("fresh", 3.0)
        assert isinstance(group.replies["late"], ReservationGrant)

    def test_most_requests_meet_their_objective_under_overload(self) -> None:
        """Two requests arrive for each one that can be served."""
        group = Group(engines=1)
        in_time = 0
        running = ""
        arrived: dict[str, float] = {}
        for step in range(200):
            now = step * 0.1
            if step % 5 == 0:
                key = f"r{step}"
                arrived[key] = now
                new_request = request(key, prompt=800, max_tokens=10, max_wait=30.0)
                group.ask(new_request._replace(latency_budget=1.6), now)
            if step % 10 == 9 and running:
                group.end(running, now)
            granted = [
                key
                for key, reply in group.replies.items()
                if isinstance(reply, ReservationGrant)
            ]
            if granted and granted[-1] != running:
                running = max(granted, key=lambda key: arrived[key])
                group.started(running, now)
                in_time += now - arrived[running] <= 1.6
        assert in_time >= 12


class TestTargetLosses:
    """Load pattern: identical requests, some of whose answers are lost.

    A lost answer must not count as the failure of a target, or a popular request
    would be quarantined although it does no harm.
    """

    def end_with(self, group: Group, key: str, outcome: ReservationOutcome) -> None:
        group.ask(request(key, fingerprint="f"))
        lost = ReservationRelease("tutor:0", key, 1, outcome, 0)
        group.group.release(lost, 0.0)

    def report_loss(self, group: Group, now: float) -> None:
        group.group.record_target_loss(ReservationBlame("tutor:0", "f", "e0"), now)

    def test_lost_answers_alone_cause_no_refusal(self) -> None:
        group = Group(engines=3)
        for key in ("a", "b", "c"):
            self.end_with(group, key, ReservationOutcome.ANSWER_LOST)
        group.ask(request("d", fingerprint="f"))
        assert isinstance(group.replies["d"], ReservationGrant)

    @pytest.mark.parametrize(("at", "is_refused"), [(30.0, True), (61.0, False)])
    def test_request_with_target_losses_is_refused_temporarily(
        self, at: float, is_refused: bool
    ) -> None:
        group = Group(engines=3)
        self.report_loss(group, 0.0)
        self.report_loss(group, 0.5)
        group.ask(request("d", fingerprint="f"), at)
        assert isinstance(group.replies["d"], ReservationRefusal) is is_refused

    def test_successful_request_resets_the_count(self) -> None:
        group = Group(engines=3)
        self.report_loss(group, 0.0)
        self.end_with(group, "a", ReservationOutcome.FINISHED)
        self.report_loss(group, 1.0)
        group.ask(request("d", fingerprint="f"), 2.0)
        assert isinstance(group.replies["d"], ReservationGrant)


class TestStartup:
    """Load pattern: requests right after startup, while the tables are empty."""

    def test_request_of_an_unlisted_entry_keeps_waiting(self) -> None:
        group = Group(engines=0)
        group.ask(request("a"))
        group.group.expire_and_dispatch(NO_INSTANCES, 0.5)
        group.group.set_targets({"e0": TargetCapacity(1000)})
        group.store(group.group.dispatch(0.6))
        assert isinstance(group.replies["a"], ReservationGrant)


class TestBackups:
    """Load pattern: long streams on engines that are reclaimed frequently."""

    def test_second_engine_holds_the_backup(self) -> None:
        group = Group(engines=2, capacity=1000)
        group.ask(request_with_backup("g"))
        grant = group.replies["g"]
        assert isinstance(grant, ReservationGrant)
        assert {grant.target, grant.backup} == {"e0", "e1"}

    # Load pattern: requests wait for memory while all caches hold backups.
    def test_work_for_a_waiting_request_does_not_grow_with_the_backups(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        engines, streams, waiting = 40, 160, 8
        group = Group(engines, 34_432, backup_load_limit=1.0)
        for number in range(streams):
            group.ask(request_with_backup(f"s{number}", prompt=3000, max_tokens=300))
            group.started(f"s{number}")
        for number in range(waiting):
            group.ask(request(f"w{number}", prompt=34_000, max_tokens=400))
        scored: list[str] = []
        project = TargetGroup._project_load  # both scores and fits are counted

        def count(
            self: TargetGroup, request: Any, target: str, entry: Any, now: float
        ) -> Any:
            scored.append(target)
            return project(self, request, target, entry, now)

        monkeypatch.setattr(TargetGroup, "_project_load", count)
        group.store(group.group.dispatch(1.0))
        assert len(scored) <= 2 * waiting * engines

    def test_no_backup_if_it_would_displace_streams(self) -> None:
        group = Group(engines=2, capacity=1000)
        for key in ("a", "b"):
            group.ask(request(key, prompt=800, max_tokens=10))
            group.started(key)
        group.ask(request_with_backup("g", prompt=60))
        grant = group.replies["g"]
        assert isinstance(grant, ReservationGrant)
        assert grant.backup == ""

    def test_backup_counts_as_cache_use(self) -> None:
        group = Group(engines=2, capacity=1000, backup_load_limit=1.0)
        for key in ("a", "b"):
            group.ask(request_with_backup(key, prompt=400))
            group.started(key)
        backup_targets = {group.backup(key) for key in ("a", "b")}
        assert backup_targets == {"e0", "e1"}
        group.ask(request("c", prompt=400, max_tokens=10))
        assert len(group.dropped) == 1

    def test_backups_are_dropped_for_a_waiting_stream(self) -> None:
        group = Group(engines=2, capacity=1000, backup_load_limit=1.0)
        for key in ("a", "b"):
            group.ask(request_with_backup(key, prompt=380))
            group.started(key)
        group.ask(request("c", prompt=380, max_tokens=10))
        assert isinstance(group.replies["c"], ReservationGrant)
        assert len(group.dropped) == 1

    def test_no_backup_is_dropped_if_that_makes_no_room(self) -> None:
        group = Group(engines=2, capacity=1000)
        for key in ("a", "b"):
            group.ask(request_with_backup(key, prompt=300))
            group.started(key)
        group.ask(request("c", prompt=900, max_tokens=400))
        assert isinstance(group.replies["c"], ReservationQueued)
        assert group.dropped == []

    def test_stream_resumes_at_its_backup_at_once(self) -> None:
        group = Group(engines=3, capacity=1000)
        group.ask(request_with_backup("a", prompt=400))
        first = group.replies["a"]
        assert isinstance(first, ReservationGrant)
        lost = ReservationRelease("tutor:0", "a", 1, ReservationOutcome.TARGET_LOST, 9)
        group.group.release(lost, 1.0)
        again = request_with_backup(
            "a", prompt=400, attempt=2, excluded=(first.target,)
        )
        group.ask(again._replace(preferred_target=first.backup))
        second = group.replies["a"]
        assert isinstance(second, ReservationGrant)
        assert second.target == first.backup
        assert second.backup not in ("", second.target)

    def test_backup_stays_in_the_failure_domain(self) -> None:
        group = Group(engines=0)
        domains = {"e0": "a", "e1": "b", "e2": "a"}
        group.group.set_targets(
            {name: TargetCapacity(1000, 0, zone) for name, zone in domains.items()}
        )
        group.ask(request_with_backup("g"))
        grant = group.replies["g"]
        assert isinstance(grant, ReservationGrant)
        near = {"e0": "e2", "e2": "e0"}
        assert grant.backup == near.get(grant.target, grant.backup)

    def test_one_transfer_at_a_time_per_engine(self) -> None:
        group = Group(engines=3, capacity=1000)
        for key in ("m1", "m2"):
            moving = request(key, excluded=("e0",), max_tokens=10)
            group.ask(moving._replace(is_running=True))
        assert isinstance(group.replies["m1"], ReservationGrant)
        assert isinstance(group.replies["m2"], ReservationQueued)
        group.store(group.group.dispatch(0.1))
        group.group.record_progress("m1", 1, 0.2)
        group.store(group.group.dispatch(0.2))
        assert isinstance(group.replies["m2"], ReservationGrant)

    def test_no_backups_shortly_after_requests_had_to_wait(self) -> None:
        group = Group(engines=2, capacity=1000)
        for key in ("big", "late", "waits"):
            group.ask(request(key, prompt=700, max_tokens=10))
            group.started(key)
        for key in ("big", "late", "waits"):
            group.end(key, 1.0)
        group.ask(request_with_backup("soon"), 5.0)
        group.ask(request_with_backup("calm"), 12.0)
        backups = [group.backup(key) for key in ("soon", "calm")]
        assert backups[0] == ""
        assert backups[1] != ""

    def test_transfers_waiting_for_a_link_do_not_block_others(self) -> None:
        group = Group(engines=3, capacity=10_000)
        for number in range(20):
            moving = request(f"m{number}", excluded=("e0",), max_tokens=10)
            group.ask(moving._replace(is_running=True))
        group.ask(request("new"))
        assert isinstance(group.replies["new"], ReservationGrant)


class TestLongPrompts:
    """Load pattern: prompts of about a fifth of the cache, as many as fit."""

    def test_fifth_prompt_waits_only_if_it_does_not_fit(self) -> None:
        group = Group(engines=1, capacity=21_948)
        for number in range(5):
            key = f"g{number}"
            group.ask(request(key, prompt=4000, max_tokens=100))
            assert group.target(key) == "e0"
            group.started(key)
        group.ask(request("more", prompt=4000, max_tokens=100))
        assert isinstance(group.replies["more"], ReservationQueued)


class TestSlots:
    """Load pattern: short calls to targets without a KV cache and with few slots."""

    def test_slots_are_taken_and_freed(self) -> None:
        group = Group(engines=0)
        group.group.set_targets({"p0": TargetCapacity(0, 2)})
        for key in ("a", "b", "c"):
            group.ask(request(key, prompt=0, max_tokens=0))
        assert isinstance(group.replies["c"], ReservationQueued)
        done = ReservationRelease("tutor:0", "a", 1, ReservationOutcome.FINISHED, 0)
        group.group.release(done, 0.1)
        group.store(group.group.dispatch(0.1))
        assert isinstance(group.replies["c"], ReservationGrant)

    def test_requests_are_spread_evenly(self) -> None:
        group = Group(engines=0)
        group.group.set_targets({f"p{n}": TargetCapacity(0, 6) for n in range(3)})
        for number in range(9):
            group.ask(request(f"r{number}", prompt=0, max_tokens=0))
        targets = [getattr(reply, "target", "") for reply in group.replies.values()]
        assert sorted(targets.count(f"p{n}") for n in range(3)) == [3, 3, 3]


def request_with_backup(key: str, **values: Any) -> ReservationRequest:
    """Return a request whose generation needs a backup on a second engine."""
    size = {"max_tokens": 10, **values}
    return request(key, **size)._replace(needs_backup=True)


class TestWorkOfTheOwner:
    """Load pattern: more streams than the caches hold, and a message for each event.

    An owner that has more to do than its processor bears reads late that callers have
    left (GONE).
    """

    ENGINES = 45

    def fill(self, streams: int, waiting: int) -> Group:
        group = Group(self.ENGINES, 21_948, backup_load_limit=1.0)
        for number in range(streams):
            group.ask(request_with_backup(f"s{number}", prompt=3000, max_tokens=700))
            group.started(f"s{number}")
        for number in range(waiting):
            group.ask(request(f"w{number}", prompt=21_000, max_tokens=900))
        assert group.group.queue_length >= waiting
        return group

    def count_projections(
        self, monkeypatch: pytest.MonkeyPatch, group: Group, event: Any, repeats: int
    ) -> float:
        """Return how many targets are compared with requests, for each event."""
        group.store(group.group.dispatch(1.0))  # all were compared at this time
        projected = 0
        project = TargetGroup._project_load

        def count(*args: Any) -> Any:
            nonlocal projected
            projected += 1
            return project(*args)

        monkeypatch.setattr(TargetGroup, "_project_load", count)
        for number in range(repeats):
            event(group, number)
        monkeypatch.undo()
        return projected / repeats

    # GONE: each event was compared with all targets for all requests that wait.
    @pytest.mark.parametrize("waiting", [8, 40])
    @pytest.mark.parametrize(
        ("event", "max_targets"),
        [
            # Only the target whose stream ended has other room than before.
            (lambda group, number: group.end(f"s{number}", 1.0), 1),
            (lambda group, number: group.report(f"s{number}", 40, 1.0), 1),
            # A report that changes nothing.
            (lambda group, number: group.report("unknown", 40, 1.0), 0),
        ],
        ids=["end", "progress", "unchanged"],
    )
    def test_event_is_compared_with_the_targets_that_it_changes(
        self,
        waiting: int,
        event: Any,
        max_targets: int,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        group = self.fill(streams=150, waiting=waiting)
        considered = TUNING.look_ahead + 1
        # A target is compared once as it is, and once without its backups; backups that
        # may stay are compared one by one.
        each = 4
        work = self.count_projections(monkeypatch, group, event, repeats=50)
        assert work <= each * considered * max_targets

    # GONE: a request that arrives was compared, and with it all that wait already.
    def test_arrival_is_compared_for_itself(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        group = self.fill(streams=150, waiting=6)
        work = self.count_projections(
            monkeypatch,
            group,
            lambda group, number: group.ask(request(f"n{number}", prompt=21_000), 1.0),
            repeats=2,
        )
        assert work <= 2 * self.ENGINES
