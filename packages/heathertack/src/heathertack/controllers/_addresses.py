"""Selects the instance addresses that are returned to callers."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from heathertack.blackboard import MEMBERS, Blackboard
from heathertack.messages import MemberRecord, MemberState

_MAX_ADDRESSES = 4


class RandomFloatSource(Protocol):
    """Source of random numbers in [0, 1)."""

    def random(self) -> float:
        """Return the next number."""
        ...


class AddressChoice(NamedTuple):
    """One address that a caller may use."""

    address: str
    failure_domain: str


class AddressAnswer(NamedTuple):
    """Addresses in order of preference."""

    addresses: tuple[AddressChoice, ...]
    #: Time for which the caller may cache the addresses, seconds.
    ttl: float


def choose_addresses(
    board: Blackboard,
    failure_domain: str,
    ttl: float,
    random: RandomFloatSource,
    *,
    min_near_instances: int = _MAX_ADDRESSES,
) -> AddressAnswer:
    """Choose addresses for a caller.

    Instances in the caller's failure domain come first, then instances with lower
    load. Ties are broken at random to spread callers across instances.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    failure_domain : str
        Failure domain of the caller, empty if unknown.
    ttl : float
        Time for which the caller may cache the addresses, seconds.
    random : RandomFloatSource
        Breaks ties.
    min_near_instances : int
        Instances in other failure domains are left out if the caller's failure
        domain has at least this many.

    Returns
    -------
    AddressAnswer
        At most four addresses. Instances that are leaving are left out, and so are
        instances that have not received a bundle since they started.
    """
    members = board.read(MEMBERS).values()
    eligible = [m for m in members if m.state is MemberState.ALIVE and m.bundle_index]

    def rank(member: MemberRecord) -> tuple[bool, int, float]:
        is_other_domain = (
            bool(failure_domain) and member.failure_domain != failure_domain
        )
        return (is_other_domain, member.load, random.random())

    near = [member for member in eligible if member.failure_domain == failure_domain]
    candidates = near if len(near) >= min_near_instances else eligible
    chosen = sorted(candidates, key=rank)[:_MAX_ADDRESSES]
    addresses = tuple(
        AddressChoice(member.http_address, member.failure_domain) for member in chosen
    )
    return AddressAnswer(addresses, ttl)
