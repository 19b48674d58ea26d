"""Runs calls of plain services."""

from __future__ import annotations

import asyncio
import hashlib
import secrets
from typing import Any, NamedTuple, assert_never

import aiohttp
from aiohttp import web
from returns.result import Failure

from heathertack.blackboard import LEASE, TARGETS, Blackboard
from heathertack.controllers import (
    CallController,
    CallEvent,
    ClaimCompleted,
    ClaimTimedOut,
    ColdShares,
    Execution,
    OutcomeRecorded,
    RecordingTimedOut,
    ResponseLost,
    ReturnRefusal,
    ReturnResponse,
    SendCall,
    SubmitOutcome,
    TargetFailed,
    TargetResponded,
    TargetUnreachable,
    find_usable_targets,
    is_evacuated,
)
from heathertack.messages import TargetRecord, TargetState
from heathertack.policy import RetryBudget
from heathertack.state import (
    CallOutcome,
    ClaimCall,
    ClaimGranted,
    RecordOutcome,
)
from heathertackd import _clock
from heathertackd._impossible_statuses import refuse_impossible_statuses
from heathertackd._instance import Instance
from heathertackd._refusals import not_run, refusal_response
from heathertackd._response_bodies import ResponseTooLargeError, read_limited
from heathertackd._transmissions import prevent_resending

_CONNECT_TIMEOUT_SECONDS = 2.0
_CLAIM_TIMEOUT_SECONDS = 3.0
#: Time between the check of a claim and the sending of its call, and the difference of
#: clocks, seconds.
_CONTACT_MARGIN_SECONDS = 0.2
_CONTACT_POLL_SECONDS = 0.05
_RECORD_TIMEOUT_SECONDS = 3.0
_BACKGROUND_RECORD_TIMEOUT_SECONDS = 600.0
_MAX_RESPONSE_BYTES = 16 * 1024 * 1024
_FORWARDED_HEADERS = ("Content-Type", "Accept")


class CallSpec(NamedTuple):
    """A validated call of a plain service."""

    service: str
    account: str
    method: str
    #: Path and query, relative to the service.
    path: str
    headers: dict[str, str]
    body: bytes
    #: Idempotency key, empty for none.
    key: str
    #: Timeout of the whole call, seconds.
    timeout: float

    @property
    def digest(self) -> str:
        """Digest of method, path and body."""
        text = f"{self.service}\n{self.method}\n{self.path}\n".encode()
        return hashlib.sha256(text + self.body).hexdigest()


class PlainClient:
    """Sends calls to plain services.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Connections to targets.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def send(
        self, target: TargetRecord, spec: CallSpec
    ) -> TargetResponded | TargetUnreachable | ResponseLost:
        """Send a call on one connection and return its result."""
        timeout = aiohttp.ClientTimeout(
            total=spec.timeout, sock_connect=_CONNECT_TIMEOUT_SECONDS
        )
        headers = dict(spec.headers)
        if spec.key:
            headers["Idempotency-Key"] = spec.key
        try:
            async with self._session.request(
                spec.method,
                f"http://{target.address}{spec.path}",
                data=spec.body,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
                middlewares=(refuse_impossible_statuses, prevent_resending),
            ) as response:
                body = await read_limited(response, _MAX_RESPONSE_BYTES)
                content_type = response.headers.get("Content-Type", "")
                outcome = CallOutcome(response.status, content_type, body)
                return TargetResponded(outcome)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return TargetUnreachable(has_alternative=False)
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            ResponseTooLargeError,
        ) as error:
            detail = f"the answer of {target.name} is lost: {error!r}"
            return ResponseLost(detail)


def forwarded_headers(request: web.Request) -> dict[str, str]:
    """Return the request headers that are forwarded to a target."""
    headers = request.headers
    return {name: headers[name] for name in _FORWARDED_HEADERS if name in headers}


class _TargetRotation:
    """Iterates over the targets of a call, using each of them once.

    A call may wait for its claim, and for answers, while a target stops or becomes
    cold, or a domain is evacuated.
    """

    def __init__(
        self,
        board: Blackboard,
        shares: ColdShares,
        targets: tuple[TargetRecord, ...],
        start: int,
    ) -> None:
        start = start % len(targets) if targets else 0
        self._board = board
        self._shares = shares
        self._targets = list(targets[start:] + targets[:start])

    @property
    def has_more(self) -> bool:
        """Whether there are targets that were not used yet and may be."""
        return bool(self._remaining)

    @property
    def _remaining(self) -> list[TargetRecord]:
        now = _clock.monotonic()
        return [
            target
            for target in self._targets
            if self._is_listed(target)
            and not is_evacuated(self._board, target.name)
            and self._shares.accepts(target.name, now)
        ]

    def _is_listed(self, target: TargetRecord) -> bool:
        """Return whether the table still holds a target at its address.

        Another service may use the address of a target that is gone.
        """
        record = self._board.read(TARGETS).get(target.name)
        if record is None or record.state is TargetState.GONE:
            return False
        return record.address == target.address

    def take(self) -> TargetRecord | None:
        """Return the next target, ``None`` if all were used."""
        self._targets = self._remaining
        if not self._targets:
            return None
        target = self._targets.pop(0)
        self._shares.spend(target.name, _clock.monotonic())
        return target


class CallRunner:
    """Runs calls of plain services.

    Parameters
    ----------
    instance : Instance
        The daemon.
    client : PlainClient
        Connections to plain services.
    """

    def __init__(self, instance: Instance, client: PlainClient) -> None:
        self._instance = instance
        self._client = client
        self._retry_budget = RetryBudget()
        self._cold_shares = ColdShares(instance.board)
        self._background_tasks: set[asyncio.Task[Any]] = set()
        self._rotation_count = 0

    @property
    def pending_records(self) -> int:
        """Number of calls and control log writes still in progress."""
        return len(self._background_tasks)

    async def run_idempotent(self, spec: CallSpec) -> web.Response:
        """Send a call that may be repeated; retry on other targets after a failure."""
        rotation = self._start_rotation(spec)
        refusal = not_run("no_target", "no target is live", 1.0)
        target = rotation.take()
        while target is not None:
            result = await self._client.send(target, spec)
            if isinstance(result, TargetResponded):
                self._retry_budget.record_success()
                return _build_response(result.outcome, spec.key, is_replay=False)
            self._record_failure(target)
            message = f"target {target.name} did not answer"
            refusal = refusal._replace(message=message)
            if isinstance(result, ResponseLost):
                refusal = refusal._replace(execution=Execution.UNKNOWN)
            has_next = rotation.has_more and self._retry_budget.try_spend()
            target = rotation.take() if has_next else None
        return refusal_response(refusal)

    async def run_once(self, spec: CallSpec) -> web.Response:
        """Send a call that must not run twice.

        The call continues if the caller disconnects, so that its outcome is recorded.
        """
        task = asyncio.ensure_future(self._run_once(spec))
        self._track(task)
        return await asyncio.shield(task)

    async def _run_once(self, spec: CallSpec) -> web.Response:
        claim_id = secrets.token_hex(12)
        controller = CallController(claim_id, spec.digest)
        rotation = self._start_rotation(spec)
        event: CallEvent = await self._claim(spec, claim_id)
        while True:
            (action,) = controller.handle(event)
            match action:
                case SendCall():
                    event = await self._send(rotation, spec)
                case SubmitOutcome():
                    event = await self._record(spec, claim_id, action)
                case ReturnResponse():
                    return _build_response(
                        action.outcome, spec.key, is_replay=action.is_replay
                    )
                case ReturnRefusal():
                    return _build_refusal(action, spec.key)
                case _:
                    assert_never(action)

    async def _claim(
        self, spec: CallSpec, claim_id: str
    ) -> ClaimCompleted | ClaimTimedOut:
        command = ClaimCall(
            spec.account,
            spec.key,
            spec.service,
            spec.digest,
            claim_id,
            self._instance.name,
            self._instance.incarnation,
        )
        deadline = _clock.monotonic() + _CLAIM_TIMEOUT_SECONDS
        while (left := deadline - _clock.monotonic()) > 0.0:
            outcome = await self._instance.control.commit(command, left)
            if isinstance(outcome, Failure):
                break
            result = outcome.unwrap()
            if not isinstance(result, ClaimGranted) or self._is_in_contact():
                return ClaimCompleted(result)
            # The process may have been paused since the grant, and its calls marked as
            # unknown: a claim that is repeated is granted only if it still holds.
            await self._wait_for_contact(deadline)
        self._track(asyncio.ensure_future(self._release_claim(spec, claim_id)))
        return ClaimTimedOut()

    def _is_in_contact(self) -> bool:
        """Return whether the leader can't have given up this instance."""
        timeout = self._instance.lease_timings.member_timeout - _CONTACT_MARGIN_SECONDS
        confirmed_at = self._instance.board.read(LEASE).confirmed_at
        return _clock.monotonic() - confirmed_at < timeout

    async def _wait_for_contact(self, deadline: float) -> None:
        while not self._is_in_contact() and _clock.monotonic() < deadline:
            await asyncio.sleep(_CONTACT_POLL_SECONDS)

    async def _release_claim(self, spec: CallSpec, claim_id: str) -> None:
        """Release the key of an abandoned claim, which may still be committed."""
        command = RecordOutcome(spec.account, spec.key, claim_id, None)
        await self._instance.control.commit(command, _BACKGROUND_RECORD_TIMEOUT_SECONDS)

    async def _send(self, rotation: _TargetRotation, spec: CallSpec) -> CallEvent:
        target = rotation.take()
        if target is None:
            return TargetUnreachable(has_alternative=False)
        result = await self._client.send(target, spec)
        if isinstance(result, TargetUnreachable):
            self._record_failure(target)
            return TargetUnreachable(has_alternative=rotation.has_more)
        return result

    async def _record(
        self, spec: CallSpec, claim_id: str, action: SubmitOutcome
    ) -> OutcomeRecorded | RecordingTimedOut:
        command = RecordOutcome(
            spec.account, spec.key, claim_id, action.outcome, action.is_unknown
        )
        recording = asyncio.ensure_future(
            self._instance.control.commit(command, _BACKGROUND_RECORD_TIMEOUT_SECONDS)
        )
        self._track(recording)
        try:
            await asyncio.wait_for(asyncio.shield(recording), _RECORD_TIMEOUT_SECONDS)
            return OutcomeRecorded()
        except TimeoutError:
            self._instance.logger.warning("outcome_unrecorded", key=spec.key)
            return RecordingTimedOut()

    def _start_rotation(self, spec: CallSpec) -> _TargetRotation:
        now = _clock.monotonic()
        targets = find_usable_targets(self._instance.board, spec.service, now)
        self._rotation_count += 1
        return _TargetRotation(
            self._instance.board, self._cold_shares, targets, self._rotation_count
        )

    def _record_failure(self, target: TargetRecord) -> None:
        event = TargetFailed(target.name)
        self._instance.health.handle(event, _clock.monotonic())

    def _track(self, task: asyncio.Task[Any]) -> None:
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)


def _build_response(outcome: CallOutcome, key: str, *, is_replay: bool) -> web.Response:
    headers = {"Content-Type": outcome.content_type} if outcome.content_type else {}
    if key:
        headers["Idempotency-Key"] = key
    if is_replay:
        headers["Idempotent-Replayed"] = "true"
    return web.Response(status=outcome.status, body=outcome.body, headers=headers)


def _build_refusal(action: ReturnRefusal, key: str) -> web.Response:
    response = refusal_response(action.refusal, action.status)
    response.headers["Idempotency-Key"] = key
    return response
