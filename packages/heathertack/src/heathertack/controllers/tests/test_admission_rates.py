from heathertack.controllers._admission_group import AdmissionGroup
from heathertack.controllers._admission_types import TargetCapacity
from heathertack.controllers.tests.test_admission import request
from heathertack.messages import ReservationGrant, ReservationRefusal
from heathertack.policy import ADMISSION_TUNING, LengthEstimator

RATE = 2.0


def build_group() -> AdmissionGroup:
    tuning = ADMISSION_TUNING._replace(takeover_delay=0.0)
    group = AdmissionGroup("portal:0", tuning, LengthEstimator(), 0.0)
    group.set_targets({"t": TargetCapacity(0, 64)})
    return group


def count_grants(group: AdmissionGroup, requests: int, now: float) -> int:
    """Return how many of several requests get a target at once."""
    replies = [
        reply.reply
        for number in range(requests)
        for reply in group.request(
            request(f"g{now}-{number}")._replace(max_wait=0.0, prompt_tokens=0),
            "i1",
            0,
            now,
        )
    ]
    return sum(isinstance(reply, ReservationGrant) for reply in replies)


class TestAdmissionRates:
    def test_limit_is_kept(self) -> None:
        group = build_group()
        group.set_rates({"t": RATE}, None, 0.0)
        granted = sum(count_grants(group, 5, 0.1 * step) for step in range(101))
        assert granted == RATE * 10.0

    def test_target_without_a_limit_gets_all_requests(self) -> None:
        group = build_group()
        group.set_rates({}, None, 0.0)
        assert count_grants(group, 20, 0.0) == 20

    # Guards against tokens that an owner kept from before others assigned the target.
    def test_owner_begins_without_tokens_after_others(self) -> None:
        group = build_group()
        group.set_rates({"t": RATE}, None, 0.0)
        assert count_grants(group, 3, 0.0) == 0
        assert count_grants(group, 3, 4.0) == 1
        group.set_rates({"t": RATE}, 0.1, 5.0)
        group.set_rates({"t": RATE}, None, 9.0)
        assert count_grants(group, 3, 9.0) == 0
        assert count_grants(group, 3, 9.0 + 1.0 / RATE) == 1

    # Guards against retries and resumptions that a limit does not count.
    def test_request_that_prefers_the_target_is_counted(self) -> None:
        group = build_group()
        group.set_rates({"t": RATE}, None, 0.0)
        preferring = request("g1")._replace(preferred_target="t", max_wait=0.0)
        (reply,) = group.request(preferring, "i1", 0, 0.0)
        assert isinstance(reply.reply, ReservationRefusal)
        (reply,) = group.request(preferring._replace(attempt=2), "i1", 0, 0.5)
        assert isinstance(reply.reply, ReservationGrant)
        assert count_grants(group, 3, 0.5) == 0
