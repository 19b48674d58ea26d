import pytest

from heathertack.controllers import AdmissionGroup, TargetCapacity
from heathertack.controllers._admission_types import AddressedReply
from heathertack.messages import (
    ReservationGrant,
    ReservationOutcome,
    ReservationRelease,
    ReservationRequest,
)
from heathertack.policy import (
    REFERENCE_TARGET,
    AdmissionTuning,
    LengthEstimator,
    TargetSpeed,
)

TUNING = AdmissionTuning(takeover_delay=0.0, prefill_budget=4096, batch_limit=24)
GROUP = "tutor:0"
PROMPT = 1000
WARM_UP_SECONDS = 12


def build_request(key: str, preferred_target: str = "") -> ReservationRequest:
    return ReservationRequest(
        generation_id=key,
        attempt=1,
        service="tutor",
        group=GROUP,
        account="school",
        class_name="critique",
        priority=1,
        share=1.0,
        prompt_tokens=PROMPT,
        max_tokens=400,
        prefix=(),
        fingerprint=key,
        excluded=(),
        max_wait=10.0,
        preferred_target=preferred_target,
    )


class Group:
    """An admission group that has seen one stream on each of its engines."""

    def __init__(
        self, speeds: dict[str, float], tuning: AdmissionTuning = TUNING
    ) -> None:
        self.group = AdmissionGroup(GROUP, tuning, LengthEstimator(), 0.0)
        self.group.set_targets({name: TargetCapacity(30_000) for name in speeds})
        for name in speeds:
            self.ask(f"first-{name}", 0.0, name)
        for second in range(1, WARM_UP_SECONDS):
            for name, speed in speeds.items():
                tokens = second * speed / REFERENCE_TARGET.step_seconds(1)
                self.group.record_progress(f"first-{name}", int(tokens), float(second))
        for name in speeds:
            self.end(f"first-{name}")

    def ask(
        self, key: str, now: float = WARM_UP_SECONDS, preferred: str = ""
    ) -> ReservationGrant:
        replies = self.group.request(build_request(key, preferred), "entry", 0, now)
        return _find_grant(replies, key)

    def end(self, key: str) -> None:
        release = ReservationRelease(GROUP, key, 1, ReservationOutcome.FINISHED, 50)
        self.group.release(release, WARM_UP_SECONDS)

    def place(self, count: int) -> list[str]:
        """Return the targets of requests that start at once."""
        targets: list[str] = []
        for number in range(count):
            targets.append(self.ask(f"g{number}").target)
            self.group.record_progress(f"g{number}", 1, WARM_UP_SECONDS)
        return targets


def _find_grant(replies: tuple[AddressedReply, ...], key: str) -> ReservationGrant:
    return next(
        r.reply
        for r in replies
        if isinstance(r.reply, ReservationGrant) and r.reply.generation_id == key
    )


class TestUnevenTargets:
    def test_first_request_goes_to_the_fast_target(self) -> None:
        group = Group({"e0": 0.6, "e1": 1.0, "e2": 1.6})
        assert group.ask("g").target == "e2"

    # Guards against fast targets that are overloaded while slow ones are idle.
    def test_shares_follow_the_costs(self) -> None:
        speeds = {"e0": 0.6, "e1": 1.0, "e2": 1.6}
        targets = Group(speeds).place(16)
        shares = {
            name: 1 / TargetSpeed(speed, speed).find_cost(PROMPT, 400, 5)
            for name, speed in speeds.items()
        }
        for name, share in shares.items():
            expected = 16 * share / sum(shares.values())
            assert targets.count(name) == pytest.approx(expected, abs=1.0)

    # Guards against candidates that are chosen by their load alone.
    def test_a_fast_target_is_found_among_many(self) -> None:
        speeds = {f"e{number:02}": 1.0 for number in range(20)} | {"z": 1.6}
        assert Group(speeds).ask("g").target == "z"

    def test_grants_name_the_speed(self) -> None:
        group = Group({"e0": 0.6, "e1": 1.0, "e2": 1.6})
        assert "1.6" in group.ask("g").reason

    # Guards against decisions that change where targets do not differ.
    @pytest.mark.parametrize("speed", [0.5, 1.0, 2.0])
    def test_equal_targets_are_used_as_without_speeds(self, speed: float) -> None:
        speeds = {f"e{number}": speed for number in range(6)}
        without_speeds = Group(speeds, TUNING._replace(compares_speeds=False))
        assert Group(speeds).place(40) == without_speeds.place(40)

    # Guards against a new owner that treats targets without measurements as slow.
    def test_unknown_targets_have_the_usual_speed(self) -> None:
        group = Group({"e1": 1.0, "e2": 1.0, "e3": 0.6})
        capacities = {name: TargetCapacity(30_000) for name in ("e0", "e1", "e2", "e3")}
        group.group.set_targets(capacities)
        assert group.ask("g").target == "e0"


class TestListedSpeeds:
    def test_lists_targets_that_differ(self) -> None:
        group = Group({"e0": 0.6, "e1": 1.0, "e2": 1.6})
        speeds = group.group.list_speeds(WARM_UP_SECONDS)
        assert sorted(speeds) == ["e0", "e2"]
        assert speeds["e0"].step == pytest.approx(0.6, rel=0.05)

    # Guards against speeds of a target that was removed and exists again.
    def test_a_removed_target_has_no_speed(self) -> None:
        group = Group({"e0": 0.6, "e1": 1.0, "e2": 1.6})
        kept = {name: TargetCapacity(30_000) for name in ("e1", "e2")}
        group.group.set_targets(kept)
        group.group.set_targets(kept | {"e0": TargetCapacity(30_000)})
        assert "e0" not in group.group.list_speeds(WARM_UP_SECONDS + 1.0)
