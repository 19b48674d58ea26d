"""Software versions of targets, as the leader publishes them."""

from __future__ import annotations

from heathertack.blackboard import LEASE, TARGET_VERSIONS, TARGETS, Blackboard
from heathertack.messages import TargetState


def find_version(board: Blackboard, target: str) -> str | None:
    """Return the software version of a target, ``None`` while it is not known.

    The leader publishes an empty version if the platform names none.
    """
    return board.read(TARGET_VERSIONS).get(target)


def are_versions_confirmed(
    board: Blackboard, now: float, max_age: float | None
) -> bool:
    """Return whether no target can have started again with another version unseen.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    now : float
        Monotonic clock, seconds.
    max_age : float or None
        Time within which no target can leave and start again, seconds; ``None`` if it
        is longer than a lease.
    """
    lease = board.read(LEASE)
    is_recent = max_age is None or now - lease.confirmed_at <= max_age
    return is_recent and lease.is_valid(now)


def can_copy(board: Blackboard, source: str, target: str) -> bool:
    """Return whether a target can continue from the KV cache of another one."""
    version = find_version(board, source)
    return version is not None and version == find_version(board, target)


def list_versions(board: Blackboard, service: str) -> frozenset[str | None]:
    """Return the versions of the targets of a service that are not gone."""
    return frozenset(
        find_version(board, target.name)
        for target in board.read(TARGETS).values()
        if target.service == service and target.state is not TargetState.GONE
    )


def list_incompatible_targets(
    board: Blackboard, service: str, version: str
) -> tuple[str, ...]:
    """Return the targets of a service that can't continue a stream of a version."""
    return tuple(
        target.name
        for target in board.read(TARGETS).values()
        if target.service == service
        and target.state is not TargetState.GONE
        and find_version(board, target.name) != version
    )


def has_version(board: Blackboard, service: str, version: str) -> bool:
    """Return whether a live target of a service has a version."""
    return any(
        target.service == service
        and target.state is TargetState.LIVE
        and find_version(board, target.name) == version
        for target in board.read(TARGETS).values()
    )
