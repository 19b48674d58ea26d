"""Bytes of other writers, against each decoder of the library.

``make fuzz SEED=1 COUNT=2000`` searches longer.
"""

from typing import Any

import msgspec
import pytest
from hypothesis import given, strategies as st

from heathertack.bundle import (
    apply_changes,
    canonical_text,
    pack_bundle,
    parse_bundle,
    unpack_bundle,
    unpack_changes,
)
from heathertack.decoding import (
    check_texts,
    decode_entries,
    decode_json,
    parse_address,
    parse_integer,
    parse_number,
)
from heathertack.decoding.tests.foreign_bytes import (
    expect_value_or_error,
    json_objects,
    json_tokens,
    mutations,
)
from heathertack.messages import MessageCodec, join_frames
from heathertack.settings import parse_settings
from heathertack.storage import load_identity, open_storage
from heathertack.storage.tests.memory_disk import MemoryDisk
from heathertack.tests.test_recorded_formats import CODECS, RECORDED, decode

ODD_TEXT = st.one_of(
    st.text(max_size=40),
    st.text("0123456789.:eE+-_²٨ \r\n[]/%", max_size=30),
    st.from_regex(r"[0-9.]{1,20}:[0-9]{1,12}", fullmatch=True),
)
BUNDLE = RECORDED["bundle"]["text"].encode()
MESSAGES = [
    pytest.param(name, decode(message["data"]), id=f"{name}-{message['type']}")
    for name in CODECS
    for message in RECORDED[name]
]
FOLDERS = [
    pytest.param(folder, file, id=f"{folder}-{file}")
    for folder, files in RECORDED["folders"].items()
    for file in files
]


def decode_text(data: bytes) -> str:
    return data.decode(errors="surrogateescape")


class TestFuzzTexts:
    @given(ODD_TEXT)
    def test_addresses(self, text: str) -> None:
        def check(address: Any) -> None:
            assert 1 <= address.port <= 65535
            assert text == f"{address.host}:{address.port}"

        expect_value_or_error(parse_address("address", text), check)

    @given(ODD_TEXT)
    def test_numbers(self, text: str) -> None:
        expect_value_or_error(
            parse_integer("n", text, 2**31, "a number"),
            lambda number: 0 <= number <= 2**31 or pytest.fail(str(number)),
        )
        expect_value_or_error(
            parse_number("n", text, 1e9, "a number"),
            lambda number: 0.0 <= number <= 1e9 or pytest.fail(str(number)),
        )

    @given(st.binary(max_size=30))
    def test_texts(self, data: bytes) -> None:
        text = decode_text(data)
        expect_value_or_error(check_texts([("t", text)]), lambda _: text.encode())


class TestFuzzDocuments:
    @given(json_tokens())
    def test_json(self, data: bytes) -> None:
        expect_value_or_error(decode_json("d", data, dict[str, Any]))

    @given(json_tokens(), st.binary(max_size=20))
    def test_lists(self, token: bytes, rest: bytes) -> None:
        page = b'{"instances":[{"a":1},' + token + b',{"b":2}],"next":null}' + rest
        expect_value_or_error(decode_entries("$", page, "instances"))

    @given(json_objects(msgspec.json.decode(BUNDLE, type=dict[str, msgspec.Raw])))
    def test_bundles(self, data: bytes) -> None:
        expect_value_or_error(
            parse_bundle("bundle", decode_text(data)),
            lambda bundle: (canonical_text(bundle), pack_bundle(bundle)),
        )

    @given(mutations(BUNDLE))
    def test_damaged_bundles(self, data: bytes) -> None:
        expect_value_or_error(
            parse_bundle("bundle", decode_text(data)),
            lambda bundle: (canonical_text(bundle), pack_bundle(bundle)),
        )

    @given(json_tokens())
    def test_settings(self, data: bytes) -> None:
        expect_value_or_error(parse_settings("settings", decode_text(data)))


class TestFuzzMessages:
    @pytest.mark.parametrize(("name", "recorded"), MESSAGES)
    @given(data=st.data())
    def test_damaged_messages(
        self, name: str, recorded: bytes, data: st.DataObject
    ) -> None:
        codec: MessageCodec[Any] = CODECS[name]
        damaged = data.draw(mutations(recorded))
        expect_value_or_error(codec.decode(damaged), codec.encode)

    @given(st.lists(st.one_of(st.binary(max_size=20), st.just(b"z")), max_size=4))
    def test_frames(self, frames: list[bytes]) -> None:
        expect_value_or_error(join_frames(frames))

    @given(mutations(decode(RECORDED["bundle"]["packed"])))
    def test_packed_bundles(self, data: bytes) -> None:
        expect_value_or_error(unpack_bundle(data), pack_bundle)
        expect_value_or_error(unpack_changes(data))

    @given(mutations(decode(RECORDED["bundle"]["changes"])))
    def test_packed_changes(self, data: bytes) -> None:
        bundle = unpack_bundle(decode(RECORDED["bundle"]["packed"])).unwrap()
        changes = unpack_changes(data)
        expect_value_or_error(changes.bind(lambda c: apply_changes(bundle, c)))


class TestFuzzFolders:
    @pytest.mark.parametrize(("folder", "file"), FOLDERS)
    @given(data=st.data())
    def test_damaged_files(self, folder: str, file: str, data: st.DataObject) -> None:
        disk = MemoryDisk()
        for name, encoded in RECORDED["folders"][folder].items():
            disk.replace(name, decode(encoded))
        disk.replace(file, data.draw(mutations(disk.read(file) or b"")))
        expect_value_or_error(load_identity(disk, "demo", "nairobi-a"))
        expect_value_or_error(open_storage(disk))
