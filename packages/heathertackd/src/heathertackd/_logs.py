"""Structured logs: one line of key=value pairs for each event."""

from __future__ import annotations

import logging
import sys

import structlog

Logger = structlog.typing.FilteringBoundLogger


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
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "instance", "event"],
                bool_as_flag=False,
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stdout),
    )
    logger: Logger = structlog.get_logger(instance=instance)
    return logger
