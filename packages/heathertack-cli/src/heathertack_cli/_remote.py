"""Commands that are sent to an instance."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import quote

import msgspec
from returns.result import Failure, Success

from heathertack_cli._client import Operator, Response, send_request
from heathertack_cli._local import CommandOutput, read_file
from heathertack_cli._usage import ExitCode


class RemoteCommand(NamedTuple):
    """Request to an instance, and the function that renders its response."""

    method: str
    path: str
    document: object
    render: Callable[[Any], str]


def run_remote(options: dict[str, Any]) -> CommandOutput:
    """Send a command to an instance and return its output."""
    if not options["--operator"] or not options["--key"]:
        error = "the command requires --operator and --key"
        return CommandOutput(ExitCode.INVALID_INPUT, error=error)
    key = read_file(options["--key"])
    if isinstance(key, Failure):
        return CommandOutput(ExitCode.INVALID_INPUT, error=str(key.failure()))
    operator = Operator(
        options["--operator"],
        key.unwrap().strip(),
        options["--server"],
        float(options["--timeout"]),
    )
    command = _build_command(options)
    if isinstance(command, CommandOutput):
        return command
    result = asyncio.run(
        send_request(operator, command.method, command.path, command.document)
    )
    match result:
        case Success(response):
            return _render_response(command, response)
        case Failure(error):
            return CommandOutput(ExitCode.UNAVAILABLE, error=error.message)
        case _:
            return CommandOutput(ExitCode.UNAVAILABLE, error="no result")


def _build_command(options: dict[str, Any]) -> RemoteCommand | CommandOutput:
    for name, build in _BUILDERS.items():
        if options[name]:
            return build(options)
    return CommandOutput(ExitCode.INVALID_INPUT, error="unknown command")


def _build_bundle(options: dict[str, Any]) -> RemoteCommand | CommandOutput:
    if options["show"]:
        return RemoteCommand("GET", "/operator/bundles/current", None, _render_text)
    if options["history"]:
        return RemoteCommand("GET", "/operator/bundles", None, _render_history)
    content = read_file(options["FILE"])
    if isinstance(content, Failure):
        return CommandOutput(ExitCode.INVALID_INPUT, error=str(content.failure()))
    try:
        document = msgspec.json.decode(content.unwrap())
    except msgspec.DecodeError as error:
        message = f"{options['FILE']}: {error}, expected a signed bundle"
        return CommandOutput(ExitCode.INVALID_INPUT, error=message)
    return RemoteCommand("POST", "/operator/bundles", document, _render_applied)


def _build_status(options: dict[str, Any]) -> RemoteCommand:
    del options
    return RemoteCommand("GET", "/operator/status", None, _render_status)


def _build_drain(options: dict[str, Any]) -> RemoteCommand:
    draining = not options["--undo"]
    document = {"instance": options["INSTANCE"], "draining": draining}
    return RemoteCommand("POST", "/operator/drain", document, _render_done)


def _build_evacuation(options: dict[str, Any]) -> RemoteCommand:
    document = {"domain": options["DOMAIN"], "evacuated": bool(options["evacuate"])}
    return RemoteCommand("POST", "/operator/evacuations", document, _render_done)


def _build_replicas(options: dict[str, Any]) -> RemoteCommand:
    operation = "add" if options["add"] else "remove"
    document = {"operation": operation, "replica": options["REPLICA"]}
    return RemoteCommand("POST", "/operator/replicas", document, _render_done)


def _build_calls(options: dict[str, Any]) -> RemoteCommand:
    if options["settle"]:
        document = {
            "account": options["ACCOUNT"],
            "key": options["KEY"],
            "ran": bool(options["--ran"]),
            "note": options["--note"],
        }
        return RemoteCommand("POST", "/operator/calls/settle", document, _render_done)
    path = "/operator/calls?unknown=1" if options["--unknown"] else "/operator/calls"
    return RemoteCommand("GET", path, None, _render_calls)


def _build_quarantine(options: dict[str, Any]) -> RemoteCommand:
    if options["clear"]:
        document = {"fingerprint": options["FINGERPRINT"]}
        path = "/operator/quarantine/clear"
        return RemoteCommand("POST", path, document, _render_done)
    return RemoteCommand("GET", "/operator/quarantine", None, _render_quarantine)


def _build_explain(options: dict[str, Any]) -> RemoteCommand:
    path = f"/operator/explain/{quote(options['REQUEST'], safe='')}"
    return RemoteCommand("GET", path, None, _render_events)


_BUILDERS: dict[str, Callable[[dict[str, Any]], RemoteCommand | CommandOutput]] = {
    "bundle": _build_bundle,
    "status": _build_status,
    "drain": _build_drain,
    "evacuate": _build_evacuation,
    "readmit": _build_evacuation,
    "replicas": _build_replicas,
    "calls": _build_calls,
    "quarantine": _build_quarantine,
    "explain": _build_explain,
}


def _render_response(command: RemoteCommand, response: Response) -> CommandOutput:
    document = response.document
    if response.status == 202:
        text = command.render(document)
        return CommandOutput(ExitCode.NOT_IN_FORCE, document, text=text)
    if response.status >= 400:
        code = ExitCode.UNAVAILABLE if response.status == 503 else ExitCode.REFUSED
        error = document["error"]
        message = f"{error['code']}: {error['message']}"
        return CommandOutput(code, document, error=message)
    return CommandOutput(ExitCode.DONE, document, text=command.render(document))


def _render_text(document: Any) -> str:
    text: str = document["text"]
    return text


def _render_done(document: Any) -> str:
    del document
    return "done"


def _render_applied(document: Any) -> str:
    state = "in force everywhere" if document["in_force"] else "accepted"
    return f"version {document['version']} {state} (index {document['log_index']})"


def _render_history(document: Any) -> str:
    return "\n".join(
        f"version {item['version']}  index {item['log_index']}"
        f"  {item['operator']}  {item['digest'][:12]}"
        for item in document["bundles"]
    )


def _render_status(document: Any) -> str:
    lease = "valid" if document["lease_is_valid"] else "expired"
    lines = [
        f"instance {document['instance']}: leader {document['leader']}, lease {lease}",
        f"bundle version {document['bundle_version']}"
        f" (index {document['bundle_index']})",
    ]
    lines += [
        f"member {item['instance']}  {item['state']}  {item['failure_domain']}"
        f"  {item['address']}  bundle index {item['bundle_index']}"
        for item in document["members"]
    ]
    lines += [
        f"target {item['target']}  {item['state']}  {item['service']}"
        f"  {item['failure_domain']}  {item['address']}"
        for item in document["targets"]
    ]
    lines += [
        f"evacuated domain {name}" for name in document.get("evacuated_domains", [])
    ]
    lines += [f"replica {name}  voter" for name in document["replicas"]]
    lines += [f"replica {name}  learner" for name in document["learners"]]
    lines += [f"replica {name}  REGRESSED" for name in document["regressed_replicas"]]
    return "\n".join(lines)


def _render_calls(document: Any) -> str:
    return "\n".join(
        f"{item['state']}  {item['account']}  {item['key']}"
        f"  {item['service']}  owner {item['owner']}"
        for item in document["calls"]
    )


def _render_quarantine(document: Any) -> str:
    return "\n".join(
        f"{item['fingerprint']}  {item['account']}  lost {', '.join(item['targets'])}"
        for item in document["requests"]
    )


def _render_events(document: Any) -> str:
    return "\n".join(
        f"{item['at']:.3f}  {item['event']}  {item['detail']}"
        for item in document["events"]
    )
