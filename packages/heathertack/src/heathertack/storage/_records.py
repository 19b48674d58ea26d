"""Records of a log segment and the snapshot file."""

from __future__ import annotations

from typing import NamedTuple

import msgspec
from returns.result import Result

from heathertack.consensus import HardState, LogEntry, Snapshot
from heathertack.decoding import DecodingError, decode_msgpack
from heathertack.storage._disk import Disk
from heathertack.storage._frames import encode_frame

SNAPSHOT_FILE = "snapshot"
_SEGMENT_PREFIX = "log-"


class StorageRecord(NamedTuple):
    """One change of the durable state; at most one field is set."""

    #: New term and vote.
    hard_state: HardState | None = None
    #: Index of the first entry to remove; 0 for none.
    truncate_from: int = 0
    #: Entries appended.
    entries: tuple[LogEntry, ...] = ()


_RECORDS_DECODER = msgspec.msgpack.Decoder(tuple[StorageRecord, ...])
_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(Snapshot)


def encode_records(records: tuple[StorageRecord, ...]) -> bytes:
    """Encode records as one frame."""
    return encode_frame(msgspec.msgpack.encode(records))


def decode_records(payload: bytes) -> Result[tuple[StorageRecord, ...], DecodingError]:
    """Decode the payload of a frame."""
    return decode_msgpack("records", payload, _RECORDS_DECODER)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot as one frame."""
    return encode_frame(msgspec.msgpack.encode(snapshot))


def decode_snapshot(payload: bytes) -> Result[Snapshot, DecodingError]:
    """Decode the payload of a snapshot's frame."""
    return decode_msgpack("snapshot", payload, _SNAPSHOT_DECODER)


def segment_name(index: int) -> str:
    """Return the name of the segment that follows the snapshot at an index."""
    return f"{_SEGMENT_PREFIX}{index:020d}"


def list_segments(disk: Disk) -> tuple[str, ...]:
    """Return the names of all segments, oldest first."""
    names = disk.list_files()
    return tuple(name for name in names if name.startswith(_SEGMENT_PREFIX))


def write_segment(
    disk: Disk, index: int, hard_state: HardState, entries: tuple[LogEntry, ...]
) -> str:
    """Start a segment that does not depend on older ones, and return its name."""
    name = segment_name(index)
    records = (StorageRecord(hard_state), StorageRecord(entries=entries))
    disk.replace(name, encode_records(records))
    return name
