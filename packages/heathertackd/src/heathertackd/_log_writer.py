"""Writes log lines without ever waiting for whoever reads them."""

from __future__ import annotations

import os
import threading
from collections import deque

#: Lines that wait for a slow reader, about 2 MB.
_MOST_WAITING_LINES = 8000


class LogWriter:
    """A file for log lines with a bounded queue and a thread that writes.

    Parameters
    ----------
    descriptor : int
        Open file to write to.
    most_waiting : int
        Lines that may wait; further ones are dropped and counted.
    """

    def __init__(
        self, descriptor: int, most_waiting: int = _MOST_WAITING_LINES
    ) -> None:
        self._descriptor = descriptor
        self._most_waiting = most_waiting
        self._lines: deque[str] = deque()
        self._dropped = 0
        self._has_lines = threading.Event()
        self._is_closing = False
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    @property
    def dropped(self) -> int:
        """Lines that were dropped since the last one that was written."""
        return self._dropped

    def write(self, text: str) -> int:
        """Queue a line; drop it if too many wait."""
        if len(self._lines) >= self._most_waiting:
            self._dropped += 1
            return 0
        self._lines.append(text)
        self._has_lines.set()
        return len(text)

    def flush(self) -> None:
        """Do nothing: the thread writes as soon as it can."""

    def close(self, timeout: float) -> None:
        """Write what waits, for at most some seconds."""
        self._is_closing = True
        self._has_lines.set()
        self._thread.join(timeout)

    def _run(self) -> None:
        while not (self._is_closing and not self._lines):
            self._has_lines.wait()
            self._has_lines.clear()
            self._write_waiting()

    def _write_waiting(self) -> None:
        """Write all lines that wait in as few calls as possible."""
        while self._lines:
            count = len(self._lines)
            lines = [self._lines.popleft() for _ in range(count)]
            if self._dropped:
                lines.append(
                    f"level=warning event=log_lines_dropped n={self._dropped}\n"
                )
                self._dropped = 0
            _write_all(self._descriptor, "".join(lines).encode(errors="replace"))


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        try:
            view = view[os.write(descriptor, view) :]
        except OSError:
            # Nobody reads the log any more; the daemon goes on without it.
            return
