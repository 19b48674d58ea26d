import pytest

from heathertackd._peer_connections import (
    OpenMessage,
    PeerConnection,
    choose_largest,
    choose_surplus,
)

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


class TestOpenMessages:
    # Guards against messages that are not whole and fill the memory together.
    @pytest.mark.parametrize(
        ("open_bytes", "expected"),
        [({1: 40, 2: 60}, []), ({1: 41, 2: 60}, [2]), ({1: 90, 2: 80, 3: 70}, [1, 2])],
    )
    def test_largest_are_closed(
        self, open_bytes: dict[int, int], expected: list[int]
    ) -> None:
        assert choose_largest(open_bytes, 100) == expected

    @pytest.mark.parametrize(
        ("received", "seconds", "is_delivered", "is_open"),
        [
            pytest.param(9000, 0.1, True, False, id="delivered"),
            pytest.param(9000, 9.0, False, True, id="open"),
            pytest.param(1100, 2.9, False, True, id="may be a message"),
            # Guards against heartbeats that count as a message after some hours.
            pytest.param(1100, 3.0, False, False, id="heartbeats"),
        ],
    )
    def test_bytes_since_the_last_message_count(
        self, received: int, seconds: float, is_delivered: bool, is_open: bool
    ) -> None:
        state = OpenMessage(1000, 5.0)
        later = state.advance(received, 5.0 + seconds, is_delivered=is_delivered)
        assert (received > later.start_bytes) is is_open
