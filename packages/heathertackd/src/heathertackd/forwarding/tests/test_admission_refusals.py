import asyncio

from heathertackd.forwarding.tests.forwarding_system import (
    never_respond,
    route,
    run_system,
)
from heathertackd.forwarding.tests.test_target_answers import serve_queue

SLOTS = 8
TIMEOUT_SECONDS = 0.6
METRIC = 'heathertack_admission_refusals_total{reason="overloaded"}'


class TestAdmissionRefusals:
    async def test_metric_counts_refusals_of_the_owner_by_reason(self) -> None:
        """Guards against refusals whose reason operators can't see."""
        bundle_route = route("not_repeatable", timeout=TIMEOUT_SECONDS)
        async with run_system(bundle_route, never_respond) as system:
            serving = asyncio.create_task(serve_queue(system))

            async def send(number: int) -> int:
                headers = {"X-Request-Id": f"r{number}"}
                async with system.request(headers=headers) as got:
                    return int(got.status)

            statuses = await asyncio.gather(*(send(n) for n in range(SLOTS + 1)))
            serving.cancel()
            refused = statuses.count(429)
            assert refused >= 1
            assert refused + statuses.count(504) == len(statuses)
            system.instance.count_refusals()
            line = f"{METRIC} {float(refused)}"
            assert line in system.instance.metrics.render().decode()
