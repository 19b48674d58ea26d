"""A small deployment on loopback: the project's processes and sound stand-ins.

The daemons are started with the command of ``deploy/system.toml``; the libraries
come from ``target/deps``, which the build of the deploy file fills.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
ZONES = ("zone-a", "zone-b", "zone-c")
HOST = "a.example"
KEY = "key-1"
GRACE_SECONDS = 8.0
#: A script may run for 120 seconds; the rest is for the end of its processes.
MAX_SECONDS = 115.0
COULD_NOT_RUN = 2


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, file: Path) -> None:
        self._file = file.open("w")
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        """Write one line with the time."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


def find_free_ports(count: int, ip: str) -> list[int]:
    """Return ports that are free at an address."""
    opened = [socket.socket() for _ in range(count)]
    for item in opened:
        item.bind((ip, 0))
    ports = [item.getsockname()[1] for item in opened]
    for item in opened:
        item.close()
    return ports


class Engine:
    """An engine or a plain server; it serves one request at a time a connection.

    It drops a request when the connection closes, echoes the request's id and signs
    its answers.
    """

    def __init__(
        self, lab: Lab, name: str, service: str, zone: str, *, slots: int, work: float
    ) -> None:
        self.lab = lab
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work = work
        self.state = "ready"
        self.address = ""
        #: Request ids in the order in which the engine began to work on them.
        self.runs: list[tuple[str, float]] = []
        self._server: asyncio.Server | None = None

    def describe(self) -> dict[str, Any]:
        """Return the entry in the platform's list."""
        return {
            "identifier": self.name,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
        }

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.lab.ip(250), 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self.lab.ip(250)}:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                line, headers, body = request
                if not await self._respond(line, headers, body, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _respond(
        self,
        line: str,
        headers: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer one request; return whether the connection is kept."""
        method, path, _ = line.split(" ", 2)
        if path.startswith("/heathertack/"):
            status, document = await self.handle_call(method, path, body)
            send(writer, status, {}, json.dumps(document).encode())
            await writer.drain()
            return True
        request_id = headers.get("x-request-id", "")
        expected = headers.get("x-expected-instance", self.name)
        if expected != self.name:
            self.lab.record.write(f"{self.name}: {request_id} is refused with 421")
            send(writer, 421, {"X-Request-Id": request_id, "X-Not-Executed": "1"})
            return True
        self.runs.append((request_id, self.lab.record.now()))
        self.lab.record.write(f"{self.name}: runs {request_id} {method} {path}")
        work = asyncio.create_task(self.run(line, headers, body, writer))
        closed = asyncio.create_task(reader.read(1))
        await asyncio.wait((work, closed), return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            self.lab.record.write(f"{self.name}: drops {request_id}, caller closed")
            return False
        keep = work.result()
        closed.cancel()
        return False if not keep else not closed.done()

    async def handle_call(
        self, method: str, path: str, body: bytes
    ) -> tuple[int, dict[str, Any]]:
        """Answer a call of the engine's own interface."""
        if path.startswith("/heathertack/report"):
            return 200, {"state": self.state, "born": 1, "running": 0}
        return 404, {}

    def sign(self, headers: dict[str, str]) -> dict[str, str]:
        """Return the headers of an answer."""
        request_id = headers.get("x-request-id", "")
        return {
            "X-Request-Id": request_id,
            "X-Server-Signature": f"{self.name}.{request_id}",
        }

    async def run(
        self,
        line: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Work on a request and answer it; return whether the connection is kept."""
        await asyncio.sleep(self.work)
        request_id = headers.get("x-request-id", "")
        send(writer, 200, self.sign(headers), f"done {request_id}".encode())
        await writer.drain()
        self.lab.record.write(f"{self.name}: answered {request_id}")
        return False


def send(
    writer: asyncio.StreamWriter,
    status: int,
    headers: dict[str, str],
    body: bytes = b"",
) -> None:
    """Write a response with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer.write("\r\n".join((*lines, "", "")).encode() + body)


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes] | None:
    """Read a message with a length or in chunks; ``None`` at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    line, *fields = head.decode("latin-1")[:-4].split("\r\n")
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (field.partition(":") for field in fields)
    }
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return line, headers, body
    length = int(headers.get("content-length", "0"))
    return line, headers, await reader.readexactly(length)


class Lab:
    """Daemons, the list of engines and the operator.

    Parameters
    ----------
    record_file : Path
        File for what was sent, answered and run.
    machines : int
        Number of machines; the first three have a disk.
    """

    def __init__(self, record_file: Path, machines: int) -> None:
        self.record = Record(record_file)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.machines = tuple(range(1, machines + 1))
        self.engines: dict[str, Engine] = {}
        self._processes: dict[int, subprocess.Popen[bytes]] = {}
        self._guard = socket.socket()
        self._network = self._choose_network()
        self._ports: dict[str, int] = {}
        self._list_port = 0
        self._list_server: asyncio.Server | None = None

    def _choose_network(self) -> int:
        for number in range(20, 250):
            try:
                self._guard.bind((f"127.{number}.255.2", 7198))
            except OSError:
                continue
            self._guard.listen(0)
            return number
        raise OSError("no loopback network is free")

    def ip(self, machine: int) -> str:
        """Return the address of a machine."""
        return f"127.{self._network}.0.{machine}"

    def address(self, machine: int, listener: str) -> str:
        """Return ``ip:port`` of a listener of a machine."""
        return f"{self.ip(machine)}:{self._ports[listener]}"

    async def start(self) -> None:
        """Start the list and all daemons."""
        names = ("front", "readiness_endpoint", "control", "directory", "internal")
        ports = find_free_ports(len(names), self.ip(1))
        self._ports = dict(zip(names, ports, strict=True))
        self._list_server = await asyncio.start_server(
            self._serve_list, self.ip(251), 0
        )
        self._list_port = self._list_server.sockets[0].getsockname()[1]
        for machine in self.machines:
            self.start_machine(machine, is_first=True)

    async def add_engine(self, engine: Engine) -> None:
        """Start an engine; the list names it from now on."""
        await engine.start()
        self.engines[engine.name] = engine

    async def _serve_list(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await read_message(reader) is not None:
                entries = [e.describe() for e in self.engines.values()]
                page = json.dumps({"instances": entries, "next": None}).encode()
                send(writer, 200, {"Content-Type": "application/json"}, page)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def start_machine(self, machine: int, *, is_first: bool = False) -> None:
        """Start the process of a machine."""
        boot = self.folder / f"boot-{machine}.toml"
        boot.write_text(self._settings(machine, is_first))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["HEATHERTACK_BOOT"] = str(boot)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.folder / f"log-{machine}.txt").open("ab") as log:
            self._processes[machine] = subprocess.Popen(
                [sys.executable, "platform/run.py"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, machine: int, number: signal.Signals) -> None:
        """Send a signal to the process of a machine."""
        self.record.write(f"machine {machine} gets {number.name}")
        self._processes[machine].send_signal(number)

    def is_running(self, machine: int) -> bool:
        """Return whether the process of a machine runs."""
        return self._processes[machine].poll() is None

    def log(self, machine: int) -> str:
        """Return what the process of a machine wrote."""
        return (self.folder / f"log-{machine}.txt").read_text(errors="replace")

    async def stop(self) -> None:
        """End all processes that this lab started."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait(10)
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self._guard.close()

    async def apply(self, document: dict[str, Any], seconds: float = 25.0) -> bool:
        """Send a configuration to one daemon after the other until it is acked."""
        body = json.dumps(document).encode()
        end = time.monotonic() + seconds
        turn = 0
        while time.monotonic() < end:
            machine = self.machines[turn % len(self.machines)]
            turn += 1
            status = await self._put(machine, body)
            if status == 200:
                self.record.write(f"version {document['version']} is acked")
                return True
            await asyncio.sleep(0.2)
        return False

    async def _put(self, machine: int, body: bytes) -> int:
        head = (
            "PUT /heathertack/configuration HTTP/1.1\r\nHost: x\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await self.connect(machine, "control")
                writer.write(head.encode() + body)
                message = await read_message(reader)
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0
        return int(message[0].split(" ")[1]) if message else 0

    async def connect(
        self, machine: int, listener: str = "front"
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to a listener."""
        host, _, port = self.address(machine, listener).rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def is_ready(self, machine: int) -> bool:
        """Return whether a machine answers 200 at its readiness endpoint."""
        request = b"GET /heathertack/readiness HTTP/1.1\r\nHost: x\r\n\r\n"
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await self.connect(machine, "readiness_endpoint")
                writer.write(request)
                message = await read_message(reader)
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return message is not None and " 200 " in message[0]

    async def wait_until_ready(self, seconds: float = 25.0) -> bool:
        """Wait until all machines are ready."""
        end = time.monotonic() + seconds
        for machine in self.machines:
            while not await self.is_ready(machine):
                if time.monotonic() > end:
                    return False
                await asyncio.sleep(0.1)
        return True

    def _settings(self, machine: int, is_first: bool) -> str:
        seeds = ", ".join(f'"{self.address(m, "control")}"' for m in (1, 2, 3))
        internal = self._ports["internal"]
        names = ("front", "readiness_endpoint", "control", "directory")
        lines = [
            f'node = "front-{machine}"',
            'role = "heathertack"',
            'machine_class = "front"',
            'serves = ["front", "control", "directory"]',
            f'ip_address = "{self.ip(machine)}"',
            f'zone = "{ZONES[machine % 3]}"',
            'region = "region"',
            f"internal_ports = [{internal}, {internal}]",
            f"seeds = [{seeds}]",
            f"first_start = {str(is_first).lower()}",
            f"counts_toward_tolerance = {str(machine <= 3).lower()}",
        ]
        if machine <= 3:
            lines.append(f'data_directory = "{self.folder / f"data-{machine}"}"')
        lines += [
            'discovery = "cloud"',
            'entry = "directory"',
            'configuration_mode = "highest"',
            "[listen]",
            *(f'{name} = "{self.address(machine, name)}"' for name in names),
            "[tolerated_failures]",
            "machines = 1",
            "[bounds]",
            "stability_window_ms = 3000",
            "catch_up_s = 4",
            "drain_ms = 3000",
            f"grace_s = {int(GRACE_SECONDS)}",
            "loss_slack_ms = 200",
            "config_propagation_ms = 2000",
            "fail_closed = true",
            "revoke_ms = 5000",
            "retry_budget_ratio = 0.2",
            "budget_window_s = 10",
            "budget_slack = 64",
            "recovery_s = 12",
            "ttl_max_s = 5",
            "[cloud]",
            f'address = "{self.ip(251)}:{self._list_port}"',
            "rate_per_s = 47.0",
            "lag_ms = 800",
            "",
        ]
        return "\n".join(lines)


def build_configuration(version: int, **changed: dict[str, Any]) -> dict[str, Any]:
    """Return a configuration with routes like those of the example in PROTOCOL."""
    common = {
        "host": HOST,
        "timeout_ms": 4000,
        "target_latency_ms": 400,
        "priority": 0,
        "public": False,
        "resumable": False,
    }
    routes: dict[str, dict[str, Any]] = {
        "guide": {
            "path_prefix": "/guide/",
            "route_type": "streaming",
            "service": "models",
            "max_attempts": 1,
            "timeout_ms": 39000,
            "target_latency_ms": 1800,
            "target_gap_ms": 180,
            "sticky": True,
        },
        "classify": {
            "path_prefix": "/classify/",
            "route_type": "streaming",
            "service": "models",
            "max_attempts": 2,
            "timeout_ms": 6000,
            "target_latency_ms": 1500,
            "target_gap_ms": 180,
            "sticky": True,
            "resumable": True,
        },
        "order": {
            "path_prefix": "/order/",
            "route_type": "unsafe",
            "service": "ledger",
            "max_attempts": 1,
        },
        "lookup": {
            "path_prefix": "/lookup/",
            "route_type": "safe",
            "service": "ledger",
            "max_attempts": 2,
        },
    }
    for name, values in changed.items():
        routes[name] = {**routes.get(name, {}), **values}
    engine = {
        "slots": 64,
        "kv_cache_tokens": 34589,
        "kv_token_bytes": 18432,
        "link_mbps": 2700.0,
        "moves": True,
        "backups": True,
        "stride": 4,
        "most": 12,
        "pin_ms": 4000.0,
        "hold_ms": 2000.0,
        "handle_s": 5.0,
        "models": [{"name": "m"}],
    }
    service = {"health_path": "/health", "protocol": "h1", "tls": False}
    return {
        "version": version,
        "routes": [{**common, "name": n, **values} for n, values in routes.items()],
        "services": [
            {"name": "models", "max_connections": 462, "engine": engine, **service},
            {"name": "ledger", "max_connections": 130, **service},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "tenant-1", "api_keys": [KEY], "priority": 1}],
    }


def build_request(
    method: str, path: str, request_id: str, deadline_ms: int, **more: str
) -> bytes:
    """Return a client's request."""
    headers = {
        "Host": HOST,
        "X-Request-Id": request_id,
        "X-Request-Deadline": str(deadline_ms),
        "X-Api-Key": KEY,
        "Content-Length": "0",
        **{name.replace("_", "-"): value for name, value in more.items()},
    }
    lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in headers.items())]
    return "\r\n".join((*lines, "", "")).encode()


def main(case: Callable[[Path], Any]) -> None:
    """Run a case and exit with its result: 0 held, 1 broken, 2 could not run."""
    folder = Path(sys.argv[0]).resolve().parent
    sys.exit(asyncio.run(_run_in_time(case, folder)))


async def _run_in_time(case: Callable[[Path], Any], folder: Path) -> int:
    """Run a case within the time that a script may take."""
    try:
        async with asyncio.timeout(MAX_SECONDS):
            result: int = await case(folder)
            return result
    except Exception:
        traceback.print_exc()
        return COULD_NOT_RUN
