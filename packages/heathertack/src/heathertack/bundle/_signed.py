"""Bundles signed by operators."""

from __future__ import annotations

from typing import NamedTuple


class SignedBundle(NamedTuple):
    """Canonical text of a bundle and the signature of an operator."""

    #: Canonical JSON of the bundle.
    text: str
    #: Name of the operator.
    operator: str
    #: Ed25519 signature of the text, base64.
    signature: str
    #: Text that the operator sent, empty if it was the canonical JSON.
    original: str = ""
