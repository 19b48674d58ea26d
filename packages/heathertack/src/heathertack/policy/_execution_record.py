"""What the targets of one request were sent, and what they then said of it."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple


class SendOutcome(StrEnum):
    """What is known of one send of a request."""

    #: The target has not answered yet.
    PENDING = "pending"
    #: The target did not receive the request.
    NOT_SENT = "not_sent"
    #: The target said that it did not and will not run the request.
    NOT_RUN = "not_run"
    #: The target ran the request, or may have run it.
    MAY_HAVE_RUN = "may_have_run"


class _Send(NamedTuple):
    target: str
    #: Whether the target goes on with a run of another target.
    continues_run: bool
    outcome: SendOutcome


class ExecutionRecord:
    """Sends of one request, from which follows what a caller may be told.

    A request may have run unless each target that was sent it said otherwise.
    """

    def __init__(self) -> None:
        self._sends: list[_Send] = []

    @property
    def may_have_run(self) -> bool:
        """Whether some target ran the request, may have run it, or may still do so."""
        possible = (SendOutcome.PENDING, SendOutcome.MAY_HAVE_RUN)
        return any(send.outcome in possible for send in self._sends)

    @property
    def unreachable_count(self) -> int:
        """Number of sends that did not reach their target."""
        return sum(send.outcome is SendOutcome.NOT_SENT for send in self._sends)

    def start(self, target: str, *, continues_run: bool = False) -> None:
        """Record that the request is about to be sent to a target.

        Parameters
        ----------
        target : str
            Name of the target.
        continues_run : bool
            Whether the target goes on with a run of another target, from a copy of
            its memory.
        """
        self._sends.append(_Send(target, continues_run, SendOutcome.PENDING))

    def end(self, outcome: SendOutcome) -> None:
        """Record what became of the latest send.

        Raises
        ------
        IndexError
            If nothing was sent.
        """
        self._sends[-1] = self._sends[-1]._replace(outcome=outcome)

    def count_attempts(
        self, is_excluded: Callable[[str], bool] = lambda _: False
    ) -> int:
        """Return the number of attempts that were used.

        Sends that did not reach their target, and those that go on with a run, use
        none.

        Parameters
        ----------
        is_excluded : callable
            Returns whether a target does not count.
        """
        return sum(
            send.outcome is not SendOutcome.NOT_SENT
            and not send.continues_run
            and not is_excluded(send.target)
            for send in self._sends
        )
