"""Lists the fingerprints and prompt parts to which target losses are attributed."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from heathertack.policy import CrashCause, LostRun, find_crash_causes
from heathertack.state import LossRecord, TargetLoss

#: Start of the fingerprints of prompt parts, and of forwarded requests. Those of
#: generations of the product's own interface have none.
_PART_PREFIX = "part:"
_REQUEST_PREFIX = "request:"
#: Start of an entry that names several parts, which are refused together.
_CAUSE_PREFIX = "cause:"
_SEPARATOR = "+"
#: Losses of one target that are further apart belong to different crashes: a target
#: that restarts may keep its name. Includes the difference between wall clocks.
_SAME_CRASH_SECONDS = 2.0
#: Time after the latest crash for which parts and requests are refused, seconds. It
#: doubles with each further crash.
_MIN_REFUSAL_SECONDS = 60.0
_MAX_REFUSAL_SECONDS = 3600.0
#: Number of crashes up to which the shortest time applies.
_SHORT_REFUSAL_CRASHES = 3
#: Maximum number of records; those with the fewest losses are evicted first, the
#: oldest of them first.
_MAX_LOSS_RECORDS = 256


class SuspectView(NamedTuple):
    """Target losses as published to all instances."""

    #: Number of losses by fingerprint of a request or a prompt part.
    losses: Mapping[str, int]
    causes: tuple[CrashCause, ...]


def part_fingerprint(digest: str) -> str:
    """Return the fingerprint of the prompt part with a digest."""
    return _PART_PREFIX + digest


def request_fingerprint(digest: str) -> str:
    """Return the fingerprint of the forwarded request with a digest."""
    return _REQUEST_PREFIX + digest


def build_target_loss(target: str, attempt: str, wall_time: float) -> TargetLoss:
    """Return the record of a target that was lost while it ran an attempt."""
    return TargetLoss(target, f"{wall_time:.3f}/{attempt}")


def list_suspects(
    records: Sequence[LossRecord], wall_time: float
) -> tuple[tuple[str, int], ...]:
    """Return what instances need to know of the recorded losses.

    Parameters
    ----------
    records : sequence of LossRecord
        Records of the state machine.
    wall_time : float
        Wall clock, seconds since the epoch.

    Returns
    -------
    tuple of (str, int)
        Fingerprints, and sets of parts to refuse, with their number of losses.
    """
    suspects = [
        (record.fingerprint, _count_losses(record, wall_time)) for record in records
    ]
    by_fingerprint = {record.fingerprint: record for record in records}
    for cause in find_crash_causes(_list_lost_runs(records)):
        latest = min(by_fingerprint[part].last_at for part in cause.parts)
        if wall_time < latest + _refusal_seconds(cause.crashes):
            suspects.append((_format_cause(cause), cause.crashes))
    return tuple(suspects)


def read_suspects(suspects: Mapping[str, int]) -> SuspectView:
    """Decode what :func:`list_suspects` returned."""
    causes = tuple(
        CrashCause(
            frozenset(entry.removeprefix(_CAUSE_PREFIX).split(_SEPARATOR)), crashes
        )
        for entry, crashes in suspects.items()
        if entry.startswith(_CAUSE_PREFIX)
    )
    losses = {
        entry: count
        for entry, count in suspects.items()
        if not entry.startswith(_CAUSE_PREFIX)
    }
    return SuspectView(losses, causes)


def find_surplus_records(records: Sequence[LossRecord]) -> tuple[str, ...]:
    """Return the fingerprints of the records to delete to stay within the limit."""
    surplus = len(records) - _MAX_LOSS_RECORDS
    if surplus <= 0:
        return ()
    by_value = sorted(records, key=lambda r: (len(r.losses), r.last_at))
    return tuple(record.fingerprint for record in by_value[:surplus])


def _refusal_seconds(crashes: int) -> float:
    doublings = max(crashes - _SHORT_REFUSAL_CRASHES, 0)
    return min(_MIN_REFUSAL_SECONDS * 2.0**doublings, _MAX_REFUSAL_SECONDS)


def _count_losses(record: LossRecord, wall_time: float) -> int:
    """Return the number of losses to publish.

    Equal requests may be sound and popular: several that are lost in one crash count
    once, and all are sent again when their time of refusal is over.
    """
    if not record.fingerprint.startswith(_REQUEST_PREFIX):
        return len(record.losses)
    crashes = len(set(_group_by_crash(record.losses).values()))
    is_over = wall_time >= record.last_at + _refusal_seconds(crashes)
    return min(crashes, 1) if is_over else crashes


def _format_cause(cause: CrashCause) -> str:
    return _CAUSE_PREFIX + _SEPARATOR.join(sorted(cause.parts))


def _list_lost_runs(records: Iterable[LossRecord]) -> tuple[LostRun, ...]:
    """Return the lost runs, each with those of its parts that still have a record."""
    parts_by_loss: dict[TargetLoss, set[str]] = {}
    for record in records:
        if record.fingerprint.startswith(_PART_PREFIX):
            for loss in record.losses:
                parts_by_loss.setdefault(loss, set()).add(record.fingerprint)
    crashes = _group_by_crash(parts_by_loss)
    return tuple(
        LostRun(crash, frozenset(parts_by_loss[loss]))
        for loss, crash in crashes.items()
    )


def _group_by_crash(losses: Iterable[TargetLoss]) -> dict[TargetLoss, str]:
    """Return the crash that each loss belongs to, oldest first."""
    crashes: dict[TargetLoss, str] = {}
    latest: dict[str, tuple[float, int]] = {}
    for loss in sorted(losses, key=_lost_at):
        lost_at = _lost_at(loss)
        crash_at, number = latest.get(loss.target, (float("-inf"), 0))
        if lost_at - crash_at > _SAME_CRASH_SECONDS:
            crash_at, number = lost_at, number + 1
            latest[loss.target] = (crash_at, number)
        crashes[loss] = f"{loss.target}/{number}"
    return crashes


def _lost_at(loss: TargetLoss) -> float:
    """Return the wall clock of a loss, seconds; 0 for attempts without a time."""
    try:
        return float(loss.attempt_id.partition("/")[0])
    except ValueError:
        return 0.0
