from heathertack.state import ControlStateMachine, SetDraining, order_evacuation


class TestEvacuations:
    """An evacuation must not be lost, nor mistaken for a draining instance."""

    def test_domains_stand_apart_from_draining_instances(self) -> None:
        machine = ControlStateMachine()
        machine.apply(1, SetDraining("10.0.0.1:7000", True))
        machine.apply(2, order_evacuation("zone-a", evacuated=True))
        assert machine.evacuated == {"zone-a"}
        assert machine.draining == {"10.0.0.1:7000"}

    def test_domain_is_readmitted(self) -> None:
        machine = ControlStateMachine()
        machine.apply(1, order_evacuation("zone-a", evacuated=True))
        machine.apply(2, order_evacuation("zone-b", evacuated=True))
        machine.apply(3, order_evacuation("zone-a", evacuated=False))
        assert machine.evacuated == {"zone-b"}

    def test_snapshot_keeps_the_domains(self) -> None:
        machine = ControlStateMachine()
        machine.apply(1, order_evacuation("zone-a", evacuated=True))
        restored = ControlStateMachine()
        restored.restore_snapshot(machine.encode_snapshot())
        assert restored.evacuated == {"zone-a"}
