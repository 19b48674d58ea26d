"""Numbers that are written as text."""

from __future__ import annotations

import re

from returns.result import Failure, Result, Success

from heathertack.decoding._errors import DecodingError, describe_value

#: Plain decimal digits. ``float`` also accepts ``nan``, underscores, other scripts and
#: surrounding blanks.
_INTEGER = re.compile(r"[0-9]{1,20}")
_NUMBER = re.compile(r"[0-9]{1,20}(\.[0-9]{0,20})?([eE][+-]?[0-9]{1,3})?")


def parse_integer(
    where: str, text: str, maximum: int, expected: str
) -> Result[int, DecodingError]:
    """Parse an integer from 0 to a maximum.

    Parameters
    ----------
    where : str
        Place of the number, for the error.
    text : str
        The number.
    maximum : int
        Largest value.
    expected : str
        What the number stands for, for the error.
    """
    if _INTEGER.fullmatch(text) is not None and int(text) <= maximum:
        return Success(int(text))
    return Failure(_describe(where, text, maximum, expected))


def parse_number(
    where: str, text: str, maximum: float, expected: str
) -> Result[float, DecodingError]:
    """Parse a number from 0 to a maximum, which may have a fraction."""
    if _NUMBER.fullmatch(text) is not None and float(text) <= maximum:
        return Success(float(text))
    return Failure(_describe(where, text, maximum, expected))


def _describe(where: str, text: str, maximum: float, expected: str) -> DecodingError:
    return DecodingError(
        where, describe_value(text), f"{expected} from 0 to {maximum:g}"
    )
