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


class ServiceConfiguration(TypedDict):
    """One service that callers may name."""

    #: Whether its targets are model engines or plain services.
    kind: Literal["generation", "plain"]
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
