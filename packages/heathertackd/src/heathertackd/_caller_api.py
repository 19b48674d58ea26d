"""HTTP API for callers."""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from itertools import count
from typing import NamedTuple

import msgspec
from aiohttp import web
from returns.result import Failure, Success

from heathertack.blackboard import BUNDLE, LEASE, SUSPECTS
from heathertack.bundle import AccountConfiguration, ServiceConfiguration, find_route
from heathertack.controllers import (
    RequestClosed,
    RequestOpened,
    choose_addresses,
    is_ready,
)
from heathertack.messages import ReservationRequest
from heathertack.policy import digest_prefixes
from heathertack.settings import resolve_limits
from heathertackd import _clock
from heathertackd._call_session import CallRunner, CallSpec, forwarded_headers
from heathertackd._engine_client import EngineClient
from heathertackd._generation_session import GenerationSession, GenerationSpec
from heathertackd._instance import Instance
from heathertackd._refusals import (
    RefusedError,
    body_too_large,
    check_accepts_requests,
    check_request_text,
    not_run,
    refusal_response,
)
from heathertackd._wire import CHAT_PATH, TEXT_PATH, CompletionRequest, parse_completion

_CONFIRMATION_WAIT_SECONDS = 3.0
_CONFIRMATION_POLL_SECONDS = 0.05
_DEFAULT_MAX_TOKENS = 4096
_DEFAULT_QUEUE_TIMEOUT_SECONDS = 10.0
_DEFAULT_CALL_TIMEOUT_SECONDS = 30.0
_MIN_LOSSES_TO_QUARANTINE = 2
_QUARANTINE_RETRY_SECONDS = 60.0
_CLASS_HEADER = "X-Request-Class"
_DOMAIN_HEADER = "X-Failure-Domain"

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Caller(NamedTuple):
    """Authenticated client account of a request, with its priority class."""

    account: str
    configuration: AccountConfiguration
    class_name: str
    priority: int


class CallerApi:
    """Request handlers of the API for callers.

    Parameters
    ----------
    instance : Instance
        The daemon.
    engines : EngineClient
        Client for model engines.
    calls : CallRunner
        Runs calls to plain services.
    """

    def __init__(
        self, instance: Instance, engines: EngineClient, calls: CallRunner
    ) -> None:
        self._instance = instance
        self._engines = engines
        self._calls = calls
        self._limits = resolve_limits(instance.settings)
        self._in_progress: Counter[str] = Counter()
        self._request_numbers = count(1)
        self._random = random.Random(instance.incarnation)
        self._in_progress_count = 0

    def add_routes(self, app: web.Application) -> None:
        """Add the routes of the API to an application."""
        app.router.add_get("/v1/addresses", self._serve_addresses)
        app.router.add_post(CHAT_PATH, self._wrap(self._handle_completion))
        app.router.add_post(TEXT_PATH, self._wrap(self._handle_completion))
        services = "/v1/services/{service}{path:/.*}"
        app.router.add_route("*", services, self._wrap(self._handle_call))
        app.router.add_get("/metrics", self._serve_metrics)
        app.router.add_get("/healthz", self._serve_health)
        app.router.add_get("/readyz", self._serve_readiness)

    def _wrap(self, handler: Handler) -> Handler:
        """Return a handler that counts open requests and responds to refusals.

        While the instance leaves, it closes the connection after a response whose
        header says so.
        """

        async def wrapped(request: web.Request) -> web.StreamResponse:
            drain = self._instance.drain
            drain.handle(RequestOpened(), _clock.monotonic())
            try:
                response = await self._respond(request, handler)
            finally:
                drain.handle(RequestClosed(), _clock.monotonic())
            # A caller that was not told so may use the connection for its next request.
            if drain.is_leaving and not response.prepared:
                response.force_close()
            return response

        return wrapped

    async def _respond(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        try:
            check_request_text(request)
            check_accepts_requests(self._instance.drain, _clock.monotonic())
            return await handler(request)
        except RefusedError as error:
            account = self._instance.metrics.account_label("unknown")
            code = error.refusal.code
            self._instance.metrics.refusals.labels(account, code).inc()
            return refusal_response(error.refusal)

    async def _serve_addresses(self, request: web.Request) -> web.Response:
        service = request.query.get("service", "")
        bundle = self._instance.board.read(BUNDLE).bundle
        if bundle is not None and service and service not in bundle["services"]:
            message = f"there is no service {service!r}"
            return refusal_response(not_run("unknown_service", message))
        domain = request.query.get("failure_domain", "")
        choices = choose_addresses(
            self._instance.board, domain, self._instance.address_ttl, self._random
        )
        if not choices.addresses:
            message = "no instance is known to be alive"
            return refusal_response(not_run("no_instance", message, 1.0))
        document = {
            "addresses": [
                {"address": choice.address, "failure_domain": choice.failure_domain}
                for choice in choices.addresses
            ],
            "ttl_seconds": choices.ttl,
        }
        return _json_response(document)

    async def _serve_metrics(self, request: web.Request) -> web.Response:
        del request
        body = self._instance.metrics.render()
        return web.Response(body=body, content_type="text/plain")

    async def _serve_health(self, request: web.Request) -> web.Response:
        del request
        return _json_response({"status": "alive"})

    async def _serve_readiness(self, request: web.Request) -> web.Response:
        del request
        ready = is_ready(self._instance.board, _clock.monotonic())
        return _json_response({"ready": ready}, 200 if ready else 503)

    async def _handle_completion(self, request: web.Request) -> web.StreamResponse:
        received_at = _clock.monotonic()
        body = await self._read_body(request)
        match parse_completion(request.path, body):
            case Success(completion):
                return await self._generate(request, completion, body, received_at)
            case Failure(message):
                raise RefusedError(not_run("invalid_request", message))
            case _:
                raise RefusedError(not_run("internal_error", "no result"))

    async def _generate(
        self,
        request: web.Request,
        completion: CompletionRequest,
        body: bytes,
        received_at: float,
    ) -> web.StreamResponse:
        service = self._find_service(completion.service, "generation")
        caller = self._authenticate(request)
        await self._wait_for_confirmation(service)
        if self._in_progress_count >= self._limits.max_streams:
            raise RefusedError(not_run("too_many_streams", "too many streams", 1.0))
        reservation = self._build_reservation(completion, service, caller, body)
        losses = self._instance.board.read(SUSPECTS).get(reservation.fingerprint, 0)
        if losses >= _MIN_LOSSES_TO_QUARANTINE:
            message = f"{losses} targets were lost while they ran the request"
            wait = _QUARANTINE_RETRY_SECONDS
            raise RefusedError(not_run("quarantined", message, wait))
        spec = GenerationSpec(
            completion, reservation, received_at, self._limits.caller_write_timeout
        )
        session = GenerationSession(self._instance, self._engines, spec, request)
        return await self._count_in_progress(caller, session.run)

    async def _count_in_progress(
        self, caller: Caller, run: Callable[[], Awaitable[web.StreamResponse]]
    ) -> web.StreamResponse:
        """Run a request within the concurrency limit of its client account."""
        limit = caller.configuration["max_in_progress"]
        if self._in_progress[caller.account] >= limit:
            message = f"the account has {limit} requests in progress"
            raise RefusedError(not_run("account_limit", message, 1.0))
        self._in_progress[caller.account] += 1
        self._in_progress_count += 1
        try:
            return await run()
        finally:
            self._in_progress_count -= 1
            self._in_progress[caller.account] -= 1
            if not self._in_progress[caller.account]:
                del self._in_progress[caller.account]

    def _build_reservation(
        self,
        completion: CompletionRequest,
        service: ServiceConfiguration,
        caller: Caller,
        body: bytes,
    ) -> ReservationRequest:
        number = next(self._request_numbers)
        incarnation = format(self._instance.incarnation, "x")
        token_limit = service.get("max_output_tokens", _DEFAULT_MAX_TOKENS)
        fingerprint = hashlib.sha256(caller.account.encode() + b"\0" + body)
        return ReservationRequest(
            generation_id=f"{self._instance.name}.{incarnation}.{number}",
            attempt=1,
            service=completion.service,
            group="",
            account=caller.account,
            class_name=caller.class_name,
            priority=caller.priority,
            share=caller.configuration["share"],
            prompt_tokens=completion.prompt_tokens,
            max_tokens=min(completion.max_tokens or token_limit, token_limit),
            prefix=digest_prefixes(completion.prompt),
            fingerprint=fingerprint.hexdigest()[:32],
            excluded=(),
            max_wait=service.get("queue_timeout", _DEFAULT_QUEUE_TIMEOUT_SECONDS),
        )

    async def _handle_call(self, request: web.Request) -> web.StreamResponse:
        name = request.match_info["service"]
        service = self._find_service(name, "plain")
        caller = self._authenticate(request)
        path = request.match_info["path"]
        route = find_route(service, request.method, path)
        if route is None:
            message = f"service {name!r} has no route {request.method} {path}"
            raise RefusedError(not_run("unknown_service", message))
        key = request.headers.get("Idempotency-Key", "")
        if route.get("key_required") and not key:
            message = "the route needs an Idempotency-Key"
            raise RefusedError(not_run("invalid_request", message))
        body = await self._read_body(request)
        await self._wait_for_confirmation(service)
        if not route["idempotent"] and not key:
            key = f"{self._instance.name}.{self._instance.incarnation}"
            key = f"{key}.{next(self._request_numbers)}"
        query = f"?{request.query_string}" if request.query_string else ""
        spec = CallSpec(
            service=name,
            account=caller.account,
            method=request.method,
            path=path + query,
            headers=forwarded_headers(request),
            body=body,
            key=key,
            timeout=service.get("call_timeout", _DEFAULT_CALL_TIMEOUT_SECONDS),
        )
        run = self._calls.run_idempotent
        if not route["idempotent"]:
            run = self._calls.run_once
        return await self._count_in_progress(caller, lambda: run(spec))

    async def _read_body(self, request: web.Request) -> bytes:
        """Read a body within the limits on size and time."""
        limit = self._limits.max_body_bytes
        if request.content_length is not None and request.content_length > limit:
            raise RefusedError(body_too_large(limit))
        try:
            async with asyncio.timeout(self._limits.request_read_timeout):
                return await request.read()
        except TimeoutError as error:
            message = "the body did not arrive in time"
            raise RefusedError(not_run("request_timeout", message)) from error
        except web.HTTPRequestEntityTooLarge as error:
            raise RefusedError(body_too_large(limit)) from error

    def _find_service(self, name: str, kind: str) -> ServiceConfiguration:
        bundle = self._instance.board.read(BUNDLE).bundle
        if bundle is None:
            message = "no bundle is in force yet"
            raise RefusedError(not_run("unconfirmed", message, 1.0))
        service = bundle["services"].get(name)
        if service is None or service["kind"] != kind:
            message = f"there is no {kind} service {name!r}"
            raise RefusedError(not_run("unknown_service", message))
        return service

    def _authenticate(self, request: web.Request) -> Caller:
        """Return the caller of a request, identified by its key."""
        view = self._instance.board.read(BUNDLE)
        scheme, _, key = request.headers.get("Authorization", "").partition(" ")
        if scheme != "Bearer" or not key:
            message = "the request has no caller key"
            raise RefusedError(not_run("missing_key", message))
        digest = hashlib.sha256(key.encode()).hexdigest()
        account = view.accounts.get(digest)
        if account is None or view.bundle is None:
            message = "the caller key belongs to no client account"
            raise RefusedError(not_run("wrong_key", message))
        configuration = view.bundle["accounts"][account]
        classes = view.bundle["classes"]
        requested = request.headers.get(_CLASS_HEADER, "")
        name = requested if requested in classes else configuration["default_class"]
        return Caller(account, configuration, name, classes[name])

    async def _wait_for_confirmation(self, service: ServiceConfiguration) -> None:
        """Wait for a confirmed bundle, unless the service may run without one."""
        board = self._instance.board
        deadline = _clock.monotonic() + _CONFIRMATION_WAIT_SECONDS
        while not board.read(LEASE).is_valid(_clock.monotonic()):
            if service.get("unconfirmed", "refuse") == "serve":
                break
            if _clock.monotonic() >= deadline:
                message = "this instance can't confirm the current bundle"
                raise RefusedError(not_run("unconfirmed", message, 1.0))
            await asyncio.sleep(_CONFIRMATION_POLL_SECONDS)


def _json_response(document: object, status: int = 200) -> web.Response:
    body = msgspec.json.encode(document)
    return web.Response(status=status, body=body, content_type="application/json")
