"""Reports errors, doubtful entries and differences of a bundle to an operator.

Warnings concern bundles that are accepted: entries that nothing can match, and limits
that contradict each other.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import NamedTuple

from returns.result import Failure

from heathertack.bundle._difference import BundleChange, compare_bundles
from heathertack.bundle._model import (
    Bundle,
    ForwardingRoute,
    PlainRoute,
    ServiceConfiguration,
)
from heathertack.bundle._parse import (
    BundleError,
    find_errors,
    list_key_digests,
    read_bundle,
)

#: Bytes that a path has in the first line of a request.
_SENT_PATH = re.compile(r"[!-~]+")
_SHA256_HEX = re.compile("[0-9a-f]{64}")
_STREAM_KINDS = ("streaming", "resumable")


class BundleReport(NamedTuple):
    """What a check of a bundle found."""

    #: Reasons why the bundle is refused.
    errors: tuple[BundleError, ...]
    #: Entries that are accepted and probably not meant.
    warnings: tuple[BundleError, ...] = ()
    #: Values that differ from the bundle in force.
    changes: tuple[BundleChange, ...] = ()


def build_report(file: str, text: str, current: Bundle | None = None) -> BundleReport:
    """Check a bundle.

    Parameters
    ----------
    file : str
        Name used in errors.
    text : str
        JSON with comments.
    current : Bundle or None
        Bundle in force, ``None`` if it is not known.

    Returns
    -------
    BundleReport
        All errors; warnings and differences only if every value has its type.
    """
    read = read_bundle(file, text)
    if isinstance(read, Failure):
        return BundleReport((read.failure(),))
    bundle: Bundle = read.unwrap()
    changes = compare_bundles(current, bundle) if current is not None else ()
    errors = [*find_errors(bundle)]
    if current is not None and changes and bundle["version"] <= current["version"]:
        expected = f"a number above {current['version']}, the version in force"
        errors.append(_finding("$.version", bundle["version"], expected))
    return BundleReport(
        tuple(error._replace(file=file) for error in errors),
        tuple(warning._replace(file=file) for warning in _find_warnings(bundle)),
        changes,
    )


def _find_warnings(bundle: Bundle) -> Iterator[BundleError]:
    for name, service in bundle["services"].items():
        yield from _check_service(f"$.services.{name}", service)
        if service["kind"] == "forwarding" and not _is_used(bundle, name):
            path = f"$.services.{name}"
            yield _finding(path, "no route", "a route that gives it a positive weight")
    for name, account in bundle["accounts"].items():
        for path, digest in list_key_digests(f"$.accounts.{name}", account):
            if not _SHA256_HEX.fullmatch(digest):
                yield _finding(path, digest, "64 hexadecimal digits in lower case")
    for name, route in bundle.get("routes", {}).items():
        path = f"$.routes.{name}"
        yield from _check_route(path, route)
        if not route.get("public") and not bundle["accounts"]:
            expected = "a client account, or a public route"
            yield _finding(path, "no caller key that is accepted", expected)
    yield from _check_request_limits(bundle)


def _is_used(bundle: Bundle, service: str) -> bool:
    routes = bundle.get("routes", {}).values()
    return any(route["services"].get(service, 0) > 0 for route in routes)


def _check_route(path: str, route: ForwardingRoute) -> Iterator[BundleError]:
    host = route["host"]
    if host != host.partition(":")[0].lower():
        expected = "a host in lower case and without a port"
        yield _finding(f"{path}.host", host, expected)
    prefix = route["path_prefix"]
    if "?" in prefix or "#" in prefix or not _SENT_PATH.fullmatch(prefix):
        expected = "a path as it is sent, percent-encoded and without a query"
        yield _finding(f"{path}.path_prefix", prefix, expected)
    for service, weight in route["services"].items():
        if weight == 0:
            yield _finding(f"{path}.services.{service}", 0, "a positive weight")
    if route["max_attempts"] < 1:
        found = route["max_attempts"]
        yield _finding(f"{path}.max_attempts", found, "a number from 1")
    timeout = route["timeout"]
    objectives = (
        ("latency_objective", route.get("latency_objective")),
        ("gap_objective", route.get("gap_objective")),
    )
    for field, objective in objectives:
        if objective is not None and not 0 < objective <= timeout:
            expected = f"a positive number up to the timeout of {timeout}"
            yield _finding(f"{path}.{field}", objective, expected)
    if "gap_objective" in route and route["kind"] not in _STREAM_KINDS:
        expected = "no interval between events for a route without streams"
        yield _finding(f"{path}.gap_objective", route["gap_objective"], expected)


def _check_service(path: str, service: ServiceConfiguration) -> Iterator[BundleError]:
    yield from _check_plain_routes(path, service.get("routes", []))
    for field, value in (
        ("max_output_tokens", service.get("max_output_tokens")),
        ("call_timeout", service.get("call_timeout")),
        ("queue_timeout", service.get("queue_timeout")),
    ):
        if value is not None and value <= 0:
            yield _finding(f"{path}.{field}", value, "a positive number")
    has_wait = service.get("queue_timeout", 0) > 0
    if service.get("queue_limit", 1) <= 0 and has_wait:
        expected = "a positive number, since queue_timeout lets requests wait"
        yield _finding(f"{path}.queue_limit", service.get("queue_limit"), expected)
    engine = service.get("engine")
    if engine is None:
        return
    slots = engine["slots"]
    event_tokens = engine.get("event_tokens", 1)
    for field, value in (("slots", slots), ("event_tokens", event_tokens)):
        if value < 1:
            yield _finding(f"{path}.engine.{field}", value, "a number from 1")
    needed = max(slots * event_tokens, service.get("max_output_tokens", 0))
    if engine["cache_tokens"] < needed:
        expected = f"at least {needed}, for an event in each slot and a whole response"
        yield _finding(f"{path}.engine.cache_tokens", engine["cache_tokens"], expected)


def _check_plain_routes(path: str, routes: list[PlainRoute]) -> Iterator[BundleError]:
    for number, route in enumerate(routes):
        where = f"{path}.routes[{number}]"
        method = route["method"]
        if method != method.upper():
            yield _finding(f"{where}.method", method, "a method in upper case")
        for earlier, other in enumerate(routes[:number]):
            is_shadowed = route["path"].startswith(other["path"])
            if other["method"] == method and is_shadowed:
                expected = f"no earlier match, but routes[{earlier}] matches first"
                yield _finding(where, f"{method} {route['path']}", expected)
                break


def _check_request_limits(bundle: Bundle) -> Iterator[BundleError]:
    limits = bundle.get("limits")
    if limits is None:
        return
    if limits["max_body_bytes"] < 0:
        found = limits["max_body_bytes"]
        yield _finding("$.limits.max_body_bytes", found, "a number from 0")
    for field, value in (
        ("max_header_bytes", limits["max_header_bytes"]),
        ("header_timeout", limits["header_timeout"]),
        ("idle_timeout", limits["idle_timeout"]),
    ):
        if value <= 0:
            yield _finding(f"$.limits.{field}", value, "a positive number")


def _finding(path: str, found: object, expected: str) -> BundleError:
    return BundleError("", path, str(found), expected)
