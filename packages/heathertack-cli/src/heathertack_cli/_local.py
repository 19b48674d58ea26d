"""Commands that run locally, without an instance."""

from __future__ import annotations

import base64
import hashlib
import secrets
from pathlib import Path
from typing import Any

import msgspec
import zmq
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from returns.result import Failure, Result, Success

from heathertack.bundle import (
    Bundle,
    BundleChange,
    BundleReport,
    build_report,
    compare_bundles,
    parse_bundle,
)
from heathertack.schema import SchemaError
from heathertack.settings import parse_settings
from heathertack.signatures import sign_bundle
from heathertack_cli._usage import CheckCode, ExitCode

_CALLER_KEY_BYTES = 24


class CommandOutput:
    """What a command prints, and its exit code."""

    def __init__(
        self,
        code: ExitCode | CheckCode,
        document: Any = None,
        error: str = "",
        text: str = "",
    ) -> None:
        self.code = code
        self.document = document
        self.error = error
        self.text = text


def read_file(path: str) -> Result[str, SchemaError]:
    """Return the text of a file, or an error if it can't be read."""
    try:
        return Success(Path(path).read_text())
    except OSError as error:
        found = error.strerror or "an unreadable file"
        return Failure(SchemaError(path, "$", found, "a readable file"))


def read_bundle(path: str) -> Result[Bundle, SchemaError]:
    """Return the checked bundle in a file, or the first error."""
    return read_file(path).bind(lambda text: parse_bundle(path, text))


def generate_keys(options: dict[str, Any]) -> CommandOutput:
    """Generate a key pair for an operator or instance, or a caller key."""
    if options["operator"]:
        private = Ed25519PrivateKey.generate()
        document = {
            "secret_key": base64.b64encode(private.private_bytes_raw()).decode(),
            "public_key": base64.b64encode(
                private.public_key().public_bytes_raw()
            ).decode(),
        }
    elif options["instance"]:
        public, secret = zmq.curve_keypair()
        document = {"secret_key": secret.decode(), "public_key": public.decode()}
    else:
        key = secrets.token_urlsafe(_CALLER_KEY_BYTES)
        digest = hashlib.sha256(key.encode()).hexdigest()
        document = {"caller_key": key, "key_sha256": digest}
    text = "\n".join(f"{name}: {value}" for name, value in document.items())
    return CommandOutput(ExitCode.DONE, document, text=text)


def check_settings(options: dict[str, Any]) -> CommandOutput:
    """Check a settings file."""
    path = options["FILE"]
    text = read_file(path)
    if isinstance(text, Failure):
        return _input_error(text.failure())
    return _check_output(parse_settings(path, text.unwrap()))


def check_bundle(options: dict[str, Any]) -> CommandOutput:
    """Check a bundle, and compare it with the one in force."""
    path = options["FILE"]
    current: Bundle | None = None
    text = read_file(path)
    if isinstance(text, Failure):
        return _report_output(BundleReport((text.failure(),)))
    if options["--against"]:
        in_force = read_bundle(options["--against"])
        if isinstance(in_force, Failure):
            return _report_output(BundleReport((in_force.failure(),)))
        current = in_force.unwrap()
    return _report_output(build_report(path, text.unwrap(), current))


def sign_bundle_file(options: dict[str, Any]) -> CommandOutput:
    """Check and sign a bundle and write it to a file."""
    required = ("--operator", "--key", "--output")
    missing = [name for name in required if not options[name]]
    if missing:
        message = f"the command requires {', '.join(missing)}"
        return CommandOutput(ExitCode.INVALID_INPUT, error=message)
    bundle = read_bundle(options["FILE"])
    key = read_file(options["--key"])
    for result in (bundle, key):
        if isinstance(result, Failure):
            return _input_error(result.failure())
    secret_key = key.unwrap().strip()
    signed = sign_bundle(bundle.unwrap(), options["--operator"], secret_key)
    output = Path(options["--output"])
    try:
        output.write_bytes(msgspec.json.encode(signed._asdict()))
    except OSError as error:
        message = f"{output}: {error.strerror}"
        return CommandOutput(ExitCode.INVALID_INPUT, error=message)
    return CommandOutput(ExitCode.DONE, text=f"signed bundle written to {output}")


def diff_bundles(options: dict[str, Any]) -> CommandOutput:
    """List the differences between two bundles."""
    bundles = []
    for path in (options["OLD"], options["NEW"]):
        result = read_bundle(path)
        if isinstance(result, Failure):
            return _input_error(result.failure())
        bundles.append(result.unwrap())
    changes = compare_bundles(bundles[0], bundles[1])
    lines = [_describe_change(change) for change in changes]
    document = [change._asdict() for change in changes]
    return CommandOutput(ExitCode.DONE, document, text="\n".join(lines))


def _describe_change(change: BundleChange) -> str:
    return f"$.{'.'.join(change.path)}: {change.before!r} -> {change.after!r}"


def _report_output(report: BundleReport) -> CommandOutput:
    code = CheckCode.ERRORS if report.errors else CheckCode.CLEAN
    if report.warnings and not report.errors:
        code = CheckCode.WARNINGS
    lines = [f"warning: {warning}" for warning in report.warnings]
    lines += [f"change: {_describe_change(change)}" for change in report.changes]
    if code is CheckCode.CLEAN:
        lines.append("valid")
    document = {
        "errors": [error._asdict() for error in report.errors],
        "warnings": [warning._asdict() for warning in report.warnings],
        "changes": [change._asdict() for change in report.changes],
    }
    errors = "\n".join(str(error) for error in report.errors)
    return CommandOutput(code, document, errors, "\n".join(lines))


def _input_error(error: SchemaError) -> CommandOutput:
    return CommandOutput(ExitCode.INVALID_INPUT, error=str(error))


def _check_output(result: Result[Any, SchemaError]) -> CommandOutput:
    if isinstance(result, Failure):
        return _input_error(result.failure())
    return CommandOutput(ExitCode.DONE, {"valid": True}, text="valid")
