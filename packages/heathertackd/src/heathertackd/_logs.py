"""Structured logs: one line of key=value pairs for each event."""

from __future__ import annotations

import logging
from collections.abc import MutableMapping
from typing import Any, TextIO, cast

import structlog

from heathertackd._library_logs import route_library_logs
from heathertackd._log_writer import LogWriter

#: File descriptor of standard output.
_STANDARD_OUTPUT = 1
#: Maximum time to wait until a slow reader has taken the last lines.
_CLOSE_TIMEOUT_SECONDS = 1.0

#: Maximum length of one value, characters, and of a line, bytes: callers choose ids,
#: paths and the parts of prompts.
MAX_VALUE_CHARACTERS = 512
MAX_LINE_BYTES = 4000
_CUT = "..."

Logger = structlog.typing.FilteringBoundLogger


_writer: LogWriter | None = None


def configure_logs(instance: str, level: str) -> Logger:
    """Send logs to standard output.

    Parameters
    ----------
    instance : str
        Name added to every line.
    level : str
        Lowest level that is written.

    Returns
    -------
    Logger
        Logger of the instance.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            shorten_values,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "instance", "event"],
                bool_as_flag=False,
            ),
            shorten_line,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(file=_open_writer()),
    )
    logger: Logger = structlog.get_logger(instance=instance)
    route_library_logs(logger)
    return logger


def shorten_values(
    logger: Any, name: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Cut off the end of long texts in a line."""
    del logger, name
    for key, value in event.items():
        if isinstance(value, str) and len(value) > MAX_VALUE_CHARACTERS:
            event[key] = value[:MAX_VALUE_CHARACTERS] + _CUT
    return event


def shorten_line(logger: Any, name: str, line: Any) -> str:
    """Cut off the end of a line that is still too long."""
    del logger, name
    encoded = str(line).encode(errors="replace")
    if len(encoded) <= MAX_LINE_BYTES:
        return str(line)
    return encoded[:MAX_LINE_BYTES].decode(errors="ignore") + _CUT


def close_logs() -> None:
    """Write the queued lines before the process exits."""
    if _writer is not None:
        _writer.close(_CLOSE_TIMEOUT_SECONDS)


def _open_writer() -> TextIO:
    """Return the log writer of the process, created at the first call."""
    global _writer  # noqa: PLW0603
    if _writer is None:
        _writer = LogWriter(_STANDARD_OUTPUT)
    return cast(TextIO, _writer)
