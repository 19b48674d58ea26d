"""Headers that concern only one connection."""

from __future__ import annotations

from multidict import CIMultiDict, CIMultiDictProxy, MultiMapping

#: RFC 9110, section 7.6.1, with the headers that frame a body.
_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def copy_end_to_end(
    headers: CIMultiDictProxy[str], left_out: frozenset[str] = frozenset()
) -> CIMultiDict[str]:
    """Return the headers that concern more than one connection.

    Parameters
    ----------
    headers : CIMultiDictProxy
        Headers of a message.
    left_out : frozenset of str
        Names of further headers to leave out, lower case.
    """
    dropped = _HOP_HEADERS | left_out | _named_by_connection(headers)
    kept = ((n, value) for n, value in headers.items() if n.lower() not in dropped)
    return CIMultiDict(kept)


def _named_by_connection(headers: MultiMapping[str]) -> frozenset[str]:
    values = headers.getall("Connection", [])
    names = (name.strip().lower() for value in values for name in value.split(","))
    return frozenset(name for name in names if name not in ("close", "keep-alive", ""))
