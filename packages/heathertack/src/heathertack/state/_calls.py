"""Records of calls that must not run twice."""

from __future__ import annotations

from heathertack.state._commands import (
    ClaimCall,
    MarkOwnerLost,
    RecordOutcome,
    SettleCall,
)
from heathertack.state._records import CallRecord, CallState
from heathertack.state._results import (
    CallFound,
    ClaimGranted,
    Done,
    NotFound,
    Result,
)

_MAX_ABANDONED_CLAIMS = 4096

CallKey = tuple[str, str]


class CallTable:
    """Call records by client account and idempotency key."""

    def __init__(
        self, records: tuple[CallRecord, ...], abandoned: tuple[str, ...] = ()
    ) -> None:
        self._abandoned = dict.fromkeys(abandoned)
        self._records: dict[CallKey, CallRecord] = {
            (record.account, record.key): record for record in records
        }

    def __len__(self) -> int:
        return len(self._records)

    @property
    def records(self) -> tuple[CallRecord, ...]:
        """All records, in the order of their claims."""
        return tuple(self._records.values())

    @property
    def abandoned_claims(self) -> tuple[str, ...]:
        """Claims that were abandoned before they were committed, oldest first."""
        return tuple(self._abandoned)

    def find(self, account: str, key: str) -> CallRecord | None:
        """Return the record of a key, or ``None`` if there is none."""
        return self._records.get((account, key))

    def claim(self, command: ClaimCall) -> Result:
        """Grant the first claim of a key; grant it again if its message is repeated."""
        existing = self.find(command.account, command.key)
        if command.claim_id in self._abandoned:
            return NotFound(f"claim {command.claim_id}")
        if existing is None:
            self._store(_new_record(command))
            return ClaimGranted(command.claim_id)
        is_repeated = existing.claim_id == command.claim_id
        if is_repeated and existing.state is CallState.RUNNING:
            return ClaimGranted(command.claim_id)
        return CallFound(existing)

    def record_outcome(self, command: RecordOutcome) -> Result:
        """Record the outcome of a call; release the key of one that did not run."""
        record = self.find(command.account, command.key)
        if record is None or record.claim_id != command.claim_id:
            if command.outcome is None and not command.is_unknown:
                self._abandon(command.claim_id)
            return NotFound(f"claim {command.claim_id}")
        if record.state is CallState.FINISHED or record.state is CallState.SETTLED:
            return Done(changed=0)
        if command.is_unknown:
            self._store(record._replace(state=CallState.UNKNOWN))
        elif command.outcome is None:
            del self._records[(record.account, record.key)]
        else:
            state = CallState.FINISHED
            self._store(record._replace(state=state, outcome=command.outcome))
        return Done()

    def mark_owner_lost(self, command: MarkOwnerLost) -> Result:
        """Mark the running calls of a lost process as unknown."""
        lost = [r for r in self._records.values() if _is_owner_lost(r, command)]
        for record in lost:
            self._store(record._replace(state=CallState.UNKNOWN))
        return Done(changed=len(lost))

    def settle(self, command: SettleCall) -> Result:
        """Settle an unknown call; release the key of one that did not run."""
        record = self.find(command.account, command.key)
        if record is None or record.state is not CallState.UNKNOWN:
            return NotFound(f"unknown call {command.key}")
        if command.ran:
            state = CallState.SETTLED
            self._store(record._replace(state=state, note=command.note))
        else:
            del self._records[(record.account, record.key)]
        return Done()

    def expire(self, before: float) -> int:
        """Remove finished and settled calls that were claimed before a time."""
        ended = (CallState.FINISHED, CallState.SETTLED)
        expired = [
            key
            for key, record in self._records.items()
            if record.state in ended and record.claimed_at < before
        ]
        for key in expired:
            del self._records[key]
        return len(expired)

    def _abandon(self, claim_id: str) -> None:
        """Refuse a claim from now on, because its message may still arrive."""
        self._abandoned[claim_id] = None
        while len(self._abandoned) > _MAX_ABANDONED_CLAIMS:
            del self._abandoned[next(iter(self._abandoned))]

    def _store(self, record: CallRecord) -> None:
        self._records[(record.account, record.key)] = record


def _new_record(command: ClaimCall) -> CallRecord:
    return CallRecord(
        account=command.account,
        key=command.key,
        service=command.service,
        body_digest=command.body_digest,
        claim_id=command.claim_id,
        owner=command.owner,
        owner_incarnation=command.owner_incarnation,
        state=CallState.RUNNING,
        outcome=None,
        claimed_at=command.at,
    )


def _is_owner_lost(record: CallRecord, command: MarkOwnerLost) -> bool:
    is_owner = record.owner == command.instance
    is_lost_incarnation = record.owner_incarnation <= command.incarnation
    return record.state is CallState.RUNNING and is_owner and is_lost_incarnation
