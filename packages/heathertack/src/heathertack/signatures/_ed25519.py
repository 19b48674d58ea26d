"""Ed25519 signatures of operators."""

from __future__ import annotations

import base64
from collections.abc import Mapping

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)

from heathertack.bundle import Bundle, SignedBundle, canonical_text


def sign_text(text: str, secret_key: str) -> str:
    """Sign a text with a base64 Ed25519 key and return the base64 signature."""
    key = Ed25519PrivateKey.from_private_bytes(base64.b64decode(secret_key))
    return base64.b64encode(key.sign(text.encode())).decode()


def verify_text(text: str, signature: str, public_key: str) -> bool:
    """Return whether a base64 signature of a text is valid for a base64 public key."""
    try:
        key = Ed25519PublicKey.from_public_bytes(base64.b64decode(public_key))
        key.verify(base64.b64decode(signature), text.encode())
    except (InvalidSignature, ValueError):
        return False
    return True


def sign_bundle(bundle: Bundle, operator: str, secret_key: str) -> SignedBundle:
    """Sign the canonical form of a bundle as an operator."""
    text = canonical_text(bundle)
    return SignedBundle(text, operator, sign_text(text, secret_key))


def verify_bundle(signed: SignedBundle, operator_keys: Mapping[str, str]) -> bool:
    """Return whether a trusted operator signed the bundle."""
    public_key = operator_keys.get(signed.operator)
    if public_key is None:
        return False
    return verify_text(signed.text, signed.signature, public_key)
