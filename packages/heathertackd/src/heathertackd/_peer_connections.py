"""Limits the connections of other instances, which libzmq accepts without a limit."""

from __future__ import annotations

import os
import socket
import struct
from collections.abc import Mapping
from typing import NamedTuple

import zmq
import zmq.asyncio

from heathertackd import _clock
from heathertackd._metrics import Metrics

#: Minimum number of bytes of a greeting and the first command of the protocol.
_MIN_HANDSHAKE_BYTES = 64 + 8
#: Place of ``tcpi_bytes_received`` in the ``tcp_info`` of Linux, bytes.
_RECEIVED_OFFSET = 128
_COUNT_BYTES = 8
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


class PeerConnectionLimit:
    """Closes connections to the listener for other instances above a limit.

    Parameters
    ----------
    listener : zmq.asyncio.Socket
        The listener.
    address : tuple of str and int
        Address and port of the listener.
    limit : int
        Maximum number of connections.
    metrics : Metrics
        Counts the connections that were closed.
    """

    def __init__(
        self,
        listener: zmq.asyncio.Socket,
        address: tuple[str, int],
        limit: int,
        metrics: Metrics,
    ) -> None:
        self._monitor = listener.get_monitor_socket(_EVENTS)
        self._address = address
        self._limit = limit
        self._metrics = metrics
        self._accepted: dict[int, float] = {}

    async def run(self) -> None:
        """Watch the connections until cancelled."""
        while True:
            frames = await self._monitor.recv_multipart()
            event, number = struct.unpack(_EVENT_FORMAT, frames[0])
            if event == zmq.EVENT_ACCEPTED:
                self._accepted[number] = _clock.monotonic()
                self._close_surplus(number)
            else:
                self._accepted.pop(number, None)

    def _close_surplus(self, newest: int) -> None:
        while len(self._accepted) > self._limit:
            connections = {
                number: PeerConnection(self._count_received(number), since)
                for number, since in self._accepted.items()
            }
            chosen = choose_surplus(connections, newest)
            del self._accepted[chosen]
            self._metrics.closed_holders.labels("peers").inc()
            opened = self._open(chosen)
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
