"""Load pattern: all runs of a target that is reclaimed move within a second."""

from heathertack.controllers import EngineLoad, TargetCapacity
from heathertack.controllers.tests.test_admission import Group, request
from heathertack.messages import (
    ReservationGrant,
    ReservationOutcome,
    ReservationRelease,
    ReservationRequest,
)

CAPACITY = 10_000


def moving(key: str, attempt: int = 1) -> ReservationRequest:
    """Return the reservation of a run that leaves ``e0``."""
    wanted = request(key, prompt=3000, excluded=("e0",), max_tokens=10, attempt=attempt)
    return wanted._replace(is_running=True)


def build(domains: dict[str, str]) -> Group:
    group = Group(engines=0)
    capacities = {n: TargetCapacity(CAPACITY, 0, d) for n, d in domains.items()}
    group.group.set_targets(capacities)
    return group


def report(group: Group, target: str, used: int, now: float = 0.0) -> None:
    load = EngineLoad(1, 0, 0, used, CAPACITY, 0)
    group.group.record_load(target, load, now)


class TestReclaimedTarget:
    def test_another_failure_domain_is_better_than_none(self) -> None:
        group = build({"e0": "a", "e1": "a", "e2": "b"})
        report(group, "e1", CAPACITY)
        assert group.ask(moving("m")) == "e2"

    def test_memory_that_no_reservation_explains_is_not_given_again(self) -> None:
        """Copies that came back at their keeper fill it unknown to the ledger."""
        group = build({"e0": "a", "e1": "a", "e2": "a"})
        report(group, "e1", 9000)
        assert group.ask(moving("m")) == "e2"

    def test_target_that_had_no_room_is_not_asked_again_at_once(self) -> None:
        group = build({"e0": "a", "e1": "a", "e2": "a"})
        first = group.ask(moving("m"))
        refused = ReservationRelease(
            "tutor:0", "m", 1, ReservationOutcome.REJECTED, generated_tokens=0
        )
        group.group.release(refused, 0.1)
        second = group.ask(moving("m", attempt=2), 0.1)
        assert {first, second} == {"e1", "e2"}
        assert isinstance(group.replies["m"], ReservationGrant)
