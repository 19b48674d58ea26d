"""Sockets whose peer may fall silent without closing the connection."""

from __future__ import annotations

import socket
from typing import Any

#: Unacknowledged bytes end a connection after this time, milliseconds.
_USER_TIMEOUT_MILLISECONDS = 3000
#: Idle connections are probed each second, and ended after the third silence.
_PROBE_SECONDS = 1
_PROBES = 3


def open_target_socket(address_info: Any) -> socket.socket:
    """Return a socket for a connection to a target."""
    family, kind, protocol, _, _ = address_info
    opened = socket.socket(family, kind, protocol)
    watch_silence(opened)
    return opened


def watch_silence(opened: socket.socket) -> None:
    """End a connection whose peer is gone without a word."""
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_SECONDS)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_SECONDS)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES)
    timeout = _USER_TIMEOUT_MILLISECONDS
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout)
