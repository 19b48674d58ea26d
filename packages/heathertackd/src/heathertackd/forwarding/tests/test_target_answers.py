import asyncio
from typing import NamedTuple

import pytest

from heathertack.blackboard import TARGET_LIMITS
from heathertack.controllers import AdmissionDue
from heathertackd import _clock
from heathertackd.forwarding.tests.forwarding_system import (
    ForwardingSystem,
    Script,
    respond,
    route,
    run_system,
)

NAMES_LIMIT = respond(b"done", X_Heathertack_Request_Rate="20")


class Case(NamedTuple):
    name: str
    #: Answer that follows one that names a limit.
    answer: Script
    expected: float | None


CASES = [
    Case("another limit", respond(b"done", X_Heathertack_Request_Rate="10"), 10.0),
    Case("no limit", respond(b"done"), None),
    Case("no limit, failed", respond(b"failed", status=500), None),
    Case("not run", respond(b"full", status=503, X_Heathertack_Not_Run="1"), 20.0),
    Case(
        "not run, another limit",
        respond(
            b"full",
            status=503,
            X_Heathertack_Not_Run="1",
            X_Heathertack_Request_Rate="10",
        ),
        10.0,
    ),
    Case("unreadable", respond(b"done", X_Heathertack_Request_Rate="many"), 20.0),
    Case("another request", respond(b"done", X_Request_Id="other"), 20.0),
]


def find_rate(system: ForwardingSystem) -> float | None:
    limits = system.instance.board.read(TARGET_LIMITS).values()
    return next((limit.rate for limit in limits), None)


async def serve_queue(system: ForwardingSystem) -> None:
    """Serve the queue of the admission owner, as the periodic work does."""
    instance = system.instance
    while True:
        actions = instance.admission.handle(AdmissionDue(), _clock.monotonic())
        instance.carry_out(actions)
        await asyncio.sleep(0.01)


class TestTargetAnswers:
    # Guards against a limit that ends because the target refuses requests, which it
    # does without its usual headers, and so gets all that it can't take.
    @pytest.mark.parametrize("case", CASES, ids=[case.name for case in CASES])
    async def test_limit_follows_the_answers_to_requests_that_have_run(
        self, case: Case
    ) -> None:
        bundle_route = route("idempotent", max_attempts=1)
        async with run_system(bundle_route, NAMES_LIMIT) as system:
            async with system.request("GET") as got:
                assert got.status == 200
            assert find_rate(system) == 20.0
            system.targets[0].script = case.answer
            serving = asyncio.create_task(serve_queue(system))
            async with system.request("GET"):
                pass
            serving.cancel()
            assert system.count_received() == 2
            assert find_rate(system) == case.expected
