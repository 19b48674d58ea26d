"""Addresses on loopback at which no connection can be opened."""

from __future__ import annotations

import socket


class RefusedAddress:
    """An address at which connections are refused, and that no other socket gets.

    Parameters
    ----------
    host : str
        Host of the address.
    port : int
        Port of the address, 0 for any that is free.
    """

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((host, port))
        self.address = _format_name(self._socket)

    def close(self) -> None:
        """Release the address."""
        self._socket.close()


class SilentAddress:
    """An address at which attempts to connect get no answer.

    The queue of its listening socket is full, so the kernel drops further attempts.

    Parameters
    ----------
    host : str
        Host of the address.
    port : int
        Port of the address, 0 for any that is free.
    """

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((host, port))
        # A queue of length 0 holds one connection.
        self._socket.listen(0)
        self.address = _format_name(self._socket)
        self._queued = socket.create_connection(self._socket.getsockname())

    def close(self) -> None:
        """Release the address."""
        self._queued.close()
        self._socket.close()


def _format_name(bound: socket.socket) -> str:
    host, port = bound.getsockname()
    return f"{host}:{port}"
