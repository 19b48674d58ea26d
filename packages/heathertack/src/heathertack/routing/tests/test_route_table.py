import pytest

from heathertack.bundle import ForwardingRoute
from heathertack.routing import RouteTable, choose_service


def route(host: str, prefix: str, **services: int) -> ForwardingRoute:
    return {
        "host": host,
        "path_prefix": prefix,
        "kind": "idempotent",
        "services": services or {"portal": 1},
        "timeout": 2.0,
        "priority": 0,
        "max_attempts": 1,
    }


TABLE = RouteTable(
    {
        "all": route("a.example", "/"),
        "lessons": route("a.example", "/lessons/"),
        "sketches": route("a.example", "/lessons/sketches/"),
        "other": route("b.example", "/x/"),
    }
)


class TestFind:
    @pytest.mark.parametrize(
        ("host", "path", "expected"),
        [
            ("a.example", "/lessons/sketches/1", "sketches"),
            ("a.example", "/lessons/sketches", "lessons"),
            ("a.example", "/lessons/2f?page=/lessons/sketches/", "lessons"),
            ("A.Example:8740", "/lessons/1", "lessons"),
            ("a.example", "/lesson", "all"),
            ("a.example", "/", "all"),
            ("b.example", "/x/1", "other"),
            ("b.example", "/xy", None),
            ("c.example", "/x/1", None),
            ("a.example", "", None),
        ],
    )
    def test_finds_the_route_with_the_longest_prefix(
        self, host: str, path: str, expected: str | None
    ) -> None:
        match = TABLE.find(host, path)
        assert (match.name if match is not None else None) == expected


class TestChooseService:
    def test_same_key_gives_the_same_service(self) -> None:
        split = route("a", "/", one=50, two=50)
        assert {choose_service(split, "r1") for _ in range(5)} in ({"one"}, {"two"})

    def test_chooses_by_weight(self) -> None:
        split = route("a", "/", one=90, two=10, none=0)
        chosen = [choose_service(split, f"r{n}") for n in range(2000)]
        assert 0.05 < chosen.count("two") / 2000 < 0.15
        assert "none" not in chosen
