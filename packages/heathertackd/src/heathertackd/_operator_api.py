"""HTTP interface for operators."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import msgspec
from aiohttp import web
from returns.result import Failure, Success

from heathertack.blackboard import BUNDLE, CONTROL, LEASE, MEMBERS, TARGETS
from heathertack.bundle import (
    SignedBundle,
    digest_content,
    parse_bundle,
)
from heathertack.controllers import (
    ChangeReplicas,
    ControlLogController,
    ReplicaOperation,
    ReplyToCommand,
)
from heathertack.decoding import decode_json
from heathertack.messages import ControlStatus
from heathertack.operators import (
    BundleDocument,
    CallDocument,
    DrainDocument,
    EvacuationDocument,
    QuarantineClearDocument,
    QuarantineDocument,
    ReplicaDocument,
    RequestContent,
    SettleDocument,
    StatusDocument,
    verify_request,
)
from heathertack.signatures import verify_bundle
from heathertack.state import (
    RESULT_CODEC,
    ApplyBundle,
    BundleAccepted,
    BundleRejected,
    CallState,
    ClearQuarantine,
    Command,
    NotFound,
    Result,
    SetDraining,
    SettleCall,
)
from heathertackd import _clock
from heathertackd._evacuation_client import EvacuationOrder, is_connected
from heathertackd._instance import Instance
from heathertackd._refusals import RefusedError, check_request_text

_COMMIT_TIMEOUT_SECONDS = 5.0
_IN_FORCE_TIMEOUT_SECONDS = 5.0

Document = TypeVar("Document")
Handler = Callable[[web.Request], Awaitable[web.Response]]


class OperatorApi:
    """Handlers of the HTTP interface for operators.

    Parameters
    ----------
    instance : Instance
        The daemon.
    """

    def __init__(self, instance: Instance) -> None:
        self._instance = instance

    def add_routes(self, app: web.Application) -> None:
        """Add the routes for operators."""
        get = app.router.add_get
        post = app.router.add_post
        get("/operator/status", self._require_signature(self._get_status))
        get("/operator/explain/{request}", self._require_signature(self._explain))
        get("/operator/bundles", self._require_leader(self._list_bundles))
        get("/operator/bundles/current", self._require_leader(self._get_bundle))
        post("/operator/bundles", self._require_leader(self._apply_bundle))
        post("/operator/drain", self._require_leader(self._drain))
        post("/operator/evacuations", self._require_signature(self._evacuate))
        post("/operator/replicas", self._require_leader(self._change_replicas))
        get("/operator/calls", self._require_leader(self._list_calls))
        post("/operator/calls/settle", self._require_leader(self._settle_call))
        get("/operator/quarantine", self._require_leader(self._list_quarantine))
        post("/operator/quarantine/clear", self._require_leader(self._clear_quarantine))

    def _require_signature(self, handler: Handler) -> Handler:
        """Accept only requests that a trusted operator signed."""

        async def checked(request: web.Request) -> web.Response:
            try:
                check_request_text(request)
            except RefusedError as error:
                return _error(400, error.refusal.code, error.refusal.message)
            operator = verify_request(
                request.headers,
                self._instance.settings["operator_keys"],
                RequestContent(request.method, request.path_qs, await request.read()),
                _clock.wall_time(),
            )
            if operator is None:
                message = "the request is not signed by a trusted operator"
                return _error(403, "not_trusted", message)
            if request.method != "GET":
                self._instance.logger.info(
                    "operator_request", operator=operator, path=request.path
                )
            return await handler(request)

        return checked

    def _require_leader(self, handler: Handler) -> Handler:
        """Accept only signed requests, and only while this instance leads."""

        async def checked(request: web.Request) -> web.Response:
            control = self._instance.board.read(CONTROL)
            if control.may_lead(_clock.monotonic()):
                return await handler(request)
            leader = self._instance.board.read(LEASE).leader
            document = {
                "code": "not_leader",
                "message": "another instance leads the control log",
                "leader": leader,
                "address": self._find_address(leader),
            }
            return _json_response({"error": document}, 421)

        return self._require_signature(checked)

    def _find_address(self, instance: str) -> str:
        for peer in self._instance.settings["peers"]:
            if peer["instance"] == instance:
                return f"{peer['http']['host']}:{peer['http']['port']}"
        return ""

    def _control_log(self) -> ControlLogController:
        control_log = self._instance.control_log
        if control_log is None:
            raise web.HTTPInternalServerError(text="no control log")
        return control_log.controller

    async def _get_status(self, request: web.Request) -> web.Response:
        del request
        board = self._instance.board
        bundle = board.read(BUNDLE)
        control_log = self._instance.control_log
        grantor = self._instance.grantor
        membership = control_log.membership if control_log else None
        regressed = (
            control_log.controller.regressed_replicas if control_log else frozenset()
        )
        status = StatusDocument(
            instance=self._instance.name,
            leader=board.read(LEASE).leader,
            lease_is_valid=board.read(LEASE).is_valid(_clock.monotonic()),
            bundle_version=bundle.bundle["version"] if bundle.bundle else 0,
            bundle_index=bundle.log_index,
            in_force_index=grantor.in_force_index if grantor is not None else 0,
            members=[
                {
                    "instance": member.instance,
                    "state": member.state.value,
                    "failure_domain": member.failure_domain,
                    "address": member.http_address,
                    "bundle_index": member.bundle_index,
                    "load": member.load,
                }
                for member in sorted(board.read(MEMBERS).values())
            ],
            targets=[
                {
                    "target": target.name,
                    "service": target.service,
                    "state": target.state.value,
                    "address": target.address,
                    "failure_domain": target.failure_domain,
                }
                for target in sorted(board.read(TARGETS).values())
            ],
            replicas=list(membership.voters) if membership else [],
            learners=list(membership.learners) if membership else [],
            regressed_replicas=sorted(regressed),
        )
        if control_log is not None:
            status["evacuated_domains"] = sorted(board.read(CONTROL).evacuated)
        return _json_response(status)

    async def _explain(self, request: web.Request) -> web.Response:
        request_id = request.match_info["request"]
        explanations = self._instance.explanations.find(request_id)
        if not explanations:
            message = f"nothing is remembered of request {request_id}"
            return _error(404, "not_found", message)
        events = [explanation._asdict() for explanation in explanations]
        return _json_response({"request": request_id, "events": events})

    async def _apply_bundle(self, request: web.Request) -> web.Response:
        match await _read_document(request, BundleDocument):
            case Success(document):
                return await self._apply_document(document)
            case Failure(message):
                return _error(400, "invalid_request", message)
            case _:
                return _error(500, "internal_error", "no result")

    async def _apply_document(self, document: BundleDocument) -> web.Response:
        signed = SignedBundle(**document)
        if not verify_bundle(signed, self._instance.settings["operator_keys"]):
            message = "the bundle is not signed by a trusted operator"
            return _error(403, "not_trusted", message)
        match parse_bundle("bundle", signed.text):
            case Success(bundle):
                digest = digest_content(bundle)
                command = ApplyBundle(bundle["version"], digest, signed)
                return await self._commit_bundle(command)
            case Failure(error):
                return _error(400, "invalid_bundle", str(error))
            case _:
                return _error(500, "internal_error", "no result")

    async def _commit_bundle(self, command: ApplyBundle) -> web.Response:
        match await self._commit(command):
            case BundleAccepted(version=version, log_index=index):
                in_force = await self._instance.wait_until_in_force(
                    index, _IN_FORCE_TIMEOUT_SECONDS
                )
                document = {
                    "version": version,
                    "log_index": index,
                    "in_force": in_force,
                }
                return _json_response(document, 200 if in_force else 202)
            case BundleRejected() as rejected:
                return _json_response({"error": _describe_rejection(rejected)}, 409)
            case _:
                return _unavailable()

    async def _list_bundles(self, request: web.Request) -> web.Response:
        del request
        history = self._control_log().machine.history
        bundles = [header._asdict() for header in history]
        return _json_response({"bundles": bundles})

    async def _get_bundle(self, request: web.Request) -> web.Response:
        del request
        accepted = self._control_log().machine.bundle
        if accepted is None:
            return _error(404, "not_found", "no bundle was accepted yet")
        return _json_response(accepted.signed._asdict())

    async def _drain(self, request: web.Request) -> web.Response:
        return await self._commit_document(
            request,
            DrainDocument,
            lambda document: SetDraining(document["instance"], document["draining"]),
        )

    async def _evacuate(self, request: web.Request) -> web.Response:
        match await _read_document(request, EvacuationDocument):
            case Success(document) if document["domain"]:
                order = EvacuationOrder(document["domain"], document["evacuated"])
                is_done = await self._instance.evacuations.confirm(
                    order, _COMMIT_TIMEOUT_SECONDS, lambda: is_connected(request)
                )
                return _json_response({"done": True}) if is_done else _unavailable()
            case Success(_):
                message = "domain is empty, expected the name of a failure domain"
                return _error(400, "invalid_request", message)
            case Failure(message):
                return _error(400, "invalid_request", message)
            case _:
                return _error(500, "internal_error", "no result")

    async def _settle_call(self, request: web.Request) -> web.Response:
        return await self._commit_document(
            request, SettleDocument, lambda document: SettleCall(**document)
        )

    async def _clear_quarantine(self, request: web.Request) -> web.Response:
        return await self._commit_document(
            request,
            QuarantineClearDocument,
            lambda document: ClearQuarantine(document["fingerprint"]),
        )

    async def _list_calls(self, request: web.Request) -> web.Response:
        is_unknown_only = request.query.get("unknown") == "1"
        records = self._control_log().machine.calls.records
        calls = [
            CallDocument(
                account=record.account,
                key=record.key,
                service=record.service,
                state=record.state.value,
                owner=record.owner,
                claimed_at=record.claimed_at,
                note=record.note,
            )
            for record in records
            if not is_unknown_only or record.state is CallState.UNKNOWN
        ]
        return _json_response({"calls": calls})

    async def _list_quarantine(self, request: web.Request) -> web.Response:
        del request
        requests = [
            QuarantineDocument(
                fingerprint=record.fingerprint,
                account=record.account,
                targets=[loss.target for loss in record.losses],
                last_at=record.last_at,
            )
            for record in self._control_log().machine.losses
        ]
        return _json_response({"requests": requests})

    async def _change_replicas(self, request: web.Request) -> web.Response:
        match await _read_document(request, ReplicaDocument):
            case Success(document):
                return await self._change_membership(document)
            case Failure(message):
                return _error(400, "invalid_request", message)
            case _:
                return _error(500, "internal_error", "no result")

    async def _change_membership(self, document: ReplicaDocument) -> web.Response:
        if document["operation"] not in tuple(ReplicaOperation):
            message = "operation must be add or remove"
            return _error(400, "invalid_request", message)
        operation = ReplicaOperation(document["operation"])
        request_id = secrets.token_hex(8)
        future: asyncio.Future[ReplyToCommand] = asyncio.Future()
        self._instance.register_local_reply(request_id, future.set_result)
        event = ChangeReplicas(request_id, operation, document["replica"])
        self._instance.post_control(event)
        return _respond_to_reply(await future)

    async def _commit_document(
        self,
        request: web.Request,
        document_type: type[Document],
        build: Callable[[Document], Command],
    ) -> web.Response:
        """Commit the command that the request's document describes."""
        match await _read_document(request, document_type):
            case Success(document):
                result = await self._commit(build(document))
                return _respond_with_result(result)
            case Failure(message):
                return _error(400, "invalid_request", message)
            case _:
                return _error(500, "internal_error", "no result")

    async def _commit(self, command: Command) -> Result | None:
        """Return the result of a command, ``None`` if its commit is not confirmed."""
        outcome = await self._instance.control.commit(command, _COMMIT_TIMEOUT_SECONDS)
        return outcome.unwrap() if isinstance(outcome, Success) else None


async def _read_document(request: web.Request, document_type: type[Document]) -> Any:
    decoded = decode_json("body", await request.read(), document_type)
    return decoded.alt(lambda error: f"the body can't be read: {error}")


def _respond_to_reply(reply: ReplyToCommand) -> web.Response:
    if reply.status is not ControlStatus.DONE:
        return _unavailable()
    return _respond_with_result(RESULT_CODEC.decode(reply.result).unwrap())


def _respond_with_result(result: Result | None) -> web.Response:
    if result is None:
        return _unavailable()
    if isinstance(result, NotFound):
        return _error(404, "not_found", f"there is no {result.subject}")
    return _json_response({"done": True})


def _describe_rejection(rejected: BundleRejected) -> dict[str, object]:
    return {
        "code": rejected.reason,
        "message": (
            f"version {rejected.version} of {rejected.operator} is in force"
            f" with digest {rejected.digest[:12]}"
        ),
        "version": rejected.version,
        "operator": rejected.operator,
        "accepted_at": rejected.accepted_at,
    }


def _unavailable() -> web.Response:
    message = "the control log did not answer; the command may still be committed"
    return _error(503, "control_unavailable", message)


def _error(status: int, code: str, message: str) -> web.Response:
    return _json_response({"error": {"code": code, "message": message}}, status)


def _json_response(document: object, status: int = 200) -> web.Response:
    body = msgspec.json.encode(document)
    return web.Response(status=status, body=body, content_type="application/json")
