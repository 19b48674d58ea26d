"""Tests of the client that has evacuation orders committed."""

import asyncio
from typing import Any, NamedTuple

import pytest

from heathertack.messages import (
    EvacuationReply,
    EvacuationRequest,
    EvacuationStatus,
)
from heathertackd import _clock
from heathertackd._evacuation_client import EvacuationClient, EvacuationOrder

_ORDER = EvacuationOrder("zone-a", evacuated=True)
_DONE = EvacuationStatus.DONE
_STALE = EvacuationStatus.STALE
_NOT_LEADER = EvacuationStatus.NOT_LEADER
_UNAVAILABLE = EvacuationStatus.UNAVAILABLE
#: Searches for a leader during the 0.4 s of an order, with a margin of 2.
_MAX_SEARCHES = 20


class _Logger:
    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, Any]]] = []

    def info(self, event: str, **fields: Any) -> None:
        self.events.append((event, fields))

    warning = info


class _Instances:
    """Scripted instances; each gives its replies in order, and then its last one."""

    def __init__(self, leader: str, **replies: list[EvacuationStatus]) -> None:
        self.leader = leader
        self.sent: list[tuple[str, EvacuationRequest]] = []
        self.logger = _Logger()
        #: Number of times that the leader was asked for.
        self.searches = 0
        self.terms = {name: number for number, name in enumerate(replies, start=4)}
        self._replies = replies
        self.client = EvacuationClient(
            self._send,
            self._find_leader,
            self.logger,  # type: ignore[arg-type]
        )

    @property
    def values(self) -> list[tuple[str, int, int]]:
        """Receiver, term and sequence of each request."""
        return [(name, request.term, request.sequence) for name, request in self.sent]

    def reply(
        self, sender: str, request: EvacuationRequest, status: EvacuationStatus
    ) -> None:
        term = self.terms[sender]
        self.client.receive(
            sender, EvacuationReply(request.request_id, status, "", term, 2)
        )

    def _find_leader(self) -> str:
        self.searches += 1
        return self.leader

    def _send(self, instance: str, request: EvacuationRequest) -> None:
        self.sent.append((instance, request))
        script = self._replies[instance]
        if script:
            status = script.pop(0) if len(script) > 1 else script[0]
            loop = asyncio.get_running_loop()
            loop.call_soon(self.reply, instance, request, status)


class _Case(NamedTuple):
    replies: list[EvacuationStatus]
    is_done: bool
    #: Term and sequence of the first requests.
    values: list[tuple[int, int]]


class TestConfirmation:
    """An order must be sent with the leader's values, and answered when it is done."""

    @pytest.mark.parametrize(
        "case",
        [
            _Case([_DONE], True, [(0, 0)]),
            _Case([_STALE, _DONE], True, [(0, 0), (4, 2)]),
            _Case([_STALE, _STALE, _DONE], True, [(0, 0), (4, 2), (4, 2)]),
            _Case([_UNAVAILABLE, _DONE], True, [(0, 0), (0, 0)]),
            _Case([_NOT_LEADER], False, [(0, 0), (0, 0)]),
            _Case([_STALE], False, [(0, 0), (4, 2)]),
            _Case([], False, [(0, 0)]),
        ],
    )
    async def test_order(self, case: _Case) -> None:
        instances = _Instances("a", a=case.replies)
        assert await instances.client.confirm(_ORDER, 0.2) is case.is_done
        count = len(case.values)
        assert [values for _, *values in instances.values][:count] == [
            list(values) for values in case.values
        ]
        if case.is_done:
            assert len(instances.sent) == count
        assert len({request.request_id for _, request in instances.sent}) == 1

    async def test_time_limit_holds_without_a_leader(self) -> None:
        instances = _Instances("")
        began_at = _clock.monotonic()
        assert not await instances.client.confirm(_ORDER, 0.2)
        assert 0.15 < _clock.monotonic() - began_at < 0.95
        assert instances.sent == []

    async def test_lost_request_is_sent_again(self) -> None:
        instances = _Instances("a", a=[])
        task = asyncio.create_task(instances.client.confirm(_ORDER, 0.9))
        await asyncio.sleep(0.5)
        assert len(instances.sent) == 2
        instances.reply("a", instances.sent[0][1], _DONE)
        assert await task

    # Guards against a loop that blocks the process while no leader is known, after one
    # that was lost had named its values.
    async def test_wait_for_a_leader_leaves_time_to_others(self) -> None:
        instances = _Instances("a", a=[_STALE, _STALE])
        task = asyncio.create_task(instances.client.confirm(_ORDER, 0.4))
        await asyncio.sleep(0.05)
        instances.leader = ""
        assert not await task
        assert instances.searches <= _MAX_SEARCHES

    # Guards against an order that the lost leader proposed, and that no one asks for
    # at the next leader before the operator gives up.
    async def test_next_leader_is_asked_at_once(self) -> None:
        instances = _Instances("a", a=[_STALE, _UNAVAILABLE], b=[_STALE, _DONE])
        task = asyncio.create_task(instances.client.confirm(_ORDER, 0.9))
        await asyncio.sleep(0.12)
        instances.leader = "b"
        assert await task
        assert instances.values == [
            ("a", 0, 0),
            ("a", 4, 2),
            ("b", 4, 2),
            ("b", 5, 2),
        ]

    async def test_values_of_a_former_leader_are_ignored(self) -> None:
        instances = _Instances("a", a=[], b=[])
        task = asyncio.create_task(instances.client.confirm(_ORDER, 0.9))
        await asyncio.sleep(0.02)
        instances.leader = "b"
        await asyncio.sleep(0.2)
        instances.reply("a", instances.sent[0][1], _STALE)
        await asyncio.sleep(0.05)
        assert [name for name, _ in instances.sent] == ["a", "b"]
        instances.reply("b", instances.sent[1][1], _DONE)
        assert await task

    # Guards against a copy that a link delayed, and that is carried out after its
    # operator gave up and sent the opposite order.
    async def test_order_of_an_operator_that_left_is_not_sent_again(self) -> None:
        instances = _Instances("a", a=[_STALE, _DONE])
        answers = iter([True, False])
        done = await instances.client.confirm(_ORDER, 0.2, lambda: next(answers))
        assert not done
        assert instances.values == [("a", 0, 0)]

    async def test_each_order_asks_for_the_values_anew(self) -> None:
        instances = _Instances("a", a=[_STALE, _DONE, _STALE, _DONE])
        for _ in range(2):
            assert await instances.client.confirm(_ORDER, 0.2)
        assert instances.values == [("a", 0, 0), ("a", 4, 2)] * 2


class TestLogLines:
    @pytest.mark.parametrize(
        ("status", "event"),
        [(_DONE, "evacuation_acknowledged"), (_STALE, "evacuation_unconfirmed")],
    )
    async def test_order_and_its_end_are_logged(
        self, status: EvacuationStatus, event: str
    ) -> None:
        instances = _Instances("a", a=[status])
        order = EvacuationOrder("zone-a", evacuated=False)
        await instances.client.confirm(order, 0.1)
        (received, first), (ended, last) = instances.logger.events
        assert (received, ended) == ("evacuation_received", event)
        assert first == {"domain": "zone-a", "order": "readmit"}
        assert (last["domain"], last["order"], last["leader"]) == (
            "zone-a",
            "readmit",
            "a",
        )
        assert 0 <= last["seconds"] < 1
