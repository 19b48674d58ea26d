import pytest

from heathertackd import _clock
from heathertackd._loop_delay import LoopDelay
from heathertackd._metrics import Metrics
from heathertackd.tests.test_push_log import capture_lines


class TestLoopDelay:
    def test_line_names_the_delay_and_the_messages(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        times = iter((10.8, 11.2, 12.5))
        counts = iter((3, 45, 61))
        monkeypatch.setattr(_clock, "monotonic", lambda: next(times))
        capture, logger = capture_lines()
        delay = LoopDelay(Metrics(), logger, lambda: next(counts))
        delay.expect(10.0)
        for _ in range(3):
            delay.record()
        lines = [(x["seconds"], x["messages"], x["count"]) for x in capture.entries]
        # The delay at 11.2 s is counted by the next line, one second after the first.
        assert lines == [(0.8, 42, 1), (2.5, 58, 2)]

    def test_is_not_late_before_it_is_due(self) -> None:
        _, logger = capture_lines()
        delay = LoopDelay(Metrics(), logger, lambda: 0)
        assert delay.find(5.0) == 0.0
        delay.expect(10.0)
        assert [delay.find(now) for now in (9.9, 10.0, 10.5)] == [0.0, 0.0, 0.5]
