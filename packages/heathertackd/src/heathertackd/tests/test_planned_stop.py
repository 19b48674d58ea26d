"""Planned stops of real processes whose callers keep using their connections."""

import asyncio
import signal
from typing import Any

import aiohttp
import pytest

from heathertack_fakes import CALLER_KEY, HOST, LocalSystem, SystemShape, stream_chat
from heathertackd.tests.conftest import SystemStarter

LEAVING = "entry-3"
EXIT_TIMEOUT_SECONDS = 20.0
CALLERS = 4


def leaving_url(system: LocalSystem) -> str:
    return f"{HOST}:{system.http_ports[LEAVING]}"


async def read_connection_header(
    session: aiohttp.ClientSession, url: str, document: dict[str, Any]
) -> str:
    headers = {"Authorization": f"Bearer {CALLER_KEY}"}
    async with session.post(url, json=document, headers=headers) as response:
        await response.read()
        return response.headers.get("Connection", "")


class TestOpenConnections:
    @pytest.mark.parametrize(
        ("path", "document"),
        [
            pytest.param(
                "/v1/chat/completions",
                {
                    "model": "tutor-model",
                    "messages": [{"role": "user", "content": "[[length=5]]"}],
                    "stream": True,
                },
                id="stream",
            ),
            pytest.param("/v1/chat/completions", {}, id="refusal"),
            pytest.param("/v1/services/studio-portal/bookings", {"seat": 1}, id="call"),
        ],
    )
    def test_answers_of_a_leaving_instance_close_them(
        self, start_system: SystemStarter, path: str, document: dict[str, Any]
    ) -> None:
        system = start_system(SystemShape())
        url = f"http://{leaving_url(system)}{path}"

        async def scenario() -> None:
            async with aiohttp.ClientSession() as session:
                before = await read_connection_header(session, url, document)
                system.send_signal(LEAVING, signal.SIGTERM)
                await asyncio.sleep(0.3)
                after = await read_connection_header(session, url, document)
                assert (before.lower(), after.lower()) == ("", "close")

        asyncio.run(scenario())

    # Guards against a process that never leaves, since callers always have a request
    # open when it looks, and is killed with these requests (LOST).
    def test_process_leaves_although_callers_never_pause(
        self, start_system: SystemStarter
    ) -> None:
        system = start_system(SystemShape())
        address = leaving_url(system)
        refused: list[str] = []
        broken: list[str] = []

        async def use() -> None:
            async with aiohttp.ClientSession() as session:
                while True:
                    try:
                        answer = await stream_chat(
                            session, address, CALLER_KEY, "[[length=5]]"
                        )
                    except aiohttp.ClientError:
                        return
                    if answer.status != 200:
                        refused.append(str(answer.error.get("execution")))
                    elif not answer.is_complete:
                        broken.append(str(answer))

        async def scenario() -> int | None:
            users = [asyncio.create_task(use()) for _ in range(CALLERS)]
            await asyncio.sleep(0.5)
            system.send_signal(LEAVING, signal.SIGTERM)
            code = await system.wait_for_exit(LEAVING, EXIT_TIMEOUT_SECONDS)
            await asyncio.gather(*users)
            return code

        assert asyncio.run(scenario()) == 0
        assert broken == []
        assert set(refused) <= {"not_run"}
