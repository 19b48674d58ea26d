"""A front machine gets SIGTERM while clients keep using their open connections."""

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

MACHINE = 4
CLIENTS = 32
#: The sheets give 90 ms of work; the site files a mean of 60 ms with a spread of 0.5
#: and a maximum of 450 ms.
MEAN_WORK_SECONDS = 0.09
MAX_WORK_SECONDS = 0.45
TRAFFIC_SECONDS = 14.0
TERM_AT_SECONDS = 3.0
#: LOST does not count requests sent up to this time after SIGTERM at which the
#: engine was still at work in the last sixth of the grace period.
EXCUSED_SECONDS = 3.0


class Ledger(lab.Engine):
    """A plain server whose work varies like that of the sheets."""

    source = random.Random(1)

    async def run(
        self,
        line: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Work on a request for a time that varies, and answer it."""
        drawn = MEAN_WORK_SECONDS * self.source.lognormvariate(-0.125, 0.5)
        self.work = min(drawn, MAX_WORK_SECONDS)
        return await super().run(line, headers, body, writer)


class Sent(NamedTuple):
    """One request of a client."""

    request_id: str
    sent_at: float
    ended_at: float
    #: Status, or 0 where the connection ended without a complete answer.
    status: int


async def send_orders(system: lab.Lab, number: int, until: float) -> list[Sent]:
    """Send orders on one open connection until the process closes it."""
    source = random.Random(number)
    sent: list[Sent] = []
    try:
        reader, writer = await system.connect(MACHINE)
    except OSError:
        return sent
    count = 0
    while system.record.now() < until:
        count += 1
        request_id = f"c{number}-{count}"
        sent_at = system.record.now()
        status = 0
        close = False
        try:
            writer.write(lab.build_request("POST", "/order/1", request_id, 4000))
            async with asyncio.timeout(5.0):
                message = await lab.read_message(reader)
            if message is not None:
                status = int(message[0].split(" ")[1])
                close = message[1].get("connection", "").lower() == "close"
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        result = Sent(request_id, sent_at, system.record.now(), status)
        system.record.write(f"client: {request_id} sent at {sent_at:.3f}: {status}")
        sent.append(result)
        if not status or close:
            break
        await asyncio.sleep(source.uniform(0.0, 0.04))
    writer.close()
    return sent


async def run(folder: Path) -> int:
    """Run the case and return the exit code."""
    system = lab.Lab(folder / RECORD_FILE, 5)
    try:
        await system.start()
        for number, zone in enumerate(lab.ZONES):
            await system.add_engine(
                Ledger(system, f"i-l{number}", "ledger", zone, slots=12, work=0.0)
            )
            await system.add_engine(
                lab.Engine(system, f"i-m{number}", "models", zone, slots=64, work=0.1)
            )
        if not await system.apply(lab.build_configuration(1)):
            return 2
        if not await system.wait_until_ready():
            return 2
        await asyncio.sleep(1.0)
        start = system.record.now()
        clients = [
            asyncio.create_task(send_orders(system, number, start + TRAFFIC_SECONDS))
            for number in range(CLIENTS)
        ]
        await asyncio.sleep(TERM_AT_SECONDS)
        term_at = system.record.now()
        if IS_TROUBLED:
            system.signal(MACHINE, signal.SIGTERM)
        sent = [item for part in await asyncio.gather(*clients) for item in part]
        return judge(system, sent, term_at)
    finally:
        await system.stop()


def judge(system: lab.Lab, sent: list[Sent], term_at: float) -> int:
    """Return 1 if LOST is broken."""
    runs = {run for engine in system.engines.values() for run, _ in engine.runs}
    served = sum(item.status == 200 for item in sent)
    lost = [
        item
        for item in sent
        if not item.status
        and item.request_id in runs
        and item.sent_at > term_at + EXCUSED_SECONDS
        and item.ended_at <= term_at + lab.GRACE_SECONDS + 1.0
    ]
    for item in lost:
        after = item.sent_at - term_at
        system.record.write(
            f"LOST: {item.request_id} was sent {after:.3f} s after SIGTERM, ran, and "
            f"its connection ended {item.ended_at - item.sent_at:.3f} s later"
        )
    system.record.write(f"sent {len(sent)}, served {served}, lost {len(lost)}")
    if served < CLIENTS:
        return 2
    return 1 if lost else 0


lab.main(run)
