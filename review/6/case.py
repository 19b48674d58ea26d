"""A stream that may run once loses its engine and its copy while the leader changes.

Two of twelve engines are reclaimed: one runs the stream, the other keeps the copy of its
memory. All other engines are full, so the stream waits. The leader is killed meanwhile.
"""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness-2"))
import harness  # noqa: E402

for folder in ("target/deps", "packages/heathertack/src"):
    sys.path.insert(0, str(harness.ROOT / folder))
from heathertack.policy import choose_owner  # noqa: E402

HOST = "ficu95.example"
ENTRY = 4
ENGINES = 12
SLOTS = 2
#: Events of a stream, as on the sheet.
EVENTS = 235
#: Clients abandon a stream after a gap of four times the objective of 1.8 s.
PATIENCE = 7.2
#: Time from the notice of a reclaimed engine to its end (scale_in spot), seconds.
NOTICE = 2.0
#: Time after the loss of the engine at which another one has room, seconds.
ROOM_AFTER = 6.5


def start_stream(system, answer):
    headers = {
        "X-Model": "m",
        "X-Token-Counts": f"3000,{EVENTS * harness.TOKENS_PER_EVENT}",
        "X-Prompt-Prefix": f"5c1e07a2:79,{answer.request_id[:8]}:2921",
    }
    return asyncio.create_task(
        harness.request(
            system.record, system.address(ENTRY, "front"), HOST, "POST", "/long/critique",
            body=answer.request_id.encode() * 188, headers=headers, timeout=39.0,
            patience=PATIENCE, answer=answer,
        )
    )


async def wait_for_run(system, answer):
    for _ in range(250):
        for run in system.runs:
            if run.request_id == answer.request_id:
                return run
        await asyncio.sleep(0.02)
    raise harness.CannotRun(f"{answer.request_id} was not run")


async def find_keeper(system, answer):
    for _ in range(100):
        for engine in system.engines.values():
            if answer.request_id in engine.copies:
                return engine
        await asyncio.sleep(0.02)
    raise harness.CannotRun("no engine keeps a copy of the stream")


async def play(system, has_trouble):
    record = system.record
    for number in range(ENGINES):
        await system.add_engine(f"e-{number:02}", "model", number, SLOTS)
    await system.add_engine("p-00", "portal", 0, 6)
    await system.start()
    document = harness.configuration(1, model_slots=SLOTS)
    await system.put_configuration(document)
    await system.wait_until_ready()
    await system.wait_until_serving(document)
    await asyncio.sleep(3.0)

    answer = harness.Answer()
    tasks = [start_stream(system, answer)]
    run = await wait_for_run(system, answer)
    runner = system.engines[run.engine]
    keeper = await find_keeper(system, answer)
    record("the stream", answer.request_id, "runs at", runner.name, "with its copy at", keeper.name)
    while len([r for r in system.runs if r.ended_at is None]) < ENGINES * SLOTS:
        other = harness.Answer()
        tasks.append(start_stream(system, other))
        await wait_for_run(system, other)
    reclaimed = (runner, keeper)
    for other in system.runs:
        other.must_end = other is not run and other.engine in [e.name for e in reclaimed]

    if has_trouble:
        for engine in reclaimed:
            engine.state = "draining"
            record("engine", engine.name, "is reclaimed")
        system.update_list()
        await asyncio.sleep(NOTICE)
        leader = await system.find_leader()
        if leader is None:
            raise harness.CannotRun("no machine leads")
        for engine in reclaimed:
            engine.crash()
            system.drop_from_list(engine.name)
        await asyncio.sleep(0.2)
        system.kill(leader)
        await asyncio.sleep(1.0)
        system.start_machine(leader)
        await asyncio.sleep(ROOM_AFTER - 1.2)
    free = next(r for r in system.runs if r.ended_at is None and r is not run)
    record("a run at", free.engine, "ends")
    free.must_end = True
    await asyncio.wait(tasks, timeout=45.0)

    is_broken = False
    for request_id in dict.fromkeys(r.request_id for r in system.runs):
        runs = [r for r in system.runs if r.request_id == request_id and not r.continues]
        if len(runs) > 1:
            is_broken = True
            record("TWICE:", request_id, "ran anew at", *(r.engine for r in runs))
    makers = list(dict.fromkeys(data.split(" ")[1] for _, data in answer.events))
    record("the events of", answer.request_id, "were made by the runs at", *makers)
    return int(is_broken)


def is_owned_by_entry(number):
    """Return whether the machine with the stream assigns the engines, too.

    Owners are chosen by a hash of the addresses, which are new each day. Were it the leader
    that is killed, the next owner would not know that all engines are full.
    """
    names = [f"127.{number}.0.{machine}:{harness.PEER_PORTS[0]}" for machine in range(1, 5)]
    return choose_owner("model:0", names) == names[ENTRY - 1]


harness.main(
    play,
    # Another file may be named, so that several runs don't write to the same one.
    sys.argv[1] if len(sys.argv) > 1 else "record.txt",
    has_trouble=os.environ.get("TROUBLE", "1") != "0",
    machines=4, disks=3, accepts_network=is_owned_by_entry,
)
