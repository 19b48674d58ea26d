"""Lookups in a bundle."""

from __future__ import annotations

from heathertack.bundle._model import (
    AccountConfiguration,
    Bundle,
    PlainRoute,
    ServiceConfiguration,
)


def index_accounts(bundle: Bundle) -> dict[str, str]:
    """Return the names of client accounts by the SHA-256 of their caller keys."""
    accounts = bundle["accounts"].items()
    return {key: name for name, account in accounts for key in account_keys(account)}


def account_keys(account: AccountConfiguration) -> tuple[str, ...]:
    """Return the SHA-256 of every caller key of a client account."""
    return (account["key_sha256"], *account.get("more_keys_sha256", ()))


def find_route(
    service: ServiceConfiguration, method: str, path: str
) -> PlainRoute | None:
    """Return the first route of a plain service that matches a call."""
    for route in service.get("routes", []):
        if route["method"] == method and path.startswith(route["path"]):
            return route
    return None
