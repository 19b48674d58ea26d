"""Counts and logs what callers send that is no request."""

from __future__ import annotations

from heathertackd import _clock
from heathertackd._line_limit import LineLimit
from heathertackd._logs import Logger
from heathertackd._metrics import Metrics

#: Interval at which unreadable requests are logged, seconds.
_INTERVAL_SECONDS = 1.0


class RequestErrorLog:
    """Counts unreadable requests, and logs one of them in an interval.

    Parameters
    ----------
    logger : Logger
        Logger of the instance.
    metrics : Metrics
        Counts the requests.
    """

    def __init__(self, logger: Logger, metrics: Metrics) -> None:
        self._logger = logger
        self._metrics = metrics
        self._limit = LineLimit(_INTERVAL_SECONDS)

    def record(self, peer: str, detail: str) -> None:
        """Record bytes that are no request.

        Parameters
        ----------
        peer : str
            Address of the caller.
        detail : str
            What is wrong with them.
        """
        self._metrics.unreadable_requests.inc()
        count = self._limit.admit("", _clock.monotonic())
        if count:
            self._logger.info(
                "request_unreadable", peer=peer, detail=detail, count=count
            )
