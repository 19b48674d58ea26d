"""Hypothesis profiles, and the exclusion of tests that fail for a known fault.

Tests listed in KNOWN-RED.txt are deselected and printed at the end of the run. With
``--known-red`` only these tests run.
"""

import os
from pathlib import Path

import pytest
from hypothesis import HealthCheck, Phase, settings

#: Names that a module imports, and fixtures, with which its tests start real daemons.
_DAEMON_STARTERS = frozenset(
    {"LocalSystem", "run_platform", "run_seed", "run_target_cuts", "start_system"}
)
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


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselect the tests listed in KNOWN-RED.txt, or with the option all others."""
    known = set(_read_known_red())
    runs_known_red = config.getoption("--known-red")
    deselected = [item for item in items if (item.nodeid in known) != runs_known_red]
    config.hook.pytest_deselected(items=deselected)
    items[:] = [item for item in items if (item.nodeid in known) == runs_known_red]
    for item in items:
        if _starts_daemons(item):
            # Those of a package run one after the other: they wait for processes, and
            # bound their waits. pytest-xdist reads the groups in the same hook.
            package = item.path.relative_to(config.rootpath).parts[:2]
            item.add_marker(pytest.mark.xdist_group("-".join(package)))


def _starts_daemons(item: pytest.Item) -> bool:
    names = {*getattr(item, "fixturenames", ()), *vars(getattr(item, "module", item))}
    return not _DAEMON_STARTERS.isdisjoint(names)


class _TestCount:
    """Fails a run on several workers in which not every collected test was run."""

    def __init__(self) -> None:
        self._collected: set[str] = set()
        self._run: set[str] = set()

    def pytest_xdist_node_collection_finished(self, ids: list[str]) -> None:
        """Record what a worker collected."""
        self._collected.update(ids)

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Record that a test was run."""
        self._run.add(report.nodeid)

    @pytest.hookimpl(trylast=True)
    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Compare the tests that were collected and run."""
        missing = self._collected - self._run
        if missing and session.exitstatus == pytest.ExitCode.OK:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(
        self, terminalreporter: pytest.TerminalReporter
    ) -> None:
        """Print how many tests were collected and run."""
        missing = sorted(self._collected - self._run)
        line = f"{len(self._collected)} tests collected, {len(self._run)} run"
        terminalreporter.write_line(line)
        for test in missing:
            terminalreporter.write_line(f"collected, not run: {test}")


def pytest_configure(config: pytest.Config) -> None:
    """Count the tests where several workers run them."""
    if config.getoption("numprocesses", None):
        config.pluginmanager.register(_TestCount())


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
