"""Answers callers that ask which addresses to use."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from heathertack.blackboard import MEMBERS, Blackboard
from heathertack.messages import MemberRecord, MemberState

_MOST_ADDRESSES = 4


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
    """Addresses in the order in which they are to be used."""

    addresses: tuple[AddressChoice, ...]
    #: How long the answer may be kept, seconds.
    ttl: float


def choose_addresses(
    board: Blackboard,
    failure_domain: str,
    ttl: float,
    random: RandomFloatSource,
    *,
    min_near_instances: int = _MOST_ADDRESSES,
) -> AddressAnswer:
    """Choose addresses for a caller.

    Instances in the caller's failure domain come first, then those with less
    load. Among equals the order is random, so that callers spread.

    Parameters
    ----------
    board : Blackboard
        Blackboard of the instance.
    failure_domain : str
        Failure domain of the caller, empty while unknown.
    ttl : float
        How long the answer may be kept, seconds.
    random : RandomFloatSource
        Breaks ties.
    min_near_instances : int
        Number of instances in the caller's failure domain from which on no other
        ones are named.

    Returns
    -------
    AddressAnswer
        At most four addresses; none of an instance that is leaving, or that
        started so recently that it has no bundle yet.
    """
    members = board.read(MEMBERS).values()
    able = [m for m in members if m.state is MemberState.ALIVE and m.bundle_index]

    def rank(member: MemberRecord) -> tuple[bool, int, float]:
        is_elsewhere = bool(failure_domain) and member.failure_domain != failure_domain
        return (is_elsewhere, member.load, random.random())

    near = [member for member in able if member.failure_domain == failure_domain]
    named = near if len(near) >= min_near_instances else able
    chosen = sorted(named, key=rank)[:_MOST_ADDRESSES]
    addresses = tuple(
        AddressChoice(member.http_address, member.failure_domain) for member in chosen
    )
    return AddressAnswer(addresses, ttl)
