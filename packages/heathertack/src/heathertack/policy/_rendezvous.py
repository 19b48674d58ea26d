"""Rendezvous hashing: assigns target groups to their admission owners."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import xxhash

#: A single owner for all engines of a service packs them best. A service of the size
#: planned for two years has 60 engines; if the group size were at that number, the
#: groups would change with each engine that joins.
_TARGETS_PER_GROUP = 64
#: Number of instances that are kept ready to own a group.
_SUCCESSORS = 3


def choose_owner(group: str, instances: Iterable[str]) -> str | None:
    """Return the admission owner of a group, ``None`` without instances."""
    return max(instances, key=lambda name: _hash_weight(group, name), default=None)


def choose_evenly(key: str, targets: Iterable[str]) -> str:
    """Return one of several targets; keys are spread evenly over them."""
    return max(targets, key=lambda name: _hash_weight(key, name))


def rank_instances(key: str, domains: Mapping[str, str]) -> tuple[str, ...]:
    """Order instances by their weight for a key, with one of each domain first.

    Parameters
    ----------
    key : str
        Key that the instances are responsible for.
    domains : mapping of str to str
        Failure domain of each instance.
    """
    ordered = sorted(domains, key=lambda name: _hash_weight(key, name), reverse=True)
    used: set[str] = set()
    first: list[str] = []
    for name in ordered:
        if domains[name] not in used:
            used.add(domains[name])
            first.append(name)
    return (*first, *(name for name in ordered if name not in first))


def rank_successors(group: str, domains: Mapping[str, str]) -> tuple[str, ...]:
    """Return the instances that own a group after the loss of others.

    Parameters
    ----------
    group : str
        Name of the group.
    domains : mapping of str to str
        Failure domain of each live instance.

    Returns
    -------
    tuple of str
        The owner, those that follow when single instances are lost, and the best of
        the other domains, which follow when a whole domain is lost.
    """
    ranked = sorted(domains, key=lambda name: _hash_weight(group, name), reverse=True)
    of_domains = rank_instances(group, domains)[:_SUCCESSORS]
    return tuple(dict.fromkeys((*ranked[:_SUCCESSORS], *of_domains)))


def group_targets(service: str, targets: Iterable[str]) -> dict[str, tuple[str, ...]]:
    """Divide the targets of a service into groups.

    Parameters
    ----------
    service : str
        Name of the service.
    targets : iterable of str
        Names of its targets.

    Returns
    -------
    dict of str to tuple of str
        Targets by group name. A group has at most 64 targets on average; a service
        with up to 64 targets has one group, so that its admission is exact.
    """
    names = sorted(targets)
    count = max(1, -(-len(names) // _TARGETS_PER_GROUP))
    groups = [f"{service}:{number}" for number in range(count)]
    divided: dict[str, list[str]] = {group: [] for group in groups}
    for name in names:
        group = max(groups, key=lambda candidate: _hash_weight(candidate, name))
        divided[group].append(name)
    return {group: tuple(members) for group, members in divided.items()}


def _hash_weight(group: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{group}\x00{name}".encode())
