"""Hypothesis profiles, and the exclusion of tests that fail for a known fault.

Tests listed in KNOWN-RED.txt are deselected and printed at the end of the run. With
``--known-red`` only these tests run.
"""

import os
from pathlib import Path

import pytest
from hypothesis import HealthCheck, Phase, settings

_KNOWN_RED = Path(__file__).with_name("KNOWN-RED.txt")
_TEST_PREFIX = "test: "

settings.register_profile(
    "ci",
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
settings.register_profile(
    "prove",
    parent=settings.get_profile("ci"),
    derandomize=False,
    max_examples=int(os.environ.get("PROVE_COUNT", "500")),
    print_blob=True,
)
settings.register_profile(
    "red",
    parent=settings.get_profile("ci"),
    max_examples=60,
    phases=[Phase.generate],
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that runs only the known failures."""
    parser.addoption(
        "--known-red",
        action="store_true",
        help="run only the tests listed in KNOWN-RED.txt",
    )


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselect the tests listed in KNOWN-RED.txt, or with the option all others."""
    known = set(_read_known_red())
    runs_known_red = config.getoption("--known-red")
    deselected = [item for item in items if (item.nodeid in known) != runs_known_red]
    config.hook.pytest_deselected(items=deselected)
    items[:] = [item for item in items if (item.nodeid in known) == runs_known_red]


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Print the tests that were not run because they are listed in KNOWN-RED.txt."""
    if not config.getoption("--known-red"):
        for test in _read_known_red():
            terminalreporter.write_line(f"known red, not run: {test}")


def _read_known_red() -> list[str]:
    if not _KNOWN_RED.exists():  # not part of the copy that red_check.py tests
        return []
    lines = _KNOWN_RED.read_text().splitlines()
    return [
        line.removeprefix(_TEST_PREFIX)
        for line in lines
        if line.startswith(_TEST_PREFIX)
    ]
