"""Messages of other instances and everything else share one event loop."""

import asyncio
from typing import Any

import pytest

from heathertack.messages import PEER_CODEC, LeaderHint, PeerMessage
from heathertackd import _clock
from heathertackd._metrics import Metrics
from heathertackd._peers import PeerNetwork
from heathertackd._supervision import FailureLog
from heathertackd.tests.test_peers import build_settings
from heathertackd.tests.test_push_log import capture_lines

#: Callers get the next event of a stream within this time, seconds; that they have left
#: must be noticed within half a second.
_MAX_TURN_SECONDS = 0.18


class _Frame:
    """A frame of a message that libzmq has received."""

    def __init__(self, data: bytes) -> None:
        self.bytes = data


class _FilledQueue:
    """A listener whose messages have all arrived, as pyzmq returns them."""

    def __init__(self, messages: int) -> None:
        self._left = messages
        self._data = PEER_CODEC.encode(LeaderHint("x"))

    def recv_multipart(self, **options: Any) -> asyncio.Future[list[_Frame]]:
        del options
        received = asyncio.get_running_loop().create_future()
        if self._left:
            self._left -= 1
            received.set_result([_Frame(b"127.0.0.1:7"), _Frame(self._data)])
        return received


class TestReceivingTurns:
    # GONE: a close of a caller is not read while an instance handles a queue of
    # messages.
    @pytest.mark.parametrize("message_seconds", [0.0001, 0.004, 0.02, 0.1])
    async def test_sockets_are_read_between_the_messages_of_a_full_queue(
        self, message_seconds: float, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        now = 0.0
        handled = 0

        def handle(sender: str, message: PeerMessage) -> None:
            nonlocal now, handled
            del sender, message
            now += message_seconds
            handled += 1

        monkeypatch.setattr(_clock, "monotonic", lambda: now)
        _, logger = capture_lines()
        metrics = Metrics()
        network = PeerNetwork(
            build_settings(7, "127.0.0.1:7"),
            handle,
            metrics,
            logger,
            FailureLog(logger, metrics),
        )
        messages = 1000
        network._listener = _FilledQueue(messages)  # type: ignore[assignment]
        receiving = asyncio.create_task(network.receive_all())
        turns = []
        while handled < messages:
            before = now
            await asyncio.sleep(0)  # one turn of the event loop
            turns.append(now - before)
        receiving.cancel()
        network._listener = None
        await network.stop()
        assert max(turns) <= _MAX_TURN_SECONDS
