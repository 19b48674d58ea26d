"""Assignment of engines to the instances that watch them."""

from __future__ import annotations

from collections.abc import Mapping

from heathertack.blackboard import MEMBERS, TARGETS, Blackboard
from heathertack.messages import MemberRecord, MemberState, TargetRecord, TargetState
from heathertack.policy import choose_owner


class WatchPlan:
    """Distributes the engines over the instances of their failure domains.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    instance : str
        Name of the instance.
    """

    def __init__(self, board: Blackboard, instance: str) -> None:
        self._board = board
        self._instance = instance
        self._key: object = None
        self._watched: tuple[str, ...] = ()

    def list_watched(self) -> tuple[TargetRecord, ...]:
        """Return the engines that this instance currently watches."""
        targets = self._board.read(TARGETS)
        domains = _group_alive_by_domain(self._board.read(MEMBERS))
        engines = tuple(
            (target.name, target.failure_domain)
            for target in targets.values()
            if target.cache_tokens and target.state is not TargetState.GONE
        )
        key = (engines, domains)
        if key != self._key:
            self._key = key
            self._watched = tuple(
                name
                for name, domain in engines
                if self._is_watched_here(name, domain, domains)
            )
        return tuple(targets[name] for name in self._watched)

    def _is_watched_here(
        self, target: str, domain: str, domains: Mapping[str, tuple[str, ...]]
    ) -> bool:
        """Return whether this instance watches a target.

        Instances of the target's failure domain are preferred; if none is alive, all
        instances are candidates.
        """
        all_instances = tuple(name for names in domains.values() for name in names)
        watcher = choose_owner(target, domains.get(domain) or all_instances)
        return watcher == self._instance


def _group_alive_by_domain(
    members: Mapping[str, MemberRecord],
) -> dict[str, tuple[str, ...]]:
    """Return the live instances by failure domain."""
    domains: dict[str, list[str]] = {}
    for member in members.values():
        if member.state is MemberState.ALIVE:
            domains.setdefault(member.failure_domain, []).append(member.instance)
    return {domain: tuple(names) for domain, names in domains.items()}
