"""Checks that a restarted replica continues to receive messages of its peers."""

import asyncio
import json
import signal

import aiohttp

from heathertack_fakes import HOST, LocalSystem, SystemShape
from heathertackd.tests.conftest import SystemStarter

EXIT_TIMEOUT_SECONDS = 30.0
#: Longer than a lease, so that a lease from before the check has expired at its end.
CHECK_SECONDS = 5.0


async def count_ready(system: LocalSystem, name: str) -> tuple[int, int]:
    """Return the number of passed readiness checks and the number of all checks."""
    url = f"http://{HOST}:{system.http_ports[name]}/readyz"
    statuses: list[int] = []
    async with aiohttp.ClientSession() as session:
        for _ in range(int(CHECK_SECONDS / 0.5)):
            async with session.get(url) as response:
                statuses.append(response.status)
            await asyncio.sleep(0.5)
    return statuses.count(200), len(statuses)


class TestRestartedReplica:
    # Guards against an instance that stops receiving after a peer closed a connection
    # while a message of it was being read.
    def test_keeps_its_lease(self, start_system: SystemStarter) -> None:
        system = start_system(SystemShape(control_replicas=3))
        asyncio.run(asyncio.sleep(2.0))
        leader = json.loads(system.run_operator_client("status", "--json").stdout)[
            "leader"
        ]
        restarted = next(name for name in system.names if name != leader)
        system.send_signal(restarted, signal.SIGTERM)
        code = asyncio.run(system.wait_for_exit(restarted, EXIT_TIMEOUT_SECONDS))
        assert code == 0
        system.start_daemon(restarted)
        asyncio.run(system.wait_for_http())
        asyncio.run(system.wait_until_ready())
        passed, total = asyncio.run(count_ready(system, restarted))
        assert passed == total
