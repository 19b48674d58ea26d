import pytest

from heathertack.policy import AdmissionTuning
from heathertack_fakes.measure._uneven import UnevenRun, list_engines, run_uneven

TUNING = AdmissionTuning(prefill_budget=4096, batch_limit=24)
WITHOUT_SPEEDS = TUNING._replace(compares_speeds=False)


class TestUnevenEngines:
    # Guards against decisions that change where engines do not differ, and against
    # slow periods that pass for a difference.
    @pytest.mark.parametrize("seed", range(2))
    def test_equal_engines_get_the_same_requests_as_without_speeds(
        self, seed: int
    ) -> None:
        run = UnevenRun(TUNING, seed, is_even=True, until=40.0)
        expected = list_engines(run._replace(tuning=WITHOUT_SPEEDS))
        assert list_engines(run) == expected

    # Load pattern: engines of speeds 0.6, 1.0 and 1.6 with slow periods.
    def test_callers_wait_less_and_more_streams_are_in_time(self) -> None:
        run = UnevenRun(TUNING, 0, until=60.0)
        before = run_uneven(run._replace(tuning=WITHOUT_SPEEDS))
        after = run_uneven(run)
        assert after.first_p50 < before.first_p50
        assert after.paused < before.paused
        assert after.in_time > before.in_time
