import json
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from heathertack.bundle import SignedBundle
from heathertack.signatures import verify_bundle
from heathertack_cli import main

BUNDLE: dict[str, Any] = {
    "version": 1,
    "services": {"tutor": {"kind": "generation", "model": "m"}},
    "classes": {"note": 1},
    "accounts": {},
}


class CheckCase(NamedTuple):
    """A bundle that is checked."""

    changes: dict[str, Any]
    #: Expected exit code, and paths of errors and warnings.
    code: int
    errors: list[str]
    warnings: list[str]


_UNUSED: dict[str, Any] = {"services": {"front": {"kind": "forwarding"}}}
CHECKS = [
    CheckCase({}, 0, [], []),
    CheckCase({"version": 0}, 1, ["$.version"], []),
    CheckCase({"colour": 1}, 1, ["$.colour"], []),
    CheckCase(_UNUSED, 2, [], ["$.services.front"]),
    CheckCase({**_UNUSED, "version": 0}, 1, ["$.version"], ["$.services.front"]),
]
OPERATOR = ["--operator=asha", "--key=/none"]


@pytest.fixture
def bundle_file(tmp_path: Path) -> Path:
    path = tmp_path / "bundle.jsonc"
    path.write_text("// A bundle.\n" + json.dumps(BUNDLE))
    return path


class TestLocalCommands:
    def test_signs_a_checked_bundle(
        self, bundle_file: Path, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert main(["keys", "new", "operator", "--json"]) == 0
        keys = json.loads(capsys.readouterr().out)
        key_file = tmp_path / "key"
        key_file.write_text(keys["secret_key"] + "\n")
        output = tmp_path / "signed.json"
        arguments = [
            "bundle",
            "sign",
            str(bundle_file),
            "--operator=asha",
            f"--key={key_file}",
            f"--output={output}",
        ]
        assert main(arguments) == 0
        signed = SignedBundle(**json.loads(output.read_text()))
        assert verify_bundle(signed, {"asha": keys["public_key"]})

    def test_diff_prints_changed_paths(
        self, bundle_file: Path, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        other = tmp_path / "other.json"
        other.write_text(json.dumps({**BUNDLE, "version": 2}))
        assert main(["bundle", "diff", str(bundle_file), str(other)]) == 0
        assert capsys.readouterr().out == "$.version: 1 -> 2\n"

    # Guards against a script that takes errors for warnings, or a doubtful bundle for
    # a clean one.
    @pytest.mark.parametrize("case", CHECKS)
    def test_check_of_a_bundle(
        self,
        bundle_file: Path,
        capsys: pytest.CaptureFixture[str],
        case: CheckCase,
    ) -> None:
        bundle_file.write_text(json.dumps({**BUNDLE, **case.changes}))
        assert main(["bundle", "check", str(bundle_file), "--json"]) == case.code
        printed = capsys.readouterr()
        document = json.loads(printed.out)
        assert [found["path"] for found in document["errors"]] == case.errors
        assert [found["path"] for found in document["warnings"]] == case.warnings
        assert document["changes"] == []
        assert printed.err.count("\n") == len(case.errors)
        assert main(["bundle", "check", str(bundle_file)]) == case.code
        out = capsys.readouterr().out
        assert out.count("warning: ") == len(case.warnings)
        assert ("valid\n" in out) is (case.code == 0)

    @pytest.mark.parametrize("version", [1, 2])
    def test_check_against_the_bundle_in_force(
        self,
        bundle_file: Path,
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
        version: int,
    ) -> None:
        new = tmp_path / "new.json"
        new.write_text(json.dumps({**BUNDLE, "version": version}))
        assert main(["bundle", "check", str(new), f"--against={bundle_file}"]) == 0
        change = "" if version == 1 else "change: $.version: 1 -> 2\n"
        assert capsys.readouterr().out == f"{change}valid\n"
        older = main(["bundle", "check", str(bundle_file), f"--against={new}"])
        assert older == (0 if version == 1 else 1)
        assert main(["bundle", "check", str(new), "--against=/none"]) == 1
        assert "/none: $: " in capsys.readouterr().err

    @pytest.mark.parametrize("kind", ["operator", "instance", "caller"])
    def test_generates_keys(
        self, kind: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert main(["keys", "new", kind]) == 0
        assert len(capsys.readouterr().out.splitlines()) == 2

    @pytest.mark.parametrize(
        ("arguments", "code", "message"),
        [
            (["bundle", "check", "/none"], 1, "/none: $: "),
            (["settings", "check", "/none"], 2, "/none: $: "),
            (["bundle", "sign", "/none"], 2, "--operator, --key, --output"),
            (["status"], 2, "--operator and --key"),
            (["status", *OPERATOR], 2, "/none: $: "),
        ],
    )
    def test_reports_invalid_input(
        self,
        arguments: list[str],
        code: int,
        message: str,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        assert main(arguments) == code
        assert message in capsys.readouterr().err

    def test_unreachable_server_has_its_own_exit_code(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        main(["keys", "new", "operator", "--json"])
        key_file = tmp_path / "key"
        key_file.write_text(json.loads(capsys.readouterr().out)["secret_key"])
        arguments = ["status", "--operator=asha", f"--key={key_file}"]
        server = ["--server=127.0.0.1:1", "--timeout=0.1"]
        assert main([*arguments, *server]) == 3
        assert "no response" in capsys.readouterr().err

    @pytest.mark.parametrize("name", ["kalamu", "kunjal"])
    def test_examples_are_valid(self, name: str) -> None:
        examples = Path(__file__).parents[5] / "examples"
        settings = str(examples / f"{name}-entry.jsonc")
        bundle = str(examples / f"{name}-bundle.jsonc")
        assert main(["settings", "check", settings]) == 0
        assert main(["bundle", "check", bundle]) == 0
