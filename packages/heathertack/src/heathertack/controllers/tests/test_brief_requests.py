"""Bursts of long requests that fill all caches beside brief requests."""

from heathertack.controllers.tests.test_admission import Group, request
from heathertack.messages import ReservationRequest

CAPACITY = 10_000


def build_group(*, controls_overload: bool = True) -> Group:
    return Group(3, CAPACITY, controls_overload=controls_overload)


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


def serve_brief(group: Group, key: str, now: float) -> str:
    """Ask for a brief request that ends at once, and return its target."""
    target = place(group, brief_request(key), now)
    group.end(key, now)
    return target


def fill(group: Group, now: float) -> list[str]:
    """Ask for many long requests, and return the targets of those that run."""
    targets = [place(group, long_request(f"long{i}"), now) for i in range(12)]
    return [target for target in targets if target]


class TestBriefRequests:
    """A burst of long requests must not keep brief ones waiting until one ends."""

    def test_burst_leaves_room_for_the_brief_requests_that_arrive(self) -> None:
        group = build_group()
        for number in range(4):
            serve_brief(group, f"before{number}", 0.1 * number)
        assert len(fill(group, 0.5)) < 9
        assert place(group, brief_request("after"), 0.6)

    def test_room_is_kept_for_as_many_as_run_at_one_time(self) -> None:
        group = build_group()
        serve_brief(group, "before", 0.0)
        # One request in 2 s that runs for less than 0.5 s needs room on one target.
        assert len(fill(group, 0.5)) == 8

    def test_long_requests_use_all_of_the_cache_without_brief_ones(self) -> None:
        group = build_group()
        serve_brief(group, "before", 0.0)
        assert len(fill(group, 3.0)) == 9

    def test_requests_that_fit_are_placed_as_without_brief_ones(self) -> None:
        targets = []
        for has_brief in (False, True):
            group = build_group()
            if has_brief:
                serve_brief(group, "before", 0.0)
            long = [place(group, long_request(f"long{i}"), 0.5) for i in range(6)]
            targets.append(long)
        assert targets[0] == targets[1]

    def test_nothing_is_kept_free_unless_the_settings_say_so(self) -> None:
        group = build_group(controls_overload=False)
        for number in range(4):
            serve_brief(group, f"before{number}", 0.1 * number)
        assert len(fill(group, 0.5)) == 9
