"""Placement of generations that all leave a reclaimed target within a second."""

from heathertack.controllers import EngineLoad, TargetCapacity
from heathertack.controllers.tests.test_admission import Group, request
from heathertack.messages import (
    ReservationGrant,
    ReservationOutcome,
    ReservationRelease,
    ReservationRequest,
)

CAPACITY = 10_000


def moving_request(key: str, attempt: int = 1) -> ReservationRequest:
    """Return the reservation of a running generation that moves from ``e0``."""
    reservation = request(
        key, prompt=3000, excluded=("e0",), max_tokens=10, attempt=attempt
    )
    return reservation._replace(is_running=True)


def build_group(domains: dict[str, str]) -> Group:
    group = Group(engines=0, controls_overload=True)
    capacities = {n: TargetCapacity(CAPACITY, 0, d) for n, d in domains.items()}
    group.group.set_targets(capacities)
    return group


def report_load(group: Group, target: str, used: int, now: float = 0.0) -> None:
    load = EngineLoad(1, 0, 0, used, CAPACITY, 0)
    group.group.record_load(target, load, now)


class TestMovesFromReclaimedTarget:
    def test_moves_to_another_failure_domain_if_its_own_is_full(self) -> None:
        group = build_group({"e0": "a", "e1": "a", "e2": "b"})
        report_load(group, "e1", CAPACITY)
        assert group.ask(moving_request("m")) == "e2"

    def test_stays_in_its_failure_domain_beside_emptier_targets(self) -> None:
        """Guards against runs lost in the queue for the link of a reclaimed target.

        Engines that replace reclaimed ones are empty and often in other failure
        domains, where a copy takes twice as long.
        """
        far = {f"f{i}": "b" for i in range(6)}
        group = build_group({"e0": "a", "e1": "a", **far})
        report_load(group, "e1", 5000)
        assert group.ask(moving_request("m")) == "e1"

    def test_cache_used_outside_reservations_is_not_reserved(self) -> None:
        """Restored backup copies use cache that the ledger does not account for."""
        group = build_group({"e0": "a", "e1": "a", "e2": "a"})
        report_load(group, "e1", 9000)
        assert group.ask(moving_request("m")) == "e2"

    def test_target_that_rejected_a_move_is_not_retried_at_once(self) -> None:
        group = build_group({"e0": "a", "e1": "a", "e2": "a"})
        first = group.ask(moving_request("m"))
        rejection = ReservationRelease(
            "tutor:0", "m", 1, ReservationOutcome.REJECTED, generated_tokens=0
        )
        group.group.release(rejection, 0.1)
        second = group.ask(moving_request("m", attempt=2), 0.1)
        assert {first, second} == {"e1", "e2"}
        assert isinstance(group.replies["m"], ReservationGrant)
