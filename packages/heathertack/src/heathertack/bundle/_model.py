"""Types of the bundle document."""

from typing import Annotated, Literal, NotRequired, TypedDict

import msgspec

from heathertack.decoding import MAX_COUNT, Integer, Seconds


class PlainRoute(TypedDict):
    """Calls that a plain service accepts, by method and path prefix."""

    #: HTTP method, upper case.
    method: str
    #: Path prefix that the route matches.
    path: str
    #: Whether a call may be executed more than once without further effect.
    idempotent: bool
    #: Whether callers must send an ``Idempotency-Key``.
    key_required: NotRequired[bool]


class ForwardingRoute(TypedDict):
    """Services that receive the unchanged requests for one host and path prefix."""

    #: Host of the request, lower case and without a port.
    host: str
    #: Prefix of the path; starts and ends with a slash.
    path_prefix: str
    #: Whether a request may be executed again, and whether its response is a
    #: stream that may be resumed.
    kind: Literal["idempotent", "not_repeatable", "streaming", "resumable"]
    #: Share of the requests by service name, as relative weights.
    services: dict[str, Integer]
    #: Maximum duration of a request, seconds.
    timeout: Seconds
    #: Latency objective for the response, or for the first event of a stream,
    #: seconds.
    latency_objective: NotRequired[Seconds]
    #: Maximum interval between two events of a stream that counts as on time,
    #: seconds.
    gap_objective: NotRequired[Seconds]
    #: Requests with a higher priority are served first.
    priority: Integer
    #: Maximum number of targets that one request may be sent to.
    max_attempts: Integer
    #: Whether requests need no caller key.
    public: NotRequired[bool]


class EngineConfiguration(TypedDict):
    """Capacity and features of the model engines of a forwarding service."""

    #: Maximum number of generations that run concurrently.
    slots: Integer
    #: Capacity of the key-value cache, tokens.
    cache_tokens: Integer
    #: Number of tokens in one event of a stream.
    event_tokens: NotRequired[Integer]
    #: Whether a second engine can hold a backup of a generation's key-value cache.
    backups: NotRequired[bool]
    #: Whether the key-value cache of a generation can be moved to another engine.
    moves: NotRequired[bool]


class RequestLimits(TypedDict):
    """Size limits and timeouts of callers' requests."""

    #: Maximum size of a request header, bytes.
    max_header_bytes: Integer
    #: Maximum size of a request body, bytes.
    max_body_bytes: Integer
    #: Maximum time to receive the header of a request, seconds.
    header_timeout: Seconds
    #: Maximum time that a connection may be idle, seconds.
    idle_timeout: Seconds


class ServiceConfiguration(TypedDict):
    """Configuration of one service."""

    #: ``generation`` for model engines and ``plain`` for plain services, which
    #: callers address by name; ``forwarding`` if the routes of the bundle forward
    #: requests to the targets.
    kind: Literal["generation", "plain", "forwarding"]
    #: Capacity and features of the engines of a forwarding service; absent for
    #: plain targets.
    engine: NotRequired[EngineConfiguration]
    #: Model that the engines serve.
    model: NotRequired[str]
    #: Version of the model.
    model_version: NotRequired[str]
    #: Adapters that the engines have loaded.
    adapters: NotRequired[list[str]]
    #: Whether the targets reject an order with an outdated fencing token.
    fencing: NotRequired[Literal["checked", "ignored"]]
    #: How an instance handles requests while it can't confirm the current bundle.
    unconfirmed: NotRequired[Literal["refuse", "serve"]]
    #: Maximum number of tokens in one response.
    max_output_tokens: NotRequired[Integer]
    #: Maximum number of requests that wait for a target.
    queue_limit: NotRequired[Integer]
    #: Maximum time that a request waits for a target, seconds.
    queue_timeout: NotRequired[Seconds]
    #: Maximum duration of one plain call, seconds.
    call_timeout: NotRequired[Seconds]
    #: Routes of a plain service; the first match applies.
    routes: NotRequired[list[PlainRoute]]


class AccountConfiguration(TypedDict):
    """One client account."""

    #: SHA-256 of the caller key, hexadecimal.
    key_sha256: str
    #: SHA-256 of each further caller key of the account, hexadecimal.
    more_keys_sha256: NotRequired[list[str]]
    #: Overrides the priority of a route; higher values are served first.
    priority: NotRequired[Integer]
    #: Weight of the account in the fair sharing of tokens.
    share: Annotated[float, msgspec.Meta(le=MAX_COUNT)]
    #: Maximum number of the account's requests in progress on one instance.
    max_in_progress: Integer
    #: Class of the requests that specify none.
    default_class: str


class Bundle(TypedDict):
    """The whole configuration at one version."""

    #: Version number, increased by every change.
    version: Integer
    #: Services by name.
    services: dict[str, ServiceConfiguration]
    #: Priority by class name; higher values are served first.
    classes: dict[str, Integer]
    #: Client accounts by name.
    accounts: dict[str, AccountConfiguration]
    #: Routes of forwarding services by name.
    routes: NotRequired[dict[str, ForwardingRoute]]
    #: Limits on forwarded requests.
    limits: NotRequired[RequestLimits]
