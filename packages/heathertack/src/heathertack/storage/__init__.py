"""Durable state in one data folder."""

from heathertack.storage._disk import Disk
from heathertack.storage._frames import CorruptFrame, decode_frames, encode_frame
from heathertack.storage._identity import (
    StorageIdentity,
    format_folder,
    load_identity,
)
from heathertack.storage._replica import ReplicaStorage, open_storage
from heathertack.storage._types import StorageError

__all__ = [
    "CorruptFrame",
    "Disk",
    "ReplicaStorage",
    "StorageError",
    "StorageIdentity",
    "decode_frames",
    "encode_frame",
    "format_folder",
    "load_identity",
    "open_storage",
]
