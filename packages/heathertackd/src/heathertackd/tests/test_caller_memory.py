import pytest

from heathertack.settings import Limits
from heathertackd._caller_memory import (
    CallerMemory,
    Holding,
    choose_closed,
    find_byte_limit,
)
from heathertackd._logs import configure_logs
from heathertackd._metrics import Metrics

KIB = 1024
MAX_BYTES = 1000 * KIB
MAX_DESCRIPTORS = 4


class _Connection:
    """A holder that gives back what it holds once its connection has closed."""

    def __init__(self, *, may_be_closed: bool = True) -> None:
        self.may_be_closed = may_be_closed
        self.is_dropped = False

    def drop(self) -> None:
        self.is_dropped = True


def build_memory(
    max_bytes: int | None = MAX_BYTES, max_descriptors: int | None = MAX_DESCRIPTORS
) -> CallerMemory:
    limits = Limits(max_held_bytes=max_bytes, max_held_descriptors=max_descriptors)
    return CallerMemory(limits, Metrics(), configure_logs("test", "critical"))


def open_all(memory: CallerMemory, *sizes: int) -> list[_Connection]:
    connections = []
    for size in sizes:
        connection = _Connection()
        memory.open(connection)
        memory.update(connection, size)
        connections.append(connection)
    return connections


class TestChoice:
    @pytest.mark.parametrize(
        ("candidates", "expected"),
        [
            pytest.param({}, None, id="none"),
            pytest.param({"a": (10, 1.0), "b": (100, 2.0)}, "b", id="the largest"),
            pytest.param({"a": (90, 1.0), "b": (100, 2.0)}, "a", id="the oldest"),
            pytest.param({"a": (100, 2.0), "b": (100, 1.0)}, "b", id="same size"),
            pytest.param({"a": (0, 1.0), "b": (8, 9.0)}, "b", id="something held"),
        ],
    )
    def test_largest_and_oldest_is_closed(
        self, candidates: dict[str, tuple[int, float]], expected: str | None
    ) -> None:
        holdings = {
            name: Holding(size, 1, since) for name, (size, since) in candidates.items()
        }
        assert choose_closed(holdings) == expected

    @pytest.mark.parametrize(
        ("held_bytes", "expected"),
        [(96 * KIB, 1000), (96 * KIB + 1, 750), (10**9, 750)],
    )
    def test_small_holders_have_a_share_of_their_own(
        self, held_bytes: int, expected: int
    ) -> None:
        assert find_byte_limit(1000, held_bytes) == expected


class TestMemory:
    # Guards against a crowd that keeps out a caller which comes after it.
    def test_largest_holder_makes_room_for_the_next(self) -> None:
        memory = build_memory()
        first, second, third = open_all(memory, 200 * KIB, 500 * KIB, 100 * KIB)
        assert second.is_dropped
        assert not first.is_dropped
        assert not third.is_dropped
        assert memory.held_bytes == 300 * KIB

    def test_holder_that_takes_too_much_alone_is_closed(self) -> None:
        memory = build_memory()
        (connection,) = open_all(memory, 751 * KIB)
        assert connection.is_dropped
        assert not memory.update(connection, 1)
        assert (memory.held_bytes, memory.descriptors) == (0, 0)

    # Guards against requests that are whole, and may run, but are cut off.
    def test_whole_request_is_kept_and_the_next_one_closed(self) -> None:
        memory = build_memory()
        whole = _Connection(may_be_closed=False)
        memory.open(whole)
        memory.update(whole, 700 * KIB)
        (large,) = open_all(memory, 100 * KIB)
        (small,) = open_all(memory, 90 * KIB)
        assert large.is_dropped
        assert not small.is_dropped
        assert not whole.is_dropped

    # Guards against a budget that shrinks with each connection.
    def test_all_is_given_back(self) -> None:
        memory = build_memory()
        connections = open_all(memory, 10, 20, 30)
        for connection in (*connections, *connections):
            memory.close(connection)
        assert (memory.held_bytes, memory.descriptors) == (0, 0)

    def test_without_limits_nothing_is_closed(self) -> None:
        memory = build_memory(None, None)
        connections = open_all(memory, *[10**9] * 10)
        assert not any(connection.is_dropped for connection in connections)


class TestDescriptors:
    def test_oldest_makes_room_for_the_next(self) -> None:
        memory = build_memory()
        connections = open_all(memory, *[0] * (MAX_DESCRIPTORS + 2))
        dropped = [connection.is_dropped for connection in connections]
        assert dropped == [True, True, False, False, False, False]
        assert memory.descriptors == MAX_DESCRIPTORS

    def test_next_is_closed_while_all_others_are_whole(self) -> None:
        memory = build_memory()
        for _ in range(MAX_DESCRIPTORS):
            memory.open(_Connection(may_be_closed=False))
        surplus = _Connection(may_be_closed=False)
        memory.open(surplus)
        assert surplus.is_dropped
        assert memory.descriptors == MAX_DESCRIPTORS

    def test_each_descriptor_counts(self) -> None:
        memory = build_memory()
        (first,) = open_all(memory, 0)
        memory.open(_Connection(), MAX_DESCRIPTORS)
        assert first.is_dropped

    # Guards against a caller of long standing that is closed for its age alone.
    def test_age_counts_from_the_last_answer(self) -> None:
        memory = build_memory()
        first, second, *_ = open_all(memory, *[0] * MAX_DESCRIPTORS)
        memory.restart(first)
        memory.open(_Connection())
        assert second.is_dropped
        assert not first.is_dropped
