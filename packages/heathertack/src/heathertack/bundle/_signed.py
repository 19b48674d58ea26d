"""A bundle with the signature of an operator."""

from __future__ import annotations

from typing import NamedTuple


class SignedBundle(NamedTuple):
    """The text of a bundle with the signature of an operator."""

    #: Canonical JSON of the bundle.
    text: str
    #: Name of the operator.
    operator: str
    #: Ed25519 signature of the text, base64.
    signature: str
    #: What the operator sent, where that is not the canonical JSON.
    original: str = ""
