"""Shapes of a bundle."""

from typing import Literal, NotRequired, TypedDict


class PlainRoute(TypedDict):
    """One route of a plain service."""

    #: HTTP method, upper case.
    method: str
    #: Prefix of the paths that the route covers.
    path: str
    #: Whether a call may be repeated without harm.
    idempotent: bool
    #: Whether callers must send an ``Idempotency-Key``.
    key_required: NotRequired[bool]


class ForwardingRoute(TypedDict):
    """Where requests for one host and path prefix are forwarded unchanged."""

    #: Host of the request, lower case and without a port.
    host: str
    #: Beginning of the path; starts and ends with a slash.
    path_prefix: str
    #: Whether a request may run again, and whether its answer is a stream that
    #: may be resumed.
    kind: Literal["idempotent", "not_repeatable", "streaming", "resumable"]
    #: Weights of the services among which the requests are divided.
    services: dict[str, int]
    #: Longest time that a request may take, seconds.
    timeout: float
    #: Time within which an answer, or the first event, is of full use, seconds.
    latency_objective: NotRequired[float]
    #: Longest pause between two events of an on-time stream, seconds.
    gap_objective: NotRequired[float]
    #: The higher one goes first.
    priority: int
    #: Most targets that one request may be sent to.
    max_attempts: int
    #: Whether requests need no caller key.
    public: NotRequired[bool]


class EngineConfiguration(TypedDict):
    """What the model engines of a forwarding service can do."""

    #: Generations that run at one time.
    slots: int
    #: Tokens that the cache holds.
    cache_tokens: int
    #: Tokens in one event of a stream.
    event_tokens: NotRequired[int]
    #: Whether a copy of a generation's memory can be kept at a second engine.
    backups: NotRequired[bool]
    #: Whether the memory of a generation can be moved to another engine.
    moves: NotRequired[bool]


class RequestLimits(TypedDict):
    """What callers may send, and how long they may take."""

    #: Largest request header, bytes.
    max_header_bytes: int
    #: Largest request body, bytes.
    max_body_bytes: int
    #: Longest time for the header of a request, seconds.
    header_timeout: float
    #: Longest time that a connection may be idle, seconds.
    idle_timeout: float


class ServiceConfiguration(TypedDict):
    """One service that callers may name."""

    #: Whether its targets are model engines or plain services that callers name,
    #: or get what the bundle's routes forward to them.
    kind: Literal["generation", "plain", "forwarding"]
    #: What the engines of a forwarding service can do; absent for plain targets.
    engine: NotRequired[EngineConfiguration]
    #: Model that the engines serve.
    model: NotRequired[str]
    #: Version of the model.
    model_version: NotRequired[str]
    #: Adapters that the engines have loaded.
    adapters: NotRequired[list[str]]
    #: Whether the targets refuse an order with an old fencing number.
    fencing: NotRequired[Literal["checked", "ignored"]]
    #: What an instance does while it can't confirm the current bundle.
    unconfirmed: NotRequired[Literal["refuse", "serve"]]
    #: Most tokens of one answer.
    max_output_tokens: NotRequired[int]
    #: Most requests that wait for a target.
    queue_limit: NotRequired[int]
    #: Longest wait for a target, seconds.
    queue_timeout: NotRequired[float]
    #: Longest time that one plain call may take, seconds.
    call_timeout: NotRequired[float]
    #: Routes of a plain service; the first match decides.
    routes: NotRequired[list[PlainRoute]]


class AccountConfiguration(TypedDict):
    """One client account."""

    #: SHA-256 of the caller key, hexadecimal.
    key_sha256: str
    #: The same for further keys of the account.
    more_keys_sha256: NotRequired[list[str]]
    #: Replaces the priority of a route; the higher one goes first.
    priority: NotRequired[int]
    #: Weight in the fair division of tokens.
    share: float
    #: Most requests of the account in progress on one instance.
    max_in_progress: int
    #: Class of its requests unless a request names another.
    default_class: str


class Bundle(TypedDict):
    """The whole configuration at one version."""

    #: Number that grows with every change.
    version: int
    #: Services by name.
    services: dict[str, ServiceConfiguration]
    #: Priority by class name; the higher one goes first.
    classes: dict[str, int]
    #: Client accounts by name.
    accounts: dict[str, AccountConfiguration]
    #: Routes of forwarding services by name.
    routes: NotRequired[dict[str, ForwardingRoute]]
    #: Bounds of forwarded requests.
    limits: NotRequired[RequestLimits]
