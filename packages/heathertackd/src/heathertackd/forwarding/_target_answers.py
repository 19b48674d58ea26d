"""Passes on what targets say of themselves in the headers of their answers."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from heathertack.controllers import TargetAnswered
from heathertack.messages import RelayedPause
from heathertackd._instance import Instance
from heathertackd.forwarding._dialect import ResponseHead


class TargetAnswers:
    """Reports what targets say of themselves to the controllers of an instance.

    Parameters
    ----------
    instance : Instance
        The daemon.
    """

    def __init__(self, instance: Instance) -> None:
        self._instance = instance

    def handle_answer(self, target: str, head: ResponseHead, sent_at: float) -> None:
        """Handle the header of an answer."""
        rate = self._read_limit(target, head, "request_rate", head.request_rate)
        bound = self._read_limit(target, head, "rejection_bound", head.rejection_bound)
        # Targets may refuse requests without their usual headers.
        is_usual = not head.has_not_run
        if isinstance(rate, Success) and (is_usual or rate.unwrap() is not None):
            answer = TargetAnswered(target, rate.unwrap(), sent_at)
            self._instance.record_target_answer(answer)
        if isinstance(bound, Success) and (is_usual or bound.unwrap() is not None):
            answer = TargetAnswered(target, bound.unwrap(), sent_at)
            self._instance.record_rejection_bound(answer)

    def _read_limit(
        self,
        target: str,
        head: ResponseHead,
        name: str,
        limit: Result[float | None, str],
    ) -> Result[float | None, str]:
        """Return a limit that an answer names, and log if it can't be read."""
        if isinstance(limit, Failure):
            self._instance.logger.warning(
                "target_limit_unreadable",
                target=target,
                request_id=head.request_id,
                limit=name,
                detail=limit.failure(),
            )
        return limit

    def handle_leaving(self, target: str, address: str) -> None:
        """Handle an answer in which a target says that it is about to leave."""
        self._instance.record_leaving_target(target, address)

    def handle_pause(self, target: str, head: ResponseHead, relay: str) -> None:
        """Handle the time for which a target wants no requests, if it names one."""
        if isinstance(head.pause, Failure):
            self._instance.logger.warning(
                "target_pause_unreadable", target=target, detail=head.pause.failure()
            )
            return
        seconds = head.pause.unwrap()
        if seconds is not None:
            self._instance.record_target_pause(target, seconds)
            if relay:
                self._instance.send(relay, RelayedPause(target, seconds))
