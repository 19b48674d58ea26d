"""Bundles: the versioned, signed configuration of the whole system."""

from heathertack.bundle._difference import (
    BundleChange,
    apply_changes,
    compare_bundles,
    digest_content,
    pack_bundle,
    pack_changes,
    unpack_bundle,
    unpack_changes,
)
from heathertack.bundle._model import (
    AccountConfiguration,
    Bundle,
    PlainRoute,
    ServiceConfiguration,
)
from heathertack.bundle._parse import BundleError, parse_bundle
from heathertack.bundle._queries import find_route, index_accounts
from heathertack.bundle._signature import (
    SignedBundle,
    digest_bundle,
    sign_bundle,
    sign_text,
    verify_bundle,
    verify_text,
)

__all__ = [
    "AccountConfiguration",
    "Bundle",
    "BundleChange",
    "BundleError",
    "PlainRoute",
    "ServiceConfiguration",
    "SignedBundle",
    "apply_changes",
    "compare_bundles",
    "digest_bundle",
    "digest_content",
    "find_route",
    "index_accounts",
    "pack_bundle",
    "pack_changes",
    "parse_bundle",
    "sign_bundle",
    "sign_text",
    "unpack_bundle",
    "unpack_changes",
    "verify_bundle",
    "verify_text",
]
