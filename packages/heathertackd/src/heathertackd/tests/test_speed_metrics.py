from heathertack.policy import TargetSpeed
from heathertackd._metrics import Metrics


class TestSpeedMetrics:
    def test_slowest_and_fastest_targets_are_shown(self) -> None:
        metrics = Metrics()
        metrics.record_speeds([TargetSpeed(0.5, 0.6), TargetSpeed(1.5, 1.6)])
        text = metrics.render().decode()
        assert "heathertack_uneven_targets 2.0" in text
        slowest = 'heathertack_target_speed{bound="slowest",kind="step"} 0.6'
        assert slowest in text
        assert 'heathertack_target_speed{bound="fastest",kind="prompt"} 1.5' in text

    # Guards against speeds that stay after their target is gone.
    def test_speeds_return_to_the_usual_one(self) -> None:
        metrics = Metrics()
        metrics.record_speeds([TargetSpeed(0.5, 0.6)])
        metrics.record_speeds([])
        text = metrics.render().decode()
        assert "heathertack_uneven_targets 0.0" in text
        slowest = 'heathertack_target_speed{bound="slowest",kind="step"} 1.0'
        assert slowest in text
