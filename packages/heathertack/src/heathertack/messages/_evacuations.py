"""Messages about orders that evacuate or readmit a failure domain.

They are messages of their own, which instances of older builds ignore.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class EvacuationStatus(StrEnum):
    """Outcome of an evacuation order at the instance that was asked."""

    #: The order is committed.
    DONE = "done"
    #: The request carried outdated values; the reply has the current ones.
    STALE = "stale"
    NOT_LEADER = "not_leader"
    #: The leader lost its lead before the order was committed.
    UNAVAILABLE = "unavailable"


class EvacuationRequest(NamedTuple):
    """Asks the leader to evacuate or readmit a failure domain.

    Term and sequence are those that the leader named last; 0 and 0 ask for them.
    """

    request_id: str
    domain: str
    #: Whether the domain is to be evacuated; otherwise it is readmitted.
    evacuated: bool
    term: int
    sequence: int


class EvacuationReply(NamedTuple):
    """Response to an evacuation request."""

    request_id: str
    status: EvacuationStatus
    #: Instance that leads, empty if unknown.
    leader: str
    #: Term of the leader; 0 if the sender does not lead.
    term: int
    #: Number of evacuation orders that the leader accepted in this term.
    sequence: int
