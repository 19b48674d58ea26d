"""Sockets that detect peers which stop responding without closing."""

from __future__ import annotations

import socket
from typing import Any

#: Time after which a peer that does not respond counts as dead, seconds. It runs from
#: the first byte that the peer does not acknowledge, or that it has no room for, and on
#: an idle connection from the last segment of the peer.
_DEAD_PEER_SECONDS = 3
_PROBE_INTERVAL_SECONDS = 1
#: Where ``TCP_USER_TIMEOUT`` is set, it decides when Linux gives up on probes, whatever
#: their number. This is the number of those that fit.
_MAX_LOST_PROBES = _DEAD_PEER_SECONDS // _PROBE_INTERVAL_SECONDS - 1
_MS_PER_SECOND = 1000
#: The kernel doubles the sizes that it is given, for its own structures.
_KERNEL_FACTOR = 2


def detect_dead_peer(opened: socket.socket) -> None:
    """Make a socket close its connection once the peer does not respond.

    A peer whose process is silent responds: its kernel acknowledges probes.
    """
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_INTERVAL_SECONDS)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_SECONDS)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _MAX_LOST_PROBES)
    timeout = _DEAD_PEER_SECONDS * _MS_PER_SECOND
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout)


def limit_buffers(opened: Any, size: int | None) -> None:
    """Limit both buffers of a socket, and of those that a listening one accepts.

    The kernel would otherwise let them grow to several megabytes while the other side
    does not read, or this process does not.

    Parameters
    ----------
    opened : socket.socket or asyncio.trsock.TransportSocket
        The socket.
    size : int or None
        Size of each buffer, bytes; ``None`` leaves them to the kernel.
    """
    if size is None:
        return
    for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
        opened.setsockopt(socket.SOL_SOCKET, option, size // _KERNEL_FACTOR)
