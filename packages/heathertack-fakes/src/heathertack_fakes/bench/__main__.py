"""Measures running daemons and prints tables.

Usage:
  bench --bin=FOLDER [--only=NAME]

Options:
  --bin=FOLDER  folder of the installed binaries
  --only=NAME   one of relay, commits, calls, accounts, idle
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from docopt import docopt

from heathertack_fakes import LocalSystem, SystemShape, build_bundle
from heathertack_fakes.bench._control import (
    measure_accounts,
    measure_calls,
    measure_commits,
    measure_idle,
)
from heathertack_fakes.bench._relay import (
    SHAPE,
    measure_relay,
    measure_stream_memory,
)

_CONTROL_SHAPE = SystemShape(daemons=3, control_replicas=3)


async def _measure_system(
    binaries: Path,
    shape: SystemShape,
    *measurements: Callable[[LocalSystem], Awaitable[None]],
) -> None:
    """Start a local system, run measurements on it and stop it."""
    with tempfile.TemporaryDirectory() as folder:
        system = LocalSystem(Path(folder), binaries, shape)
        try:
            await system.start()
            bundle = build_bundle(1)
            bundle["services"]["tutor-model"]["max_output_tokens"] = 1_000_000
            applied = await asyncio.to_thread(system.apply_bundle, bundle)
            assert applied.returncode == 0, applied.stderr
            await system.wait_until_ready()
            for measurement in measurements:
                await measurement(system)
        finally:
            system.stop()


def main() -> int:
    """Run the selected measurements."""
    options = docopt(__doc__ or "")
    binaries = Path(options["--bin"]).absolute()
    only = options["--only"]
    if only in (None, "relay"):
        asyncio.run(
            _measure_system(binaries, SHAPE, measure_relay, measure_stream_memory)
        )
    if only in (None, "commits"):
        measure_commits()
    if only in (None, "calls"):
        asyncio.run(_measure_system(binaries, _CONTROL_SHAPE, measure_calls))
    if only in (None, "accounts"):
        asyncio.run(_measure_system(binaries, _CONTROL_SHAPE, measure_accounts))
    if only in (None, "idle"):
        asyncio.run(measure_idle(binaries))
    return 0


if __name__ == "__main__":
    sys.exit(main())
