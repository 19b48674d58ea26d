"""Objects that all forwarded requests share."""

from __future__ import annotations

from typing import NamedTuple

from aiohttp import web

from heathertack.controllers import Refusal
from heathertack.policy import RunPace
from heathertackd._instance import Instance
from heathertackd._refusals import refusal_response
from heathertackd.forwarding._dialect import ForwardingDialect
from heathertackd.forwarding._kv_cache import KvCacheMover
from heathertackd.forwarding._retry_limits import RetryLimits
from heathertackd.forwarding._stream_monitor import StreamMonitor
from heathertackd.forwarding._target_client import TargetClient


class ForwardingContext(NamedTuple):
    """Objects that forwarding uses on one instance."""

    instance: Instance
    client: TargetClient
    dialect: ForwardingDialect
    retries: RetryLimits
    stream_monitor: StreamMonitor
    #: Moves KV caches between engines; ``None`` if the engines can't do that.
    mover: KvCacheMover | None
    #: Paces of the latest runs.
    pace: RunPace

    def refuse(self, refusal: Refusal, status: int | None = None) -> web.Response:
        """Return the response to a refused request."""
        response = refusal_response(refusal, status)
        if refusal.retry_after is not None:
            text = self.dialect.format_retry_after(refusal.retry_after)
            response.headers["Retry-After"] = text
        return response
