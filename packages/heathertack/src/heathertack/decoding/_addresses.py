"""Addresses of listeners."""

from __future__ import annotations

import re
from ipaddress import ip_address
from typing import NamedTuple

from returns.result import Failure, Result, Success

from heathertack.decoding._errors import DecodingError, describe_value

MAX_PORT = 65535
#: ``str.isdigit`` also accepts digits that are not ASCII.
_PORT = re.compile(r"[1-9][0-9]{0,4}")
_MAX_ADDRESS_LENGTH = 64


class HostPort(NamedTuple):
    """Address of a listener."""

    #: IP address, in brackets if it is of version 6.
    host: str
    port: int


def parse_address(where: str, text: str) -> Result[HostPort, DecodingError]:
    """Parse ``ip:port``.

    Parameters
    ----------
    where : str
        Place of the address, for the error.
    text : str
        The address.
    """
    host, _, port = text[: _MAX_ADDRESS_LENGTH + 1].rpartition(":")
    is_port = _PORT.fullmatch(port) is not None and int(port) <= MAX_PORT
    if len(text) > _MAX_ADDRESS_LENGTH or not is_port or not _is_host(host):
        expected = f"ip:port with a port from 1 to {MAX_PORT}"
        return Failure(DecodingError(where, describe_value(text), expected))
    return Success(HostPort(host, int(port)))


def _is_host(host: str) -> bool:
    is_bracketed = host.startswith("[") and host.endswith("]")
    try:
        address = ip_address(host[1:-1] if is_bracketed else host)
    except ValueError:
        return False
    is_scoped = "%" in host
    return (
        (address.version == 6) is is_bracketed
        and not is_scoped
        and not address.is_unspecified
    )
