"""Tests of the log of bundles that are sent to instances."""

import structlog
from structlog.testing import LogCapture

from heathertack.messages import BundlePush, LeaseGrant, TableVersion
from heathertackd._logs import Logger
from heathertackd._push_log import PushLog


def capture_lines() -> tuple[LogCapture, Logger]:
    """Return a logger that other tests do not configure, and what it writes."""
    capture = LogCapture()
    logger: Logger = structlog.wrap_logger(
        structlog.PrintLogger(),
        processors=[capture],
        wrapper_class=structlog.make_filtering_bound_logger(0),
    )
    return capture, logger


def grant(bundle: BundlePush | None) -> LeaseGrant:
    return LeaseGrant(
        term=1,
        leader="a",
        incarnation=1,
        bundle_index=7,
        bundle=bundle,
        duration=1.5,
        sent_at=0.0,
        table=TableVersion(1, 1),
        is_full=False,
        is_settled=True,
        members=(),
        targets=(),
        suspects=None,
    )


class TestPushLog:
    def test_messages_are_counted_by_kind(self) -> None:
        capture, logger = capture_lines()
        log = PushLog(logger)
        for push in (
            BundlePush(7, "d", 0, b"x" * 10),
            BundlePush(7, "d", 5, b"x" * 3),
            BundlePush(7, "d", 5, b"x" * 3),
            None,
        ):
            log.add(grant(push))
        log.flush(1.0)
        lines = [(x["is_whole"], x["messages"], x["bytes"]) for x in capture.entries]
        assert lines == [(True, 1, 10), (False, 2, 6)]

    def test_lines_are_limited_to_one_per_interval(self) -> None:
        capture, logger = capture_lines()
        log = PushLog(logger)
        for step in range(20):
            log.add(grant(BundlePush(7, "d", 5, b"x")))
            log.flush(1.0 + step * 0.05)
        assert [line["messages"] for line in capture.entries] == [1, 10]
