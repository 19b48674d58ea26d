"""Text that comes as bytes of an unknown encoding."""

from __future__ import annotations

from collections.abc import Iterable

from returns.result import Failure, Result, Success

from heathertack.decoding._errors import DecodingError, describe_value


def check_texts(texts: Iterable[tuple[str, str]]) -> Result[None, DecodingError]:
    """Check that texts can be encoded again.

    HTTP servers decode bytes that are not UTF-8 to lone surrogates, which no encoder
    accepts.

    Parameters
    ----------
    texts : iterable of (str, str)
        Place of each text, for the error, and the text.
    """
    for where, text in texts:
        if text.isascii():
            continue
        try:
            text.encode()
        except UnicodeEncodeError:
            found = describe_value(text)
            return Failure(DecodingError(where, found, "UTF-8"))
    return Success(None)
