"""Validates a complete bundle before any part of it is used."""

from __future__ import annotations

from collections.abc import Iterator

from returns.result import Failure, Result, Success

from heathertack.bundle._model import (
    AccountConfiguration,
    Bundle,
    ForwardingRoute,
    ServiceConfiguration,
)
from heathertack.schema import SchemaError, convert_document, parse_document

#: Error for an invalid bundle.
BundleError = SchemaError

_SHA256_HEX_LENGTH = 64


def parse_bundle(file: str, text: str) -> Result[Bundle, BundleError]:
    """Parse and check a bundle.

    Parameters
    ----------
    file : str
        Name used in errors.
    text : str
        JSON with comments.

    Returns
    -------
    Result[Bundle, BundleError]
        The checked bundle, or the first error.
    """
    read = read_bundle(file, text)
    return read.bind(lambda bundle: check_bundle(file, bundle))


def read_bundle(file: str, text: str) -> Result[Bundle, BundleError]:
    """Parse a bundle and check the types of its fields, but not their values."""
    parsed = parse_document(file, text)
    return parsed.bind(lambda value: convert_document(file, value, Bundle))


def check_bundle(file: str, bundle: Bundle) -> Result[Bundle, BundleError]:
    """Check the values of a bundle whose field types were checked before."""
    error = next(find_errors(bundle), None)
    if error is not None:
        return Failure(error._replace(file=file))
    return Success(bundle)


def find_errors(bundle: Bundle) -> Iterator[BundleError]:
    """Yield the errors in the values of a bundle, without the name of its file."""
    if bundle["version"] < 1:
        yield _error("$.version", str(bundle["version"]), "a number from 1")
    for name, service in bundle["services"].items():
        yield from _find_service_errors(f"$.services.{name}", service)
    digests: set[str] = set()
    for name, account in bundle["accounts"].items():
        path = f"$.accounts.{name}"
        for key_path, digest in list_key_digests(path, account):
            if len(digest) != _SHA256_HEX_LENGTH:
                expected = f"{_SHA256_HEX_LENGTH} hexadecimal digits"
                yield _error(key_path, digest, expected)
            if digest in digests:
                yield _error(key_path, digest, "a key of no other account")
            digests.add(digest)
        if account["share"] <= 0:
            yield _error(f"{path}.share", str(account["share"]), "a positive number")
        if account["max_in_progress"] < 1:
            found = str(account["max_in_progress"])
            yield _error(f"{path}.max_in_progress", found, "a number from 1")
        if account["default_class"] not in bundle["classes"]:
            expected = "one of " + ", ".join(sorted(bundle["classes"]))
            yield _error(f"{path}.default_class", account["default_class"], expected)
    yield from _find_route_errors(bundle)


def list_key_digests(
    path: str, account: AccountConfiguration
) -> Iterator[tuple[str, str]]:
    """Yield the path and the SHA-256 of each caller key of a client account."""
    yield f"{path}.key_sha256", account["key_sha256"]
    for number, digest in enumerate(account.get("more_keys_sha256", [])):
        yield f"{path}.more_keys_sha256[{number}]", digest


def _find_route_errors(bundle: Bundle) -> Iterator[BundleError]:
    routes_by_location: dict[tuple[str, str], str] = {}
    for name, route in bundle.get("routes", {}).items():
        path = f"$.routes.{name}"
        prefix = route["path_prefix"]
        if not (prefix.startswith("/") and prefix.endswith("/")):
            expected = "a path that starts and ends with /"
            yield _error(f"{path}.path_prefix", prefix, expected)
        existing = routes_by_location.setdefault((route["host"], prefix), name)
        if existing != name:
            expected = f"another place than that of route {existing}"
            yield _error(path, f"{route['host']}{prefix}", expected)
        if route["timeout"] <= 0:
            found = str(route["timeout"])
            yield _error(f"{path}.timeout", found, "a positive number of seconds")
        yield from _find_weight_errors(path, route, bundle)


def _find_weight_errors(
    path: str, route: ForwardingRoute, bundle: Bundle
) -> Iterator[BundleError]:
    weights = route["services"]
    if any(weight < 0 for weight in weights.values()) or not sum(weights.values()):
        found = str(sorted(weights.items()))
        yield _error(f"{path}.services", found, "weights with a positive sum")
    for service in weights:
        target_service = bundle["services"].get(service)
        if target_service is None or target_service["kind"] != "forwarding":
            where = f"{path}.services.{service}"
            yield _error(where, service, "the name of a forwarding service")


def _find_service_errors(
    path: str, service: ServiceConfiguration
) -> Iterator[BundleError]:
    if service["kind"] == "generation" and "model" not in service:
        yield _error(path, "no model", "a model for a generation service")
    if service["kind"] == "plain" and not service.get("routes"):
        yield _error(path, "no routes", "at least one route for a plain service")
    for number, route in enumerate(service.get("routes", [])):
        if not route["path"].startswith("/"):
            where = f"{path}.routes[{number}].path"
            yield _error(where, route["path"], "a path that starts with /")


def _error(path: str, found: str, expected: str) -> BundleError:
    return BundleError("", path, found, expected)
