"""What every forwarded request uses."""

from __future__ import annotations

from typing import NamedTuple

from aiohttp import web

from heathertack.controllers import Refusal
from heathertackd._instance import Instance
from heathertackd._refusals import refusal_response
from heathertackd.forwarding._dialect import ForwardingDialect
from heathertackd.forwarding._memory import KvCacheMover
from heathertackd.forwarding._retry_limits import RetryLimits
from heathertackd.forwarding._stream_keeper import StreamKeeper
from heathertackd.forwarding._target_client import TargetClient


class ForwardingContext(NamedTuple):
    """Collaborators of forwarding on one instance."""

    instance: Instance
    client: TargetClient
    dialect: ForwardingDialect
    retries: RetryLimits
    keeper: StreamKeeper
    #: Moves the memory of generations, where the engines can do that.
    mover: KvCacheMover | None

    def refuse(self, refusal: Refusal, status: int | None = None) -> web.Response:
        """Return the answer of a refused request."""
        response = refusal_response(refusal, status)
        if refusal.retry_after is not None:
            text = self.dialect.format_retry_after(refusal.retry_after)
            response.headers["Retry-After"] = text
        return response
