import math

import pytest

from heathertack.policy import Band, BandRates, spread_retry

BIG = Band(is_late=False, priority=0, account="big")
SMALL = Band(is_late=False, priority=0, account="small")


def measure(band: Band, grants: int, seconds: float) -> BandRates:
    """Return the rates after evenly spaced grants under a backlog."""
    rates = BandRates()
    rates.record_backlog({band}, 0.0)
    for number in range(grants):
        rates.record_grant(band, seconds * (number + 1) / grants)
    rates.record_backlog({band}, seconds)
    return rates


class TestBandRates:
    @pytest.mark.parametrize(
        ("grants", "seconds", "ahead", "expected"),
        [
            (10, 0.4, 50, 0.0),  # no backlog for long enough
            (10, 1.0, 0, 0.1),
            (10, 1.0, 9, 1.0),
            (0, 1.0, 0, math.inf),
        ],
    )
    def test_expected_wait(
        self, grants: int, seconds: float, ahead: int, expected: float
    ) -> None:
        rates = measure(BIG, grants, seconds)
        wait = rates.expected_wait(BIG, ahead, seconds)
        assert wait == pytest.approx(expected)

    def test_few_grants_allow_for_chance(self) -> None:
        rates = measure(BIG, 3, 1.0)
        shortest = rates.shortest_wait(BIG, 9, 1.0)
        assert shortest == pytest.approx(2.0)
        assert rates.expected_wait(BIG, 9, 1.0) == pytest.approx(10 / 3)

    def test_band_without_grants_has_a_finite_shortest_wait(self) -> None:
        assert measure(BIG, 0, 1.0).shortest_wait(BIG, 0, 1.0) == 1.0

    def test_accounts_are_measured_apart(self) -> None:
        rates = measure(BIG, 10, 1.0)
        assert rates.expected_wait(SMALL, 5, 1.0) == 0.0

    def test_ended_backlog_is_forgotten(self) -> None:
        rates = measure(BIG, 1, 1.0)
        rates.record_backlog((), 1.1)
        rates.record_backlog({BIG}, 1.2)
        assert rates.shortest_wait(BIG, 50, 1.3) == 0.0

    def test_only_the_latest_seconds_count(self) -> None:
        rates = measure(BIG, 10, 1.0)
        rates.record_backlog({BIG}, 4.0)
        assert rates.expected_wait(BIG, 0, 4.0) == math.inf


class TestSpreadRetry:
    def test_callers_refused_together_return_apart(self) -> None:
        delays = [spread_retry(f"g{number}", 2.0) for number in range(200)]
        assert all(2.0 <= delay <= 3.0 for delay in delays)
        assert max(delays) - min(delays) > 0.8
        assert len({round(delay, 1) for delay in delays}) > 8
