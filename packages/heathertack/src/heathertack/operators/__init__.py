"""Requests of operators: signatures and JSON documents."""

from heathertack.operators._documents import (
    BundleDocument,
    CallDocument,
    DrainDocument,
    EvacuationDocument,
    MemberDocument,
    OrderDocument,
    QuarantineClearDocument,
    QuarantineDocument,
    ReplicaDocument,
    SettleDocument,
    StatusDocument,
    TargetDocument,
)
from heathertack.operators._signature import (
    OPERATOR_HEADER,
    SIGNATURE_HEADER,
    TIME_HEADER,
    RequestContent,
    sign_request,
    verify_request,
)

__all__ = [
    "OPERATOR_HEADER",
    "SIGNATURE_HEADER",
    "TIME_HEADER",
    "BundleDocument",
    "CallDocument",
    "DrainDocument",
    "EvacuationDocument",
    "MemberDocument",
    "OrderDocument",
    "QuarantineClearDocument",
    "QuarantineDocument",
    "ReplicaDocument",
    "RequestContent",
    "SettleDocument",
    "StatusDocument",
    "TargetDocument",
    "sign_request",
    "verify_request",
]
