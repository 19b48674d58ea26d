"""Shapes of the settings file."""

from typing import NamedTuple, NotRequired, TypedDict


class Address(TypedDict):
    """Where a socket listens."""

    #: IP number.
    host: str
    #: TCP port.
    port: int


class PeerSettings(TypedDict):
    """Another instance of the same cluster."""

    #: Name of the instance.
    instance: str
    #: Address of its HTTP listener.
    http: Address
    #: Address of its listener for other instances.
    peer: Address
    #: Failure domain it runs in.
    failure_domain: str
    #: CURVE public key, Z85 text.
    public_key: str
    #: Whether it has a disk and may replicate the control log.
    control: bool


class LimitSettings(TypedDict):
    """Bounds that protect one instance."""

    #: Largest request body, bytes.
    max_body_bytes: NotRequired[int]
    #: Largest request header, bytes.
    max_header_bytes: NotRequired[int]
    #: Most caller connections at one time.
    max_connections: NotRequired[int]
    #: Most open generations at one time.
    max_streams: NotRequired[int]
    #: Longest time that one write to a caller may block, seconds.
    caller_write_timeout: NotRequired[float]
    #: Longest time that a caller may take to send its request, seconds.
    request_read_timeout: NotRequired[float]


class MembershipSettings(TypedDict):
    """How an instance finds the others where they are not listed as peers.

    The name of an instance is then the address of its listener for other
    instances, ``ip:port``, and the messages between them are not encrypted.
    """

    #: Names of instances to ask first.
    seeds: list[str]
    #: Whether the whole system starts for the first time, with empty folders. The
    #: seeds then form the control log.
    first_start: NotRequired[bool]
    #: Instances with a disk that may be lost at one time.
    tolerated_losses: NotRequired[int]


class TimingSettings(TypedDict):
    """Bounds of the deployment from which intervals are derived, seconds."""

    #: Longest time in which an accepted bundle is in force at connected instances.
    propagation: NotRequired[float]
    #: Time after which an instance without contact serves no account's requests.
    disconnected_service: NotRequired[float]
    #: From the signal to leave until the process is killed.
    leaving_grace: NotRequired[float]
    #: How long callers still use the address of an instance that leaves; by default
    #: the life of an answer about addresses and of a lease.
    leaving_accepts: NotRequired[float]


class Settings(TypedDict):
    """Everything one daemon is told at its start."""

    #: Name of this instance.
    instance: str
    #: Name of the cluster it belongs to.
    cluster: str
    #: Failure domain it runs in.
    failure_domain: str
    #: Listener for callers and operators.
    http: Address
    #: Listener for other instances.
    peer: Address
    #: CURVE secret key, Z85 text; needed where other instances are listed.
    secret_key: NotRequired[str]
    #: Folder for durable state; only instances that have a disk set it.
    data_folder: NotRequired[str]
    #: The other instances.
    peers: list[PeerSettings]
    #: How the other instances are found; absent where they are listed.
    membership: NotRequired[MembershipSettings]
    #: Bounds of the deployment.
    timings: NotRequired[TimingSettings]
    #: Ed25519 public keys of trusted operators, base64 text by operator name.
    operator_keys: dict[str, str]
    #: URL of the platform's list of live and leaving instances.
    platform_url: str
    #: How long a caller may keep an answer about addresses, seconds.
    address_ttl: NotRequired[float]
    #: Lowest level of logged events.
    log_level: NotRequired[str]
    #: Bounds that protect this instance.
    limits: NotRequired[LimitSettings]


class Limits(NamedTuple):
    """Bounds that protect one instance, with their defaults."""

    #: Largest request body, bytes.
    max_body_bytes: int = 4 * 1024 * 1024
    #: Largest request header, bytes.
    max_header_bytes: int = 16 * 1024
    #: Most caller connections at one time.
    max_connections: int = 4096
    #: Most open generations at one time.
    max_streams: int = 2048
    #: Longest time that one write to a caller may block, seconds.
    caller_write_timeout: float = 30.0
    #: Longest time that a caller may take to send its request, seconds.
    request_read_timeout: float = 20.0


def resolve_limits(settings: Settings) -> Limits:
    """Return the limits of an instance, defaults included."""
    return Limits(**settings.get("limits", {}))
