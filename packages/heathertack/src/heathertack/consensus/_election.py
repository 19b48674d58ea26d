"""Election with pre-vote."""

from __future__ import annotations

from heathertack.consensus._core import ReplicaCore
from heathertack.consensus._messages import VoteRequest, VoteResponse
from heathertack.consensus._types import HardState, Role

#: Time after the start of a pre-vote, in heartbeat intervals, in which a replica grants
#: no pre-vote to a candidate that it ranks below itself. Replicas whose timers expire
#: together would otherwise split the votes.
_PRECEDENCE_HEARTBEATS = 2.0


class Election:
    """Requests votes and answers vote requests."""

    def __init__(self, core: ReplicaCore) -> None:
        self._core = core
        self._votes: set[str] = set()
        self._pre_vote_started_at = float("-inf")

    @property
    def has_quorum(self) -> bool:
        """Whether a majority of the voters granted their vote in the current round."""
        membership = self._core.membership
        granted = self._votes.intersection(membership.voters)
        return len(granted) >= membership.quorum

    def start_pre_vote(self, now: float) -> None:
        """Check whether an election could be won, without starting a new term."""
        core = self._core
        core.role = Role.PRE_CANDIDATE
        core.leader = ""
        self._pre_vote_started_at = now
        core.restart_election_timer(now)
        self._request_votes(pre_vote=True, term=core.term + 1)

    def start_vote(self, now: float) -> None:
        """Start a new term and request votes in it."""
        core = self._core
        core.role = Role.CANDIDATE
        core.restart_election_timer(now)
        core.save_hard_state(HardState(core.term + 1, core.name))
        self._request_votes(pre_vote=False, term=core.term)

    def handle_request(self, request: VoteRequest, now: float) -> None:
        """Answer a vote request; ignore it while a leader may hold a lease."""
        core = self._core
        if self._may_have_leader(now):
            return
        if request.term > core.term and not request.pre_vote:
            core.become_follower(request.term, "", now)
        granted = self._can_grant(request) and not self._has_precedence(request, now)
        if granted and request.pre_vote and core.role is Role.PRE_CANDIDATE:
            core.become_follower(core.term, "", now)
        if granted and not request.pre_vote:
            core.save_hard_state(HardState(request.term, request.candidate))
            core.restart_election_timer(now)
        term = request.term if granted else core.term
        response = VoteResponse(term, core.name, granted, request.pre_vote)
        core.send(request.candidate, response)

    def handle_response(self, response: VoteResponse, now: float) -> None:
        """Count a vote."""
        core = self._core
        if not response.granted:
            if response.term > core.term:
                core.become_follower(response.term, "", now)
            return
        expected_role = Role.PRE_CANDIDATE if response.pre_vote else Role.CANDIDATE
        expected_term = core.term + 1 if response.pre_vote else core.term
        if core.role is expected_role and response.term == expected_term:
            self._votes.add(response.voter)

    def _request_votes(self, *, pre_vote: bool, term: int) -> None:
        core = self._core
        self._votes = {core.name}
        log = core.log
        request = VoteRequest(term, core.name, log.last_index, log.last_term, pre_vote)
        for voter in core.membership.voters:
            if voter != core.name:
                core.send(voter, request)

    def _may_have_leader(self, now: float) -> bool:
        """Return whether a leader may hold a lease that depends on this replica."""
        core = self._core
        if core.role is Role.LEADER:
            return False
        return now - core.last_leader_contact < core.timings.min_election_timeout

    def _has_precedence(self, request: VoteRequest, now: float) -> bool:
        """Return whether this replica goes first in a pre-vote that it just started."""
        core = self._core
        if not request.pre_vote or core.role is not Role.PRE_CANDIDATE:
            return False
        window = _PRECEDENCE_HEARTBEATS * core.timings.heartbeat_interval
        if now - self._pre_vote_started_at >= window:
            return False
        own = (core.log.last_term, core.log.last_index, core.name)
        return own > (request.last_term, request.last_index, request.candidate)

    def _can_grant(self, request: VoteRequest) -> bool:
        core = self._core
        if request.term < core.term:
            return False
        if not request.pre_vote and core.hard_state.vote not in ("", request.candidate):
            return False
        if request.pre_vote and request.term == core.term:
            return False
        own = (core.log.last_term, core.log.last_index)
        return (request.last_term, request.last_index) >= own
