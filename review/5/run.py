"""All processes are killed at once; clients take up the streams that broke."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
from pathlib import Path
from typing import NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import lab

#: With ``TROUBLE=0`` the script does the same without the disruption.
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
RECORD_FILE = "record.txt"

MACHINES = 5
CLIENTS = 40
ROUNDS = 3
#: Length and interval of the streams; the site file gives at most 18.2 pieces.
EVENTS = 18
EVENT_SECONDS = 0.15
#: Time budget and time-out of resumable streams on the sheet.
BUDGET_SECONDS = 6.0
STABILITY_SECONDS = 3.0
DOWN_SECONDS = 0.5
MIN_TAKEN_UP = 12
#: Pause before the next attempt; clients honour ``Retry-After`` up to a third of the
#: time that they have left.
RETRY_SECONDS = 0.2
MAX_RETRY_SHARE = 1 / 3


class Model(lab.Engine):
    """An engine that streams the events after the last one that the caller has."""

    async def run(
        self,
        line: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Stream numbered events in chunks."""
        first = int(headers.get("last-event-id", "0")) + 1
        fields = {**self.sign(headers), "Content-Type": "text/event-stream"}
        lines = ["HTTP/1.1 200 X", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join((*lines, "", "")).encode())
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_SECONDS)
            event = f"id: {number}\ndata: {self.name}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return False


class Attempt(NamedTuple):
    """One attempt of a client."""

    request_id: str
    #: Id of the attempt that brought the first event; empty for a new stream.
    resumes: str
    machine: int
    sent_at: float
    status: int
    #: Number of the last event that the client has.
    last_event: int
    is_complete: bool
    #: ``Retry-After`` in seconds; 0 without one.
    retry_after: float


async def send_stream(
    system: lab.Lab, request_id: str, machine: int, left: float, begun: Attempt | None
) -> Attempt:
    """Request a stream, or take one up, and read it to its end."""
    sent_at = system.record.now()
    resumes = (begun.resumes or begun.request_id) if begun is not None else ""
    last_event = begun.last_event if begun is not None else 0
    status, is_complete, retry_after = 0, False, 0.0
    more = {"Last-Event-Id": str(last_event), "Resumes": resumes} if resumes else {}
    try:
        async with asyncio.timeout(left):
            reader, writer = await system.connect(machine)
            writer.write(
                lab.build_request(
                    "POST",
                    "/classify/1",
                    request_id,
                    int(left * 1000),
                    X_Model="m",
                    X_Token_Counts=f"200,{4 * EVENTS}",
                    X_Prompt_Prefix="a:100,b:100",
                    **more,
                )
            )
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ")[1])
            for line in head.decode("latin-1").split("\r\n"):
                if line.lower().startswith("retry-after:"):
                    retry_after = float(line.partition(":")[2])
            while status == 200 and not is_complete:
                size = int(await reader.readuntil(b"\r\n"), 16)
                chunk = await reader.readexactly(size + 2)
                is_complete = not size
                for part in chunk.split(b"\n"):
                    if part.startswith(b"id: "):
                        last_event = int(part[4:])
            writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    result = Attempt(
        request_id,
        resumes,
        machine,
        sent_at,
        status,
        last_event,
        is_complete,
        retry_after,
    )
    system.record.write(
        f"client: {request_id} at machine {machine}, sent at {sent_at:.3f}, "
        f"resumes {resumes or 'nothing'}: {status}, last event {last_event}, "
        f"{'complete' if is_complete else 'not complete'}"
    )
    return result


async def use_stream(
    system: lab.Lab, name: str, source: random.Random
) -> list[Attempt]:
    """Request a stream and take it up until it is complete or the time is over."""
    attempts: list[Attempt] = []
    begun: Attempt | None = None
    end = system.record.now() + BUDGET_SECONDS
    while (left := end - system.record.now()) > 0.1:
        machine = source.choice(system.machines)
        request_id = f"{name}-{len(attempts)}"
        attempt = await send_stream(system, request_id, machine, left, begun)
        attempts.append(attempt)
        if attempt.is_complete:
            break
        if attempt.last_event:
            begun = attempt
        longest = max(end - system.record.now(), 0.0) * MAX_RETRY_SHARE
        await asyncio.sleep(max(min(attempt.retry_after, longest), RETRY_SECONDS))
    return attempts


async def play_round(system: lab.Lab, turn: int) -> list[tuple[float, list[Attempt]]]:
    """Start streams, kill all processes, and start others when they are back."""
    source = random.Random(turn)
    tasks = [
        asyncio.create_task(use_stream(system, f"r{turn}c{number}", source))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(6 * EVENT_SECONDS)
    if IS_TROUBLED:
        for machine in system.machines:
            system.signal(machine, signal.SIGKILL)
        await asyncio.sleep(DOWN_SECONDS)
        for machine in system.machines:
            system.start_machine(machine)
        system.record.write("all processes are started again")
    in_touch_from = system.record.now() + STABILITY_SECONDS
    await asyncio.sleep(STABILITY_SECONDS)
    tasks += [
        asyncio.create_task(use_stream(system, f"r{turn}n{number}", source))
        for number in range(CLIENTS)
    ]
    results = await asyncio.gather(*tasks)
    await asyncio.sleep(3.0)
    return [(in_touch_from, attempts) for attempts in results]


async def run(folder: Path) -> int:
    """Run the case and return the exit code."""
    system = lab.Lab(folder / RECORD_FILE, MACHINES)
    try:
        await system.start()
        for number, zone in enumerate(lab.ZONES):
            await system.add_engine(
                Model(system, f"i-m{number}", "models", zone, slots=64, work=0.0)
            )
            await system.add_engine(
                lab.Engine(system, f"i-l{number}", "ledger", zone, slots=6, work=0.06)
            )
        document = lab.build_configuration(1)
        if not await system.apply(document) or not await system.wait_until_ready():
            return 2
        await asyncio.sleep(1.0)
        results: list[tuple[float, list[Attempt]]] = []
        for turn in range(ROUNDS):
            results += await play_round(system, turn)
        return judge(system, results)
    finally:
        await system.stop()


def judge(system: lab.Lab, results: list[tuple[float, list[Attempt]]]) -> int:
    """Return 1 if LOST is broken: streams taken up go on too seldom."""
    taken_up = gone_on = new = begun = 0
    for in_touch_from, attempts in results:
        resumed = [a for a in attempts if a.resumes and a.sent_at >= in_touch_from]
        if resumed:
            taken_up += 1
            gone_on += any(a.status == 200 for a in resumed)
        elif attempts[0].sent_at >= in_touch_from:
            new += 1
            begun += any(a.status == 200 for a in attempts)
    system.record.write(
        f"at machines in touch: {taken_up} streams taken up, {gone_on} went on; "
        f"{new} new streams, {begun} began"
    )
    if not new or begun < new // 2:
        return 2
    if taken_up < MIN_TAKEN_UP:
        return 2 if IS_TROUBLED else 0
    return 1 if gone_on / taken_up < 0.5 * begun / new else 0


lab.main(run)
