"""Writes log lines without blocking the caller on a slow reader."""

from __future__ import annotations

import os
import threading
from collections import deque

#: Maximum number and size of the lines queued for a slow reader.
_MAX_QUEUED_LINES = 8000
_MAX_QUEUED_CHARACTERS = 2 * 1024 * 1024


class LogWriter:
    """A file for log lines with a bounded queue and a thread that writes.

    Parameters
    ----------
    descriptor : int
        Open file to write to.
    max_queued_lines : int
        Maximum number of queued lines; further ones are dropped and counted.
    max_queued_characters : int
        Maximum size of all queued lines together, in the same way.
    """

    def __init__(
        self,
        descriptor: int,
        max_queued_lines: int = _MAX_QUEUED_LINES,
        max_queued_characters: int = _MAX_QUEUED_CHARACTERS,
    ) -> None:
        self._descriptor = descriptor
        self._max_queued_lines = max_queued_lines
        self._max_queued_characters = max_queued_characters
        #: Characters that were queued, and of these the ones that were written: each is
        #: changed by one thread only.
        self._queued_characters = 0
        self._taken_characters = 0
        self._lines: deque[str] = deque()
        self._dropped = 0
        self._has_lines = threading.Event()
        self._is_closing = False
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    @property
    def dropped(self) -> int:
        """Number of dropped lines that the log does not report yet."""
        return self._dropped

    def write(self, text: str) -> int:
        """Queue a line, or drop it if the queue is full."""
        waiting = self._queued_characters - self._taken_characters
        if (
            len(self._lines) >= self._max_queued_lines
            or waiting + len(text) > self._max_queued_characters
        ):
            self._dropped += 1
            return 0
        self._queued_characters += len(text)
        self._lines.append(text)
        self._has_lines.set()
        return len(text)

    def flush(self) -> None:
        """Do nothing: the thread writes queued lines as soon as it can."""

    def close(self, timeout: float) -> None:
        """Write the queued lines; wait at most ``timeout`` seconds for that."""
        self._is_closing = True
        self._has_lines.set()
        self._thread.join(timeout)

    def _run(self) -> None:
        while not (self._is_closing and not self._lines):
            self._has_lines.wait()
            self._has_lines.clear()
            self._write_queued()

    def _write_queued(self) -> None:
        """Write all queued lines in as few calls as possible."""
        while self._lines:
            count = len(self._lines)
            lines = [self._lines.popleft() for _ in range(count)]
            taken = sum(map(len, lines))
            if self._dropped:
                lines.append(
                    f"level=warning event=log_lines_dropped n={self._dropped}\n"
                )
                self._dropped = 0
            _write_all(self._descriptor, "".join(lines).encode(errors="replace"))
            self._taken_characters += taken


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        try:
            view = view[os.write(descriptor, view) :]
        except OSError:
            # The output has no reader any more; the daemon continues without logs.
            return
