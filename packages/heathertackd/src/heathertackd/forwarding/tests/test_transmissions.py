import pytest

from heathertackd.forwarding import open_forwarding_session
from heathertackd.forwarding.tests.forwarding_system import (
    Script,
    close_connection,
    never_respond,
    respond,
    route,
    run_system,
    stream,
)

#: Methods that HTTP defines as idempotent, which its clients may send again unasked.
IDEMPOTENT_METHODS = ["GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"]


class TestTransmissions:
    # Guards against requests that the HTTP client sends again by itself when a target
    # closes the connection, past `max_attempts`, the retry budget and the crash count.
    @pytest.mark.parametrize("method", IDEMPOTENT_METHODS)
    async def test_unrepeatable_request_is_sent_once_whatever_its_method(
        self, method: str
    ) -> None:
        async with run_system(route("not_repeatable"), close_connection) as system:
            async with system.request(method) as got:
                assert got.status == 502
                assert "Retry-After" not in got.headers
            assert system.count_received() == 1

    @pytest.mark.parametrize("method", [*IDEMPOTENT_METHODS, "POST"])
    @pytest.mark.parametrize("attempts", [1, 2, 3])
    async def test_each_attempt_is_one_transmission(
        self, method: str, attempts: int
    ) -> None:
        scripts: list[Script] = [close_connection] * 4
        bundle_route = route("idempotent", max_attempts=attempts)
        async with run_system(bundle_route, *scripts) as system:
            async with system.request(method) as got:
                assert got.status == 502
            received = sorted(len(target.received) for target in system.targets)
            assert received == [0] * (4 - attempts) + [1] * attempts

    async def test_request_whose_target_stops_under_it_is_not_called_not_run(
        self,
    ) -> None:
        bundle_route = route("idempotent", max_attempts=1)
        async with run_system(bundle_route, never_respond) as system:

            async def stop(received: object, writer: object) -> None:
                system.targets[0].stop()
                await close_connection(received, writer)  # type: ignore[arg-type]

            system.targets[0].script = stop
            async with system.request("GET") as got:
                assert got.status == 502
                assert "Retry-After" not in got.headers

    @pytest.mark.parametrize("script", [respond(b"done"), stream(1, 2)])
    async def test_answered_request_is_sent_once(self, script: Script) -> None:
        async with run_system(route("idempotent"), script) as system:
            async with system.request("GET") as got:
                assert got.status == 200
                await got.read()
            assert system.count_received() == 1

    # Guards against calls to targets that fail because nothing counts them.
    async def test_requests_that_are_not_counted_are_sent(self) -> None:
        async with run_system(route("idempotent"), respond(b"done")) as system:
            url = f"http://{system.addresses[0]}/report"
            headers = {"X-Request-Id": "r1"}
            async with (
                open_forwarding_session() as session,
                session.get(url, headers=headers) as got,
            ):
                assert got.status == 200
