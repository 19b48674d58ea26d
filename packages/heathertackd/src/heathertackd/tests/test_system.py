"""Tests of faults on real processes; other tests cover them in virtual time."""

import asyncio
import json
import shutil
import signal
import socket
from typing import Any, ClassVar

import aiohttp
import pytest

from heathertack.bundle import parse_bundle
from heathertack.settings import LimitSettings
from heathertack.signatures import sign_bundle, sign_text
from heathertack_cli import Operator, send_request
from heathertack_fakes import (
    CALLER_KEY,
    HOST,
    SMALL_CALLER_KEY,
    LocalSystem,
    SystemShape,
    book_seat,
    build_bundle,
    fetch_addresses,
    stream_chat,
)
from heathertackd.tests.conftest import SystemStarter

WAIT_TIMEOUT_SECONDS = 30.0


def entry_address(system: LocalSystem, number: int = 0) -> str:
    return f"{HOST}:{system.http_ports[system.names[number]]}"


def expected_text(length: int) -> str:
    return "".join(f"t{offset} " for offset in range(length))


async def fetch(session: aiohttp.ClientSession, port: int, path: str) -> Any:
    async with session.get(f"http://{HOST}:{port}{path}") as response:
        return await response.json()


async def send(
    session: aiohttp.ClientSession, port: int, path: str, document: object
) -> None:
    method = "PUT" if path == "/instances" else "POST"
    url = f"http://{HOST}:{port}{path}"
    async with session.request(method, url, json=document) as response:
        assert response.status == 200


async def wait_for_engine(
    session: aiohttp.ClientSession, system: LocalSystem, caller: asyncio.Task[Any]
) -> int:
    """Wait for the only generation to start; return the number of its engine.

    Fails at once with the error of the caller if that has ended before.
    """
    for _ in range(int(WAIT_TIMEOUT_SECONDS / 0.05)):
        for number, port in enumerate(system.engine_ports):
            if (await fetch(session, port, "/seen"))["generations"]:
                return number
        if caller.done():
            raise AssertionError(f"the caller has ended: {caller.result()!r}")
        await asyncio.sleep(0.05)
    raise AssertionError("no engine received the generation")


async def wait_for_status(
    session: aiohttp.ClientSession, url: str, headers: dict[str, str], status: int
) -> None:
    """Repeat a request until its response has the status."""
    async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
        while True:
            async with session.get(url, headers=headers) as got:
                if got.status == status:
                    return
            await asyncio.sleep(0.1)


def find_leader(system: LocalSystem) -> str:
    for _ in range(200):
        status = system.run_operator_client("status", "--json")
        if status.returncode == 0:
            document = json.loads(status.stdout)
            if document["leader"] in system.running and document["lease_is_valid"]:
                leader: str = document["leader"]
                return leader
    raise AssertionError("no leader")


class TestStreams:
    @pytest.mark.parametrize(
        "faults",
        [{"mixes_events": True}, {"omits_every": 3}, {"stalls_streams": True}],
        ids=["crossed and repeated", "missing", "stalled"],
    )
    def test_every_token_once_and_in_order(
        self, start_system: SystemStarter, faults: dict[str, Any]
    ) -> None:
        system = start_system(SystemShape(daemons=1))

        async def scenario() -> None:
            async with aiohttp.ClientSession() as session:
                (port,) = system.engine_ports
                await send(session, port, "/faults", faults)
                prompt = "[[length=30]]"
                address = entry_address(system)
                task = asyncio.create_task(
                    stream_chat(session, address, CALLER_KEY, prompt)
                )
                await asyncio.sleep(1.5 if "stalls_streams" in faults else 0.0)
                await send(session, port, "/faults", {})
                answer = await task
            assert answer.text == expected_text(30)
            assert answer.is_complete

        asyncio.run(scenario())

    @pytest.mark.parametrize("stream", [True, False])
    def test_engine_killed_before_the_first_token(
        self, start_system: SystemStarter, stream: bool
    ) -> None:
        system = start_system(
            SystemShape(daemons=1, engines=2, engine_step_seconds=0.7)
        )

        async def scenario() -> None:
            async with aiohttp.ClientSession() as session:
                body = {
                    "model": "tutor-model",
                    "prompt": "[[length=2]]",
                    "stream": stream,
                }
                headers = {"Authorization": f"Bearer {CALLER_KEY}"}
                url = f"http://{entry_address(system)}/v1/completions"

                async def ask() -> str:
                    async with session.post(url, json=body, headers=headers) as answer:
                        assert answer.status == 200
                        return await answer.text()

                task = asyncio.create_task(ask())
                number = await wait_for_engine(session, system, task)
                system.send_signal(f"engine-{number + 1}", signal.SIGKILL)
                text = await task
                assert "t0 " in text
                assert "t1 " in text
                assert text.count("t0 ") == 1

        asyncio.run(scenario())

    def test_engine_killed_after_a_token(self, start_system: SystemStarter) -> None:
        system = start_system(
            SystemShape(daemons=1, engines=2, engine_step_seconds=0.05)
        )

        async def scenario() -> None:
            async with aiohttp.ClientSession() as session:
                prompt = "[[length=500]]"
                task = asyncio.create_task(
                    stream_chat(session, entry_address(system), CALLER_KEY, prompt)
                )
                number = await wait_for_engine(session, system, task)
                await asyncio.sleep(0.5)
                system.send_signal(f"engine-{number + 1}", signal.SIGKILL)
                answer = await task
            assert not answer.is_complete
            assert answer.error["code"] == "target_lost"
            assert answer.error["execution"] == "unknown"
            generated = answer.text.split()
            assert generated == [f"t{offset}" for offset in range(len(generated))]
            assert generated

        asyncio.run(scenario())

    def test_request_that_crashes_engines(self, start_system: SystemStarter) -> None:
        system = start_system(SystemShape(daemons=3, engines=4))

        async def scenario() -> None:
            async with aiohttp.ClientSession() as session:
                answers = [
                    await stream_chat(
                        session,
                        entry_address(system, number % 3),
                        CALLER_KEY,
                        "[[crash]]",
                    )
                    for number in range(4)
                ]
                other = await stream_chat(
                    session, entry_address(system), CALLER_KEY, "[[length=3]]"
                )
            assert [a.error["code"] for a in answers] == ["quarantined"] * 4
            assert all(a.error["retry_after"] > 0 for a in answers)
            engines = [name for name in system.running if name.startswith("engine")]
            assert len(engines) == 2
            assert other.is_complete

        asyncio.run(scenario())
        listed = system.run_operator_client("quarantine", "--json")
        (record,) = json.loads(listed.stdout)["requests"]
        assert len(record["targets"]) == 2

    def test_caller_that_leaves_is_cancelled_at_the_engine(
        self, start_system: SystemStarter
    ) -> None:
        system = start_system(SystemShape(daemons=1, engine_step_seconds=0.05))

        async def scenario() -> None:
            async with aiohttp.ClientSession() as session:
                task = asyncio.create_task(
                    stream_chat(
                        session, entry_address(system), CALLER_KEY, "[[length=900]]"
                    )
                )
                await wait_for_engine(session, system, task)
                await asyncio.sleep(0.3)
                task.cancel()
                for _ in range(int(WAIT_TIMEOUT_SECONDS / 0.1)):
                    seen = await fetch(session, system.engine_ports[0], "/seen")
                    if seen["cancelled"]:
                        return
                    await asyncio.sleep(0.1)
            raise AssertionError("the engine received no cancellation")

        asyncio.run(scenario())


class TestCalls:
    def test_one_key_at_three_instances_at_once(
        self, start_system: SystemStarter
    ) -> None:
        system = start_system(SystemShape(control_replicas=3))

        async def scenario() -> None:
            async with aiohttp.ClientSession() as session:
                (port,) = system.plain_ports
                await send(session, port, "/delay", {"seconds": 0.3})
                answers = await asyncio.gather(
                    *(
                        book_seat(
                            session, entry_address(system, i % 3), CALLER_KEY, "k", 1
                        )
                        for i in range(6)
                    )
                )
                executions = await fetch(session, port, "/executions")
                again = await book_seat(
                    session, entry_address(system), CALLER_KEY, "k", 1
                )
                other = await book_seat(
                    session, entry_address(system), CALLER_KEY, "k", 2
                )
            assert executions == {"k": 1}
            assert sorted(a.status for a in answers)[0] == 201
            assert {a.status for a in answers} <= {201, 409}
            assert (again.status, again.is_replay) == (201, True)
            assert other.status == 422
            assert other.document["error"]["execution"] == "not_run"

        asyncio.run(scenario())

    def test_owner_killed_after_sending(self, start_system: SystemStarter) -> None:
        system = start_system(SystemShape(daemons=3, control_replicas=1))

        async def scenario() -> None:
            async with aiohttp.ClientSession() as session:
                (port,) = system.plain_ports
                await send(session, port, "/delay", {"seconds": 2.0})
                task = asyncio.create_task(
                    book_seat(session, entry_address(system, 2), CALLER_KEY, "k", 1)
                )
                while not await fetch(session, port, "/executions"):
                    await asyncio.sleep(0.05)
                system.send_signal("entry-3", signal.SIGKILL)
                with pytest.raises(aiohttp.ClientError):
                    await task
                answer = await book_seat(
                    session, entry_address(system), CALLER_KEY, "k", 1
                )
                while answer.document["error"]["code"] == "in_progress":
                    await asyncio.sleep(0.3)
                    answer = await book_seat(
                        session, entry_address(system), CALLER_KEY, "k", 1
                    )
                executions = await fetch(session, port, "/executions")
            assert answer.document["error"]["execution"] == "unknown"
            assert executions == {"k": 1}

        asyncio.run(scenario())
        listed = json.loads(
            system.run_operator_client("calls", "--unknown", "--json").stdout
        )
        assert [call["key"] for call in listed["calls"]] == ["k"]
        settled = system.run_operator_client(
            "calls", "settle", "evening-school", "k", "--ran", "--note=seen in the log"
        )
        assert settled.returncode == 0, settled.stderr
        listed = json.loads(
            system.run_operator_client("calls", "--unknown", "--json").stdout
        )
        assert listed["calls"] == []


class TestControl:
    def test_leader_killed_and_frozen(self, start_system: SystemStarter) -> None:
        system = start_system(SystemShape(control_replicas=3))
        wait_for_voters(system, 3)
        first = find_leader(system)
        system.send_signal(first, signal.SIGKILL)
        second = find_leader(system)
        assert second != first
        assert apply_until_accepted(system, 2) == 0
        system.start_daemon(first)
        wait_for_voters(system, 3)
        system.send_signal(second, signal.SIGSTOP)
        others = [name for name in system.names if name != second]
        third = find_leader_among(system, others)
        assert third != second
        number = system.names.index(third)
        assert asyncio.run(apply_at(system, number, build_bundle(3))) == 200
        system.send_signal(second, signal.SIGCONT)
        asyncio.run(system.wait_until_ready())
        assert {bundle_version(system, name) for name in system.names} == {3}

    def test_emptied_data_folder_and_a_second_loss(
        self, start_system: SystemStarter
    ) -> None:
        system = start_system(SystemShape(control_replicas=3))
        wait_for_voters(system, 3)
        before = set(list_replicas(system))
        system.send_signal("entry-1", signal.SIGKILL)
        asyncio.run(system.wait_for_exit("entry-1", WAIT_TIMEOUT_SECONDS))
        shutil.rmtree(system.data_folder("entry-1"))
        system.start_daemon("entry-1")
        asyncio.run(system.wait_for_http())
        while (
            len(before & set(list_replicas(system))) != 2
            or len(list_replicas(system)) != 3
        ):
            asyncio.run(asyncio.sleep(0.2))
        system.send_signal("entry-2", signal.SIGKILL)
        asyncio.run(system.wait_for_exit("entry-2", WAIT_TIMEOUT_SECONDS))
        shutil.rmtree(system.data_folder("entry-2"))
        assert apply_until_accepted(system, 2) == 0

    def test_equal_versions_of_two_operators(self, start_system: SystemStarter) -> None:
        system = start_system(SystemShape())
        first = system.apply_bundle(build_bundle(2))
        again = system.apply_bundle(build_bundle(2))
        other = build_bundle(2)
        other["classes"]["extra"] = 3
        conflict = system.apply_bundle(other)
        older = system.apply_bundle(build_bundle(1))
        assert (first.returncode, again.returncode) == (0, 0)
        assert first.stdout == again.stdout
        assert (conflict.returncode, older.returncode) == (1, 1)
        assert "conflict" in conflict.stderr
        assert "older" in older.stderr

    def test_restart_after_many_changes(self, start_system: SystemStarter) -> None:
        system = start_system(SystemShape())
        system.send_signal("entry-3", signal.SIGKILL)
        asyncio.run(system.wait_for_exit("entry-3", WAIT_TIMEOUT_SECONDS))

        async def change() -> None:
            for version in range(2, 302):
                status = await apply_at(system, version % 2, build_bundle(version))
                assert status == 200

        asyncio.run(change())
        system.start_daemon("entry-3")
        asyncio.run(system.wait_until_ready())
        assert bundle_version(system, "entry-3") == 301

    @pytest.mark.parametrize(
        ("change", "status", "message"),
        [
            ({"version": 2, "colour": 1}, 400, "bundle: $.colour: "),
            ({"version": 2, "classes": {}}, 400, "$.accounts.evening-school"),
            ({"version": 2, "signature": "AAAA"}, 403, "not signed by a trusted"),
        ],
        ids=["unknown field", "unknown class", "signature"],
    )
    def test_invalid_bundle_changes_nothing(
        self,
        start_system: SystemStarter,
        change: dict[str, Any],
        status: int,
        message: str,
    ) -> None:
        """The daemon checks bundles itself and does not rely on the client's checks."""
        system = start_system(SystemShape(daemons=1))
        keys = system.operator
        text = json.dumps({**build_bundle(1), **change})
        signature = change.get("signature") or sign_text(text, keys.secret_key)
        document = {"text": text, "operator": keys.name, "signature": signature}
        operator = Operator(
            keys.name, keys.secret_key, entry_address(system), WAIT_TIMEOUT_SECONDS
        )
        asked = send_request(operator, "POST", "/operator/bundles", document)
        answer = asyncio.run(asked).unwrap()
        assert answer.status == status
        assert message in answer.document["error"]["message"]
        assert bundle_version(system, "entry-1") == 1

    def test_operators_who_race(self, start_system: SystemStarter) -> None:
        system = start_system(SystemShape(control_replicas=3))

        async def race(version: int) -> None:
            bundles = [build_bundle(version) for _ in range(3)]
            for number, bundle in enumerate(bundles):
                bundle["classes"][f"extra-{number}"] = 3
            answers = await asyncio.gather(
                *(apply_at(system, i, bundle) for i, bundle in enumerate(bundles))
            )
            assert sorted(answers) == [200, 409, 409]

        async def scenario() -> None:
            for version in range(2, 22):
                await race(version)

        asyncio.run(scenario())
        indexes = {status_of(system, n)["bundle_index"] for n in system.names}
        assert len(indexes) == 1


class TestForwardedRoutes:
    def test_routes_of_the_bundle_are_served_beside_built_in_paths(
        self, start_system: SystemStarter
    ) -> None:
        system = start_system(SystemShape(daemons=2))
        bundle = build_bundle(2, web={"kind": "forwarding"})
        bundle["routes"] = {
            "schedule": {
                "host": HOST,
                "path_prefix": "/",
                "kind": "idempotent",
                "services": {"web": 1},
                "timeout": 5.0,
                "priority": 0,
                "max_attempts": 2,
            }
        }

        async def scenario() -> None:
            async with aiohttp.ClientSession() as session:
                listed = [
                    {**target, "name": "web-1", "service": "web"}
                    for target in system.list_targets()
                    if target["service"] == "studio-portal"
                ]
                instances = {"instances": system.list_targets() + listed}
                await send(session, system.platform_port, "/instances", instances)
                applied = system.apply_bundle(bundle)
                assert applied.returncode == 0, applied.stderr
                url = f"http://{entry_address(system, 1)}/schedule"
                headers = {"X-Request-Id": "r1"}
                await wait_for_status(session, url, headers, 401)
                headers["Authorization"] = f"Bearer {CALLER_KEY}"
                await wait_for_status(session, url, headers, 200)
                async with session.get(url, headers=headers) as got:
                    assert await got.json() == {"seats": 12}
                    assert got.headers["X-Request-Id"] == "r1"
                answer = await stream_chat(
                    session, entry_address(system, 1), CALLER_KEY, "[[length=5]]"
                )
                assert answer.is_complete

        asyncio.run(scenario())


class TestHeaders:
    # Guards against a limit of the HTTP library that no setting knows.
    def test_many_short_headers_are_allowed(self, start_system: SystemStarter) -> None:
        system = start_system(SystemShape())
        headers = {f"X-A{number}": "1" for number in range(300)}

        async def scenario() -> int:
            url = f"http://{entry_address(system)}/healthz"
            async with (
                aiohttp.ClientSession() as session,
                session.get(url, headers=headers) as response,
            ):
                return response.status

        assert asyncio.run(scenario()) == 200


class TestLeaving:
    def test_shutdown_cuts_off_nothing(self, start_system: SystemStarter) -> None:
        system = start_system(SystemShape(engine_step_seconds=0.03))

        async def scenario() -> None:
            async with aiohttp.ClientSession() as session:
                (port,) = system.plain_ports
                await send(session, port, "/delay", {"seconds": 2.0})
                address = entry_address(system, 2)
                streams = [
                    asyncio.create_task(
                        stream_chat(session, address, CALLER_KEY, "[[length=120]]")
                    )
                    for _ in range(5)
                ]
                booking = asyncio.create_task(
                    book_seat(session, address, CALLER_KEY, "k", 1)
                )
                await asyncio.sleep(0.5)
                system.send_signal("entry-3", signal.SIGTERM)
                await asyncio.sleep(0.3)
                accepted = await stream_chat(
                    session, address, CALLER_KEY, "[[length=5]]"
                )
                answers = await asyncio.gather(*streams)
                addresses = await fetch_addresses(
                    session, entry_address(system), "tutor-model"
                )
                assert all(a.text == expected_text(120) for a in answers)
                assert (await booking).status == 201
                assert accepted.is_complete
                assert address not in addresses

        asyncio.run(scenario())
        exited = asyncio.run(system.wait_for_exit("entry-3", WAIT_TIMEOUT_SECONDS))
        assert exited == 0

    def test_rolling_restart_fails_no_request(
        self, start_system: SystemStarter
    ) -> None:
        system = start_system(SystemShape(control_replicas=3, engines=2))
        wait_for_voters(system, 3)
        failures: list[str] = []
        served = 0

        async def use(session: aiohttp.ClientSession, number: int) -> None:
            """Stream repeatedly to an address that a running instance returns."""
            nonlocal served
            while True:
                running = [n for n in system.names if n in available]
                asked = running[number % len(running)]
                try:
                    addresses = await fetch_addresses(
                        session, f"{HOST}:{system.http_ports[asked]}", "tutor-model"
                    )
                    answer = await stream_chat(
                        session, addresses[0], CALLER_KEY, "[[length=10]]"
                    )
                except (aiohttp.ClientError, KeyError) as error:
                    failures.append(repr(error))
                    continue
                if answer.is_complete and answer.text == expected_text(10):
                    served += 1
                else:
                    failures.append(str(answer))

        available = set(system.names)

        async def scenario() -> None:
            async with aiohttp.ClientSession() as session:
                users = [asyncio.create_task(use(session, i)) for i in range(4)]
                for name in system.names:
                    available.discard(name)
                    await asyncio.sleep(0.5)
                    system.send_signal(name, signal.SIGTERM)
                    assert await system.wait_for_exit(name, WAIT_TIMEOUT_SECONDS) == 0
                    system.start_daemon(name)
                    await system.wait_until_ready([name])
                    await asyncio.to_thread(wait_for_voters, system, 3)
                    available.add(name)
                for user in users:
                    user.cancel()

        asyncio.run(scenario())
        assert failures == []
        assert served > 0

    def test_leaving_engine_gets_no_new_work(self, start_system: SystemStarter) -> None:
        system = start_system(SystemShape(engines=2))

        async def scenario() -> None:
            async with aiohttp.ClientSession() as session:
                listed = system.list_targets()
                listed[0]["state"] = "leaving"
                document = {"instances": listed}
                await send(session, system.platform_port, "/instances", document)
                await asyncio.sleep(2.0)
                leaving = system.engine_ports[0]
                before = await fetch(session, leaving, "/seen")
                answers = await asyncio.gather(
                    *(
                        stream_chat(
                            session,
                            entry_address(system, i % 3),
                            CALLER_KEY,
                            "[[length=2]]",
                        )
                        for i in range(12)
                    )
                )
                assert all(answer.is_complete for answer in answers)
                assert await fetch(session, leaving, "/seen") == before

        asyncio.run(scenario())

    def test_engine_reclaimed_mid_stream(self, start_system: SystemStarter) -> None:
        system = start_system(SystemShape(engines=2, engine_step_seconds=0.05))

        async def scenario() -> None:
            async with aiohttp.ClientSession() as session:
                address = entry_address(system)
                task = asyncio.create_task(
                    stream_chat(session, address, CALLER_KEY, "[[length=2000]]")
                )
                number = await wait_for_engine(session, system, task)
                listed = system.list_targets()
                listed[number]["state"] = "leaving"
                document = {"instances": listed}
                await send(session, system.platform_port, "/instances", document)
                await asyncio.sleep(2.0)
                assert not task.done()
                system.send_signal(f"engine-{number + 1}", signal.SIGKILL)
                answer = await task
                other = await stream_chat(session, address, CALLER_KEY, "[[length=3]]")
                assert answer.error["code"] == "target_lost"
                assert not answer.is_complete
                assert other.is_complete

        asyncio.run(scenario())


class TestWeights:
    def test_new_version_is_loaded_without_an_outage(
        self, start_system: SystemStarter
    ) -> None:
        system = start_system(SystemShape(engines=3))

        async def scenario() -> None:
            async with aiohttp.ClientSession() as session:
                bundle = build_bundle(2)
                bundle["services"]["tutor-model"]["model_version"] = "2"
                applied = await asyncio.to_thread(system.apply_bundle, bundle)
                assert applied.returncode == 0
                versions: list[str] = []
                while set(versions) != {"2"}:
                    prompt = "[[length=20]]"
                    answer = await stream_chat(
                        session, entry_address(system), CALLER_KEY, prompt
                    )
                    assert answer.text == expected_text(20)
                    assert answer.is_complete
                    loads = [
                        await fetch(session, port, "/load")
                        for port in system.engine_ports
                    ]
                    assert sum(load["is_loading"] for load in loads) <= 1
                    versions = [load["version"] for load in loads]
                refused = await fetch(session, system.store_port, "/refused")
                assert refused == {"refused": 0}
                old = {"fencing_number": 0, "model": "x", "version": "0"}
                url = f"http://{HOST}:{system.engine_ports[0]}/orders"
                async with session.post(url, json=old) as response:
                    assert response.status == 409

        asyncio.run(scenario())


class TestBadCallers:
    CASES: ClassVar[list[tuple[str, dict[str, str] | None, bytes, int, str | None]]] = [
        ("no key", {}, b"{}", 401, "missing_key"),
        ("unknown key", {"Authorization": "Bearer x"}, b"{}", 401, "wrong_key"),
        ("malformed body", None, b"{", 400, "invalid_request"),
        ("no prompt", None, b'{"model":"tutor-model"}', 400, "invalid_request"),
        ("unknown service", None, b'{"model":"x","prompt":"a"}', 404, None),
        ("oversized body", None, b"x" * (5 * 1024 * 1024), 413, "body_too_large"),
    ]

    def test_each_gets_a_clear_answer(self, start_system: SystemStarter) -> None:
        system = start_system(SystemShape(daemons=1))
        good = {"Authorization": f"Bearer {CALLER_KEY}"}

        async def scenario() -> None:
            url = f"http://{entry_address(system)}/v1/completions"
            async with aiohttp.ClientSession() as session:
                for name, headers, body, status, code in self.CASES:
                    data = body
                    if name in ("no key", "unknown key"):
                        data = b'{"model":"tutor-model","prompt":"a"}'
                    async with session.post(
                        url, data=data, headers=good if headers is None else headers
                    ) as response:
                        document = await response.json()
                        assert response.status == status, name
                        assert document["error"]["execution"] == "not_run"
                        assert code in (None, document["error"]["code"])

        asyncio.run(scenario())

    @pytest.mark.parametrize(
        "sent",
        [b"", b"POST /v1/completions HTTP/1.1\r\nX-A: ", b"x" * 100_000],
        ids=["nothing", "half a header", "no header at all"],
    )
    def test_connection_without_a_request_is_closed(
        self, start_system: SystemStarter, sent: bytes
    ) -> None:
        limits = LimitSettings(request_read_timeout=1.0)
        system = start_system(SystemShape(daemons=1, limits=limits))

        async def scenario() -> None:
            port = system.http_ports["entry-1"]
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(sent)
            async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
                while await reader.read(65536):
                    pass
            async with aiohttp.ClientSession() as session:
                answer = await stream_chat(
                    session, entry_address(system), CALLER_KEY, "[[length=3]]"
                )
                assert answer.is_complete

        asyncio.run(scenario())

    def test_endless_header_is_refused(self, start_system: SystemStarter) -> None:
        system = start_system(SystemShape(daemons=1))

        async def scenario() -> None:
            port = system.http_ports["entry-1"]
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(b"GET /healthz HTTP/1.1\r\nX-A: " + b"a" * 200_000)
            async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
                answer = await reader.read(1024)
            assert b" 400 " in answer

        asyncio.run(scenario())

    def test_slow_reader_is_bounded_and_dropped(
        self, start_system: SystemStarter
    ) -> None:
        limits = LimitSettings(caller_write_timeout=1.0)
        shape = SystemShape(daemons=1, engine_step_seconds=0.0, limits=limits)
        system = start_system(shape)

        async def scenario() -> None:
            port = system.http_ports["entry-1"]
            slow = socket.socket()
            slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            slow.connect((HOST, port))
            _, writer = await asyncio.open_connection(sock=slow, limit=1024)
            prompt = "[[length=4000]]" + "x" * 10
            body = json.dumps(
                {"model": "tutor-model", "prompt": prompt, "stream": True}
            )
            writer.write(
                f"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                f"Authorization: Bearer {CALLER_KEY}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
            )
            async with aiohttp.ClientSession() as session:
                for _ in range(int(WAIT_TIMEOUT_SECONDS / 0.2)):
                    seen = await fetch(session, system.engine_ports[0], "/seen")
                    if seen["cancelled"]:
                        break
                    await asyncio.sleep(0.2)
                answer = await stream_chat(
                    session, entry_address(system), CALLER_KEY, "[[length=3]]"
                )
                assert seen["cancelled"]
                assert answer.is_complete

        asyncio.run(scenario())

    def test_account_over_its_limit_does_not_harm_others(
        self, start_system: SystemStarter
    ) -> None:
        system = start_system(SystemShape(daemons=1, engine_step_seconds=0.05))

        async def scenario() -> None:
            async with aiohttp.ClientSession() as session:
                prompt = "[[length=40]]"
                small = [
                    asyncio.create_task(
                        stream_chat(
                            session, entry_address(system), SMALL_CALLER_KEY, prompt
                        )
                    )
                    for _ in range(6)
                ]
                other = await stream_chat(
                    session, entry_address(system), CALLER_KEY, prompt
                )
                answers = await asyncio.gather(*small)
                assert other.is_complete
                assert sum(answer.is_complete for answer in answers) == 2
                refused = [a for a in answers if not a.is_complete]
                assert {a.error["code"] for a in refused} == {"account_limit"}

        asyncio.run(scenario())


async def apply_at(system: LocalSystem, number: int, bundle: dict[str, Any]) -> int:
    """Apply a bundle through an instance and return the HTTP status."""
    keys = system.operator
    checked = parse_bundle("bundle", json.dumps(bundle)).unwrap()
    signed = sign_bundle(checked, keys.name, keys.secret_key)
    operator = Operator(
        keys.name, keys.secret_key, entry_address(system, number), WAIT_TIMEOUT_SECONDS
    )
    result = await send_request(operator, "POST", "/operator/bundles", signed._asdict())
    return result.unwrap().status


def list_replicas(system: LocalSystem) -> list[str]:
    document = json.loads(system.run_operator_client("status", "--json").stdout or "{}")
    listed: list[str] = document.get("replicas", [])
    return listed


def wait_for_voters(system: LocalSystem, count: int) -> None:
    for _ in range(200):
        if len(list_replicas(system)) == count:
            return
    raise AssertionError(f"not {count} voters: {list_replicas(system)}")


def apply_until_accepted(system: LocalSystem, version: int) -> int:
    """Apply a bundle; retry while no instance leads."""
    for _ in range(100):
        applied = system.apply_bundle(build_bundle(version))
        if applied.returncode != 3:
            return applied.returncode
    return 3


def status_of(system: LocalSystem, name: str) -> dict[str, Any]:
    finished = system.run_binary(
        "heathertack",
        "status",
        "--json",
        f"--server={HOST}:{system.http_ports[name]}",
        f"--operator={system.operator.name}",
        f"--key={system.key_file}",
    )
    document: dict[str, Any] = json.loads(finished.stdout or "{}")
    return document


def find_leader_among(system: LocalSystem, names: list[str]) -> str:
    for _ in range(100):
        for name in names:
            status = status_of(system, name)
            if status.get("lease_is_valid") and status["leader"] in names:
                leader: str = status["leader"]
                return leader
    raise AssertionError("no leader")


def bundle_version(system: LocalSystem, name: str) -> int:
    version: int = status_of(system, name)["bundle_version"]
    return version
