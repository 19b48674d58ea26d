"""Servers break off streams that may be resumed; the route allows one engine."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import lab  # noqa: E402

MACHINES = 5
CLIENTS = 20
TRAFFIC_SECONDS = 45.0
EVENTS = 5
EVENT_SECONDS = 0.03
#: Largest dose of ``garble`` in the site file: 0.03 of the answers of 0.6 of the
#: servers; the others stay sound.
BREAK_SHARE = 0.03
FAULTY_ENGINES = 2
MAX_ATTEMPTS = 1
#: BUDGET: more than three requests.
ALLOWED_REQUESTS = 3


class Model(lab.Engine):
    """An engine that may break off a stream between two events."""

    breaks = False
    source = random.Random(1)

    async def run(
        self,
        line: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Stream the events after the last one that the caller has."""
        request_id = headers.get("x-request-id", "")
        first = int(headers.get("last-event-id", "0")) + 1
        end = EVENTS + 1
        if self.breaks and self.source.random() < BREAK_SHARE:
            end = self.source.randint(first + 1, EVENTS)
        fields = {**self.sign(headers), "Content-Type": "text/event-stream"}
        lines = ["HTTP/1.1 200 X", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join((*lines, "", "")).encode())
        for number in range(first, end):
            await asyncio.sleep(EVENT_SECONDS)
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        if end <= EVENTS:
            self.lab.record.write(f"{self.name}: breaks off {request_id} at {end}")
            return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return False


async def send_streams(system: lab.Lab, number: int, until: float) -> int:
    """Request streams one after the other; return how many were complete."""
    complete = 0
    sent = 0
    source = random.Random(number)
    while system.record.now() < until:
        sent += 1
        request_id = f"c{number}-{sent}"
        try:
            async with asyncio.timeout(7.0):
                reader, writer = await system.connect(source.choice(system.machines))
                writer.write(
                    lab.build_request(
                        "POST",
                        "/classify/1",
                        request_id,
                        6000,
                        X_Model="m",
                        X_Token_Counts=f"200,{4 * EVENTS}",
                        X_Prompt_Prefix=f"{sent:x}:100,{number:x}{sent:x}:100",
                    )
                )
                message = await lab.read_message(reader)
                writer.close()
            is_served = message is not None and " 200 " in message[0]
            complete += is_served
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            is_served = False
        if not is_served:
            system.record.write(f"client: {request_id} is not complete")
        await asyncio.sleep(0.05)
    return complete


async def run(folder: Path) -> int:
    """Run the case and return the exit code."""
    system = lab.Lab(folder, MACHINES)
    try:
        await system.start()
        for number in range(3):
            zone = lab.ZONES[number]
            engine = Model(system, f"i-m{number}", "models", zone, 64, 0.0)
            engine.breaks = lab.is_troubled() and number < FAULTY_ENGINES
            await system.add_engine(engine)
            await system.add_engine(
                lab.Engine(system, f"i-l{number}", "ledger", zone, 6, 0.06)
            )
        document = lab.build_configuration(1, classify={"max_attempts": MAX_ATTEMPTS})
        if not await system.apply(document) or not await system.wait_until_ready():
            return 2
        until = system.record.now() + TRAFFIC_SECONDS
        served = sum(
            await asyncio.gather(
                *(send_streams(system, number, until) for number in range(CLIENTS))
            )
        )
        return judge(system, served)
    finally:
        await system.stop()


def judge(system: lab.Lab, served: int) -> int:
    """Return 1 if BUDGET is broken."""
    engines: dict[str, set[str]] = {}
    for engine in system.engines.values():
        for request_id, _ in engine.runs:
            engines.setdefault(request_id, set()).add(engine.name)
    over = {i: names for i, names in engines.items() if len(names) > MAX_ATTEMPTS}
    for request_id, names in over.items():
        system.record.write(f"BUDGET: {request_id} ran on {', '.join(sorted(names))}")
    system.record.write(
        f"requests {len(engines)}, complete {served}, on more than {MAX_ATTEMPTS} "
        f"engines {len(over)}, allowed {ALLOWED_REQUESTS}"
    )
    if served < len(engines) // 2:
        return 2
    return 1 if len(over) > ALLOWED_REQUESTS else 0


lab.main(run)
