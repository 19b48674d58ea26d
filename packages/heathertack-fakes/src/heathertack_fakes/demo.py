"""Starts a local system, sends requests of a caller and an operator, and stops it.

Usage:
  demo --bin=FOLDER
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

import aiohttp
from docopt import docopt

from heathertack_fakes import (
    CALLER_KEY,
    HOST,
    LocalSystem,
    SystemShape,
    book_seat,
    build_bundle,
    fetch_addresses,
    stream_chat,
)

_TOKEN_COUNT = 12


class DemoError(Exception):
    """A step of the demo did not give the expected result."""


def expect(condition: bool, step: str) -> None:
    """Raise :class:`DemoError` with the step unless a condition holds."""
    if not condition:
        raise DemoError(step)


async def run_demo(system: LocalSystem) -> None:
    """Run every step of the demo."""
    await system.start()
    print(f"started: {', '.join(system.running)}")
    await _apply_bundles(system)
    async with aiohttp.ClientSession() as session:
        first = f"{HOST}:{system.http_ports[system.names[0]]}"
        addresses = await fetch_addresses(session, first, "tutor-model")
        print(f"addresses to use: {', '.join(addresses)}")
        expect(len(addresses) == len(system.names), "every instance is listed")
        await _stream(session, addresses[0])
        await _book(session, addresses, system)


async def _apply_bundles(system: LocalSystem) -> None:
    invalid = build_bundle(1)
    invalid["services"]["tutor-model"]["kind"] = "poem"
    refused = system.sign_bundle(invalid)
    print(f"invalid bundle: {refused.stderr.strip()}")
    expect(refused.returncode == 2, "an invalid bundle is refused")
    expect(
        "$.services.tutor-model.kind" in refused.stderr,
        "the error contains the path of the invalid value",
    )
    unchanged = system.run_operator_client("status")
    expect("bundle version 0" in unchanged.stdout, "no bundle is applied")
    applied = system.apply_bundle(build_bundle(1))
    print(f"bundle: {applied.stdout.strip()}")
    expect(applied.returncode == 0, f"the bundle is applied: {applied.stderr}")
    await system.wait_until_ready()
    status = system.run_operator_client("status")
    print(status.stdout.strip())
    index = applied.stdout.split("index ")[1].rstrip(")\n")
    in_use = status.stdout.count(f"bundle index {index}")
    expect(in_use == len(system.names), "every instance uses the bundle")


async def _stream(session: aiohttp.ClientSession, address: str) -> None:
    prompt = f"Critique my sketch of a heron. [[length={_TOKEN_COUNT}]]"
    answer = await stream_chat(session, address, CALLER_KEY, prompt)
    print(f"streamed answer: {answer.text.strip()} (complete: {answer.is_complete})")
    expected = "".join(f"t{offset} " for offset in range(_TOKEN_COUNT))
    expect(answer.text == expected, "every token is received once and in order")
    expect(answer.is_complete, "the end marker is received")


async def _book(
    session: aiohttp.ClientSession, addresses: list[str], system: LocalSystem
) -> None:
    first = await book_seat(session, addresses[0], CALLER_KEY, "booking-1", 7)
    second = await book_seat(session, addresses[1], CALLER_KEY, "booking-1", 7)
    print(f"booking: {first.document}, sent again: {second.document}")
    expect(first.status == 201, "the seat is booked")
    expect(
        second.document == first.document, "the repeated request gets the same answer"
    )
    expect(second.is_replay, "the second answer is a replay")
    url = f"http://{HOST}:{system.plain_ports[0]}/executions"
    async with session.get(url) as response:
        executions = await response.json()
    expect(executions == {"booking-1": 1}, f"one execution, not {executions}")


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the demo and return the exit code."""
    options = docopt(__doc__ or "", argv=arguments)
    with tempfile.TemporaryDirectory() as folder:
        binaries = Path(options["--bin"]).absolute()
        system = LocalSystem(Path(folder), binaries, SystemShape())
        try:
            asyncio.run(run_demo(system))
        except DemoError as error:
            print(f"demo failed: expected: {error}", file=sys.stderr)
            for log in sorted(Path(folder).glob("*.log")):
                sys.stderr.write(f"--- {log.name}\n{log.read_text()[-2000:]}\n")
            return 1
        finally:
            system.stop()
        print(f"processes left: {len(system.running)}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
