"""Checks that tests fail when the safeguard that they cover is removed.

Each case removes one safeguard from a scratch copy of the packages and runs the
tests that cover it. A case is red, as expected, if those tests fail, and green
otherwise.

Usage:
  red_check.py [--only=TEXT]
"""

from __future__ import annotations

import json
import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import TypedDict

from docopt import docopt

_ROOT = Path(__file__).resolve().parent.parent
_CASES = Path(__file__).with_name("red_cases.json")
_TIMEOUT_SECONDS = 120


class RedCase(TypedDict):
    """One safeguard and the tests that must fail without it."""

    name: str
    file: str
    old: str
    new: str
    tests: str


def run_case(case: RedCase, folder: Path) -> bool:
    """Return whether the tests fail without the safeguard."""
    copy = folder / "packages"
    shutil.copytree(_ROOT / "packages", copy, ignore=shutil.ignore_patterns("*.egg*"))
    shutil.copy(_ROOT / "conftest.py", folder)
    shutil.copy(_ROOT / "pyproject.toml", folder)
    path = folder / case["file"]
    text = path.read_text()
    if text.count(case["old"]) != 1:
        raise SystemExit(
            f"{case['name']}: the text to replace does not occur exactly once"
        )
    path.write_text(text.replace(case["old"], case["new"]))
    sources = os.pathsep.join(str(source) for source in copy.glob("*/src"))
    environment = {
        **os.environ,
        "PYTHONPATH": sources,
        "HYPOTHESIS_PROFILE": "red",
    }
    result = subprocess.run(
        [sys.executable, "-m", "pytest", "-x", *case["tests"].split()],
        cwd=folder,
        env=environment,
        capture_output=True,
        timeout=_TIMEOUT_SECONDS,
        check=False,
    )
    return result.returncode == 1


def main() -> int:
    """Run the selected cases and return 1 if any of them is green."""
    options = docopt(__doc__ or "")
    cases: list[RedCase] = json.loads(_CASES.read_text())
    green_count = 0
    for case in cases:
        if options["--only"] and options["--only"] not in case["name"]:
            continue
        with tempfile.TemporaryDirectory() as folder:
            is_red = run_case(case, Path(folder))
        green_count += not is_red
        print(f"{'red  ' if is_red else 'GREEN'}  {case['name']}", flush=True)
    return 1 if green_count else 0


if __name__ == "__main__":
    sys.exit(main())
