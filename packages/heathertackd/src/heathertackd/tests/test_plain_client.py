import asyncio

import aiohttp
import pytest

from heathertack.controllers import (
    ResponseLost,
    TargetResponded,
    TargetUnreachable,
)
from heathertack.messages import TargetRecord, TargetState
from heathertackd._call_session import CallSpec, PlainClient
from heathertackd._target_sessions import open_session

HOST = "127.0.0.1"


def build_call(method: str) -> CallSpec:
    return CallSpec("portal", "school", method, "/seats/1", {}, b"", "k", 5.0)


def build_target(port: int) -> TargetRecord:
    address = f"{HOST}:{port}"
    return TargetRecord("p1", "portal", address, "nairobi-a", TargetState.LIVE)


class TestAtMostOnce:
    @pytest.mark.parametrize("method", ["POST", "PUT", "DELETE", "PATCH", "GET"])
    async def test_broken_connection_is_not_sent_again(self, method: str) -> None:
        """The target runs the call, then closes the connection without responding."""
        runs = 0

        async def run(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal runs
            await reader.readuntil(b"\r\n\r\n")
            runs += 1
            writer.close()

        server = await asyncio.start_server(run, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        async with aiohttp.ClientSession() as session:
            client = PlainClient(session)
            result = await client.send(build_target(port), build_call(method))
        server.close()
        assert isinstance(result, ResponseLost)
        assert runs == 1

    async def test_refused_connection_did_not_run(self) -> None:
        async with aiohttp.ClientSession() as session:
            result = await PlainClient(session).send(
                build_target(1), build_call("POST")
            )
        assert isinstance(result, TargetUnreachable)


class TestOwnAnswers:
    # Guards against a second copy of an answer that comes late, while its connection
    # carries the next call, which then gets an answer that is not its own.
    async def test_late_second_answer_reaches_no_other_call(self) -> None:
        async def run(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    path = head.split(b" ")[1]
                    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
                    writer.write(answer % (len(path), path))
                    await asyncio.sleep(0.05)
                    writer.write(answer % (len(path), path))
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()

        server = await asyncio.start_server(run, HOST, 0)
        target = build_target(server.sockets[0].getsockname()[1])
        async with open_session() as session:
            client = PlainClient(session)
            answers = []
            for number in range(4):
                call = build_call("POST")._replace(path=f"/seats/{number}")
                result = await client.send(target, call)
                assert isinstance(result, TargetResponded)
                answers.append(result.outcome.body)
                await asyncio.sleep(0.1)
        server.close()
        assert answers == [f"/seats/{number}".encode() for number in range(4)]

    # Guards against an answer that comes in pieces and is delivered as whole after the
    # first one.
    async def test_answer_in_pieces_is_read_whole(self) -> None:
        async def run(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfirst")
            await asyncio.sleep(0.1)
            writer.write(b" half")
            writer.close()

        server = await asyncio.start_server(run, HOST, 0)
        target = build_target(server.sockets[0].getsockname()[1])
        async with open_session() as session:
            result = await PlainClient(session).send(target, build_call("POST"))
        server.close()
        assert isinstance(result, TargetResponded)
        assert result.outcome.body == b"first half"

    # Guards against a status that is recorded as the outcome, and that callers get.
    @pytest.mark.parametrize("body", [b"", b"done"])
    @pytest.mark.parametrize(
        "status", ["000", "99", "099", "101", "600", "1000", "+20", "2 0", "abc"]
    )
    async def test_answer_with_an_impossible_status_is_lost(
        self, status: str, body: bytes
    ) -> None:
        async def run(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            writer.close()

        server = await asyncio.start_server(run, HOST, 0)
        target = build_target(server.sockets[0].getsockname()[1])
        async with open_session() as session:
            result = await PlainClient(session).send(target, build_call("POST"))
        server.close()
        assert isinstance(result, ResponseLost)

    async def test_endless_answer_is_lost(self) -> None:
        async def run(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            try:
                while True:
                    writer.write(b"x" * 65536)
                    await writer.drain()
            except ConnectionError:
                writer.close()

        server = await asyncio.start_server(run, HOST, 0)
        target = build_target(server.sockets[0].getsockname()[1])
        async with open_session() as session:
            result = await PlainClient(session).send(target, build_call("POST"))
        server.close()
        assert isinstance(result, ResponseLost)
