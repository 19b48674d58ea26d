"""Validates requests against the bundle's routes and accounts, and forwards them."""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import math
from typing import Any

import aiohttp
from aiohttp import web
from returns.result import Failure

from heathertack.blackboard import BUNDLE, LEASE, BundleView
from heathertack.bundle import Bundle, ForwardingRoute
from heathertack.controllers import Refusal, RequestClosed, RequestOpened, RunIdentity
from heathertack.policy import RunPace
from heathertack.routing import choose_service
from heathertack.settings import resolve_limits
from heathertackd import _clock
from heathertackd._bounded_server import hold
from heathertackd._caller_limits import CallerLimits, choose_caller_limits
from heathertackd._impossible_statuses import refuse_impossible_statuses
from heathertackd._instance import Instance
from heathertackd._line_limit import LineLimit
from heathertackd._refusals import (
    RefusedError,
    check_accepts_requests,
    check_request_text,
    leaving,
    not_run,
)
from heathertackd._target_connections import TargetConnections
from heathertackd._target_sessions import TargetConnector
from heathertackd._transmissions import (
    prevent_resending,
    trace_transmissions,
)
from heathertackd.forwarding._bodies import read_body
from heathertackd.forwarding._context import ForwardingContext
from heathertackd.forwarding._dialect import ForwardingDialect, RequestHead
from heathertackd.forwarding._fingerprints import digest_request, digest_shared_parts
from heathertackd.forwarding._kv_cache import KvCacheMover
from heathertackd.forwarding._request_spec import (
    RequestSpec,
    choose_priority,
    compute_deadline,
    limit_parts,
    measure_prefix,
)
from heathertackd.forwarding._retry_limits import RetryLimits
from heathertackd.forwarding._session import ForwardingSession
from heathertackd.forwarding._stream_monitor import StreamMonitor
from heathertackd.forwarding._target_answers import TargetAnswers
from heathertackd.forwarding._target_client import TargetClient

#: Retry delay sent to callers while the bundle can't be confirmed, seconds; most
#: leases are renewed within it.
_UNCONFIRMED_RETRY_SECONDS = 1.0
#: Maximum wait of a request for the first bundle of a process: long enough for an
#: election and a lease.
_FIRST_BUNDLE_WAIT_SECONDS = 1.0
_FIRST_BUNDLE_POLL_SECONDS = 0.05
#: Buffer of a response where the memory of the machine is limited, bytes; the HTTP
#: library stops to read at twice this size.
_RESPONSE_BUFFER_BYTES = 64 * 1024
#: The digests of a prompt are held here and by the admission owner.
_PREFIX_COPIES = 2
#: Interval at which prefixes that were cut are logged, seconds.
_LOG_INTERVAL_SECONDS = 1.0
#: Bytes of the request line besides method and path: two spaces, version, line end.
_LINE_EXTRA_BYTES = 12
#: Bytes of a header line besides name and value: colon, space, line end.
_FIELD_EXTRA_BYTES = 4


def open_forwarding_session(
    connections: TargetConnections | None = None,
) -> aiohttp.ClientSession:
    """Return a session that sends each request once and decodes no bodies.

    Parameters
    ----------
    connections : TargetConnections or None
        Selects the paths to targets; ``None`` for direct connections only.
    """
    options: dict[str, Any] = {}
    if connections is not None and connections.buffer_bytes is not None:
        options["read_bufsize"] = _RESPONSE_BUFFER_BYTES
    return aiohttp.ClientSession(
        connector=TargetConnector(connections),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        middlewares=(refuse_impossible_statuses, prevent_resending),
        trace_configs=[trace_transmissions()],
        **options,
    )


class Forwarder:
    """Serves the forwarding routes of the bundle.

    Parameters
    ----------
    instance : Instance
        The daemon.
    session : aiohttp.ClientSession
        Session from :func:`open_forwarding_session`.
    dialect : ForwardingDialect
        Decodes and encodes the headers of the platform.
    mover : KvCacheMover or None
        Moves KV caches between engines; ``None`` if the engines can't do that.
    """

    def __init__(
        self,
        instance: Instance,
        session: aiohttp.ClientSession,
        dialect: ForwardingDialect,
        mover: KvCacheMover | None = None,
    ) -> None:
        self._instance = instance
        self._dialect = dialect
        self._limits = resolve_limits(instance.settings)
        self._context = ForwardingContext(
            instance,
            TargetClient(
                session, dialect, TargetAnswers(instance), instance.connections
            ),
            dialect,
            RetryLimits(instance.board, instance.retry_allowance),
            StreamMonitor(instance.failures),
            mover,
            RunPace(),
        )
        self._request_numbers = itertools.count(1)
        self._line_limit = LineLimit(_LOG_INTERVAL_SECONDS)
        self._sessions: set[ForwardingSession] = set()
        #: Limits of the bodies that are being read.
        self._body_timeouts: set[asyncio.Timeout] = set()

    def limit_time(self, until: float) -> None:
        """Answer all open requests by a time on the monotonic clock, seconds."""
        for session in tuple(self._sessions):
            session.limit_time(until)
        for timeout in self._body_timeouts:
            _limit(timeout, until)

    async def monitor_streams(self) -> None:
        """Move open streams off targets that are about to be lost, until cancelled."""
        await self._context.stream_monitor.run()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request.

        While the instance leaves, the connection is closed after the response, if its
        header says so.
        """
        received_at = _clock.monotonic()
        drain = self._instance.drain
        drain.handle(RequestOpened(), received_at)
        try:
            response = await self._respond(request, received_at)
        finally:
            drain.handle(RequestClosed(), _clock.monotonic())
        # A caller that was not told so may use the connection for its next request.
        if drain.is_leaving and not response.prepared:
            response.force_close()
        return response

    async def _respond(
        self, request: web.BaseRequest, received_at: float
    ) -> web.StreamResponse:
        try:
            spec = await self._validate(request, received_at)
            self._check_remaining_time(spec)
        except RefusedError as error:
            return self._refuse(request, error.refusal)
        session = ForwardingSession(self._context, spec, request)
        self._sessions.add(session)
        try:
            return await session.run()
        finally:
            self._sessions.discard(session)

    def _check_remaining_time(self, spec: RequestSpec) -> None:
        """Refuse a request that may outlast an instance that leaves.

        Raises
        ------
        RefusedError
            If the deadline of the request is after the end of the grace period, or the
            instance has left.
        """
        drain = self._instance.drain
        check_accepts_requests(drain, spec.received_at)
        if drain.can_answer(spec.deadline):
            return
        left = drain.answer_deadline - _clock.monotonic()
        message = f"the instance leaves in {left:.1f} s, before the request may end"
        raise RefusedError(leaving(message))

    def _refuse(self, request: web.BaseRequest, refusal: Refusal) -> web.StreamResponse:
        self._instance.metrics.refusals.labels("", refusal.code).inc()
        view = self._instance.board.read(BUNDLE)
        self._instance.logger.info(
            "request_refused",
            request_id=request.headers.get("X-Request-Id", ""),
            code=refusal.code,
            detail=refusal.message,
            execution=refusal.execution.value,
            bundle_index=view.log_index,
        )
        return self._context.refuse(refusal)

    async def _validate(
        self, request: web.BaseRequest, received_at: float
    ) -> RequestSpec:
        """Validate a request and return its specification.

        Raises
        ------
        RefusedError
            If the request can't be served.
        """
        view = await self._wait_for_bundle()
        bundle = view.bundle
        if bundle is None:
            message = "no bundle is in force yet"
            raise RefusedError(
                not_run("unconfirmed", message, _UNCONFIRMED_RETRY_SECONDS)
            )
        limits = choose_caller_limits(bundle, self._limits)
        _check_header(request, limits.max_header_bytes)
        check_request_text(request)
        path = request.raw_path
        match = view.routes.find(request.headers.get("Host", ""), path)
        if match is None:
            raise RefusedError(not_run("unknown_service", f"no route leads to {path}"))
        head = self._read_head(request)
        account = self._authenticate(view, bundle, match.route, head)
        identity_parts = head.size.parts if head.size is not None else ()
        head = self._limit_prefix(request, head)
        body = await self._read_body(request, limits)
        service = choose_service(match.route, head.request_id)
        engine = bundle["services"][service].get("engine")
        return RequestSpec(
            key=f"{self._instance.name}.{self._instance.incarnation:x}."
            f"{next(self._request_numbers)}",
            head=head,
            method=request.method,
            path=path,
            body=body,
            route_name=match.name,
            route=match.route,
            service=service,
            account=account,
            priority=choose_priority(bundle, account, match.route),
            received_at=received_at,
            deadline=compute_deadline(head, match.route, received_at),
            bundle_index=view.log_index,
            has_backups=engine is not None and engine.get("backups", False),
            event_tokens=engine.get("event_tokens", 1) if engine is not None else 1,
            identity=RunIdentity(
                digest_request(account, path, body),
                digest_shared_parts(identity_parts),
            ),
        )

    def _limit_prefix(self, request: web.BaseRequest, head: RequestHead) -> RequestHead:
        """Return a head with a limited prefix, whose digests are counted.

        Raises
        ------
        ConnectionDroppedError
            If the connection was closed for want of memory.
        """
        size = head.size
        if size is None or not size.parts:
            return head
        parts = limit_parts(size.parts, self._limits.max_prefix_tokens)
        hold(request, _PREFIX_COPIES * measure_prefix(parts))
        tokens = sum(part.tokens for part in size.parts)
        if tokens <= self._limits.max_prefix_tokens:
            return head
        self._instance.metrics.cut_prefixes.inc()
        count = self._line_limit.admit("", _clock.monotonic())
        if count:
            self._instance.logger.info(
                "prefix_cut",
                request_id=head.request_id,
                tokens=tokens,
                max_tokens=self._limits.max_prefix_tokens,
                count=count,
            )
        return head._replace(size=size._replace(parts=parts))

    async def _read_body(self, request: web.BaseRequest, limits: CallerLimits) -> bytes:
        """Read a body, at the longest until an instance that leaves must answer.

        Raises
        ------
        RefusedError
            If the body is too large or does not arrive in time.
        """
        timeout = asyncio.timeout(None)
        try:
            async with timeout:
                self._body_timeouts.add(timeout)
                _limit(timeout, self._instance.drain.answer_deadline)
                return await read_body(
                    request, limits.max_body_bytes, limits.idle_timeout
                )
        except TimeoutError as error:
            message = "the instance leaves before the body has arrived"
            raise RefusedError(leaving(message)) from error
        finally:
            self._body_timeouts.discard(timeout)

    async def _wait_for_bundle(self) -> BundleView:
        """Return the bundle, waiting for it if the process has just started."""
        board = self._instance.board
        deadline = _clock.monotonic() + _FIRST_BUNDLE_WAIT_SECONDS
        while board.read(BUNDLE).bundle is None and _clock.monotonic() < deadline:
            await asyncio.sleep(_FIRST_BUNDLE_POLL_SECONDS)
        return board.read(BUNDLE)

    def _read_head(self, request: web.BaseRequest) -> RequestHead:
        result = self._dialect.read_request(request.headers)
        if isinstance(result, Failure):
            raise RefusedError(not_run("invalid_request", result.failure()))
        head: RequestHead = result.unwrap()
        return head

    def _authenticate(
        self,
        view: BundleView,
        bundle: Bundle,
        route: ForwardingRoute,
        head: RequestHead,
    ) -> str:
        """Return the client account of a request, empty for a public route."""
        if route.get("public", False):
            return ""
        if not self._instance.board.read(LEASE).is_valid(_clock.monotonic()):
            message = "this instance can't confirm the current bundle"
            raise RefusedError(
                not_run("unconfirmed", message, _UNCONFIRMED_RETRY_SECONDS)
            )
        digest = hashlib.sha256(head.caller_key.encode()).hexdigest()
        account = view.accounts.get(digest)
        if account is None:
            code = "wrong_key" if head.caller_key else "missing_key"
            message = "the caller key belongs to no client account"
            raise RefusedError(not_run(code, message))
        return account


def _limit(timeout: asyncio.Timeout, until: float) -> None:
    """End a timeout by a time on the monotonic clock, seconds, if that is finite."""
    if math.isfinite(until) and not timeout.expired():
        left = until - _clock.monotonic()
        timeout.reschedule(asyncio.get_running_loop().time() + left)


def _check_header(request: web.BaseRequest, max_bytes: int) -> None:
    line = len(request.method) + len(request.raw_path) + _LINE_EXTRA_BYTES
    fields = sum(
        len(name) + len(value) + _FIELD_EXTRA_BYTES
        for name, value in request.raw_headers
    )
    if line + fields > max_bytes:
        message = f"the header has {line + fields} bytes, {max_bytes} are allowed"
        raise RefusedError(not_run("header_too_large", message))
