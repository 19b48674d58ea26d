"""Passes records of libraries on to the log of the instance."""

from __future__ import annotations

import logging
import traceback

from structlog.typing import FilteringBoundLogger

from heathertackd import _clock
from heathertackd._line_limit import LineLimit

#: Interval at which a record of the same place is logged again, seconds.
_INTERVAL_SECONDS = 10.0
_MAX_DETAIL_CHARACTERS = 500


class LibraryLogHandler(logging.Handler):
    """Logs the first record of each place in an interval, without its traceback.

    Libraries would write theirs to standard error, where a reader that does not read
    blocks the process, and callers decide how many there are.

    Parameters
    ----------
    logger : FilteringBoundLogger
        Logger of the instance.
    """

    def __init__(self, logger: FilteringBoundLogger) -> None:
        super().__init__()
        self._logger = logger
        self._limit = LineLimit(_INTERVAL_SECONDS)

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record, unless another one of its place was logged just now."""
        where = f"{record.pathname}:{record.lineno}"
        error = record.exc_info[1] if record.exc_info else None
        if error is not None:
            frames = traceback.extract_tb(error.__traceback__)
            where = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else where
        count = self._limit.admit((record.name, where), _clock.monotonic())
        if not count:
            return
        text = record.getMessage()
        detail = f"{text}: {error!r}" if error is not None else text
        self._logger.log(
            record.levelno,
            "library_message",
            library=record.name,
            detail=detail[:_MAX_DETAIL_CHARACTERS],
            where=where,
            count=count,
        )


def route_library_logs(logger: FilteringBoundLogger) -> None:
    """Pass the records of all libraries on to a logger.

    Parameters
    ----------
    logger : FilteringBoundLogger
        Logger of the instance; a later call replaces it.
    """
    root = logging.getLogger()
    for handler in root.handlers[:]:
        if isinstance(handler, LibraryLogHandler):
            root.removeHandler(handler)
    root.addHandler(LibraryLogHandler(logger))
    logging.captureWarnings(True)
