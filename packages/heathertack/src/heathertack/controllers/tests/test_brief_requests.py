"""Bursts of long requests that fill all caches beside brief requests."""

from heathertack.controllers.tests.test_admission import Group, request
from heathertack.messages import ReservationRequest

CAPACITY = 10_000


def long_request(key: str) -> ReservationRequest:
    return request(key, prompt=2900, max_tokens=200)


def brief_request(key: str) -> ReservationRequest:
    brief = request(key, prompt=2000, max_tokens=12)
    return brief._replace(class_name="note")


def place(group: Group, new_request: ReservationRequest, now: float) -> str:
    target = group.ask(new_request, now)
    if target:
        group.started(new_request.generation_id, now)
    return target


def fill(group: Group) -> list[str]:
    """Fill the cache with long requests, of which one waits, and return their keys."""
    keys = [f"long{i}" for i in range(6)]
    return [key for key in keys if place(group, long_request(key), 0.0)]


class TestBriefRequests:
    """A brief request must not wait until a long one ends, whenever others wait too."""

    def test_cache_that_a_long_request_frees_is_kept_for_brief_ones(self) -> None:
        group = Group(capacity=CAPACITY)
        running = fill(group)
        assert place(group, brief_request("first"), 0.1) == ""
        group.end(running[0], 0.2)
        assert group.target("first") == "e0"
        group.started("first", 0.2)
        group.end("first", 0.3)
        assert place(group, long_request("next"), 0.4) == ""
        assert place(group, brief_request("second"), 0.5) == "e0"

    def test_long_requests_use_all_of_the_cache_without_brief_ones(self) -> None:
        group = Group(capacity=CAPACITY)
        running = fill(group)
        place(group, brief_request("only"), 0.1)
        group.end(running[0], 0.2)
        group.started("only", 0.2)
        group.end("only", 0.3)
        waiting = "long3"
        assert group.target(waiting) == ""
        group.store(group.group.expire_and_dispatch(frozenset(), 3.0))
        assert group.target(waiting) == "e0"

    def test_nothing_is_kept_free_while_no_request_waits(self) -> None:
        group = Group(capacity=CAPACITY)
        assert place(group, brief_request("brief"), 0.0) == "e0"
        group.end("brief", 0.1)
        placed = [place(group, long_request(f"long{i}"), 0.2) for i in range(3)]
        assert placed == ["e0", "e0", "e0"]
