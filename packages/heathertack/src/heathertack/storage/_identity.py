"""Identity of a data folder."""

from __future__ import annotations

from typing import NamedTuple, TypedDict

import msgspec
from returns.result import Failure, Result, Success

from heathertack.consensus import HardState, Membership, Snapshot
from heathertack.decoding import decode_json
from heathertack.storage._disk import Disk
from heathertack.storage._records import encode_snapshot, write_segment
from heathertack.storage._types import StorageError

_IDENTITY_FILE = "identity.json"
#: Present while a folder is formatted.
_FORMATTING_FILE = "formatting"


class _IdentityDocument(TypedDict):
    """Identity of a data folder as its file holds it."""

    cluster: str
    instance: str
    storage_id: str


class StorageIdentity(NamedTuple):
    """Identity of the replica to which a data folder belongs."""

    #: Cluster for which the folder was formatted.
    cluster: str
    #: Instance on which the folder was formatted.
    instance: str
    #: Identifier of this formatting of the folder, different for each formatting.
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
        A folder that is empty, or whose formatting was interrupted.
    identity : StorageIdentity
        Identity to write to the folder.
    initial_voters : tuple of str
        Replicas that start a new log together, including this one. If empty, the
        replica cannot vote until a leader adds it.
    """
    disk.replace(_FORMATTING_FILE, b"")
    for name in disk.list_files():
        if name != _FORMATTING_FILE:
            disk.delete(name)
    snapshot = Snapshot(0, 0, Membership(initial_voters), b"")
    disk.replace("snapshot", encode_snapshot(snapshot))
    write_segment(disk, 0, HardState(), ())
    disk.replace(_IDENTITY_FILE, msgspec.json.encode(identity._asdict()))
    disk.delete(_FORMATTING_FILE)


def load_identity(
    disk: Disk, cluster: str, instance: str
) -> Result[StorageIdentity | None, StorageError]:
    """Return the identity of a folder, or ``None`` for one that must be formatted.

    Parameters
    ----------
    disk : Disk
        The data folder.
    cluster, instance : str
        Cluster and instance that the identity must name.

    Returns
    -------
    Result[StorageIdentity | None, StorageError]
        The identity, or an error if it is missing, invalid or of another cluster
        or instance.
    """
    data = disk.read(_IDENTITY_FILE)
    if data is None:
        files = disk.list_files()
        if files and _FORMATTING_FILE not in files:
            return Failure(
                StorageError(_IDENTITY_FILE, 0, "no identity file", "an empty folder")
            )
        return Success(None)
    decoded = decode_json(_IDENTITY_FILE, data, _IdentityDocument)
    if isinstance(decoded, Failure):
        found = str(decoded.failure())
        return Failure(StorageError(_IDENTITY_FILE, 0, found, "an identity"))
    identity = StorageIdentity(**decoded.unwrap())
    if (identity.cluster, identity.instance) != (cluster, instance):
        found = f"{identity.cluster}/{identity.instance}"
        expected = f"{cluster}/{instance}"
        return Failure(StorageError(_IDENTITY_FILE, 0, found, expected))
    return Success(identity)
