import pytest

from heathertack.controllers import AdmissionGroup, TargetCapacity
from heathertack.messages import (
    ReservationGrant,
    ReservationOutcome,
    ReservationRefusal,
    ReservationRelease,
    ReservationRequest,
)
from heathertack.policy import AdmissionTuning, LengthEstimator

TUNING = AdmissionTuning(
    takeover_delay=0.0, retry_after_bounds=(0.3, 10.0), controls_overload=True
)
#: Load of these tests: one engine with room for one request at a time, which a request
#: leaves every 0.2 s, and requests that may wait 1.35 s.
INTERVAL_SECONDS = 0.2
MAX_WAIT_SECONDS = 1.35


def request(
    key: str,
    *,
    account: str = "a",
    priority: int = 0,
    prompt: int = 800,
    max_wait: float = MAX_WAIT_SECONDS,
    is_running: bool = False,
) -> ReservationRequest:
    return ReservationRequest(
        generation_id=key,
        attempt=1,
        service="tutor",
        group="tutor:0",
        account=account,
        class_name="short",
        priority=priority,
        share=1.0,
        prompt_tokens=prompt,
        max_tokens=10,
        prefix=(),
        fingerprint=key,
        excluded=("gone",) if is_running else (),
        max_wait=max_wait,
        expected_tokens=10,
        latency_budget=max_wait,
        is_running=is_running,
    )


class Owner:
    """An admission group, and its replies by generation."""

    def __init__(self) -> None:
        self.now = 0.0
        self.group = AdmissionGroup("tutor:0", TUNING, LengthEstimator(), 0.0)
        self.group.set_targets({"e0": TargetCapacity(1000)})
        self.group.set_versions({"e0": "1", "gone": "1"})
        self.grants: list[str] = []
        self.refusals: dict[str, ReservationRefusal] = {}
        self.refused_at: dict[str, float] = {}

    def ask(self, new_request: ReservationRequest) -> None:
        self._store(self.group.request(new_request, "entry", 0, self.now))

    def end_latest(self) -> None:
        key = self.grants[-1]
        self.group.record_progress(key, 1, self.now)
        release = ReservationRelease("tutor:0", key, 1, ReservationOutcome.FINISHED, 10)
        self.group.release(release, self.now)
        self._store(self.group.dispatch(self.now))

    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self._store(self.group.expire_and_dispatch(frozenset(), self.now))

    def _store(self, replies: tuple[object, ...]) -> None:
        for addressed in replies:
            reply = addressed.reply  # type: ignore[attr-defined]
            if isinstance(reply, ReservationGrant):
                self.grants.append(reply.generation_id)
            elif isinstance(reply, ReservationRefusal):
                self.refusals[reply.generation_id] = reply
                self.refused_at[reply.generation_id] = self.now


def overload(owner: Owner, account: str = "a") -> None:
    """Keep an account's requests queued until its rate is known."""
    for number in range(3):
        owner.ask(request(f"{account}-first-{number}", account=account))
    for number in range(8):
        owner.ask(request(f"{account}-{number}", account=account))
        owner.pass_time(INTERVAL_SECONDS)
        owner.end_latest()


class TestRefusalAtOnce:
    def test_request_without_a_chance_is_refused_on_arrival(self) -> None:
        owner = Owner()
        overload(owner)
        for number in range(20):
            owner.ask(request(f"late-{number}"))
        refused = [f"late-{n}" for n in range(20) if f"late-{n}" in owner.refusals]
        assert len(refused) >= 10
        assert all(owner.refused_at[key] == owner.now for key in refused)
        assert all(owner.refusals[key].code == "overloaded" for key in refused)
        assert owner.group.take_refusal_counts() == {"no_room_in_time": len(refused)}

    def test_requests_that_can_start_in_time_stay(self) -> None:
        owner = Owner()
        overload(owner)
        for number in range(2):
            owner.ask(request(f"soon-{number}"))
        assert not owner.refusals

    def test_retries_are_spread(self) -> None:
        owner = Owner()
        overload(owner)
        for number in range(40):
            owner.ask(request(f"late-{number}"))
        delays = {round(r.retry_after, 2) for r in owner.refusals.values()}
        assert len(delays) > len(owner.refusals) // 2
        assert all(0.3 <= delay <= 10.0 for delay in delays)

    def test_backlog_of_a_large_account_does_not_refuse_others(self) -> None:
        owner = Owner()
        overload(owner, "large")
        for number in range(20):
            owner.ask(request(f"late-{number}", account="large"))
        owner.ask(request("small", account="small"))
        assert "small" not in owner.refusals
        owner.pass_time(INTERVAL_SECONDS)
        owner.end_latest()
        assert owner.grants[-1] == "small"

    def test_nothing_is_refused_early_without_a_backlog(self) -> None:
        owner = Owner()
        for number in range(20):
            owner.ask(request(f"r{number}"))
            owner.pass_time(INTERVAL_SECONDS)
            owner.end_latest()
        assert owner.grants == [f"r{number}" for number in range(20)]
        assert not owner.refusals


class TestRunningRequests:
    """Guards against streams that are lost since new requests take the room."""

    @pytest.mark.parametrize("priority", [-2, 0])
    def test_running_request_moves_before_new_ones_start(self, priority: int) -> None:
        owner = Owner()
        owner.ask(request("first"))
        owner.ask(request("new"))
        owner.ask(request("moving", priority=priority, is_running=True))
        owner.pass_time(INTERVAL_SECONDS)
        owner.end_latest()
        assert owner.grants == ["first", "moving"]

    def test_running_request_is_not_refused_early(self) -> None:
        owner = Owner()
        overload(owner)
        for number in range(10):
            owner.ask(request(f"moving-{number}", max_wait=1.5, is_running=True))
        assert not any(key.startswith("moving") for key in owner.refusals)


class TestLargeRequests:
    def test_small_requests_don_t_overtake_for_most_of_the_wait(
        self,
    ) -> None:
        owner = Owner()
        owner.ask(request("first", prompt=500))
        owner.group.record_progress("first", 1, 0.0)
        owner.ask(request("large", prompt=900, max_wait=10.0))
        owner.pass_time(1.0)
        owner.ask(request("small-1", prompt=100))
        owner.group.record_progress("first", 2, 1.0)
        owner.pass_time(3.0)
        owner.group.refresh("large", owner.now)
        owner.group.record_progress("first", 3, owner.now)
        owner.pass_time(1.5)
        owner.ask(request("small-2", prompt=100))
        assert "small-1" in owner.grants
        assert "small-2" not in owner.grants
