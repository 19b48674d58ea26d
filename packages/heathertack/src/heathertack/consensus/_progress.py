"""Progress of the replication to one replica, as tracked by the leader."""

from __future__ import annotations

from typing import NamedTuple


class ReplicaProgress(NamedTuple):
    """Replication state of one replica."""

    #: First index not yet sent.
    next_index: int
    #: Last index known to be stored by the replica.
    match_index: int = 0
    #: Leader's clock when it sent the latest message that was answered.
    confirmed_at: float = float("-inf")
    #: Leader's clock when it sent the latest message that was accepted.
    accepted_at: float = float("-inf")
    #: Leader's clock when the latest response was received.
    last_response_at: float = float("-inf")
    #: Leader's clock when a snapshot was last sent.
    snapshot_sent_at: float = float("-inf")
