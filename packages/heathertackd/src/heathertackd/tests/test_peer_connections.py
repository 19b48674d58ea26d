import pytest

from heathertackd._peer_connections import PeerConnection, choose_surplus

NEWEST = 9


class TestSurplus:
    # Guards against a crowd that keeps other instances out.
    @pytest.mark.parametrize(
        ("others", "expected"),
        [
            pytest.param({}, NEWEST, id="alone"),
            pytest.param({1: (500, 1.0), 2: (3, 8.0)}, 2, id="not begun"),
            pytest.param({1: (70, 2.0), 2: (1, 3.0)}, 1, id="oldest of these"),
            pytest.param({1: (500, 1.0), 2: (400, 2.0)}, 2, id="sent least"),
        ],
    )
    def test_choice(self, others: dict[int, tuple[int, float]], expected: int) -> None:
        connections = {
            number: PeerConnection(received, since)
            for number, (received, since) in others.items()
        }
        connections[NEWEST] = PeerConnection(0, 9.0)
        assert choose_surplus(connections, NEWEST) == expected
