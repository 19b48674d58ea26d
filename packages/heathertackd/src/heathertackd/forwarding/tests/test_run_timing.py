import pytest

from heathertackd.forwarding.tests.forwarding_system import (
    ForwardingSystem,
    route,
    run_system,
    stream,
)

#: A token takes 10 ms at least, and eight runs are measured before any is refused.
SCRIPT = stream(*range(1, 6))
RUNS = 8
EXPECTED_TOKENS = 100
SHORT_TIMEOUT = "0.5"


async def serve(system: ForwardingSystem, timeout: str = "4") -> tuple[int, str]:
    """Send a request and return the status and Retry-After of its response."""
    headers = {"X-Request-Timeout": timeout}
    async with system.request(headers=headers) as got:
        await got.read()
        return got.status, got.headers.get("Retry-After", "")


class TestRunThatCannotEndInTime:
    """Guards against runs that take an engine and are cut off at their deadline."""

    async def test_is_refused_before_it_is_sent(self) -> None:
        async with run_system(route("streaming"), SCRIPT) as system:
            for _ in range(RUNS):
                assert await serve(system) == (200, "")
            system.dialect.expected_tokens = EXPECTED_TOKENS
            status, retry_after = await serve(system, SHORT_TIMEOUT)
            assert status == 429
            assert float(retry_after) > 0
            assert system.count_received() == RUNS

    @pytest.mark.parametrize(
        ("runs", "expected_tokens", "timeout"),
        [
            (RUNS, EXPECTED_TOKENS, "4"),
            (RUNS, 0, SHORT_TIMEOUT),
            (RUNS - 1, EXPECTED_TOKENS, SHORT_TIMEOUT),
        ],
        ids=["enough time", "unknown length", "few runs"],
    )
    async def test_others_are_served(
        self, runs: int, expected_tokens: int, timeout: str
    ) -> None:
        async with run_system(route("streaming"), SCRIPT) as system:
            for _ in range(runs):
                assert await serve(system) == (200, "")
            system.dialect.expected_tokens = expected_tokens
            assert await serve(system, timeout) == (200, "")
