"""Bundles: the versioned, signed configuration of the whole system."""

from heathertack.bundle._difference import (
    BundleChange,
    apply_changes,
    canonical_text,
    compare_bundles,
    digest_content,
    pack_bundle,
    pack_changes,
    read_canonical,
    unpack_bundle,
    unpack_changes,
)
from heathertack.bundle._model import (
    AccountConfiguration,
    Bundle,
    EngineConfiguration,
    ForwardingRoute,
    PlainRoute,
    RequestLimits,
    ServiceConfiguration,
)
from heathertack.bundle._parse import BundleError, check_bundle, parse_bundle
from heathertack.bundle._queries import account_keys, find_route, index_accounts
from heathertack.bundle._report import BundleReport, build_report
from heathertack.bundle._signed import SignedBundle

__all__ = [
    "AccountConfiguration",
    "Bundle",
    "BundleChange",
    "BundleError",
    "BundleReport",
    "EngineConfiguration",
    "ForwardingRoute",
    "PlainRoute",
    "RequestLimits",
    "ServiceConfiguration",
    "SignedBundle",
    "account_keys",
    "apply_changes",
    "build_report",
    "canonical_text",
    "check_bundle",
    "compare_bundles",
    "digest_content",
    "find_route",
    "index_accounts",
    "pack_bundle",
    "pack_changes",
    "parse_bundle",
    "read_canonical",
    "unpack_bundle",
    "unpack_changes",
]
