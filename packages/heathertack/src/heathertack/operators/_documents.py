"""JSON documents that operators send and receive."""

from __future__ import annotations

from typing import NotRequired, TypedDict

from heathertack.decoding import Name


class BundleDocument(TypedDict):
    """Request to apply a signed bundle."""

    text: str
    operator: str
    signature: str


class DrainDocument(TypedDict):
    """Request to start or cancel the draining of an instance."""

    instance: str
    draining: bool


class EvacuationDocument(TypedDict):
    """Request to evacuate or readmit a failure domain."""

    domain: Name
    #: Whether the domain is to be evacuated; otherwise it is readmitted.
    evacuated: bool


class ReplicaDocument(TypedDict):
    """Request to add or remove a replica of the control log."""

    operation: str
    replica: str


class SettleDocument(TypedDict):
    """Statement of an operator whether a call with an unknown outcome ran."""

    account: str
    key: str
    ran: bool
    note: str


class QuarantineClearDocument(TypedDict):
    """Request to remove the target losses recorded for a fingerprint."""

    fingerprint: str


class OrderDocument(TypedDict):
    """An order that a target has not executed yet."""

    target: str
    order: str


class MemberDocument(TypedDict):
    """State of one instance."""

    instance: str
    state: str
    failure_domain: str
    address: str
    bundle_index: int
    load: int


class TargetDocument(TypedDict):
    """State of one target."""

    target: str
    service: str
    state: str
    address: str
    failure_domain: str


class StatusDocument(TypedDict):
    """State of the system as reported by one instance."""

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
    #: Evacuated failure domains; absent on instances without a control log.
    evacuated_domains: NotRequired[list[str]]


class CallDocument(TypedDict):
    """State of one call that must not be executed twice."""

    account: str
    key: str
    service: str
    state: str
    owner: str
    claimed_at: float
    note: NotRequired[str]


class QuarantineDocument(TypedDict):
    """State of one request during which targets were lost."""

    fingerprint: str
    account: str
    targets: list[str]
    last_at: float
