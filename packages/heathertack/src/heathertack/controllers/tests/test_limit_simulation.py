import pytest

from heathertack.controllers.tests.limit_simulation import (
    NOTICE_SECONDS,
    SERVICE,
    LimitSimulation,
    World,
)
from heathertack.policy import ADMISSION_TUNING, group_targets

SIZES = (1, 3, 12, 63, 330)
#: Time within which a request that can't be served is refused, seconds.
REFUSAL_SECONDS = 0.1
#: Time for which no request is assigned after an owner is killed or is back, seconds.
HAND_OVER_SECONDS = NOTICE_SECONDS + ADMISSION_TUNING.takeover_delay
#: Part of what the limits allow that must be used while callers ask for more.
MIN_USED = 0.85


def seeds(instances: int) -> tuple[int, ...]:
    return (1, 2) if instances < 100 else (1,)


def simulate(world: World, seed: int) -> LimitSimulation:
    simulation = LimitSimulation(world, seed)
    simulation.run()
    return simulation


class TestLimitedTargets:
    # Guards against a rate that each instance keeps to alone, and against one that is
    # divided evenly while one instance gets most requests.
    @pytest.mark.parametrize("skew", [0.0, 0.9], ids=["even", "skewed"])
    @pytest.mark.parametrize("instances", SIZES)
    def test_rates_are_kept_and_used(self, instances: int, skew: float) -> None:
        world = World(instances, (1.0, 2.7, 6.0), demand=30.0, skew=skew)
        for seed in seeds(instances):
            simulation = simulate(world, seed)
            assert not simulation.find_excess()
            assert simulation.used(4.0, 20.0) >= MIN_USED

    # Guards against requests that wait for a limited target while others have room.
    @pytest.mark.parametrize("instances", SIZES)
    def test_other_targets_take_the_rest(self, instances: int) -> None:
        world = World(instances, (1.0, 2.7, None), demand=25.0, skew=0.5)
        simulation = simulate(world, 1)
        assert not simulation.find_excess()
        assert not simulation.refusal_delays
        assert simulation.served >= 0.95 * 25.0 * (20.0 - 1.0)

    # Guards against requests that are refused because all targets of their group are
    # limited, while another group of the service has room.
    def test_targets_of_other_groups_take_the_rest(self) -> None:
        names = [f"t{number}" for number in range(80)]
        limited = group_targets(SERVICE, names)[f"{SERVICE}:0"]
        rates = tuple(0.5 if name in limited else None for name in names)
        simulation = simulate(World(12, rates, demand=80.0, seconds=12.0), 1)
        assert not simulation.find_excess()
        assert not simulation.refusal_delays
        assert simulation.served >= 0.95 * 80.0 * (12.0 - 1.0)

    # Guards against a limit that a new owner does not know, or doubles.
    @pytest.mark.parametrize("interval", [2.0, 4.0])
    @pytest.mark.parametrize("instances", [3, 12, 330])
    def test_rates_are_kept_and_used_when_owners_are_killed(
        self, instances: int, interval: float
    ) -> None:
        kills = (5.0, 5.0 + interval, 5.0 + 2 * interval)
        world = World(instances, (1.0, 2.7, 6.0), 30.0, skew=0.5, kills=kills)
        unused = len(kills) * 2 * HAND_OVER_SECONDS / 16.0
        for seed in seeds(instances):
            simulation = simulate(world, seed)
            assert not simulation.find_excess()
            assert simulation.used(4.0, 20.0) >= MIN_USED - unused

    # Guards against an owner that restarts unnoticed and forgets what it is told of the
    # limits before it knows the targets.
    @pytest.mark.parametrize("table_delay", [0.2, 0.7, 1.5])
    @pytest.mark.parametrize("instances", [4, 12, 63])
    def test_rates_are_kept_by_an_owner_that_restarts(
        self, instances: int, table_delay: float
    ) -> None:
        world = World(
            instances,
            (1.0, 1.5),
            demand=60.0,
            skew=0.7,
            kills=(5.0, 10.0),
            table_delay=table_delay,
        )
        for seed in seeds(instances):
            simulation = simulate(world, seed)
            assert not simulation.find_excess()
            assert simulation.used(4.0, 20.0) >= MIN_USED - 0.3

    # Guards against an owner that goes on after a pause and assigns the whole rates
    # while others assign their parts in its place.
    @pytest.mark.parametrize("seconds", [0.5, 2.0, 4.0])
    @pytest.mark.parametrize("instances", [3, 12, 63])
    def test_rates_are_kept_when_owners_are_suspended(
        self, instances: int, seconds: float
    ) -> None:
        world = World(
            instances,
            (1.0, 2.7, 6.0),
            demand=60.0,
            skew=0.5,
            freezes=(5.0, 11.0),
            freeze_seconds=seconds,
        )
        for seed in seeds(instances):
            simulation = simulate(world, seed)
            assert not simulation.find_excess()
            assert simulation.used(4.0, 20.0) >= MIN_USED - seconds / 8.0

    # Guards against an owner to which none of the earlier ones told the limits: most
    # instances have never used a limited target.
    def test_rates_are_kept_by_an_owner_that_nobody_informed(self) -> None:
        world = World(
            63,
            (1.0, 2.7, 6.0),
            60.0,
            skew=0.5,
            slots=64,
            run_seconds=2.0,
            kill_successors_at=8.0,
        )
        simulation = simulate(world, 1)
        assert not simulation.find_excess()
        assert simulation.used(12.0, 20.0) >= MIN_USED

    # Guards against a burst after all instances have forgotten the limits.
    @pytest.mark.parametrize("instances", SIZES)
    def test_rates_are_kept_after_a_restart_of_all(self, instances: int) -> None:
        world = World(instances, (1.0, 2.7, 6.0), 30.0, kill_all_at=8.0)
        simulation = simulate(world, 1)
        assert not simulation.find_excess(until=8.0)
        assert not simulation.find_excess(since=9.0)
        assert simulation.used(13.0, 20.0) >= MIN_USED

    # Guards against the two sides of a cut that both assign the whole rates.
    @pytest.mark.parametrize("part", [0.1, 0.4])
    @pytest.mark.parametrize("instances", [12, 330])
    def test_rates_are_kept_on_both_sides_of_a_cut(
        self, instances: int, part: float
    ) -> None:
        world = World(instances, (1.0, 2.7, 6.0), 30.0, cut=(6.0, 14.0), cut_part=part)
        for seed in seeds(instances):
            simulation = simulate(world, seed)
            assert not simulation.find_excess()
            assert simulation.used(15.0, 20.0) >= MIN_USED

    # Guards against a limit that outlives the answers that name it.
    @pytest.mark.parametrize("instances", SIZES)
    def test_limits_end_with_the_answers_that_name_them(self, instances: int) -> None:
        world = World(instances, (1.0, 1.0), 30.0, skew=0.5, limited=(2.0, 10.0))
        simulation = simulate(world, 1)
        assert not simulation.find_excess()
        arrivals = [at for t in simulation.targets.values() for at in t.arrivals]
        assert sum(13.0 <= at < 20.0 for at in arrivals) >= 0.95 * 30.0 * 7.0 * 0.9

    # Guards against requests that wait for their deadline when no target can take them.
    def test_surplus_is_refused_at_once(self) -> None:
        world = World(12, (1.0, 2.0), demand=30.0)
        delays = simulate(world, 1).refusal_delays
        assert len(delays) >= 0.8 * (30.0 - 3.0) * 20.0
        at_once = sum(delay <= REFUSAL_SECONDS for delay in delays)
        assert at_once >= 0.9 * len(delays)

    # Guards against a cost of sharing limits that grows with all requests.
    @pytest.mark.parametrize("instances", [12, 330])
    def test_messages_are_bounded(self, instances: int) -> None:
        world = World(instances, (1.0, 2.7, 6.0), demand=60.0)
        simulation = simulate(world, 1)
        assert simulation.messages <= 20.0 * 3 * instances
