from typing import Any, ClassVar

from heathertack.blackboard import MEMBERS, TARGETS, Blackboard, Section
from heathertack.controllers import WatchPlan
from heathertack.messages import MemberRecord, MemberState, TargetRecord, TargetState


class _Tables:
    READS: ClassVar[tuple[Section[Any], ...]] = ()
    WRITES: ClassVar[tuple[Section[Any], ...]] = (MEMBERS, TARGETS)

    def __init__(self, members: dict[str, str], engines: dict[str, str]) -> None:
        self.board = Blackboard()
        self.board.register(self)
        self.members = {
            n: MemberRecord(n, 1, MemberState.ALIVE, "x", domain, 1, 0)
            for n, domain in members.items()
        }
        self.targets = {
            n: TargetRecord(n, "tutor", "x", domain, TargetState.LIVE, 1000)
            for n, domain in engines.items()
        }
        self.write()

    def write(self) -> None:
        self.board.write(self, MEMBERS, dict(self.members))
        self.board.write(self, TARGETS, dict(self.targets))

    def watched(self) -> dict[str, list[str]]:
        """Return the watching instances by engine."""
        watchers: dict[str, list[str]] = {name: [] for name in self.targets}
        for member in self.members:
            for engine in WatchPlan(self.board, member).list_watched():
                watchers[engine.name].append(member)
        return watchers


def build() -> _Tables:
    members = {f"m{n}": "ab"[n % 2] for n in range(12)}
    return _Tables(members, {f"e{n}": "abc"[n % 3] for n in range(30)})


class TestWatchPlan:
    def test_each_engine_is_watched_once_within_its_failure_domain(self) -> None:
        tables = build()
        for engine, watchers in tables.watched().items():
            assert len(watchers) == 1
            domain = tables.targets[engine].failure_domain
            if domain != "c":
                assert tables.members[watchers[0]].failure_domain == domain

    def test_engines_are_distributed_evenly(self) -> None:
        loads: dict[str, int] = {}
        for (watcher,) in build().watched().values():
            loads[watcher] = loads.get(watcher, 0) + 1
        assert max(loads.values()) <= 10

    def test_engines_of_a_gone_instance_are_reassigned(self) -> None:
        tables = build()
        before = tables.watched()
        plan = WatchPlan(tables.board, "m1")
        plan.list_watched()
        gone = tables.members["m3"]._replace(state=MemberState.GONE)
        tables.members["m3"] = gone
        tables.write()
        after = {
            name: watchers
            for name, watchers in tables.watched().items()
            if watchers != ["m3"]
        }
        reassigned = {n for n in before if before[n] != after.get(n, before[n])}
        assert reassigned == {n for n, watchers in before.items() if watchers == ["m3"]}
        own = {name for name, watchers in after.items() if watchers == ["m1"]}
        assert {engine.name for engine in plan.list_watched()} == own

    def test_leaving_engine_is_watched_but_not_a_gone_one(self) -> None:
        tables = build()
        for name, state in (("e0", TargetState.LEAVING), ("e1", TargetState.GONE)):
            tables.targets[name] = tables.targets[name]._replace(state=state)
        tables.write()
        watched = tables.watched()
        assert len(watched["e0"]) == 1
        assert watched["e1"] == []
