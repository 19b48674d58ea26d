"""Separates end-to-end headers from hop-by-hop headers."""

from __future__ import annotations

from multidict import CIMultiDict, CIMultiDictProxy, MultiMapping

#: Hop-by-hop headers of RFC 9110, section 7.6.1, and the headers that frame a body.
_HOP_BY_HOP_HEADERS = frozenset(
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
    headers: CIMultiDictProxy[str], excluded: frozenset[str] = frozenset()
) -> CIMultiDict[str]:
    """Return a copy of the end-to-end headers of a message.

    Parameters
    ----------
    headers : CIMultiDictProxy
        All headers of the message.
    excluded : frozenset of str
        Names of further headers to exclude, lower case.
    """
    dropped = _HOP_BY_HOP_HEADERS | excluded | _connection_options(headers)
    kept = ((n, value) for n, value in headers.items() if n.lower() not in dropped)
    return CIMultiDict(kept)


def _connection_options(headers: MultiMapping[str]) -> frozenset[str]:
    values = headers.getall("Connection", [])
    names = (name.strip().lower() for value in values for name in value.split(","))
    return frozenset(name for name in names if name not in ("close", "keep-alive", ""))
