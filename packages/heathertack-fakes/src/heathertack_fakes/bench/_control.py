"""Cost of the control plane: commits, bundles, accounts and idle instances."""

from __future__ import annotations

import asyncio
import json
import random
import tempfile
import time
from pathlib import Path

import aiohttp

from heathertack.blackboard import Blackboard
from heathertack.consensus import Replica, ReplicaTimings
from heathertack.controllers import (
    CommandSubmitted,
    ControlLogController,
    ProposalsDue,
    ReplyToCommand,
    TimePassed,
)
from heathertack.state import ClaimCall, ControlStateMachine
from heathertack.storage import StorageIdentity, format_folder, open_storage
from heathertack_fakes import (
    CALLER_KEY,
    HOST,
    LocalSystem,
    SystemShape,
    book_seat,
    build_bundle,
    sha256_hex,
)
from heathertack_fakes.bench._figures import print_table, quantile, read_process_usage
from heathertackd import FolderDisk

_GROUP_SIZES = (1, 8, 64)
_COMMIT_SECONDS = 2.0
_IDLE_MEASUREMENT_SECONDS = 10.0
_ACCOUNT_COUNTS = (100, 12_000)
_PARALLEL_CALL_COUNTS = (1, 16, 64)
_CALLS_PER_MEASUREMENT = 400


def measure_commits() -> None:
    """Print commits per second of one replica that syncs each group to disk."""
    rows: list[list[str]] = []
    for size in _GROUP_SIZES:
        with tempfile.TemporaryDirectory() as folder:
            commits, cpu = _commit_groups(Path(folder), size)
        rows.append([str(size), f"{commits:.0f}", f"{cpu * 1e6:.0f}"])
    print("Commits of one replica, each group synced once\n")
    print_table(("commands per sync", "commits/s", "processor us per commit"), rows)


def _commit_groups(folder: Path, size: int) -> tuple[float, float]:
    disk = FolderDisk(folder)
    identity = StorageIdentity("bench", "a", "s")
    format_folder(disk, identity, initial_voters=(identity.replica,))
    opened = open_storage(disk).unwrap()
    replica = Replica(
        identity.replica, opened.durable, ReplicaTimings(), random.Random(1), 0.0
    )
    log = ControlLogController(
        Blackboard(), replica, opened.storage, ControlStateMachine(), ()
    )
    log.handle(TimePassed(0.0), 10.0)
    commits = 0
    started = time.monotonic()
    cpu = time.process_time()
    while time.monotonic() - started < _COMMIT_SECONDS:
        for _ in range(size):
            commits += 1
            key = f"key-{commits}"
            command = ClaimCall("account", key, "service", "d" * 64, key, "entry", 1)
            log.handle(CommandSubmitted(key, "", command, 0.0), 10.0)
        answers = log.handle(ProposalsDue(), 10.0)
        assert sum(isinstance(item, ReplyToCommand) for item in answers) == size
    elapsed = time.monotonic() - started
    return commits / elapsed, (time.process_time() - cpu) / commits


async def measure_calls(system: LocalSystem) -> None:
    """Print bookings per second through three instances with three replicas."""
    ports = [system.http_ports[name] for name in system.names]
    rows: list[list[str]] = []
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        for parallel in _PARALLEL_CALL_COUNTS:
            latencies: list[float] = []
            numbers = iter(range(_CALLS_PER_MEASUREMENT))

            async def send_bookings(
                latencies: list[float] = latencies,
                parallel: int = parallel,
                numbers: object = numbers,
            ) -> None:
                for number in numbers:  # type: ignore[attr-defined]
                    address = f"{HOST}:{ports[number % len(ports)]}"
                    key = f"{parallel}-{number}"
                    started = time.monotonic()
                    answer = await book_seat(session, address, CALLER_KEY, key, 1)
                    assert answer.status == 201, answer
                    latencies.append(time.monotonic() - started)

            started = time.monotonic()
            await asyncio.gather(*(send_bookings() for _ in range(parallel)))
            elapsed = time.monotonic() - started
            rows.append(
                [
                    str(parallel),
                    f"{_CALLS_PER_MEASUREMENT / elapsed:.0f}",
                    f"{quantile(latencies, 0.5) * 1000:.1f}",
                    f"{quantile(latencies, 0.99) * 1000:.1f}",
                ]
            )
    print("Bookings under a key (claim, call, outcome; three replicas)\n")
    print_table(("at a time", "bookings/s", "p50 ms", "p99 ms"), rows)


async def measure_accounts(system: LocalSystem) -> None:
    """Print memory use and distribution time of bundles with many accounts."""
    rows: list[list[str]] = []
    version = 10
    for count in _ACCOUNT_COUNTS:
        bundle = build_bundle(version)
        for number in range(count):
            bundle["accounts"][f"account-{number}"] = {
                "key_sha256": sha256_hex(str(number)),
                "share": 1.0,
                "max_in_progress": 10,
                "default_class": "note",
            }
        for label in ("all accounts", "one account changed"):
            bundle["version"] = version
            version += 1
            if label != "all accounts":
                bundle["accounts"]["account-0"]["share"] = 2.0
            before = {n: await _peer_bytes(system, n) for n in system.names}
            started = time.monotonic()
            applied = await asyncio.to_thread(system.apply_bundle, bundle)
            elapsed = time.monotonic() - started
            assert applied.returncode == 0, applied.stderr
            follower = system.names[-1]
            received = await _peer_bytes(system, follower) - before[follower]
            memory = read_process_usage(system.pid(follower)).memory
            rows.append(
                [
                    str(count),
                    label,
                    f"{len(json.dumps(bundle)) / 1024:.0f}",
                    f"{elapsed:.2f}",
                    f"{received / 1024:.1f}",
                    f"{memory / 2**20:.1f}",
                ]
            )
    print(
        "Bundles: time of the whole command (sign, apply, in force everywhere), "
        "bytes received by one instance meanwhile\n"
    )
    print_table(
        ("accounts", "change", "bundle KB", "seconds", "KB received", "memory MB"),
        rows,
    )


async def measure_idle(binaries: Path) -> None:
    """Print the control-plane cost of idle systems of several sizes."""
    rows: list[list[str]] = []
    for count in (3, 6, 12, 24):
        with tempfile.TemporaryDirectory() as folder:
            shape = SystemShape(daemons=count, control_replicas=3)
            system = LocalSystem(Path(folder), binaries, shape)
            try:
                rows += await _measure_idle_system(system)
            finally:
                system.stop()
    print("Idle control cost, entries (median) and leader\n")
    print_table(
        ("instances", "role", "core %", "KB/s received", "KB/s sent", "memory MB"),
        rows,
    )


async def _measure_idle_system(system: LocalSystem) -> list[list[str]]:
    await system.start()
    applied = await asyncio.to_thread(system.apply_bundle, build_bundle(1))
    assert applied.returncode == 0, applied.stderr
    await system.wait_until_ready()
    await asyncio.sleep(3.0)
    before = {name: await _read_usage(system, name) for name in system.names}
    await asyncio.sleep(_IDLE_MEASUREMENT_SECONDS)
    after = {name: await _read_usage(system, name) for name in system.names}
    status = await asyncio.to_thread(system.run_operator_client, "status", "--json")
    leader = json.loads(status.stdout)["leader"]
    entries = [n for n in system.names[3:] or system.names if n != leader]
    groups = {"entry": entries, "leader": [leader]}
    rows: list[list[str]] = []
    for role, names in groups.items():
        figures = [
            [
                (b - a) / _IDLE_MEASUREMENT_SECONDS
                for a, b in zip(before[n], after[n], strict=True)
            ]
            for n in names
        ]
        cpu, received, sent = (
            quantile([item[column] for item in figures], 0.5) for column in range(3)
        )
        memory = quantile(
            [float(read_process_usage(system.pid(n)).memory) for n in names], 0.5
        )
        rows.append(
            [
                str(len(system.names)),
                role,
                f"{cpu * 100:.2f}",
                f"{received / 1024:.2f}",
                f"{sent / 1024:.2f}",
                f"{memory / 2**20:.1f}",
            ]
        )
    return rows


async def _read_usage(system: LocalSystem, name: str) -> tuple[float, float, float]:
    received = await _peer_bytes(system, name)
    sent = await _peer_bytes(system, name, "sent")
    return read_process_usage(system.pid(name)).cpu, received, sent


async def _peer_bytes(
    system: LocalSystem, name: str, direction: str = "received"
) -> float:
    url = f"http://{HOST}:{system.http_ports[name]}/metrics"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        text = await response.text()
    metric = f'heathertack_peer_bytes_total{{direction="{direction}"}}'
    lines = (line for line in text.splitlines() if line.startswith(metric))
    return float(next(lines, "x 0").split()[1])
