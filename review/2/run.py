"""A server joins while a front machine stands still; then the leader stands still.

The machine that wakes up is assigned the new server, which it does not know yet.
"""

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

MACHINES = 7
#: Machines that freeze in turn: one of them may itself assign the servers.
FROZEN = (4, 5, 6, 7)
ROUNDS = 6
#: Largest length of ``node_freeze`` in the site file.
FREEZE_SECONDS = 6.6
#: Length of ``node_freeze`` on a machine of the core in the site file.
LEADER_FREEZE_SECONDS = 4.0
#: Time at which the new server starts, from the start of the freeze.
JOIN_SECONDS = 3.6
#: Orders that clients send to the machine, from shortly before it wakes up.
ORDERS = 64
ORDER_INTERVAL_SECONDS = 0.02
#: Clients of the other machines, each with one order at a time.
OTHER_CLIENTS = 16
OTHER_PAUSE_SECONDS = 0.05
DEADLINE_MS = 4000
#: What is left of the time budget at the last attempt of a client.
LAST_ATTEMPT_MS = (100, 240)
#: Time-out of the route for orders in the site file.
TIMEOUT_MS = 2000
#: Mean work of an order in the site file.
WORK_SECONDS = 0.06
REST_SECONDS = 4.0


class Answer(NamedTuple):
    """What a client got for one attempt."""

    request_id: str
    status: int


async def send_order(
    system: lab.Lab, request_id: str, machine: int, deadline_ms: int = DEADLINE_MS
) -> Answer:
    """Send one order on a new connection."""
    sent_at = system.record.now()
    status = 0
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000 + 1.0):
            reader, writer = await system.connect(machine)
            writer.write(lab.build_request("POST", "/order/1", request_id, deadline_ms))
            message = await lab.read_message(reader)
            writer.close()
        if message is not None:
            status = int(message[0].split(" ")[1])
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    if status != 200 or request_id.startswith("r"):
        system.record.write(
            f"client: {request_id} sent at {sent_at:.3f} with {deadline_ms} ms "
            f"gets {status}"
        )
    return Answer(request_id, status)


async def send_orders(system: lab.Lab, turn: int, machine: int) -> list[Answer]:
    """Send the orders of one round at short intervals."""
    source = random.Random(turn)
    tasks = []
    for number in range(ORDERS):
        deadline_ms = source.randint(*LAST_ATTEMPT_MS)
        order = send_order(system, f"r{turn}-{number}", machine, deadline_ms)
        tasks.append(asyncio.create_task(order))
        await asyncio.sleep(ORDER_INTERVAL_SECONDS)
    return list(await asyncio.gather(*tasks))


async def use_other_machines(
    system: lab.Lab, number: int, still: set[int]
) -> list[Answer]:
    """Send orders to the machines that do not stand still, until cancelled."""
    answers: list[Answer] = []
    try:
        while True:
            machines = [m for m in system.machines if m not in still]
            machine = machines[(number + len(answers)) % len(machines)]
            request_id = f"o{number}-{len(answers)}"
            answers.append(await send_order(system, request_id, machine))
            await asyncio.sleep(OTHER_PAUSE_SECONDS)
    except asyncio.CancelledError:
        return answers


async def find_leader(system: lab.Lab) -> int:
    """Return the machine that answers a read of the configuration; 0 for none."""
    request = b"GET /heathertack/configuration HTTP/1.1\r\nHost: x\r\n\r\n"
    for machine in (1, 2, 3) * 10:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await system.connect(machine, "control")
                writer.write(request)
                message = await lab.read_message(reader)
                writer.close()
            if message is not None and " 200 " in message[0]:
                return machine
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.1)
    return 0


async def freeze(system: lab.Lab, machine: int, seconds: float) -> None:
    """Let a machine stand still for a time."""
    system.signal(machine, signal.SIGSTOP)
    await asyncio.sleep(seconds)
    system.signal(machine, signal.SIGCONT)


async def disturb(system: lab.Lab, turn: int, machine: int, still: set[int]) -> None:
    """Freeze the machine, let a server join, and freeze the leader."""
    still.add(machine)
    frozen = asyncio.create_task(freeze(system, machine, FREEZE_SECONDS))
    await asyncio.sleep(JOIN_SECONDS)
    zone = lab.ZONES[turn % 3]
    new = lab.Engine(system, f"i-n{turn}", "ledger", zone, slots=6, work=WORK_SECONDS)
    await system.add_engine(new)
    system.record.write(f"{new.name} joins")
    await asyncio.sleep(FREEZE_SECONDS - JOIN_SECONDS - 0.3)
    leader = await find_leader(system)
    if leader:
        still.add(leader)
        await freeze(system, leader, LEADER_FREEZE_SECONDS)
    await frozen
    still.clear()


async def play_round(system: lab.Lab, turn: int, still: set[int]) -> list[Answer]:
    """Disturb the system and send orders around the time of the wake-up."""
    machine = FROZEN[turn % len(FROZEN)]
    tasks: list[asyncio.Task[None]] = []
    if IS_TROUBLED:
        tasks.append(asyncio.create_task(disturb(system, turn, machine, still)))
    await asyncio.sleep(FREEZE_SECONDS - 0.4)
    answers = await send_orders(system, turn, machine)
    await asyncio.gather(*tasks)
    await asyncio.sleep(REST_SECONDS)
    return answers


async def run(folder: Path) -> int:
    """Run the case and return the exit code."""
    system = lab.Lab(folder / RECORD_FILE, MACHINES)
    answers: list[Answer] = []
    try:
        await system.start()
        for number, zone in enumerate(lab.ZONES):
            await system.add_engine(
                lab.Engine(
                    system, f"i-l{number}", "ledger", zone, slots=6, work=WORK_SECONDS
                )
            )
            await system.add_engine(
                lab.Engine(system, f"i-m{number}", "models", zone, slots=64, work=0.1)
            )
        order = {"timeout_ms": TIMEOUT_MS, "public": True}
        document = lab.build_configuration(1, order=order)
        if not await system.apply(document) or not await system.wait_until_ready():
            return 2
        await asyncio.sleep(1.0)
        still: set[int] = set()
        others = [
            asyncio.create_task(use_other_machines(system, number, still))
            for number in range(OTHER_CLIENTS)
        ]
        for turn in range(ROUNDS):
            answers += await play_round(system, turn, still)
        for task in others:
            task.cancel()
        for part in await asyncio.gather(*others):
            answers += part
        return judge(system, answers)
    finally:
        await system.stop()


def judge(system: lab.Lab, answers: list[Answer]) -> int:
    """Return 1 if REFUSED is broken."""
    runs: dict[str, str] = {}
    for engine in system.engines.values():
        runs.update((request_id, engine.name) for request_id, _ in engine.runs)
    refused = [a for a in answers if a.status in (408, 421, 429, 503)]
    broken = [a for a in refused if a.request_id in runs]
    for answer in broken:
        system.record.write(
            f"REFUSED: {answer.request_id} was answered {answer.status}, "
            f"and {runs[answer.request_id]} ran it"
        )
    served = sum(answer.status == 200 for answer in answers)
    system.record.write(
        f"sent {len(answers)}, served {served}, refused {len(refused)}, "
        f"of these run {len(broken)}"
    )
    if served < len(answers) // 4:
        return 2
    return 1 if broken else 0


lab.main(run)
