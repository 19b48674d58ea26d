"""Limits connections of other instances, and what their open messages hold.

libzmq accepts connections without a limit, and keeps what has arrived of each message
until it is whole.
"""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from collections.abc import Mapping
from typing import NamedTuple

import zmq
import zmq.asyncio

from heathertackd import _clock
from heathertackd._loop_turns import LoopTurns
from heathertackd._metrics import Metrics

#: Minimum number of bytes of a greeting and the first command of the protocol.
_MIN_HANDSHAKE_BYTES = 64 + 8
#: Place of ``tcpi_bytes_received`` in the ``tcp_info`` of Linux, bytes.
_RECEIVED_OFFSET = 128
_COUNT_BYTES = 8
#: Interval at which open messages are looked at, seconds; a look at 80 connections
#: takes 0.2 ms. The shorter interval applies while there is a new connection, or
#: messages hold a part of what they may: with 0.05 s alone, 32 clients on loopback sent
#: 128 MB before they were closed.
_SWEEP_SECONDS = 0.05
_BUSY_SWEEP_SECONDS = 0.005
_BUSY_SHARE = 0.1
_NEW_SECONDS = 5.0
#: More than the heartbeats of a connection in a time, bytes and seconds; both sides
#: send them twice a second, with up to 9 bytes.
_HEARTBEAT_BYTES = 256
_HEARTBEAT_SECONDS = 3.0
_EVENT_FORMAT = "=hi"
_EVENTS = zmq.EVENT_ACCEPTED | zmq.EVENT_DISCONNECTED


class PeerConnection(NamedTuple):
    """An accepted connection."""

    received_bytes: int
    #: Time at which it was accepted, monotonic clock, seconds.
    since: float

    @property
    def has_begun(self) -> bool:
        """Whether it has sent as much as the beginning of the protocol takes."""
        return self.received_bytes >= _MIN_HANDSHAKE_BYTES


def choose_surplus(connections: Mapping[int, PeerConnection], newest: int) -> int:
    """Return the connection that is closed when there are too many.

    Instances send heartbeats, so that a connection that has not begun the protocol is
    closed before one that has, the oldest first, and then the one that has sent least.
    An instance that was closed by mistake connects again: the newest is kept.

    Parameters
    ----------
    connections : mapping
        Connections by descriptor.
    newest : int
        Descriptor of the newest one.
    """
    others = [number for number in connections if number != newest]
    return min(others, key=lambda number: _rank(connections[number]), default=newest)


def _rank(connection: PeerConnection) -> tuple[bool, int, float]:
    received = connection.received_bytes if connection.has_begun else 0
    return connection.has_begun, received, connection.since


class OpenMessage(NamedTuple):
    """What has arrived on a connection since its last message was delivered."""

    #: Number of bytes that the connection had received by then.
    start_bytes: int
    #: Time of the last reset, monotonic clock, seconds.
    since: float

    def advance(
        self, received_bytes: int, now: float, *, is_delivered: bool
    ) -> OpenMessage:
        """Return the state after a look at the connection.

        Heartbeats are no messages, and are left out.
        """
        is_quiet = received_bytes - self.start_bytes <= _HEARTBEAT_BYTES
        if is_delivered or (is_quiet and now - self.since >= _HEARTBEAT_SECONDS):
            return OpenMessage(received_bytes, now)
        return self


def choose_largest(open_bytes: Mapping[int, int], max_bytes: int) -> list[int]:
    """Return the connections to close so that the others hold no more than a limit.

    Parameters
    ----------
    open_bytes : mapping
        Bytes of open messages by descriptor.
    max_bytes : int
        Maximum sum of the bytes.
    """
    held = sum(open_bytes.values())
    chosen = []
    for number in sorted(open_bytes, key=lambda number: -open_bytes[number]):
        if held <= max_bytes:
            break
        held -= open_bytes[number]
        chosen.append(number)
    return chosen


class PeerConnectionLimit:
    """Closes connections to the listener for other instances above the limits.

    Parameters
    ----------
    listener : zmq.asyncio.Socket
        The listener.
    address : tuple of str and int
        Address and port of the listener.
    limit : int or None
        Maximum number of connections; ``None`` for no limit.
    max_bytes : int or None
        Maximum size of what all open messages hold, bytes; ``None`` for no limit.
    metrics : Metrics
        Counts the connections that were closed.
    """

    def __init__(
        self,
        listener: zmq.asyncio.Socket,
        address: tuple[str, int],
        limit: int | None,
        max_bytes: int | None,
        metrics: Metrics,
    ) -> None:
        self._monitor = listener.get_monitor_socket(_EVENTS)
        self._address = address
        self._limit = limit
        self._metrics = metrics
        self._max_bytes = max_bytes
        self._accepted: dict[int, float] = {}
        self._open_messages: dict[int, OpenMessage] = {}
        self._delivered: set[int] = set()
        self._is_busy = False
        self._has_new = asyncio.Event()

    def record_delivered(self, number: int) -> None:
        """Record that a message of a connection was delivered."""
        self._delivered.add(number)

    async def run(self) -> None:
        """Watch the connections until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._watch_connections())
            if self._max_bytes is not None:
                tasks.create_task(self._watch_messages(self._max_bytes))

    async def _watch_messages(self, max_bytes: int) -> None:
        while True:
            await self._wait_for_sweep()
            now = _clock.monotonic()
            open_bytes = {}
            for number in self._accepted:
                received = self._count_received(number)
                state = self._open_messages.get(number, OpenMessage(0, now))
                is_delivered = number in self._delivered
                state = state.advance(received, now, is_delivered=is_delivered)
                self._open_messages[number] = state
                open_bytes[number] = received - state.start_bytes
            self._delivered.clear()
            for number in choose_largest(open_bytes, max_bytes):
                self._end(number)
            self._is_busy = sum(open_bytes.values()) > _BUSY_SHARE * max_bytes or any(
                now - since < _NEW_SECONDS for since in self._accepted.values()
            )

    async def _wait_for_sweep(self) -> None:
        """Wait for the next look at all connections, or for a new connection."""
        try:
            interval = _BUSY_SWEEP_SECONDS if self._is_busy else _SWEEP_SECONDS
            async with asyncio.timeout(interval):
                await self._has_new.wait()
        except TimeoutError:
            pass
        self._has_new.clear()

    async def _watch_connections(self) -> None:
        turns = LoopTurns()
        while True:
            frames = await turns.receive(self._monitor)
            event, number = struct.unpack(_EVENT_FORMAT, frames[0])
            if event == zmq.EVENT_ACCEPTED:
                self._forget(number)
                self._accepted[number] = _clock.monotonic()
                if not self._is_busy:
                    self._has_new.set()
                self._close_surplus(number)
            else:
                self._forget(number)

    def _forget(self, number: int) -> None:
        self._accepted.pop(number, None)
        self._open_messages.pop(number, None)
        self._delivered.discard(number)

    def _close_surplus(self, newest: int) -> None:
        while self._limit is not None and len(self._accepted) > self._limit:
            connections = {
                number: PeerConnection(self._count_received(number), since)
                for number, since in self._accepted.items()
            }
            self._end(choose_surplus(connections, newest))

    def _end(self, number: int) -> None:
        self._forget(number)
        self._metrics.closed_holders.labels("peers").inc()
        opened = self._open(number)
        if opened is not None:
            with opened:
                # libzmq reads the end of the connection, and closes it.
                opened.shutdown(socket.SHUT_RDWR)

    def _count_received(self, number: int) -> int:
        opened = self._open(number)
        if opened is None:
            return 0
        with opened:
            size = _RECEIVED_OFFSET + _COUNT_BYTES
            info = opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
        return int.from_bytes(info[_RECEIVED_OFFSET:size], "little")

    def _open(self, number: int) -> socket.socket | None:
        """Return a copy of a connection, ``None`` if it has been closed meanwhile.

        Its descriptor may then belong to something else, which must not be touched.
        """
        try:
            opened = socket.socket(fileno=os.dup(number))
        except OSError:
            return None
        try:
            if opened.getsockname()[:2] == self._address and opened.getpeername():
                return opened
        except OSError:
            pass
        opened.close()
        return None
