"""Checks encoded messages, log commands and stored files against recorded bytes.

The recordings were written by an earlier build. A difference means that instances of
both builds cannot run in one cluster, or that a new build cannot read an old folder.
"""

import base64
import zlib
from pathlib import Path
from typing import Any, NamedTuple, get_args

import msgspec
import pytest

from heathertack.bundle import (
    BundleChange,
    SignedBundle,
    canonical_text,
    pack_bundle,
    pack_changes,
    read_canonical,
    unpack_bundle,
    unpack_changes,
)
from heathertack.consensus import (
    DurableState,
    EntryKind,
    HardState,
    LogEntry,
    Membership,
    Snapshot,
)
from heathertack.messages import (
    PEER_CODEC,
    ColdTarget,
    ColdTargets,
    EvacuatedTargets,
    EvacuationReply,
    EvacuationRequest,
    EvacuationStatus,
    MessageCodec,
    PeerMessage,
    TargetRate,
    TargetRates,
    TargetRejectionRates,
    TargetVersions,
)
from heathertack.state import (
    COMMAND_CODEC,
    RESULT_CODEC,
    BundleHeader,
    Command,
    ControlStateMachine,
    Result,
)
from heathertack.storage import (
    StorageIdentity,
    format_folder,
    load_identity,
    open_storage,
)
from heathertack.storage.tests.memory_disk import MemoryDisk

RECORDED = msgspec.json.decode(
    Path(__file__).with_name("recorded_formats.json").read_bytes()
)
CODECS: dict[str, MessageCodec[Any]] = {
    "peer": PEER_CODEC,
    "command": COMMAND_CODEC,
    "result": RESULT_CODEC,
}
UNIONS: dict[str, Any] = {"peer": PeerMessage, "command": Command, "result": Result}
MESSAGES = [
    pytest.param(name, message, id=f"{name}-{message['type']}-{number}")
    for name in CODECS
    for number, message in enumerate(RECORDED[name])
]
IDENTITY = StorageIdentity("demo", "nairobi-a", "s1")
MEMBERSHIP = Membership(("nairobi-a/s1", "nairobi-b/s2"), ("nairobi-c/s3",))
#: Types that are written with the names of their fields.
NAMED: tuple[type[NamedTuple], ...] = (
    SignedBundle,
    BundleHeader,
    BundleChange,
    StorageIdentity,
)


def decode(text: str) -> bytes:
    return base64.b64decode(text)


def read_files(disk: MemoryDisk) -> dict[str, str]:
    return {
        name: base64.b64encode(disk.read(name) or b"").decode()
        for name in disk.list_files()
    }


def recorded_disk(name: str) -> MemoryDisk:
    disk = MemoryDisk()
    for file, data in RECORDED["folders"][name].items():
        disk.replace(file, decode(data))
    return disk


def written_disk(*, snapshot: bool) -> MemoryDisk:
    """Return a folder with the same changes as the recorded one."""
    disk = MemoryDisk()
    format_folder(disk, IDENTITY, initial_voters=("nairobi-a/s1", "nairobi-b/s2"))
    storage = open_storage(disk).unwrap().storage
    storage.save_hard_state(HardState(3, "nairobi-b/s2"))
    storage.append(
        (
            LogEntry(1, 2, EntryKind.NOOP, b""),
            LogEntry(2, 2, EntryKind.COMMAND, b"command"),
            LogEntry(3, 2, EntryKind.COMMAND, b"replaced"),
        )
    )
    storage.sync()
    storage.truncate(3)
    storage.append((LogEntry(3, 3, EntryKind.MEMBERSHIP, b"membership"),))
    storage.sync()
    if snapshot:
        storage.save_snapshot(Snapshot(2, 2, MEMBERSHIP, b"state"))
    return disk


class TestMessages:
    @pytest.mark.parametrize(("codec", "message"), MESSAGES)
    def test_decodes_and_encodes_to_the_recorded_bytes(
        self, codec: str, message: dict[str, str]
    ) -> None:
        data = decode(message["data"])
        decoded = CODECS[codec].decode(data).unwrap()
        assert type(decoded).__name__ == message["type"]
        assert CODECS[codec].encode(decoded) == data

    # Guards against a message of a new build that ends the connection of an old one.
    @pytest.mark.parametrize("kind", [TargetRates, TargetRejectionRates])
    def test_older_build_ignores_the_limits_of_targets(
        self, kind: type[TargetRates | TargetRejectionRates]
    ) -> None:
        data = PEER_CODEC.encode(kind((TargetRate("i-7f3a91c2", 2.7, 0.125),)))
        older = MessageCodec[Any]((TargetVersions,))
        assert kind.__name__ in older.decode(data).failure().detail

    def test_older_build_ignores_evacuation_orders(self) -> None:
        request = EvacuationRequest("r1", "nairobi-a", True, 7, 3)
        reply = EvacuationReply("r1", EvacuationStatus.DONE, "nairobi-a", 7, 4)
        older = MessageCodec[Any]((TargetVersions,))
        for message in (request, reply):
            name = type(message).__name__
            assert name in older.decode(PEER_CODEC.encode(message)).failure().detail

    # Guards against the same for what a leader says of evacuated and cold targets.
    @pytest.mark.parametrize(
        "message",
        [
            EvacuatedTargets(7, ("i-7f3a91c2",), ("zone-a",)),
            ColdTargets(7, (ColdTarget("i-7f3a91c2", 1.5, 27.0),)),
        ],
    )
    def test_older_build_ignores_evacuated_and_cold_targets(
        self, message: EvacuatedTargets | ColdTargets
    ) -> None:
        data = PEER_CODEC.encode(message)
        older = MessageCodec[Any]((TargetVersions, TargetRejectionRates))
        assert type(message).__name__ in older.decode(data).failure().detail

    @pytest.mark.parametrize("codec", CODECS)
    def test_encodes_exactly_the_recorded_types(self, codec: str) -> None:
        recorded = {message["type"] for message in RECORDED[codec]}
        assert {kind.__name__ for kind in get_args(UNIONS[codec])} == recorded


class TestStoredFiles:
    @pytest.mark.parametrize("folder", ["log", "snapshot"])
    def test_writes_the_recorded_files(self, folder: str) -> None:
        disk = written_disk(snapshot=folder == "snapshot")
        assert read_files(disk) == RECORDED["folders"][folder]

    @pytest.mark.parametrize("folder", ["log", "snapshot"])
    def test_opens_the_recorded_files(self, folder: str) -> None:
        written = written_disk(snapshot=folder == "snapshot")
        expected: DurableState = open_storage(written).unwrap().durable
        assert open_storage(recorded_disk(folder)).unwrap().durable == expected

    def test_loads_the_recorded_identity(self) -> None:
        identity = load_identity(recorded_disk("log"), "demo", "nairobi-a")
        assert identity.unwrap() == IDENTITY

    def test_membership_payload(self) -> None:
        data = decode(RECORDED["membership"])
        assert msgspec.msgpack.decode(data, type=Membership) == MEMBERSHIP
        assert msgspec.msgpack.encode(MEMBERSHIP) == data

    @pytest.mark.parametrize("number", range(len(RECORDED["state"])))
    def test_state_machine_snapshot(self, number: int) -> None:
        data = decode(RECORDED["state"][number])
        machine = ControlStateMachine()
        machine.restore_snapshot(data)
        assert machine.encode_snapshot() == data

    def test_applied_commands_give_the_recorded_snapshot(self) -> None:
        machine = ControlStateMachine()
        for index, message in enumerate(RECORDED["command"], start=1):
            machine.apply(index, COMMAND_CODEC.decode(decode(message["data"])).unwrap())
        assert machine.encode_snapshot() == decode(RECORDED["applied"])


class TestBundles:
    def test_packed_bundle(self) -> None:
        bundle = unpack_bundle(decode(RECORDED["bundle"]["packed"])).unwrap()
        assert canonical_text(bundle) == RECORDED["bundle"]["text"]
        assert read_canonical(RECORDED["bundle"]["text"]) == bundle
        recorded = zlib.decompress(decode(RECORDED["bundle"]["packed"]))
        assert zlib.decompress(pack_bundle(bundle)) == recorded

    def test_packed_changes(self) -> None:
        data = decode(RECORDED["bundle"]["changes"])
        packed = pack_changes(unpack_changes(data).unwrap())
        assert zlib.decompress(packed) == zlib.decompress(data)

    @pytest.mark.parametrize("kind", NAMED)
    def test_names_of_written_fields(self, kind: type[NamedTuple]) -> None:
        assert list(kind._fields) == RECORDED["fields"][kind.__name__]
