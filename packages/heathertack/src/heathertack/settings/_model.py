"""Types of the settings file."""

from typing import NamedTuple, NotRequired, TypedDict

from heathertack.decoding import Integer, Seconds


class Address(TypedDict):
    """Address of a listening socket."""

    #: IP address, not a host name.
    host: str
    #: TCP port.
    port: Integer


class PeerListener(Address):
    """Address of the listener for other instances."""

    #: TCP port at which connections to targets are forwarded for instances whose own
    #: links fail, the same on all instances; without it none are forwarded. These
    #: connections are not encrypted.
    relay_port: NotRequired[Integer]


class PeerSettings(TypedDict):
    """Another instance of the same cluster."""

    #: Name of the instance.
    instance: str
    #: Address of its HTTP listener.
    http: Address
    #: Address of its listener for other instances.
    peer: Address
    #: Failure domain of the instance.
    failure_domain: str
    #: CURVE public key, Z85 text.
    public_key: str
    #: Whether the instance has a disk and may replicate the control log.
    control: bool


class LimitSettings(TypedDict):
    """Resource limits of one instance."""

    #: Maximum size of a request body, bytes.
    max_body_bytes: NotRequired[Integer]
    #: Maximum size of a request header, bytes.
    max_header_bytes: NotRequired[Integer]
    #: Maximum number of concurrent caller connections.
    max_connections: NotRequired[Integer]
    #: Maximum number of concurrently open generations.
    max_streams: NotRequired[Integer]
    #: Maximum memory that all connections of callers, operators and other instances
    #: hold together, bytes; without it there is no limit.
    max_held_bytes: NotRequired[Integer]
    #: Maximum number of descriptors of these connections; without it there is no limit.
    max_held_descriptors: NotRequired[Integer]
    #: Maximum number of connections from other instances; without it there is no limit.
    max_peer_connections: NotRequired[Integer]
    #: Maximum memory of their messages that are not whole, all together, bytes; without
    #: it there is no limit.
    max_open_message_bytes: NotRequired[Integer]
    #: Maximum size of all documents of operators that are being applied, bytes, beside
    #: a single one; without it there is no limit.
    max_open_document_bytes: NotRequired[Integer]
    #: Maximum number of tokens of a prompt that are compared with the caches of
    #: targets.
    max_prefix_tokens: NotRequired[Integer]
    #: Size of each of the two buffers of a socket, bytes; by default the kernel's.
    socket_buffer_bytes: NotRequired[Integer]
    #: Maximum time that one write to a caller may block, seconds.
    caller_write_timeout: NotRequired[Seconds]
    #: Maximum time that a caller may take to send its request, seconds.
    request_read_timeout: NotRequired[Seconds]


class MembershipSettings(TypedDict):
    """How an instance discovers the others if they are not listed as peers.

    The name of an instance is then the address of its listener for other
    instances, ``ip:port``, and messages between instances are not encrypted.
    """

    #: Names of the instances to contact first.
    seeds: list[str]
    #: Whether the whole system starts for the first time, with empty data folders.
    #: The seeds then become the initial replicas of the control log.
    first_start: NotRequired[bool]
    #: Number of instances with a disk that may be lost at the same time.
    tolerated_losses: NotRequired[Integer]


class TimingSettings(TypedDict):
    """Time limits of the deployment from which intervals are derived, seconds."""

    #: Maximum time until an accepted bundle is in force at connected instances.
    propagation: NotRequired[Seconds]
    #: Time after which a disconnected instance stops serving client accounts.
    disconnected_service: NotRequired[Seconds]
    #: Minimum time between the listing of a target as leaving and its end.
    target_notice: NotRequired[Seconds]
    #: Time from the signal to leave until the process is killed.
    leaving_grace: NotRequired[Seconds]
    #: How long callers may still use the address of a leaving instance; by default
    #: the lifetime of an address response plus the duration of a lease.
    leaving_accepts: NotRequired[Seconds]


class Settings(TypedDict):
    """Settings that one daemon reads at its start."""

    #: Name of this instance.
    instance: str
    #: Name of the cluster that the instance belongs to.
    cluster: str
    #: Failure domain of the instance.
    failure_domain: str
    #: Listener for callers and operators.
    http: Address
    #: Listener for other instances.
    peer: PeerListener
    #: CURVE secret key, Z85 text; required if other instances are listed.
    secret_key: NotRequired[str]
    #: Folder for durable state; only instances that have a disk set it.
    data_folder: NotRequired[str]
    #: The other instances.
    peers: list[PeerSettings]
    #: How the other instances are discovered; absent if they are listed as peers.
    membership: NotRequired[MembershipSettings]
    #: Time limits of the deployment.
    timings: NotRequired[TimingSettings]
    #: Ed25519 public keys of trusted operators, base64 text by operator name.
    operator_keys: dict[str, str]
    #: URL of the platform's list of live and leaving instances.
    platform_url: str
    #: How long a caller may cache an address response, seconds.
    address_ttl: NotRequired[Seconds]
    #: Minimum level of logged events.
    log_level: NotRequired[str]
    #: Resource limits of this instance.
    limits: NotRequired[LimitSettings]
    #: Whether requests that can't start in time are refused at once, and room is kept
    #: for brief requests; false by default.
    overload_control: NotRequired[bool]
    #: Whether requests are placed by the measured speeds of targets; false by default.
    compare_speeds: NotRequired[bool]


class Limits(NamedTuple):
    """Resource limits of one instance, with their defaults."""

    #: Maximum size of a request body, bytes.
    max_body_bytes: int = 4 * 1024 * 1024
    #: Maximum size of a request header, bytes.
    max_header_bytes: int = 16 * 1024
    #: Maximum number of concurrent caller connections.
    max_connections: int = 4096
    #: Maximum number of concurrently open generations.
    max_streams: int = 2048
    #: Maximum memory that all connections of callers, operators and other instances
    #: hold together, bytes; ``None`` for no limit.
    max_held_bytes: int | None = None
    #: Maximum number of descriptors of these connections; ``None`` for no limit.
    max_held_descriptors: int | None = None
    #: Maximum number of connections from other instances; ``None`` for no limit.
    max_peer_connections: int | None = None
    #: Maximum memory of all their messages that are not whole, bytes; ``None`` for no
    #: limit.
    max_open_message_bytes: int | None = None
    #: Maximum size of all documents of operators that are being applied, bytes, beside
    #: a single one; ``None`` for no limit.
    max_open_document_bytes: int | None = None
    #: Maximum number of tokens of a prompt that are compared with the caches of
    #: targets.
    max_prefix_tokens: int = 256 * 1024
    #: Size of each of the two buffers of a socket, bytes; ``None`` for that of the
    #: kernel.
    socket_buffer_bytes: int | None = None
    #: Maximum time that one write to a caller may block, seconds.
    caller_write_timeout: float = 30.0
    #: Maximum time that a caller may take to send its request, seconds.
    request_read_timeout: float = 20.0


def resolve_limits(settings: Settings) -> Limits:
    """Return the limits of an instance, defaults included."""
    return Limits(**settings.get("limits", {}))
