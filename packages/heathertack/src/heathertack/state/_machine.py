"""State machine that applies committed commands in log order."""

from __future__ import annotations

from typing import NamedTuple, assert_never

import msgspec

from heathertack.state._calls import CallTable
from heathertack.state._commands import (
    ApplyBundle,
    BarReplica,
    ClaimCall,
    ClearQuarantine,
    Command,
    ExpireRecords,
    MarkOwnerLost,
    RecordOutcome,
    RecordServiceVersions,
    ReportTargetLoss,
    SetDraining,
    SettleCall,
)
from heathertack.state._records import (
    AcceptedBundle,
    BundleHeader,
    CallRecord,
    LossRecord,
    VersionRecord,
)
from heathertack.state._results import (
    BundleAccepted,
    BundleRejected,
    Done,
    LossRecorded,
    NotFound,
    Result,
)

_MAX_HISTORY_LENGTH = 50
#: Number of removed replicas that are remembered.
_MAX_BARRED_REPLICAS = 1000
#: Time for which a version without targets is remembered, seconds: longer than a
#: stream that one of them began can last, with the error of the leaders' clocks.
_VERSION_RETENTION_SECONDS = 180.0
#: Prefix of the names under which evacuated failure domains stand among the draining
#: instances, where builds without evacuations keep them and match them with nothing.
_DOMAIN_PREFIX = "failure-domain/"


class _SnapshotData(NamedTuple):
    """Content of a snapshot of the state machine."""

    bundle: AcceptedBundle | None
    history: tuple[BundleHeader, ...]
    calls: tuple[CallRecord, ...]
    abandoned_claims: tuple[str, ...]
    losses: tuple[LossRecord, ...]
    draining: tuple[str, ...]
    barred_replicas: tuple[str, ...]
    versions: tuple[VersionRecord, ...] = ()


class ControlStateMachine:
    """Replicated state: bundles, calls, quarantined requests, draining instances."""

    def __init__(self) -> None:
        self._bundle: AcceptedBundle | None = None
        self._history: tuple[BundleHeader, ...] = ()
        self._calls = CallTable(())
        self._losses: dict[str, LossRecord] = {}
        self._draining: frozenset[str] = frozenset()
        #: In the order of their removal.
        self._barred_replicas: tuple[str, ...] = ()
        self._versions: tuple[VersionRecord, ...] = ()

    @property
    def bundle(self) -> AcceptedBundle | None:
        """The current bundle."""
        return self._bundle

    @property
    def history(self) -> tuple[BundleHeader, ...]:
        """Headers of the latest accepted bundles, oldest first."""
        return self._history

    @property
    def calls(self) -> CallTable:
        """Calls that must not run twice."""
        return self._calls

    @property
    def losses(self) -> tuple[LossRecord, ...]:
        """Requests during which targets were lost."""
        return tuple(self._losses.values())

    @property
    def versions(self) -> tuple[VersionRecord, ...]:
        """Versions that targets of each service have, or had lately."""
        return self._versions

    @property
    def draining(self) -> frozenset[str]:
        """Instances that an operator marked as draining."""
        return frozenset(n for n in self._draining if not n.startswith(_DOMAIN_PREFIX))

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains whose targets must get no new requests."""
        return frozenset(
            name.removeprefix(_DOMAIN_PREFIX)
            for name in self._draining
            if name.startswith(_DOMAIN_PREFIX)
        )

    @property
    def barred_replicas(self) -> frozenset[str]:
        """Removed replicas that cannot join again."""
        return frozenset(self._barred_replicas)

    def apply(self, index: int, command: Command) -> Result:
        """Apply the command at a log index and return its result."""
        match command:
            case ApplyBundle():
                return self._apply_bundle(index, command)
            case ClaimCall():
                return self._calls.claim(command)
            case RecordOutcome():
                return self._calls.record_outcome(command)
            case MarkOwnerLost():
                return self._calls.mark_owner_lost(command)
            case SettleCall():
                return self._calls.settle(command)
            case ReportTargetLoss():
                return self._report_loss(command)
            case ClearQuarantine():
                return self._clear_quarantine(command)
            case ExpireRecords():
                return self._expire(command)
            case SetDraining():
                return self._set_draining(command)
            case RecordServiceVersions():
                return self._record_versions(command)
            case BarReplica():
                return self._bar_replica(command)
            case _:
                assert_never(command)

    def find_result(self, command: Command) -> Result | None:
        """Return the result of a command that would change nothing.

        ``None`` if the command must be applied.
        """
        current = self._bundle
        if not isinstance(command, ApplyBundle) or current is None:
            return None
        if command.version > current.version:
            return None
        return _resolve_old_version(command, current)

    def encode_snapshot(self) -> bytes:
        """Encode the whole state."""
        data = _SnapshotData(
            self._bundle,
            self._history,
            self._calls.records,
            self._calls.abandoned_claims,
            self.losses,
            tuple(sorted(self._draining)),
            self._barred_replicas,
            self._versions,
        )
        # Without the last field, earlier builds can read the snapshot.
        return msgspec.msgpack.encode(data if self._versions else data[:-1])

    def restore_snapshot(self, encoded: bytes) -> None:
        """Replace the whole state; empty bytes represent the empty state."""
        data = _SnapshotData(None, (), (), (), (), (), ())
        if encoded:
            data = msgspec.msgpack.decode(encoded, type=_SnapshotData)
        self._bundle = data.bundle
        self._history = data.history
        self._calls = CallTable(data.calls, data.abandoned_claims)
        self._losses = {record.fingerprint: record for record in data.losses}
        self._draining = frozenset(data.draining)
        self._barred_replicas = data.barred_replicas
        self._versions = data.versions

    def _apply_bundle(self, index: int, command: ApplyBundle) -> Result:
        known = self.find_result(command)
        if known is not None:
            return known
        accepted = AcceptedBundle(
            index, command.version, command.digest, command.signed, command.at
        )
        header = BundleHeader(
            index,
            command.version,
            command.digest,
            command.signed.operator,
            command.at,
        )
        self._bundle = accepted
        self._history = (*self._history, header)[-_MAX_HISTORY_LENGTH:]
        return BundleAccepted(command.version, command.digest, index)

    def _report_loss(self, command: ReportTargetLoss) -> Result:
        record = self._losses.get(command.fingerprint)
        losses = record.losses if record is not None else ()
        if command.loss not in losses:
            losses = (*losses, command.loss)
        self._losses[command.fingerprint] = LossRecord(
            command.fingerprint, command.account, losses, command.at
        )
        return LossRecorded(len(losses))

    def _clear_quarantine(self, command: ClearQuarantine) -> Result:
        if self._losses.pop(command.fingerprint, None) is None:
            return NotFound(f"fingerprint {command.fingerprint}")
        return Done()

    def _expire(self, command: ExpireRecords) -> Result:
        changed = self._calls.expire(command.calls_before)
        kept = {
            fingerprint: record
            for fingerprint, record in self._losses.items()
            if record.last_at >= command.losses_before
        }
        changed += len(self._losses) - len(kept)
        self._losses = kept
        return Done(changed)

    def _record_versions(self, command: RecordServiceVersions) -> Result:
        listed = set(command.listed)
        left = tuple(
            record._replace(listed_until=command.at)
            if record.listed_until is None
            else record
            for record in self._versions
            if (record.service, record.version) not in listed
        )
        oldest = command.at - _VERSION_RETENTION_SECONDS
        self._versions = (
            *(VersionRecord(service, version) for service, version in sorted(listed)),
            *(record for record in left if (record.listed_until or 0.0) >= oldest),
        )
        return Done()

    def _bar_replica(self, command: BarReplica) -> Result:
        others = tuple(r for r in self._barred_replicas if r != command.replica)
        self._barred_replicas = (*others, command.replica)[-_MAX_BARRED_REPLICAS:]
        return Done()

    def _set_draining(self, command: SetDraining) -> Result:
        if command.draining:
            self._draining |= {command.instance}
        else:
            self._draining -= {command.instance}
        return Done()


def order_evacuation(domain: str, *, evacuated: bool) -> SetDraining:
    """Return the command that evacuates or readmits a failure domain."""
    return SetDraining(_DOMAIN_PREFIX + domain, evacuated)


def _resolve_old_version(command: ApplyBundle, current: AcceptedBundle) -> Result:
    """Return the result for a version that is not above the current one."""
    if command.version < current.version:
        return _reject("older", current)
    if command.digest == current.digest:
        return BundleAccepted(current.version, current.digest, current.log_index)
    return _reject("conflict", current)


def _reject(reason: str, current: AcceptedBundle) -> BundleRejected:
    return BundleRejected(
        reason,
        current.version,
        current.digest,
        current.signed.operator,
        current.accepted_at,
    )
