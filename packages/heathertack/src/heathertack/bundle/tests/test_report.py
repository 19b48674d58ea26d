"""Tests of the report about errors, doubtful entries and differences of a bundle."""

import copy
import json
from typing import Any

import pytest

from heathertack.bundle import Bundle, build_report, parse_bundle

BUNDLE: dict[str, Any] = {
    "version": 3,
    "services": {
        "engines": {
            "kind": "forwarding",
            "engine": {"slots": 8, "cache_tokens": 1000, "event_tokens": 4},
            "max_output_tokens": 500,
        },
        "front": {"kind": "forwarding"},
        "portal": {
            "kind": "plain",
            "call_timeout": 5.0,
            "queue_limit": 4,
            "queue_timeout": 1.0,
            "routes": [
                {"method": "POST", "path": "/pay/", "idempotent": False},
                {"method": "GET", "path": "/pay/", "idempotent": True},
                {"method": "POST", "path": "/", "idempotent": False},
            ],
        },
    },
    "classes": {"note": 1},
    "accounts": {
        "school": {
            "key_sha256": "a" * 64,
            "more_keys_sha256": ["b" * 64],
            "share": 1.0,
            "max_in_progress": 4,
            "default_class": "note",
        }
    },
    "routes": {
        "stream": {
            "host": "a.example",
            "path_prefix": "/x/",
            "kind": "streaming",
            "services": {"engines": 1, "front": 1},
            "timeout": 2.0,
            "latency_objective": 2.0,
            "gap_objective": 0.2,
            "priority": 0,
            "max_attempts": 1,
        }
    },
    "limits": {
        "max_header_bytes": 1,
        "max_body_bytes": 0,
        "header_timeout": 1.0,
        "idle_timeout": 1.0,
    },
}
_ROUTE = ("routes", "stream")
_ENGINE = ("services", "engines", "engine")
_PORTAL = ("services", "portal")
_SCHOOL = ("accounts", "school")

#: Path, value that is set there, and paths of the warnings.
WARNINGS: list[tuple[tuple[Any, ...], Any, list[str]]] = [
    ((*_ROUTE, "host"), "A.example", ["$.routes.stream.host"]),
    ((*_ROUTE, "host"), "a.example:80", ["$.routes.stream.host"]),
    ((*_ROUTE, "path_prefix"), "/x?y/", ["$.routes.stream.path_prefix"]),
    ((*_ROUTE, "path_prefix"), "/a b/", ["$.routes.stream.path_prefix"]),
    ((*_ROUTE, "path_prefix"), "/\u00e9/", ["$.routes.stream.path_prefix"]),
    ((*_ROUTE, "path_prefix"), "/%C3%A9/", []),
    (
        (*_ROUTE, "services"),
        {"engines": 1, "front": 0},
        ["$.services.front", "$.routes.stream.services.front"],
    ),
    ((*_ROUTE, "services"), {"engines": 1}, ["$.services.front"]),
    ((*_ROUTE, "max_attempts"), 0, ["$.routes.stream.max_attempts"]),
    ((*_ROUTE, "latency_objective"), 2.1, ["$.routes.stream.latency_objective"]),
    ((*_ROUTE, "latency_objective"), 0, ["$.routes.stream.latency_objective"]),
    ((*_ROUTE, "gap_objective"), 2.1, ["$.routes.stream.gap_objective"]),
    ((*_ROUTE, "kind"), "idempotent", ["$.routes.stream.gap_objective"]),
    ((*_ROUTE, "kind"), "resumable", []),
    ((*_SCHOOL, "key_sha256"), "A" * 64, ["$.accounts.school.key_sha256"]),
    (
        (*_SCHOOL, "more_keys_sha256"),
        ["b" * 64, "g" * 64],
        ["$.accounts.school.more_keys_sha256[1]"],
    ),
    (("accounts",), {}, ["$.routes.stream"]),
    ((*_ENGINE, "slots"), 0, ["$.services.engines.engine.slots"]),
    ((*_ENGINE, "slots"), 250, []),
    ((*_ENGINE, "slots"), 251, ["$.services.engines.engine.cache_tokens"]),
    ((*_ENGINE, "event_tokens"), 0, ["$.services.engines.engine.event_tokens"]),
    ((*_ENGINE, "cache_tokens"), 499, ["$.services.engines.engine.cache_tokens"]),
    ((*_ENGINE, "cache_tokens"), 500, []),
    ((*_PORTAL, "call_timeout"), 0, ["$.services.portal.call_timeout"]),
    ((*_PORTAL, "queue_timeout"), 0, ["$.services.portal.queue_timeout"]),
    ((*_PORTAL, "queue_limit"), 0, ["$.services.portal.queue_limit"]),
    ((*_PORTAL, "routes", 0, "method"), "post", ["$.services.portal.routes[0].method"]),
    ((*_PORTAL, "routes", 0, "path"), "/", ["$.services.portal.routes[2]"]),
    ((*_PORTAL, "routes", 1, "method"), "POST", ["$.services.portal.routes[1]"]),
    (("limits", "max_header_bytes"), 0, ["$.limits.max_header_bytes"]),
    (("limits", "max_body_bytes"), -1, ["$.limits.max_body_bytes"]),
    (("limits", "header_timeout"), 0, ["$.limits.header_timeout"]),
    (("limits", "idle_timeout"), 0, ["$.limits.idle_timeout"]),
]


def change(path: tuple[Any, ...], value: Any) -> str:
    """Return the bundle with one value set, as text."""
    document = copy.deepcopy(BUNDLE)
    node: Any = document
    for key in path[:-1]:
        node = node[key]
    node[path[-1]] = value
    return json.dumps(document)


def parse(text: str) -> Bundle:
    bundle: Bundle = parse_bundle("b", text).unwrap()
    return bundle


class TestWarnings:
    """A warning must come for what can't work, and for nothing at its bound."""

    def test_clean_bundle(self) -> None:
        report = build_report("b", json.dumps(BUNDLE))
        assert report == ((), (), ())

    @pytest.mark.parametrize(("path", "value", "expected"), WARNINGS)
    def test_paths(
        self, path: tuple[Any, ...], value: Any, expected: list[str]
    ) -> None:
        text = change(path, value)
        report = build_report("b", text)
        assert report.errors == ()
        assert [warning.path for warning in report.warnings] == expected
        assert all(warning.file == "b" for warning in report.warnings)
        # Warnings refuse no bundle that was accepted before.
        assert parse(text)["version"] == 3

    def test_public_route_needs_no_account(self) -> None:
        document = copy.deepcopy(BUNDLE)
        document["accounts"] = {}
        document["routes"]["stream"]["public"] = True
        assert build_report("b", json.dumps(document)).warnings == ()


class TestErrors:
    def test_all_errors_are_reported(self) -> None:
        document = copy.deepcopy(BUNDLE)
        document["version"] = 0
        document["accounts"]["school"]["share"] = 0
        document["routes"]["stream"]["timeout"] = 0
        report = build_report("b", json.dumps(document))
        assert [(error.file, error.path) for error in report.errors] == [
            ("b", "$.version"),
            ("b", "$.accounts.school.share"),
            ("b", "$.routes.stream.timeout"),
        ]

    @pytest.mark.parametrize("text", ["", "{", "[]", '{"version": "x"}', "[" * 5000])
    def test_unreadable_bundle_is_one_error(self, text: str) -> None:
        report = build_report("b", text, parse(json.dumps(BUNDLE)))
        assert len(report.errors) == 1
        assert (report.warnings, report.changes) == ((), ())


class TestDifferences:
    # Guards against a bundle that passes the check and is then refused as older or
    # as another content of the same version.
    @pytest.mark.parametrize(
        ("version", "priority", "errors", "changes"),
        [
            (3, 0, [], []),
            (3, 1, ["$.version"], [("routes", "stream", "priority")]),
            (2, 0, ["$.version"], [("version",)]),
            (4, 0, [], [("version",)]),
            (4, 1, [], [("routes", "stream", "priority"), ("version",)]),
        ],
    )
    def test_versions(
        self, version: int, priority: int, errors: list[str], changes: list[Any]
    ) -> None:
        document = copy.deepcopy(BUNDLE)
        document["version"] = version
        document["routes"]["stream"]["priority"] = priority
        current = parse(json.dumps(BUNDLE))
        report = build_report("b", json.dumps(document), current)
        assert [error.path for error in report.errors] == errors
        assert [found.path for found in report.changes] == changes
