import copy
import json
from typing import Any

import pytest
from hypothesis import given, strategies as st
from returns.result import Failure, Success

from heathertack.bundle import (
    apply_changes,
    compare_bundles,
    digest_content,
    pack_bundle,
    pack_changes,
    parse_bundle,
    unpack_bundle,
    unpack_changes,
)
from heathertack.signatures import sign_bundle, verify_bundle

BUNDLE: dict[str, Any] = {
    "version": 3,
    "services": {
        "tutor": {"kind": "generation", "model": "m"},
        "portal": {
            "kind": "plain",
            "routes": [{"method": "POST", "path": "/pay", "idempotent": False}],
        },
    },
    "classes": {"note": 1},
    "accounts": {
        "school": {
            "key_sha256": "a" * 64,
            "share": 1.0,
            "max_in_progress": 4,
            "default_class": "note",
        }
    },
}

SECRET = "nWGxne/9WmC6hEr0kuwsxERJxWl7MmkZcDusAxyuf2A="
PUBLIC = "11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo="

INVALID = [
    (("version",), 0, "$.version"),
    (("colour",), 1, "$.colour"),
    (("services", "tutor"), {"kind": "generation"}, "$.services.tutor"),
    (("services", "portal", "routes"), [], "$.services.portal"),
    (
        ("services", "portal", "routes"),
        [{"method": "GET", "path": "x", "idempotent": True}],
        "$.services.portal.routes[0].path",
    ),
    (("accounts", "school", "share"), 0, "$.accounts.school.share"),
    (("accounts", "school", "key_sha256"), "a", "$.accounts.school.key_sha256"),
    (("accounts", "school", "default_class"), "x", "$.accounts.school.default_class"),
    (("accounts", "school", "max_in_progress"), 0, "$.accounts.school.max_in_progress"),
]


ROUTE: dict[str, Any] = {
    "host": "a.example",
    "path_prefix": "/x/",
    "kind": "idempotent",
    "services": {"front": 1},
    "timeout": 2.0,
    "priority": 0,
    "max_attempts": 1,
}

INVALID_ROUTES = [
    ({"path_prefix": "/x"}, "$.routes.second.path_prefix"),
    ({"path_prefix": "/x/"}, "$.routes.second"),
    ({"services": {"front": 0}}, "$.routes.second.services"),
    ({"services": {}}, "$.routes.second.services"),
    ({"services": {"front": 2, "front-2": -1}}, "$.routes.second.services"),
    ({"services": {"nobody": 1}}, "$.routes.second.services.nobody"),
    ({"services": {"tutor": 1}}, "$.routes.second.services.tutor"),
    ({"timeout": 0.0}, "$.routes.second.timeout"),
    ({"kind": "sometimes"}, "$.routes.second.kind"),
]


def with_routes(**second: Any) -> dict[str, Any]:
    bundle = copy.deepcopy(BUNDLE)
    bundle["services"]["front"] = {"kind": "forwarding"}
    bundle["routes"] = {
        "first": ROUTE,
        "second": {**ROUTE, "path_prefix": "/y/", **second},
    }
    return bundle


def change(path: tuple[str, ...], value: Any) -> dict[str, Any]:
    bundle = copy.deepcopy(BUNDLE)
    node = bundle
    for key in path[:-1]:
        node = node[key]
    node[path[-1]] = value
    return bundle


class TestParseBundle:
    def test_accepts_a_valid_bundle(self) -> None:
        assert isinstance(parse_bundle("b", json.dumps(BUNDLE)), Success)

    def test_accepts_routes_of_forwarding_services(self) -> None:
        assert isinstance(parse_bundle("b", json.dumps(with_routes())), Success)

    @pytest.mark.parametrize(("second", "location"), INVALID_ROUTES)
    def test_reports_the_path_of_an_invalid_route_value(
        self, second: dict[str, Any], location: str
    ) -> None:
        result = parse_bundle("b.jsonc", json.dumps(with_routes(**second)))
        assert isinstance(result, Failure)
        assert str(result.failure()).startswith(f"b.jsonc: {location}")

    def test_rejects_a_further_key_of_another_account(self) -> None:
        bundle = copy.deepcopy(BUNDLE)
        school = bundle["accounts"]["school"]
        other = {**school, "key_sha256": "b" * 64, "more_keys_sha256": ["a" * 64]}
        bundle["accounts"]["club"] = other
        result = parse_bundle("b", json.dumps(bundle))
        assert "$.accounts.club.more_keys_sha256[0]" in str(result.failure())

    @pytest.mark.parametrize(("path", "value", "location"), INVALID)
    def test_reports_the_path_of_the_first_invalid_value(
        self, path: tuple[str, ...], value: Any, location: str
    ) -> None:
        result = parse_bundle("b.jsonc", json.dumps(change(path, value)))
        assert isinstance(result, Failure)
        assert str(result.failure()).startswith(f"b.jsonc: {location}: ")

    @pytest.mark.parametrize(
        ("path", "value", "message"),
        [
            (
                ("services", "tutor", "kind"),
                "poem",
                "$.services.tutor.kind: found Invalid enum value 'poem', "
                "expected one of generation, plain",
            ),
            (
                ("services", "portal", "routes"),
                [{"method": "GET", "path": "/", "idempotent": 3}],
                "$.services.portal.routes[0].idempotent: "
                "found Expected `bool`, got `int`, expected bool",
            ),
            (
                ("accounts", "school"),
                {"share": 1.0},
                "expected the fields default_class, key_sha256, max_in_progress, share",
            ),
        ],
    )
    def test_reports_the_found_and_the_expected_value(
        self, path: tuple[str, ...], value: Any, message: str
    ) -> None:
        result = parse_bundle("b.jsonc", json.dumps(change(path, value)))
        assert isinstance(result, Failure)
        assert message in str(result.failure())

    def test_rejects_two_accounts_with_one_key(self) -> None:
        bundle = copy.deepcopy(BUNDLE)
        bundle["accounts"]["other"] = bundle["accounts"]["school"]
        result = parse_bundle("b", json.dumps(bundle))
        assert isinstance(result, Failure)
        assert result.failure().expected == "a key of no other account"


class TestSignature:
    @pytest.mark.parametrize(
        ("suffix", "keys", "is_valid"),
        [
            ("", {"asha": PUBLIC}, True),
            (" ", {"asha": PUBLIC}, False),
            ("", {}, False),
            ("", {"asha": "AAAA"}, False),
        ],
    )
    def test_verifies_only_trusted_text(
        self, suffix: str, keys: dict[str, str], is_valid: bool
    ) -> None:
        bundle = parse_bundle("b", json.dumps(BUNDLE)).unwrap()
        signed = sign_bundle(bundle, "asha", SECRET)
        signed = signed._replace(text=signed.text + suffix)
        assert verify_bundle(signed, keys) is is_valid

    def test_comments_do_not_change_what_is_signed(self) -> None:
        plain = parse_bundle("b", json.dumps(BUNDLE)).unwrap()
        commented = parse_bundle("b", "// New.\n" + json.dumps(BUNDLE)).unwrap()
        signatures = {sign_bundle(b, "asha", SECRET) for b in (plain, commented)}
        assert len(signatures) == 1


class TestChanges:
    @given(
        st.dictionaries(st.sampled_from("abcd"), st.integers(1, 9), min_size=1),
        st.dictionaries(st.sampled_from("abcd"), st.integers(1, 9), min_size=1),
    )
    def test_changes_lead_from_one_bundle_to_the_other(
        self, old_classes: dict[str, int], new_classes: dict[str, int]
    ) -> None:
        empty: dict[str, Any] = {"services": {}, "accounts": {}}
        old_text = json.dumps({"version": 1, "classes": old_classes, **empty})
        new_text = json.dumps({"version": 2, "classes": new_classes, **empty})
        old = parse_bundle("old", old_text).unwrap()
        new = parse_bundle("new", new_text).unwrap()
        changes = unpack_changes(pack_changes(compare_bundles(old, new))).unwrap()
        assert digest_content(apply_changes(old, changes).unwrap()) == digest_content(
            new
        )

    def test_unpacked_bundle_equals_the_packed_one(self) -> None:
        bundle = parse_bundle("b", json.dumps(BUNDLE)).unwrap()
        assert unpack_bundle(pack_bundle(bundle)) == Success(bundle)
