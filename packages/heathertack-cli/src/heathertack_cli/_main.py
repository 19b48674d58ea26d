"""Command line of the client."""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence
from typing import Any

import msgspec
from docopt import docopt

from heathertack_cli._local import (
    CommandOutput,
    check_bundle,
    check_settings,
    diff_bundles,
    generate_keys,
    sign_bundle_file,
)
from heathertack_cli._remote import run_remote
from heathertack_cli._usage import USAGE

_LOCAL_COMMANDS: dict[tuple[str, str], Callable[[dict[str, Any]], CommandOutput]] = {
    ("keys", "new"): generate_keys,
    ("settings", "check"): check_settings,
    ("bundle", "check"): check_bundle,
    ("bundle", "sign"): sign_bundle_file,
    ("bundle", "diff"): diff_bundles,
}


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line and return the exit code."""
    options = docopt(USAGE, argv=arguments)
    output = _run(options)
    if output.error:
        print(f"heathertack: {output.error}", file=sys.stderr)
    if options["--json"] and output.document is not None:
        print(msgspec.json.encode(output.document).decode())
    elif output.text:
        print(output.text)
    return output.code


def _run(options: dict[str, Any]) -> CommandOutput:
    for (group, command), run in _LOCAL_COMMANDS.items():
        if options[group] and options[command]:
            return run(options)
    return run_remote(options)
