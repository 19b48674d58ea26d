"""Hypothesis strategies for bytes that other writers may send."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from hypothesis import strategies as st
from returns.result import Failure, Result, Success

#: Nesting around the limits of the decoders, and far beyond.
DEPTHS = (1, 64, 65, 66, 500, 5_000, 100_000)

ODD_TOKENS = (
    b"NaN",
    b"Infinity",
    b"-Infinity",
    b"nothing",
    b"",
    b"1e400",
    b"-1",
    b"0",
    b"-0.0",
    b"1.5",
    b"1e308",
    b"9007199254740993",
    b"18446744073709551616",
    b"-18446744073709551617",
    b"1" + b"0" * 400,
    b"9" * 5000,
    b'"\\ud800"',
    b'"\xff\xfe"',
    b'"\\u0000"',
    b'"\xc2\xb2"',
    b'"unterminated',
    b"true",
    b"null",
    b"{}",
    b"[]",
    b'""',
    b'"' + b"x" * 100_000 + b'"',
)


def nest(depth: int, opening: bytes = b"[", closing: bytes = b"]") -> bytes:
    """Return a value nested to a depth; an opening that ends with a colon is a key."""
    return opening * depth + b"1" * opening.endswith(b":") + closing * depth


def json_tokens() -> st.SearchStrategy[bytes]:
    """Return values, few of which the decoders expect."""
    nested = st.builds(
        lambda depth, pair: nest(depth, *pair),
        st.sampled_from(DEPTHS),
        st.sampled_from(((b"[", b"]"), (b'{"a":', b"}"))),
    )
    texts = st.text(max_size=20).map(
        lambda text: b'"' + text.encode(errors="surrogatepass") + b'"'
    )
    numbers = st.integers().map(lambda number: str(number).encode())
    leaves = st.one_of(st.sampled_from(ODD_TOKENS), texts, numbers, nested)
    return st.recursive(
        leaves,
        lambda inner: st.lists(inner, max_size=3).map(
            lambda items: b"[" + b",".join(items) + b"]"
        ),
        max_leaves=4,
    )


def json_objects(fields: Mapping[str, bytes]) -> st.SearchStrategy[bytes]:
    """Return objects with some of their fields replaced, removed or added."""

    def build(changes: dict[str, bytes | None], extra: dict[str, bytes]) -> bytes:
        merged = {**fields, **changes, **extra}
        members = (
            b'"' + name.encode(errors="surrogatepass") + b'":' + value
            for name, value in merged.items()
            if value is not None
        )
        return b"{" + b",".join(members) + b"}"

    values = st.one_of(st.none(), json_tokens(), st.sampled_from([*fields.values()]))
    changes = st.dictionaries(st.sampled_from([*fields]), values, max_size=3)
    extra = st.dictionaries(st.text("abc", max_size=3), json_tokens(), max_size=1)
    return st.builds(build, changes, extra)


def mutations(recorded: bytes) -> st.SearchStrategy[bytes]:
    """Return recorded bytes with flipped bits, cut off, or with bytes inserted."""
    position = st.integers(0, max(len(recorded) - 1, 0))

    def flip(at: int, bit: int) -> bytes:
        return recorded[:at] + bytes([recorded[at] ^ 1 << bit]) + recorded[at + 1 :]

    choices = [
        position.map(lambda at: recorded[:at]),
        st.builds(
            lambda at, data: recorded[:at] + data + recorded[at:],
            position,
            st.one_of(st.binary(max_size=8), st.just(b"\x91" * 5000)),
        ),
        st.builds(
            lambda at, data: recorded[:at] + data + recorded[at + len(data) :],
            position,
            st.binary(max_size=9),
        ),
        st.just(recorded + recorded),
    ]
    if recorded:
        choices.append(st.builds(flip, position, st.integers(0, 7)))
    return st.one_of(choices)


def expect_value_or_error(
    result: Result[Any, Any], check: Callable[[Any], object] = lambda value: None
) -> None:
    """Assert that a decoder returned an error that fits a log line, or a value.

    Parameters
    ----------
    result : Result
        What the decoder returned.
    check : callable
        Checks the value.
    """
    match result:
        case Success(value):
            check(value)
        case Failure(error):
            assert error is not None
            assert len(str(error)) < 2000
        case _:
            raise AssertionError(f"the decoder returned {result!r}")
