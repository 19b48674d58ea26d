"""Local system of real processes on loopback, for the demo and tests."""

from __future__ import annotations

import asyncio
import json
import secrets
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Sequence
from functools import cache
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import zmq

from heathertack.settings import LimitSettings
from heathertack_fakes._keys import OperatorKeys, make_operator_keys, sha256_hex

HOST = "127.0.0.1"
CALLER_KEY = "demo-caller-key"
SMALL_CALLER_KEY = "demo-small-caller-key"
_START_TIMEOUT_SECONDS = 30.0
_STOP_TIMEOUT_SECONDS = 20.0
_POLL_INTERVAL_SECONDS = 0.05
#: Below the first port of outgoing connections, 32768 by default.
_LISTENING_PORTS = range(12000, 32000)
#: Number of ports that one process of tests has for itself.
_BLOCK_SIZE = 500


class SystemShape(NamedTuple):
    """Numbers and settings of the processes of a local system."""

    daemons: int = 3
    #: Number of daemons, starting with the first, that have a data folder.
    control_replicas: int = 1
    engines: int = 1
    plain_services: int = 1
    engine_cache_tokens: int = 60_000
    engine_step_seconds: float = 0.01
    #: Duration for which callers may cache a list of addresses, seconds.
    address_ttl: float = 0.5
    #: Limits of every daemon that differ from the defaults.
    limits: LimitSettings = LimitSettings()


class StartFailedError(Exception):
    """A process of the local system did not start in time."""


def find_free_ports(count: int) -> list[int]:
    """Return ports that are currently unused.

    They are drawn at random from a block that no other process draws from, below the
    ports that the system gives to outgoing connections: another port could be taken
    between this call and the start of a process, or while a process is restarted.
    """
    block = _claim_block().ports
    found: list[int] = []
    source = secrets.SystemRandom()
    while len(found) < count:
        port = source.choice(block)
        if port not in found and _is_free(port):
            found.append(port)
    return found


class _PortBlock(NamedTuple):
    """Ports of this process; its guard keeps them until the process ends."""

    ports: range
    guard: socket.socket


@cache
def _claim_block() -> _PortBlock:
    starts = list(_LISTENING_PORTS[::_BLOCK_SIZE])
    secrets.SystemRandom().shuffle(starts)
    for start in starts:
        guard = socket.socket()
        try:
            guard.bind((HOST, start))
            guard.listen(0)
        except OSError:
            guard.close()
            continue
        return _PortBlock(range(start + 1, start + _BLOCK_SIZE), guard)
    raise StartFailedError(f"all {len(starts)} blocks of ports are in use")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


def build_bundle(version: int, **services: dict[str, Any]) -> dict[str, Any]:
    """Return a bundle for the local system, with additional services."""
    return {
        "version": version,
        "services": {
            "tutor-model": {
                "kind": "generation",
                "model": "tutor",
                "max_output_tokens": 4000,
            },
            "studio-portal": {
                "kind": "plain",
                "routes": [
                    {"method": "POST", "path": "/bookings", "idempotent": False},
                    {"method": "GET", "path": "/schedule", "idempotent": True},
                ],
            },
            **services,
        },
        "classes": {"critique": 1, "note": 2},
        "accounts": {
            "evening-school": {
                "key_sha256": sha256_hex(CALLER_KEY),
                "share": 2.0,
                "max_in_progress": 500,
                "default_class": "critique",
            },
            "small-school": {
                "key_sha256": sha256_hex(SMALL_CALLER_KEY),
                "share": 1.0,
                "max_in_progress": 2,
                "default_class": "note",
            },
        },
    }


class LocalSystem:
    """Starts and stops the daemons of one system and its fakes.

    Parameters
    ----------
    folder : Path
        Folder for settings, data and logs.
    binaries : Path
        Folder of the installed binaries.
    shape : SystemShape
        Numbers of processes.
    """

    def __init__(self, folder: Path, binaries: Path, shape: SystemShape) -> None:
        self._folder = folder
        self._binaries = binaries
        self._shape = shape
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self.names = [f"entry-{number + 1}" for number in range(shape.daemons)]
        ports = iter(
            find_free_ports(
                2 * shape.daemons + shape.engines + shape.plain_services + 2
            )
        )
        self.http_ports = {name: next(ports) for name in self.names}
        self._peer_ports = {name: next(ports) for name in self.names}
        self.engine_ports = [next(ports) for _ in range(shape.engines)]
        self.plain_ports = [next(ports) for _ in range(shape.plain_services)]
        self.platform_port = next(ports)
        self.store_port = next(ports)
        self.operator: OperatorKeys = make_operator_keys("asha")

    @property
    def folder(self) -> Path:
        """Folder for settings, data and logs."""
        return self._folder

    @property
    def key_file(self) -> Path:
        """File with the operator's secret key."""
        return self._folder / "operator.key"

    @property
    def running(self) -> tuple[str, ...]:
        """Names of the processes that are running."""
        items = self._processes.items()
        return tuple(name for name, process in items if process.poll() is None)

    def pid(self, name: str) -> int:
        """Return the process ID of a process."""
        return self._processes[name].pid

    def write_files(self) -> None:
        """Write the settings, the operator key and the platform's list of targets."""
        self._folder.mkdir(parents=True, exist_ok=True)
        self.key_file.write_text(self.operator.secret_key)
        keys = {name: zmq.curve_keypair() for name in self.names}
        for name in self.names:
            settings = self._build_settings(name, keys)
            text = f"// Settings of {name}.\n{json.dumps(settings, indent=2)}\n"
            self.settings_file(name).write_text(text)
        listed = json.dumps(self.list_targets())
        (self._folder / "platform.json").write_text(listed)

    def settings_file(self, name: str) -> Path:
        """Return the path of the settings file of a daemon."""
        return self._folder / f"{name}.jsonc"

    def data_folder(self, name: str) -> Path:
        """Return the path of the data folder of a daemon."""
        return self._folder / f"data-{name}"

    def list_targets(self) -> list[dict[str, Any]]:
        """Return the platform's list of targets, all of them live."""
        engines = [
            _describe_target(
                f"engine-{i + 1}", "tutor-model", port, self._shape.engine_cache_tokens
            )
            for i, port in enumerate(self.engine_ports)
        ]
        plain = [
            _describe_target(f"portal-{i + 1}", "studio-portal", port, 0)
            for i, port in enumerate(self.plain_ports)
        ]
        return engines + plain

    async def start(self) -> None:
        """Start every process and wait until :meth:`wait_for_http` succeeds.

        Raises
        ------
        StartFailedError
            If a process does not accept connections in time.
        """
        self.write_files()
        self.start_fake("platform", self.platform_port, "platform.json")
        self.start_fake("store", self.store_port)
        for number, port in enumerate(self.engine_ports):
            self.start_engine(number, port)
        for number, port in enumerate(self.plain_ports):
            self.start_fake("plain", port, name=f"portal-{number + 1}")
        first = self.names[0]
        self.run_binary("heathertackd", "form", str(self.settings_file(first)))
        for name in self.names:
            self.start_daemon(name)
        await self.wait_for_http()

    def start_engine(self, number: int, port: int) -> None:
        """Start a fake engine; engines are named from ``engine-1``."""
        options = [
            f"--cache={self._shape.engine_cache_tokens}",
            f"--step={self._shape.engine_step_seconds}",
            f"--store=http://{HOST}:{self.store_port}/weights",
        ]
        self.start_fake("engine", port, *options, name=f"engine-{number + 1}")

    def start_fake(self, kind: str, port: int, *options: str, name: str = "") -> None:
        """Start a fake, named after its kind by default."""
        module = [sys.executable, "-m", "heathertack_fakes.serve"]
        self._start(name or kind, [*module, kind, str(port), *options])

    def start_daemon(self, name: str) -> None:
        binary = str(self._binaries / "heathertackd")
        self._start(name, [binary, "run", str(self.settings_file(name))])

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this system started."""
        self._processes[name].send_signal(number)

    async def wait_for_exit(self, name: str, timeout: float) -> int | None:
        """Return the exit code of a process, ``None`` if it is still running."""
        deadline = time.monotonic() + timeout
        process = self._processes[name]
        while process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)
        return process.poll()

    def run_binary(
        self, binary: str, *arguments: str
    ) -> subprocess.CompletedProcess[str]:
        """Run a binary and wait until it exits."""
        command = [str(self._binaries / binary), *arguments]
        return subprocess.run(
            command, capture_output=True, text=True, timeout=60, check=False
        )

    def run_operator_client(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the operator client against the first running daemon."""
        running = [name for name in self.names if name in self.running]
        return self.run_binary(
            "heathertack",
            *arguments,
            f"--server={HOST}:{self.http_ports[running[0]]}",
            f"--operator={self.operator.name}",
            f"--key={self.key_file}",
        )

    def sign_bundle(self, bundle: dict[str, Any]) -> subprocess.CompletedProcess[str]:
        """Validate and sign a bundle with the operator client."""
        plain = self._bundle_file(bundle)
        plain.write_text(json.dumps(bundle, indent=2))
        return self.run_binary(
            "heathertack",
            "bundle",
            "sign",
            str(plain),
            f"--operator={self.operator.name}",
            f"--key={self.key_file}",
            f"--output={plain.with_suffix('.signed.json')}",
        )

    def apply_bundle(self, bundle: dict[str, Any]) -> subprocess.CompletedProcess[str]:
        """Sign and apply a bundle."""
        signed = self.sign_bundle(bundle)
        if signed.returncode:
            return signed
        output = self._bundle_file(bundle).with_suffix(".signed.json")
        return self.run_operator_client("bundle", "apply", str(output))

    def _bundle_file(self, bundle: dict[str, Any]) -> Path:
        return self._folder / f"bundle-{bundle['version']}.jsonc"

    async def wait_for_http(self) -> None:
        """Wait until the fakes and the running daemons accept connections.

        The weight store is not waited for.

        Raises
        ------
        StartFailedError
            If a process does not accept connections in time.
        """
        ports = [self.platform_port, *self.engine_ports, *self.plain_ports]
        ports += [self.http_ports[name] for name in self.names if name in self.running]
        await asyncio.gather(*(_wait_for_port(port) for port in ports))

    async def wait_until_ready(self, names: Sequence[str] | None = None) -> None:
        """Wait until daemons have a confirmed bundle.

        Raises
        ------
        StartFailedError
            If a daemon does not have a confirmed bundle in time.
        """
        async with aiohttp.ClientSession() as session:
            for name in names or self.names:
                url = f"http://{HOST}:{self.http_ports[name]}/readyz"
                await _wait_for_bundle(session, url, name)

    def stop(self) -> None:
        """Kill every process of this system, suspended ones included."""
        processes = self._processes.values()
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in processes:
            process.wait(_STOP_TIMEOUT_SECONDS)

    def _start(self, name: str, command: list[str]) -> None:
        log = (self._folder / f"{name}.log").open("ab")
        self._processes[name] = subprocess.Popen(
            command, cwd=self._folder, stdout=log, stderr=log
        )
        log.close()

    def _build_settings(
        self, name: str, keys: dict[str, tuple[bytes, bytes]]
    ) -> dict[str, Any]:
        settings: dict[str, Any] = {
            "instance": name,
            "cluster": "demo",
            "failure_domain": self._failure_domain(name),
            "http": {"host": HOST, "port": self.http_ports[name]},
            "peer": {"host": HOST, "port": self._peer_ports[name]},
            "secret_key": keys[name][1].decode(),
            "operator_keys": {self.operator.name: self.operator.public_key},
            "platform_url": f"http://{HOST}:{self.platform_port}/instances",
            "address_ttl": self._shape.address_ttl,
            "limits": self._shape.limits,
            "peers": [
                {
                    "instance": peer,
                    "http": {"host": HOST, "port": self.http_ports[peer]},
                    "peer": {"host": HOST, "port": self._peer_ports[peer]},
                    "failure_domain": self._failure_domain(peer),
                    "public_key": keys[peer][0].decode(),
                    "control": self._has_data_folder(peer),
                }
                for peer in self.names
                if peer != name
            ],
        }
        if self._has_data_folder(name):
            settings["data_folder"] = str(self.data_folder(name))
        return settings

    def _has_data_folder(self, name: str) -> bool:
        return self.names.index(name) < self._shape.control_replicas

    def _failure_domain(self, name: str) -> str:
        return f"nairobi-{'abc'[self.names.index(name) % 3]}"


def _describe_target(name: str, service: str, port: int, cache: int) -> dict[str, Any]:
    return {
        "name": name,
        "service": service,
        "address": f"{HOST}:{port}",
        "failure_domain": "nairobi-a",
        "state": "live",
        "cache_tokens": cache,
    }


async def _wait_for_port(port: int) -> None:
    deadline = time.monotonic() + _START_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        try:
            _, writer = await asyncio.open_connection(HOST, port)
            writer.close()
            return
        except OSError:
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)
    raise StartFailedError(f"no process accepted connections on port {port} in time")


async def _wait_for_bundle(session: aiohttp.ClientSession, url: str, name: str) -> None:
    deadline = time.monotonic() + _START_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        try:
            async with session.get(url) as response:
                if response.status == 200:
                    return
        except aiohttp.ClientError:
            pass
        await asyncio.sleep(_POLL_INTERVAL_SECONDS)
    raise StartFailedError(f"{name} did not have a confirmed bundle in time")
