"""JSON documents that operators send and receive."""

from __future__ import annotations

from typing import NotRequired, TypedDict


class BundleDocument(TypedDict):
    """A signed bundle that is to be applied."""

    text: str
    operator: str
    signature: str


class DrainDocument(TypedDict):
    """Marks an instance as leaving, or as staying after all."""

    instance: str
    draining: bool


class ReplicaDocument(TypedDict):
    """A change of the control log's replicas."""

    operation: str
    replica: str


class SettleDocument(TypedDict):
    """What an operator found out about an unknown call."""

    account: str
    key: str
    ran: bool
    note: str


class QuarantineClearDocument(TypedDict):
    """Names a request whose losses are to be forgotten."""

    fingerprint: str


class OrderDocument(TypedDict):
    """An order that a target did not carry out yet."""

    target: str
    order: str


class MemberDocument(TypedDict):
    """One instance."""

    instance: str
    state: str
    failure_domain: str
    address: str
    bundle_index: int
    load: int


class TargetDocument(TypedDict):
    """One target."""

    target: str
    service: str
    state: str
    address: str
    failure_domain: str


class StatusDocument(TypedDict):
    """State of the system as one instance sees it."""

    instance: str
    leader: str
    lease_is_valid: bool
    bundle_version: int
    bundle_index: int
    in_force_index: int
    members: list[MemberDocument]
    targets: list[TargetDocument]
    replicas: list[str]
    learners: list[str]
    regressed_replicas: list[str]


class CallDocument(TypedDict):
    """One call that must not run twice."""

    account: str
    key: str
    service: str
    state: str
    owner: str
    claimed_at: float
    note: NotRequired[str]


class QuarantineDocument(TypedDict):
    """One request that lost targets."""

    fingerprint: str
    account: str
    targets: list[str]
    last_at: float
