"""Validates a settings file."""

from __future__ import annotations

from ipaddress import ip_address

from returns.result import Failure, Result, Success

from heathertack.schema import SchemaError, convert_document, parse_document
from heathertack.settings._model import Address, Settings, resolve_limits

#: Error for an invalid settings file.
SettingsError = SchemaError

_MAX_PORT = 65535
_Z85_KEY_LENGTH = 40
#: A body is counted twice, as the request that is sent on may be buffered, and leaves a
#: quarter of the memory to others: with this factor the largest body is served.
MIN_HELD_BODIES = 4
#: Smaller limits leave no room for operators, other instances and a few callers.
MIN_HELD_DESCRIPTORS = 16
MIN_PEER_CONNECTIONS = 16
#: As large as the document of an operator may be, which instances send to each other.
MIN_OPEN_MESSAGE_BYTES = 16 * 1024 * 1024
MIN_SOCKET_BUFFER_BYTES = 4096
#: A few ordinary documents.
MIN_OPEN_DOCUMENT_BYTES = 256 * 1024
#: One block of a prompt.
MIN_PREFIX_TOKENS = 64


def parse_settings(file: str, text: str) -> Result[Settings, SettingsError]:
    """Parse and check the settings of one instance.

    Parameters
    ----------
    file : str
        Name used in errors.
    text : str
        JSON with comments.

    Returns
    -------
    Result[Settings, SettingsError]
        The checked settings, or the first error.
    """
    parsed = parse_document(file, text)
    typed = parsed.bind(lambda value: convert_document(file, value, Settings))
    return typed.bind(lambda settings: _check_values(file, settings))


def _check_values(file: str, settings: Settings) -> Result[Settings, SettingsError]:
    addresses = [("$.http", settings["http"]), ("$.peer", settings["peer"])]
    keys = []
    if "membership" not in settings or "secret_key" in settings:
        keys.append(("$.secret_key", settings.get("secret_key", "")))
    elif settings["peers"]:
        expected = "no peers together with $.membership"
        found = f"{len(settings['peers'])} peers"
        return Failure(SettingsError(file, "$.peers", found, expected))
    for number, peer in enumerate(settings["peers"]):
        path = f"$.peers[{number}]"
        addresses.append((f"{path}.http", peer["http"]))
        addresses.append((f"{path}.peer", peer["peer"]))
        keys.append((f"{path}.public_key", peer["public_key"]))
    for path, address in addresses:
        error = _check_address(file, path, address)
        if error is not None:
            return Failure(error)
    relay_port = settings["peer"].get("relay_port")
    if relay_port is not None:
        ports = (settings["peer"]["port"], settings["http"]["port"])
        if not 0 < relay_port <= _MAX_PORT or relay_port in ports:
            expected = f"1 to {_MAX_PORT}, not the port of another listener"
            return Failure(
                SettingsError(file, "$.peer.relay_port", str(relay_port), expected)
            )
    for name, minimum in _minimum_limits(settings).items():
        value = settings.get("limits", {}).get(name)
        if isinstance(value, int) and value < minimum:
            path, expected = f"$.limits.{name}", f"at least {minimum}"
            return Failure(SettingsError(file, path, str(value), expected))
    for path, key in keys:
        if len(key) != _Z85_KEY_LENGTH:
            found = f"{len(key)} characters"
            expected = f"a CURVE key of {_Z85_KEY_LENGTH} Z85 characters"
            return Failure(SettingsError(file, path, found, expected))
    own_address = f"{settings['peer']['host']}:{settings['peer']['port']}"
    if "membership" in settings and settings["instance"] != own_address:
        expected = f"the address of the peer listener, {own_address}"
        return Failure(
            SettingsError(file, "$.instance", settings["instance"], expected)
        )
    peer_names = [peer["instance"] for peer in settings["peers"]]
    if settings["instance"] in peer_names or len(set(peer_names)) != len(peer_names):
        expected = "each instance once, excluding this one"
        return Failure(SettingsError(file, "$.peers", "a duplicate instance", expected))
    return Success(settings)


def _minimum_limits(settings: Settings) -> dict[str, int]:
    """Return the smallest values of the limits on what a process holds."""
    return {
        "max_held_bytes": MIN_HELD_BODIES * resolve_limits(settings).max_body_bytes,
        "max_held_descriptors": MIN_HELD_DESCRIPTORS,
        "max_peer_connections": MIN_PEER_CONNECTIONS,
        "max_open_message_bytes": MIN_OPEN_MESSAGE_BYTES,
        "max_open_document_bytes": MIN_OPEN_DOCUMENT_BYTES,
        "max_prefix_tokens": MIN_PREFIX_TOKENS,
        "socket_buffer_bytes": MIN_SOCKET_BUFFER_BYTES,
    }


def _check_address(file: str, path: str, address: Address) -> SettingsError | None:
    try:
        ip_address(address["host"])
    except ValueError:
        return SettingsError(file, f"{path}.host", address["host"], "an IP address")
    if not 0 < address["port"] <= _MAX_PORT:
        found = str(address["port"])
        return SettingsError(file, f"{path}.port", found, f"1 to {_MAX_PORT}")
    return None
