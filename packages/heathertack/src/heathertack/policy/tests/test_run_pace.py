import pytest

from heathertack.policy import RunPace, RunPaceSample

CLASS = ("chat", "long")


def observe(pace: RunPace, count: int, sample: RunPaceSample) -> None:
    for _ in range(count):
        pace.observe(CLASS, sample)


class TestRunPace:
    @pytest.mark.parametrize(("count", "expected"), [(0, 0.0), (7, 0.0), (8, 6.0)])
    def test_few_runs_say_nothing(self, count: int, expected: float) -> None:
        pace = RunPace()
        observe(pace, count, RunPaceSample(0.001, 0.01))
        assert pace.shortest_run(CLASS, 1000, 500) == pytest.approx(expected)

    def test_fastest_run_counts(self) -> None:
        """Guards against refusals of requests that a fast engine could serve."""
        pace = RunPace()
        observe(pace, 20, RunPaceSample(0.01, 0.1))
        observe(pace, 1, RunPaceSample(0.001, 0.01))
        assert pace.shortest_run(CLASS, 1000, 500) == pytest.approx(6.0)

    def test_old_runs_are_forgotten(self) -> None:
        pace = RunPace()
        observe(pace, 1, RunPaceSample(0.001, 0.01))
        observe(pace, 40, RunPaceSample(0.01, 0.1))
        assert pace.shortest_run(CLASS, 1000, 500) == pytest.approx(60.0)

    def test_unknown_length_counts_the_prompt_only(self) -> None:
        pace = RunPace()
        observe(pace, 8, RunPaceSample(0.001, 0.01))
        assert pace.shortest_run(CLASS, 1000, 0) == pytest.approx(1.0)

    def test_classes_are_kept_apart(self) -> None:
        pace = RunPace()
        observe(pace, 8, RunPaceSample(0.001, 0.01))
        assert pace.shortest_run(("chat", "short"), 1000, 500) == 0.0
