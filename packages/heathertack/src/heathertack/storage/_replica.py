"""Log, term, vote and snapshot of one replica on disk."""

from __future__ import annotations

from typing import NamedTuple

from returns.result import Failure, Result, Success

from heathertack.consensus import DurableState, HardState, LogEntry, Snapshot
from heathertack.storage._disk import Disk
from heathertack.storage._frames import CorruptFrame, decode_frames, encode_frame
from heathertack.storage._records import (
    SNAPSHOT_FILE,
    StorageRecord,
    decode_records,
    decode_snapshot,
    encode_records,
    encode_snapshot,
    list_segments,
    write_segment,
)
from heathertack.storage._types import StorageError


class ReplicaStorage:
    """Persists the changes of one replica.

    Pending changes are written as one frame, with one sync.

    Parameters
    ----------
    disk : Disk
        The data folder.
    segment : str
        Name of the current segment.
    durable : DurableState
        State read from the folder.
    """

    def __init__(self, disk: Disk, segment: str, durable: DurableState) -> None:
        self._disk = disk
        self._segment = segment
        self._hard_state = durable.hard_state
        self._entries = list(durable.entries)
        self._snapshot_index = durable.snapshot.log_index
        self._pending: list[StorageRecord] = []

    def save_hard_state(self, hard_state: HardState) -> None:
        """Persist term and vote with the next sync."""
        self._hard_state = hard_state
        self._pending.append(StorageRecord(hard_state))

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Persist entries with the next sync."""
        self._entries.extend(entries)
        self._pending.append(StorageRecord(entries=entries))

    def truncate(self, first_index: int) -> None:
        """Remove entries from an index on with the next sync."""
        self._entries = [e for e in self._entries if e.log_index < first_index]
        self._pending.append(StorageRecord(truncate_from=first_index))

    def sync(self) -> None:
        """Make all pending changes durable."""
        if self._pending:
            self._disk.append(self._segment, encode_records(tuple(self._pending)))
            self._disk.sync(self._segment)
            self._pending.clear()

    def close(self) -> None:
        """Close the files, without a sync of pending changes."""
        self._disk.close()

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Persist a snapshot, start a new segment and delete the older ones."""
        self.sync()
        matching = [e for e in self._entries if e.log_index == snapshot.log_index]
        is_consistent = bool(matching) and matching[0].term == snapshot.term
        later = [e for e in self._entries if e.log_index > snapshot.log_index]
        self._entries = later if is_consistent else []
        self._disk.replace(SNAPSHOT_FILE, encode_snapshot(snapshot))
        old_segments = list_segments(self._disk)
        self._segment = write_segment(
            self._disk, snapshot.log_index, self._hard_state, tuple(self._entries)
        )
        self._snapshot_index = snapshot.log_index
        for name in old_segments:
            if name != self._segment:
                self._disk.delete(name)


class _ReplayedState(NamedTuple):
    """State after the records of a segment were replayed."""

    hard_state: HardState
    entries: tuple[LogEntry, ...]


class OpenedStorage(NamedTuple):
    """A data folder that is ready for use."""

    storage: ReplicaStorage
    durable: DurableState


def open_storage(disk: Disk) -> Result[OpenedStorage, StorageError]:
    """Read a formatted data folder, truncate a torn tail of its log and sync it.

    Parameters
    ----------
    disk : Disk
        The data folder.

    Returns
    -------
    Result[OpenedStorage, StorageError]
        The storage and its content, or the file and offset of the corruption.
    """
    snapshot = _read_snapshot(disk)
    if isinstance(snapshot, StorageError):
        return Failure(snapshot)
    segments = list_segments(disk)
    if not segments:
        return Failure(StorageError("log-*", 0, "no segment", "at least one segment"))
    segment = segments[-1]
    data = disk.read(segment) or b""
    frames = decode_frames(data)
    if isinstance(frames, CorruptFrame):
        found = "a corrupt frame followed by a valid one"
        return Failure(StorageError(segment, frames.offset, found, "a valid frame"))
    if not frames.payloads:
        found = "no valid frame"
        return Failure(StorageError(segment, 0, found, "the first frame of a segment"))
    if frames.valid_length < len(data):
        disk.replace(segment, data[: frames.valid_length])
    # A killed process may have written what it did not sync.
    disk.sync(segment)
    replay = _replay(segment, frames.payloads)
    if isinstance(replay, StorageError):
        return Failure(replay)
    entries = _select_entries_after(replay.entries, snapshot)
    durable = DurableState(replay.hard_state, snapshot, entries)
    return Success(OpenedStorage(ReplicaStorage(disk, segment, durable), durable))


def _read_snapshot(disk: Disk) -> Snapshot | StorageError:
    data = disk.read(SNAPSHOT_FILE)
    frames = decode_frames(data or b"")
    if isinstance(frames, CorruptFrame) or len(frames.payloads) != 1:
        found = "no file" if data is None else "not exactly one valid frame"
        return StorageError(SNAPSHOT_FILE, 0, found, "one valid frame")
    decoded = decode_snapshot(frames.payloads[0])
    if isinstance(decoded, Failure):
        found = str(decoded.failure())
        return StorageError(SNAPSHOT_FILE, 0, found, "a snapshot")
    return decoded.unwrap()


def _replay(segment: str, payloads: tuple[bytes, ...]) -> _ReplayedState | StorageError:
    hard_state = HardState()
    entries: list[LogEntry] = []
    offset = 0
    for payload in payloads:
        decoded = decode_records(payload)
        if isinstance(decoded, Failure):
            found = str(decoded.failure())
            return StorageError(segment, offset, found, "records of the log")
        offset += len(encode_frame(payload))
        for record in decoded.unwrap():
            if record.hard_state is not None:
                hard_state = record.hard_state
            if record.truncate_from:
                entries = [e for e in entries if e.log_index < record.truncate_from]
            entries.extend(record.entries)
    return _ReplayedState(hard_state, tuple(entries))


def _select_entries_after(
    entries: tuple[LogEntry, ...], snapshot: Snapshot
) -> tuple[LogEntry, ...]:
    """Return the entries after a snapshot, or none if the log conflicts with it."""
    terms = {entry.log_index: entry.term for entry in entries}
    overlaps_snapshot = bool(entries) and entries[0].log_index <= snapshot.log_index
    if overlaps_snapshot and terms.get(snapshot.log_index) != snapshot.term:
        return ()
    return tuple(e for e in entries if e.log_index > snapshot.log_index)
