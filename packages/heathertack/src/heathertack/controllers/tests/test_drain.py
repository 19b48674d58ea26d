from typing import Any, ClassVar

import pytest

from heathertack.blackboard import (
    BUNDLE,
    DRAIN,
    LEASE,
    Blackboard,
    BundleView,
    LeaseView,
    Section,
)
from heathertack.bundle import Bundle
from heathertack.controllers import (
    DrainController,
    LeavingStarted,
    RequestClosed,
    RequestOpened,
    is_ready,
)

KEPT_SECONDS = 3.0
GRACE_SECONDS = 8.0


class _Writer:
    """Writes what readiness depends on."""

    READS: ClassVar[tuple[Section[Any], ...]] = ()
    WRITES: ClassVar[tuple[Section[Any], ...]] = (BUNDLE, LEASE)


def build(grace: float | None) -> DrainController:
    return DrainController(Blackboard(), KEPT_SECONDS, grace)


class TestLeaving:
    @pytest.mark.parametrize(
        ("seconds", "open_requests", "grace", "accepts", "may_stop"),
        [
            pytest.param(0.0, 0, None, True, False, id="addresses are still in use"),
            pytest.param(2.9, 0, 8.0, True, False, id="almost all have gone"),
            pytest.param(3.0, 0, None, False, True, id="nobody comes any more"),
            pytest.param(3.0, 1, 8.0, False, False, id="a request is open"),
            pytest.param(60.0, 1, None, False, False, id="no limit to an open one"),
            pytest.param(8.0, 1, 8.0, False, True, id="killed soon anyway"),
            pytest.param(2.0, 0, 2.0, False, True, id="grace before the addresses"),
        ],
    )
    def test_after_the_signal(
        self,
        seconds: float,
        open_requests: int,
        grace: float | None,
        accepts: bool,
        may_stop: bool,
    ) -> None:
        drain = build(grace)
        for _ in range(open_requests):
            drain.handle(RequestOpened(), 99.0)
        drain.handle(LeavingStarted(), 100.0)
        assert drain.accepts_requests(100.0 + seconds) is accepts
        assert drain.may_stop(100.0 + seconds) is may_stop

    def test_before_the_signal_nothing_ends(self) -> None:
        drain = build(GRACE_SECONDS)
        assert drain.accepts_requests(1000.0)
        assert not drain.may_stop(1000.0)

    def test_second_signal_does_not_begin_anew(self) -> None:
        drain = build(None)
        drain.handle(LeavingStarted(), 0.0)
        drain.handle(RequestOpened(), 1.0)
        drain.handle(RequestClosed(), 2.0)
        drain.handle(LeavingStarted(), 2.5)
        assert drain.may_stop(KEPT_SECONDS)

    def test_signal_at_time_zero_counts(self) -> None:
        drain = build(None)
        drain.handle(LeavingStarted(), 0.0)
        assert not drain.accepts_requests(KEPT_SECONDS)


class TestReadiness:
    @pytest.mark.parametrize(
        ("has_lease", "has_bundle", "is_leaving", "ready"),
        [
            (True, True, False, True),
            (False, True, False, False),
            (True, False, False, False),
            (True, True, True, False),
        ],
    )
    def test_needs_lease_and_bundle_and_no_leaving(
        self, has_lease: bool, has_bundle: bool, is_leaving: bool, ready: bool
    ) -> None:
        board = Blackboard()
        drain = DrainController(board, KEPT_SECONDS, None)
        writer = _Writer()
        board.register(writer)
        if has_lease:
            board.write(writer, LEASE, LeaseView(valid_until=10.0))
        if has_bundle:
            bundle = Bundle(version=1, services={}, classes={}, accounts={})
            board.write(writer, BUNDLE, BundleView(bundle=bundle))
        if is_leaving:
            drain.handle(LeavingStarted(), 1.0)
        assert board.read(DRAIN).leaving is is_leaving
        assert is_ready(board, 5.0) is ready
