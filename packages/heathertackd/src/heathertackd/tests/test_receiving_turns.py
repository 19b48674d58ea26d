"""Messages of other instances and everything else share one event loop."""

import asyncio
import struct
from collections.abc import Coroutine
from typing import Any

import pytest
import zmq

from heathertack.messages import PEER_CODEC, LeaderHint
from heathertackd import _clock
from heathertackd._metrics import Metrics
from heathertackd._peer_connections import PeerConnectionLimit
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
    """A socket whose messages have all arrived, as pyzmq returns them.

    Parameters
    ----------
    frames : tuple of bytes
        Frames of each message.
    count : int
        Number of messages.
    seconds : float
        Time that each message takes to be handled.
    """

    def __init__(self, frames: tuple[bytes, ...], count: int, seconds: float) -> None:
        self._frames = frames
        self._seconds = seconds
        self.left = count
        #: Time on a clock that only messages advance, seconds.
        self.now = 0.0

    def recv_multipart(self, copy: bool = True) -> asyncio.Future[list[Any]]:
        received = asyncio.get_running_loop().create_future()
        if self.left:
            self.left -= 1
            self.now += self._seconds
            frames = [frame if copy else _Frame(frame) for frame in self._frames]
            received.set_result(frames)
        return received

    def get_monitor_socket(self, events: int) -> "_FilledQueue":
        del events
        return self


async def find_longest_turn(
    receiving: Coroutine[Any, Any, None], queue: _FilledQueue
) -> float:
    """Return the longest time between two turns of the event loop, seconds."""
    task = asyncio.create_task(receiving)
    turns = []
    while queue.left:
        before = queue.now
        await asyncio.sleep(0)  # one turn of the event loop
        turns.append(queue.now - before)
    task.cancel()
    return max(turns)


@pytest.mark.parametrize("message_seconds", [0.0001, 0.004, 0.02, 0.1])
class TestReceivingTurns:
    # GONE: a close of a caller is not read while an instance handles a queue of
    # messages.
    async def test_sockets_are_read_between_the_messages_of_a_full_queue(
        self, message_seconds: float, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        frames = (b"127.0.0.1:7", PEER_CODEC.encode(LeaderHint("x")))
        queue = _FilledQueue(frames, 1000, message_seconds)
        monkeypatch.setattr(_clock, "monotonic", lambda: queue.now)
        _, logger = capture_lines()
        metrics = Metrics()
        network = PeerNetwork(
            build_settings(7, "127.0.0.1:7"),
            lambda sender, message: None,
            metrics,
            logger,
            FailureLog(logger, metrics),
        )
        network._listener = queue  # type: ignore[assignment]
        longest = await find_longest_turn(network.receive_all(), queue)
        network._listener = None
        await network.stop()
        assert longest <= _MAX_TURN_SECONDS

    # GONE: the same while instances connect and disconnect.
    async def test_sockets_are_read_between_the_connections_of_a_crowd(
        self, message_seconds: float, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        event = struct.pack("=hi", zmq.EVENT_DISCONNECTED, 7)
        queue = _FilledQueue((event,), 1000, message_seconds)
        monkeypatch.setattr(_clock, "monotonic", lambda: queue.now)
        limit = PeerConnectionLimit(
            queue,  # type: ignore[arg-type]
            ("127.0.0.1", 7),
            10,
            None,
            Metrics(),
        )
        longest = await find_longest_turn(limit._watch_connections(), queue)
        assert longest <= _MAX_TURN_SECONDS
