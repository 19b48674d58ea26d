"""Log of the bundles that the leader sends to instances."""

from __future__ import annotations

from typing import NamedTuple

from heathertack.messages import LeaseGrant
from heathertackd._logs import Logger

#: Time over which the messages for one bundle are counted in one line.
_LOG_INTERVAL_SECONDS = 0.5


class _PushKind(NamedTuple):
    """What a message contains."""

    log_index: int
    #: Bundle to which the changes apply; 0 for a whole bundle.
    base_index: int
    #: Bytes of the packed bundle or changes.
    size: int


class PushLog:
    """Counts the messages that contain a bundle, and logs them once per interval.

    Parameters
    ----------
    logger : Logger
        Logger of the instance.
    """

    def __init__(self, logger: Logger) -> None:
        self._logger = logger
        self._counts: dict[_PushKind, int] = {}
        self._next_flush = 0.0

    def add(self, grant: LeaseGrant) -> None:
        """Count a grant if it contains a bundle or changes."""
        push = grant.bundle
        if push is not None:
            kind = _PushKind(push.log_index, push.base_index, len(push.data))
            self._counts[kind] = self._counts.get(kind, 0) + 1

    def flush(self, now: float) -> None:
        """Log what was counted, unless it was done a short time ago.

        Parameters
        ----------
        now : float
            Monotonic clock, seconds.
        """
        if not self._counts or now < self._next_flush:
            return
        self._next_flush = now + _LOG_INTERVAL_SECONDS
        for kind, messages in self._counts.items():
            self._logger.info(
                "bundle_pushed",
                log_index=kind.log_index,
                base_index=kind.base_index,
                is_whole=kind.base_index == 0,
                messages=messages,
                bytes=kind.size * messages,
            )
        self._counts.clear()
