import json
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import zmq

from heathertack_fakes import HOST, find_free_ports
from heathertackd.command import main


@pytest.fixture
def settings(tmp_path: Path) -> Iterator[dict[str, Any]]:
    http, peer = find_free_ports(2)
    yield {
        "instance": "entry-1",
        "cluster": "kalamu",
        "failure_domain": "nairobi-a",
        "http": {"host": HOST, "port": http},
        "peer": {"host": HOST, "port": peer},
        "secret_key": zmq.curve_keypair()[1].decode(),
        "data_folder": str(tmp_path / "data"),
        "peers": [],
        "operator_keys": {},
        "platform_url": f"http://{HOST}:1/instances",
        "log_level": "error",
    }


def run(command: str, settings: dict[str, Any], folder: Path) -> int:
    path = folder / "settings.jsonc"
    path.write_text(json.dumps(settings))
    return main([command, str(path)])


class TestStart:
    def test_valid_settings(self, settings: dict[str, Any], tmp_path: Path) -> None:
        assert run("check", settings, tmp_path) == 0

    @pytest.mark.parametrize(
        "case",
        [
            ({"colour": 1}, 2, "$.colour: found unknown field 'colour'"),
            ({"instance": 1}, 2, "$.instance"),
            ({"data_folder": "/proc/none"}, 1, "$.data_folder: /proc/none"),
        ],
    )
    def test_reports_the_invalid_setting(
        self,
        settings: dict[str, Any],
        tmp_path: Path,
        case: tuple[dict[str, Any], int, str],
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        changes, code, message = case
        assert run("run", {**settings, **changes}, tmp_path) == code
        assert message in capsys.readouterr().err

    @pytest.mark.parametrize("listener", ["http", "peer"])
    def test_address_in_use(
        self,
        settings: dict[str, Any],
        tmp_path: Path,
        listener: str,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        with socket.create_server((HOST, settings[listener]["port"])):
            assert run("run", settings, tmp_path) == 1
        assert f"$.{listener}: can't listen" in capsys.readouterr().err

    def test_cluster_is_formed_only_in_an_empty_folder(
        self,
        settings: dict[str, Any],
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        assert run("form", settings, tmp_path) == 0
        assert capsys.readouterr().out.startswith("entry-1/")
        assert run("form", settings, tmp_path) == 1
        assert "expected an empty folder" in capsys.readouterr().err

    def test_data_folder_of_another_instance_is_refused(
        self,
        settings: dict[str, Any],
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        assert run("form", settings, tmp_path) == 0
        other = {**settings, "instance": "entry-2"}
        assert run("run", other, tmp_path) == 1
        assert "found kalamu/entry-1, expected kalamu/entry-2" in (
            capsys.readouterr().err
        )
