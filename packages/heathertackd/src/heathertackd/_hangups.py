"""Notices that the other side closes a connection which is not being read.

An event loop learns of a close by reading, which stops while buffers are full.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable

_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class HangupWatcher:
    """Calls back when the other side of a watched connection has closed it."""

    def __init__(self) -> None:
        self._epoll: select.epoll | None = None
        self._callbacks: dict[int, Callable[[], None]] = {}

    def watch(self, descriptor: int, callback: Callable[[], None]) -> None:
        """Watch a socket until it is forgotten, which its owner does before it closes.

        Parameters
        ----------
        descriptor : int
            Descriptor of a connected socket.
        callback : callable
            Called once, when the other side has closed or reset the connection; bytes
            that it sent before may still be unread.

        Raises
        ------
        OSError
            If the process has no descriptor left.
        """
        if self._epoll is None:
            self._epoll = select.epoll()
            asyncio.get_running_loop().add_reader(self._epoll.fileno(), self._notify)
        if descriptor not in self._callbacks:
            self._epoll.register(descriptor, _EVENTS)
        self._callbacks[descriptor] = callback

    def forget(self, descriptor: int) -> None:
        """Stop to watch a socket; does nothing for one that is not watched."""
        if self._callbacks.pop(descriptor, None) is None or self._epoll is None:
            return
        self._epoll.unregister(descriptor)
        if not self._callbacks:
            asyncio.get_running_loop().remove_reader(self._epoll.fileno())
            self._epoll.close()
            self._epoll = None

    def _notify(self) -> None:
        if self._epoll is None:
            return
        for descriptor, _ in self._epoll.poll(0):
            callback = self._callbacks[descriptor]
            self.forget(descriptor)
            callback()
            if self._epoll is None:
                break
