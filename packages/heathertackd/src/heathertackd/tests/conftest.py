import asyncio
import sys
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from heathertack_fakes import LocalSystem, SystemShape, build_bundle

BINARIES = Path(sys.executable).parent
SystemStarter = Callable[[SystemShape], LocalSystem]


@pytest.fixture
def start_system(tmp_path: Path) -> Iterator[SystemStarter]:
    """Return a function that starts a system; stop all systems after the test."""
    systems: list[LocalSystem] = []

    def start(shape: SystemShape) -> LocalSystem:
        system = LocalSystem(tmp_path / str(len(systems)), BINARIES, shape)
        systems.append(system)
        asyncio.run(_start(system))
        return system

    yield start
    for system in systems:
        system.stop()


async def _start(system: LocalSystem) -> None:
    await system.start()
    applied = system.apply_bundle(build_bundle(1))
    assert applied.returncode == 0, applied.stderr
    await system.wait_until_ready()
