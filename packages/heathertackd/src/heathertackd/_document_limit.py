"""Limits the documents of operators that are being applied at one time."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from heathertackd import _clock
from heathertackd._line_limit import LineLimit
from heathertackd._logs import Logger
from heathertackd._metrics import Metrics

_LOG_INTERVAL_SECONDS = 1.0


class DocumentLimit:
    """Limits the size of all documents that are decoded, or wait for a leader.

    They are kept after their connections have closed, and take several times their size
    once they are decoded.

    Parameters
    ----------
    max_bytes : int or None
        Maximum size of all of them, bytes; ``None`` for no limit. A single document may
        be larger.
    metrics : Metrics
        Counts the documents that are refused.
    logger : Logger
        Logger of the instance.
    """

    def __init__(self, max_bytes: int | None, metrics: Metrics, logger: Logger) -> None:
        self._max_bytes = max_bytes
        self._metrics = metrics
        self._logger = logger
        self._open_bytes = 0
        self._line_limit = LineLimit(_LOG_INTERVAL_SECONDS)

    @contextmanager
    def hold(self, size: int) -> Iterator[bool]:
        """Hold a document in a context, and return whether there is room for it.

        Parameters
        ----------
        size : int
            Size of the document, bytes.
        """
        if not self._has_room(size):
            self._metrics.refused_documents.inc()
            count = self._line_limit.admit("", _clock.monotonic())
            if count:
                self._logger.warning(
                    "document_refused",
                    bytes=size,
                    open_bytes=self._open_bytes,
                    max_bytes=self._max_bytes,
                    count=count,
                )
            yield False
            return
        self._open_bytes += size
        try:
            yield True
        finally:
            self._open_bytes -= size

    def _has_room(self, size: int) -> bool:
        if self._max_bytes is None or not self._open_bytes:
            return True
        return self._open_bytes + size <= self._max_bytes
