"""Evacuations and readmissions with 3, 70 and 200 instances, in virtual time."""

import pytest

from heathertack_fakes.rules import (
    ColdBounds,
    find_cold_overloads,
    find_evacuated_requests,
)
from heathertack_fakes.tests.evacuation_simulation import (
    EvacuationSimulation,
    Order,
    World,
)

#: Shorter than the rule's 5 s: an order is pushed, and an instance that misses the push
#: renews its lease every 0.4 s. A lost leader adds the time to elect the next one.
PUSHED_SECONDS = 0.5
LEADER_LOST_SECONDS = 3.0
BOUNDS = ColdBounds(1.5, 5.0)
SIZES = [3, 70, 200]
EVACUATED_AT, READMITTED_AT = 4.0, 8.0
ONE_DOMAIN = (Order(EVACUATED_AT, "a", True), Order(READMITTED_AT, "a", False))
TWO_DOMAINS = (
    *ONE_DOMAIN,
    Order(EVACUATED_AT, "b", True),
    Order(READMITTED_AT, "b", False),
)
ALL_DOMAINS = (
    *TWO_DOMAINS,
    Order(EVACUATED_AT, "c", True),
    Order(READMITTED_AT, "c", False),
)


def run(world: World, seed: int = 1) -> EvacuationSimulation:
    simulation = EvacuationSimulation(world, seed)
    simulation.run()
    assert len(simulation.requests) > world.demand
    return simulation


@pytest.mark.parametrize("size", SIZES)
class TestEvacuations:
    # Guards against targets that get requests after an order, or that crash under the
    # demand of all instances once they are readmitted.
    @pytest.mark.parametrize("orders", [ONE_DOMAIN, TWO_DOMAINS])
    def test_domains_are_evacuated_and_readmitted(
        self, size: int, orders: tuple[Order, ...]
    ) -> None:
        simulation = run(World(size, orders))
        requests = simulation.requests
        late = find_evacuated_requests(requests, simulation.evacuations, PUSHED_SECONDS)
        assert late == ()
        assert find_cold_overloads(requests, simulation.cold_times, BOUNDS) == ()
        used_again = [r for r in requests if r.at > 10.5 and r.domain == "a"]
        assert len(used_again) > 10

    # Guards against an order that the next leader does not publish, and against targets
    # that it takes for warm.
    @pytest.mark.parametrize("lost_at", [3.99, 4.01, 9.99, 10.01])
    def test_leader_is_lost(self, size: int, lost_at: float) -> None:
        orders = (Order(4.0, "a", True), Order(10.0, "a", False))
        world = World(size, orders, leader_losses=(lost_at,), seconds=14.0)
        simulation = run(world)
        requests = simulation.requests
        late = find_evacuated_requests(
            requests, simulation.evacuations, LEADER_LOST_SECONDS
        )
        assert late == ()
        assert find_cold_overloads(requests, simulation.cold_times, BOUNDS) == ()

    # Guards against an instance, also an owner of targets, that goes on as before since
    # the messages of their own kind are lost.
    @pytest.mark.parametrize("deaf_time", [(3.0, 5.0), (7.5, 9.5)])
    def test_some_instances_miss_the_messages(
        self, size: int, deaf_time: tuple[float, float]
    ) -> None:
        deaf = tuple(f"i{number}" for number in range(1, size, 3))
        world = World(size, ONE_DOMAIN, deaf=deaf, deaf_time=deaf_time)
        simulation = run(world)
        requests = simulation.requests
        late = find_evacuated_requests(requests, simulation.evacuations, PUSHED_SECONDS)
        assert late == ()
        assert find_cold_overloads(requests, simulation.cold_times, BOUNDS) == ()

    # Guards against instances that use up the rate of cold targets a second time, since
    # they do not reach the leader: a tenth of them, at least one.
    @pytest.mark.parametrize("cut_at", [3.9, 6.0, 7.9])
    def test_some_instances_are_cut_off(self, size: int, cut_at: float) -> None:
        cut = tuple(f"i{number}" for number in range(2, size, 10))
        simulation = run(World(size, ONE_DOMAIN, cut=cut, cut_at=cut_at))
        requests = simulation.requests
        late = find_evacuated_requests(requests, simulation.evacuations, PUSHED_SECONDS)
        assert late == ()
        assert find_cold_overloads(requests, simulation.cold_times, BOUNDS) == ()

    # Guards against the demand of all callers that meets cold targets only, and against
    # requests that wait for targets that an operator keeps from them.
    def test_service_is_evacuated_and_readmitted_as_a_whole(self, size: int) -> None:
        simulation = run(World(size, ALL_DOMAINS, cold_seconds=2.0))
        requests = simulation.requests
        late = find_evacuated_requests(requests, simulation.evacuations, PUSHED_SECONDS)
        assert late == ()
        assert find_cold_overloads(requests, simulation.cold_times, BOUNDS) == ()
        refused = [code for at, code in simulation.refusals if 5.0 < at < 8.0]
        assert set(refused) == {"evacuated"}
        assert len(refused) > 0.8 * 3.0 * simulation.world.demand


class TestTargetsWithoutSlots:
    # Guards against instances that choose targets of an unknown size without an owner.
    @pytest.mark.parametrize("size", [3, 70])
    def test_domain_is_evacuated_and_readmitted(self, size: int) -> None:
        simulation = run(World(size, ONE_DOMAIN, slots=0))
        requests = simulation.requests
        late = find_evacuated_requests(requests, simulation.evacuations, PUSHED_SECONDS)
        assert late == ()
        assert find_cold_overloads(requests, simulation.cold_times, BOUNDS) == ()


class TestCalm:
    # Guards against a change for deployments without orders or cold targets.
    def test_nothing_is_refused(self) -> None:
        simulation = run(World(3, (), cold_rate=None, seconds=6.0))
        assert simulation.refusals == []
