"""Checks a bundle whole before anything of it is used."""

from __future__ import annotations

from collections.abc import Iterator

from returns.result import Failure, Result, Success

from heathertack.bundle._model import Bundle, ServiceConfiguration
from heathertack.schema import SchemaError, convert_document, parse_document

#: A bundle that can't be used.
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
        The checked bundle, or the first value that can't be used.
    """
    parsed = parse_document(file, text)
    typed = parsed.bind(lambda value: convert_document(file, value, Bundle))
    return typed.bind(lambda bundle: _check_values(file, bundle))


def _check_values(file: str, bundle: Bundle) -> Result[Bundle, BundleError]:
    error = next(_find_errors(bundle), None)
    if error is not None:
        return Failure(error._replace(file=file))
    return Success(bundle)


def _find_errors(bundle: Bundle) -> Iterator[BundleError]:
    if bundle["version"] < 1:
        yield _error("$.version", str(bundle["version"]), "a number from 1")
    for name, service in bundle["services"].items():
        yield from _find_service_errors(f"$.services.{name}", service)
    digests: set[str] = set()
    for name, account in bundle["accounts"].items():
        path = f"$.accounts.{name}"
        digest = account["key_sha256"]
        if len(digest) != _SHA256_HEX_LENGTH:
            expected = f"{_SHA256_HEX_LENGTH} hexadecimal digits"
            yield _error(f"{path}.key_sha256", digest, expected)
        if digest in digests:
            yield _error(f"{path}.key_sha256", digest, "a key of no other account")
        digests.add(digest)
        if account["share"] <= 0:
            yield _error(f"{path}.share", str(account["share"]), "a positive number")
        if account["max_in_progress"] < 1:
            found = str(account["max_in_progress"])
            yield _error(f"{path}.max_in_progress", found, "a number from 1")
        if account["default_class"] not in bundle["classes"]:
            expected = "one of " + ", ".join(sorted(bundle["classes"]))
            yield _error(f"{path}.default_class", account["default_class"], expected)


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
