from pathlib import Path

from heathertack_fakes import find_free_ports

OUTGOING_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


class TestFreePorts:
    # Guards against a process that can't listen, because an outgoing connection took
    # its port before it was started or while it was restarted.
    def test_ports_are_not_used_by_outgoing_connections(self) -> None:
        first_outgoing = int(OUTGOING_RANGE.read_text().split()[0])
        ports = find_free_ports(200)
        assert max(ports) < first_outgoing
        assert len(set(ports)) == 200
