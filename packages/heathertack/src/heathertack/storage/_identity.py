"""Identity of a data folder."""

from __future__ import annotations

from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from heathertack.consensus import HardState, Membership, Snapshot
from heathertack.storage._disk import Disk
from heathertack.storage._records import encode_snapshot, write_segment
from heathertack.storage._types import StorageError

_IDENTITY_FILE = "identity.json"


class StorageIdentity(NamedTuple):
    """Which replica a data folder belongs to."""

    #: Cluster it was formatted for.
    cluster: str
    #: Instance it was formatted on.
    instance: str
    #: Random text, new with every formatting.
    storage_id: str

    @property
    def replica(self) -> str:
        """Name of the replica."""
        return f"{self.instance}/{self.storage_id}"


def format_folder(
    disk: Disk, identity: StorageIdentity, *, initial_voters: tuple[str, ...] = ()
) -> None:
    """Prepare an empty data folder.

    Parameters
    ----------
    disk : Disk
        The empty folder.
    identity : StorageIdentity
        Identity to give it.
    initial_voters : tuple of str
        Replicas that start a new log together, this one among them. Without them
        the replica has no vote until a leader adds it.
    """
    snapshot = Snapshot(0, 0, Membership(initial_voters), b"")
    disk.replace("snapshot", encode_snapshot(snapshot))
    write_segment(disk, 0, HardState(), ())
    disk.replace(_IDENTITY_FILE, msgspec.json.encode(identity._asdict()))


def load_identity(
    disk: Disk, cluster: str, instance: str
) -> Result[StorageIdentity | None, StorageError]:
    """Return the identity of a folder, ``None`` for an empty one.

    Parameters
    ----------
    disk : Disk
        The data folder.
    cluster, instance : str
        What the identity must say.

    Returns
    -------
    Result[StorageIdentity | None, StorageError]
        The identity, or an error for a folder of somebody else.
    """
    data = disk.read(_IDENTITY_FILE)
    if data is None:
        if disk.list_files():
            return Failure(
                StorageError(_IDENTITY_FILE, 0, "no identity", "an empty folder")
            )
        return Success(None)
    try:
        identity = StorageIdentity(**msgspec.json.decode(data, type=dict[str, str]))
    except (msgspec.DecodeError, TypeError) as error:
        return Failure(StorageError(_IDENTITY_FILE, 0, str(error), "an identity"))
    if (identity.cluster, identity.instance) != (cluster, instance):
        found = f"{identity.cluster}/{identity.instance}"
        expected = f"{cluster}/{instance}"
        return Failure(StorageError(_IDENTITY_FILE, 0, found, expected))
    return Success(identity)
