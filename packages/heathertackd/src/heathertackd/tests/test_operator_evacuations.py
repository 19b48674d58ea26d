"""Tests of evacuation orders through the product's own interface."""

import asyncio
import json
from typing import Any

from returns.result import Success

from heathertack_cli import Operator, Response, send_request
from heathertack_fakes import HOST, LocalSystem, SystemShape
from heathertackd.tests.conftest import SystemStarter

_UNREADABLE: tuple[Any, ...] = (
    {"domain": "", "evacuated": True},
    {"domain": "a\n", "evacuated": True},
    {"domain": "x" * 257, "evacuated": True},
    {"domain": "a", "evacuated": "yes"},
    {"domain": "a"},
    [],
)


def run_client(system: LocalSystem, number: int, *arguments: str) -> str:
    """Run the client against one instance; return what it printed."""
    port = system.http_ports[system.names[number]]
    finished = system.run_binary(
        "heathertack",
        *arguments,
        f"--server={HOST}:{port}",
        f"--operator={system.operator.name}",
        f"--key={system.key_file}",
    )
    assert finished.returncode == 0, finished.stderr
    return finished.stdout


def post(system: LocalSystem, document: Any, secret_key: str | None = None) -> Response:
    keys = system.operator
    server = f"{HOST}:{system.http_ports[system.names[0]]}"
    operator = Operator(keys.name, secret_key or keys.secret_key, server, 10.0)
    result = asyncio.run(
        send_request(operator, "POST", "/operator/evacuations", document)
    )
    assert isinstance(result, Success)
    response: Response = result.unwrap()
    return response


class TestEvacuations:
    # Guards against an order that only the leader accepts, and against a status that
    # says "none" on an instance that does not know.
    def test_orders_through_any_instance(self, start_system: SystemStarter) -> None:
        system = start_system(SystemShape(daemons=2, control_replicas=1))
        for number, domain in ((0, "nairobi-a"), (1, "nairobi b")):
            assert run_client(system, number, "evacuate", domain) == "done\n"
        status = json.loads(run_client(system, 0, "status", "--json"))
        assert status["evacuated_domains"] == ["nairobi b", "nairobi-a"]
        assert "evacuated domain nairobi b\n" in run_client(system, 0, "status")
        other = json.loads(run_client(system, 1, "status", "--json"))
        assert "evacuated_domains" not in other
        assert run_client(system, 1, "readmit", "nairobi-a") == "done\n"
        assert run_client(system, 1, "readmit", "nairobi-a") == "done\n"
        status = json.loads(run_client(system, 0, "status", "--json"))
        assert status["evacuated_domains"] == ["nairobi b"]

    def test_refused_orders_change_nothing(self, start_system: SystemStarter) -> None:
        system = start_system(SystemShape(daemons=1))
        for document in _UNREADABLE:
            assert (document, post(system, document).status) == (document, 400)
        keys = json.loads(run_client(system, 0, "keys", "new", "operator", "--json"))
        document = {"domain": "nairobi-a", "evacuated": True}
        assert post(system, document, keys["secret_key"]).status == 403
        status = json.loads(run_client(system, 0, "status", "--json"))
        assert status["evacuated_domains"] == []
