import random
import zlib

import pytest
from returns.result import Failure, Success

from heathertack.messages import build_frames, join_frames

_RANDOM = random.Random(1)


class TestFrames:
    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"x" * 100,
            b"x" * (64 * 1024),
            b"x" * 5_000_000,
            _RANDOM.randbytes(64 * 1024 - 1),
            _RANDOM.randbytes(1_000_000),
        ],
        ids=len,
    )
    @pytest.mark.parametrize("may_pack", [False, True])
    def test_message_is_joined_again(self, data: bytes, may_pack: bool) -> None:
        frames = build_frames(data, may_pack=may_pack)
        assert join_frames(frames) == Success(data)
        if may_pack:
            assert max(map(len, frames)) <= 64 * 1024
        else:
            assert frames[1:] == (data,)

    @pytest.mark.parametrize(
        ("frames", "detail"),
        [
            ((b"q", b"x"), "frames of kind b'q', expected b'p' or b'z'"),
            ((b"z", b"no stream"), "incorrect header check"),
            ((b"z",), "a packed message that is incomplete or too long"),
            (
                (b"z", zlib.compress(b"x" * 1000)[:-6]),
                "a packed message that is incomplete or too long",
            ),
            (
                (b"z", zlib.compress(bytes(64 * 1024 * 1024 + 1))),
                "a packed message that is incomplete or too long",
            ),
        ],
    )
    def test_unreadable_frames(self, frames: tuple[bytes, ...], detail: str) -> None:
        result = join_frames(frames)
        assert isinstance(result, Failure)
        assert detail in result.failure()
