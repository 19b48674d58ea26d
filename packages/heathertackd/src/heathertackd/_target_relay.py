"""Serves connections to targets for other instances whose own links have failed."""

from __future__ import annotations

import asyncio
import random
import socket
from contextlib import suppress
from typing import NamedTuple

from returns.result import Failure

from heathertack.blackboard import DRAIN, TARGETS
from heathertack.controllers import (
    DirectAttempted,
    RelayOutcome,
    RequestClosed,
    RequestOpened,
    find_pause,
    is_evacuated,
)
from heathertack.messages import TargetState
from heathertackd import _clock
from heathertackd._bounded_server import ACCEPT_COUNT, open_listening_socket
from heathertackd._caller_memory import CallerMemory
from heathertackd._instance import Instance
from heathertackd._relay_protocol import (
    END_FRAME,
    REPLIES,
    build_frame,
    decode_request,
)
from heathertackd._sockets import detect_dead_peer, limit_buffers
from heathertackd._target_connections import open_directly

#: Maximum number of connections that are forwarded at one time; each needs two
#: descriptors and buffers in both directions.
_MAX_CONNECTIONS = 128
#: Size of the pieces in which bytes are forwarded, and of the buffers.
_PIECE_BYTES = 32 * 1024
_REQUEST_TIMEOUT_SECONDS = 1.0
#: The instance that asks tries other relays meanwhile.
_CONNECT_TIMEOUT_SECONDS = 0.4
#: Maximum time to find out whether the own link works.
_WITNESS_TIMEOUT_SECONDS = 0.2
_BACKLOG = 256
_REPLY_BYTES = {outcome: reply for reply, outcome in REPLIES.items()}


class _Forwarded(NamedTuple):
    """What became of a connection that was forwarded."""

    #: Bytes that came back from the target.
    byte_count: int
    #: Whether the other instance ended the connection before the target did.
    has_left: bool


class _RelayHolder:
    """What a process holds for a connection of another instance to a target.

    Parameters
    ----------
    memory : CallerMemory
        Counts what is held.
    writer : asyncio.StreamWriter
        Connection of the other instance.
    """

    def __init__(self, memory: CallerMemory, writer: asyncio.StreamWriter) -> None:
        self._memory = memory
        self._writers = [writer]
        _limit_reads(writer, memory)
        memory.open(self)
        self.count()

    @property
    def may_be_closed(self) -> bool:
        """Whether nothing is forwarded yet, or one side does not read."""
        return len(self._writers) == 1 or any(map(_is_blocked, self._writers))

    def add_target(self, writer: asyncio.StreamWriter) -> None:
        """Count the connection to the target."""
        _limit_reads(writer, self._memory)
        self._writers.append(writer)
        self._memory.close(self)
        self._memory.open(self, len(self._writers))
        self.count()

    def count(self) -> None:
        """Count the buffers, which are full where a side does not read."""
        buffer_bytes = self._memory.buffer_bytes or 0
        held = _PIECE_BYTES * len(self._writers)
        for writer in self._writers:
            held += writer.transport.get_write_buffer_size()
            if _is_blocked(writer):
                # The other side is not read then, and its buffers fill, too.
                held += 2 * (buffer_bytes + _PIECE_BYTES)
        self._memory.update(self, held)

    def drop(self) -> None:
        """Abort the connection of the other instance, which sees that it broke."""
        for writer in self._writers:
            writer.transport.abort()


def _is_blocked(writer: asyncio.StreamWriter) -> bool:
    return writer.transport.get_write_buffer_size() > 0


def _limit_reads(writer: asyncio.StreamWriter, memory: CallerMemory) -> None:
    """Read a connection in pieces that are no larger than the buffers."""
    if memory.buffer_bytes is not None:
        # The transport has no parameter for the size of its reads.
        vars(writer.transport)["max_size"] = _PIECE_BYTES


class TargetRelay:
    """Forwards bytes between other instances and targets.

    Only listed targets are connected to, and never through a further relay.

    Parameters
    ----------
    instance : Instance
        The daemon.
    """

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._server: asyncio.Server | None = None
        self._count = 0
        self._random = random.Random()
        self._writers: set[asyncio.StreamWriter] = set()
        self._memory = instance.caller_memory

    async def start(self) -> None:
        """Listen, if the settings name a port.

        Raises
        ------
        OSError
            If the address can't be used.
        """
        peer = self._instance.settings["peer"]
        if "relay_port" not in peer:
            return
        host, port = peer["host"], peer["relay_port"]
        buffer_bytes = self._memory.buffer_bytes
        if buffer_bytes is None:
            self._server = await asyncio.start_server(
                self._serve, host, port, limit=_PIECE_BYTES, backlog=_BACKLOG
            )
            return
        listening = open_listening_socket(host, port, buffer_bytes, _BACKLOG)
        self._server = await asyncio.start_server(
            self._serve, sock=listening, limit=_PIECE_BYTES, backlog=ACCEPT_COUNT
        )
        listening.listen(_BACKLOG)

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        started_at = _clock.monotonic()
        holder = _RelayHolder(self._memory, writer)
        try:
            detect_dead_peer(writer.get_extra_info("socket"))
            address = await _read_request(reader)
            outcome, target = await self._connect(address)
            writer.write(_REPLY_BYTES[outcome])
            forwarded = _Forwarded(0, has_left=False)
            if target is not None:
                forwarded = await self._forward(reader, writer, target, holder)
            else:
                await writer.drain()
            self._log(writer, address, outcome, forwarded, started_at)
        except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError):
            self._instance.metrics.relay_requests.labels("invalid").inc()
        finally:
            self._writers.discard(writer)
            writer.close()
            self._memory.close(holder)

    async def _connect(self, address: str) -> tuple[RelayOutcome, socket.socket | None]:
        """Connect to a target for another instance, if that is possible now."""
        links = self._instance.links
        now = _clock.monotonic()
        is_full = self._count >= _MAX_CONNECTIONS
        if is_full or self._instance.board.read(DRAIN).leaving:
            return RelayOutcome.BUSY, None
        if links.must_relay(address) or not self._is_listed(address):
            return RelayOutcome.CUT, None
        if self._must_not_use(address, now):
            return RelayOutcome.BUSY, None
        self._count += 1
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_SECONDS):
                target = await open_directly(address)
        except (OSError, TimeoutError) as error:
            if not await self._reaches_others(address, now):
                return RelayOutcome.CUT, None
            if isinstance(error, ConnectionRefusedError):
                return RelayOutcome.REFUSED, None
            return RelayOutcome.UNREACHABLE, None
        finally:
            self._count -= 1
        self._record_connection(address)
        return RelayOutcome.CONNECTED, target

    async def _reaches_others(self, address: str, since: float) -> bool:
        """Return whether this instance has reached other targets since a time."""
        links = self._instance.links
        if links.has_connected_since(since):
            return True
        witnesses = links.list_witnesses(address, self._random)
        attempts = [self._try(witness) for witness in witnesses]
        return any(await asyncio.gather(*attempts))

    async def _try(self, address: str) -> bool:
        """Return whether a target accepts a connection of this instance."""
        try:
            async with asyncio.timeout(_WITNESS_TIMEOUT_SECONDS):
                connection = await open_directly(address)
        except (OSError, TimeoutError):
            return False
        connection.close()
        self._record_connection(address)
        return True

    def _record_connection(self, address: str) -> None:
        attempted = DirectAttempted(address, is_connected=True)
        actions = self._instance.links.handle(attempted, _clock.monotonic())
        self._instance.carry_out(actions)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target: socket.socket,
        holder: _RelayHolder,
    ) -> _Forwarded:
        """Forward bytes until one side ends."""
        drain = self._instance.drain
        limit_buffers(target, self._memory.buffer_bytes)
        target_reader, target_writer = await asyncio.open_connection(
            sock=target, limit=_PIECE_BYTES
        )
        self._count += 1
        self._instance.metrics.relaying_connections.set(self._count)
        drain.handle(RequestOpened(), _clock.monotonic())
        forwarded = 0
        has_left = False
        holder.add_target(target_writer)
        up = asyncio.create_task(_copy(reader, target_writer, holder))
        down = asyncio.create_task(_copy_in_frames(target_reader, writer, holder))
        try:
            await asyncio.wait((up, down), return_when=asyncio.FIRST_COMPLETED)
            has_left = up.done() and not down.done()
            if up.done() and up.exception() is not None and reader.exception() is None:
                # The target reads no more, but may have answered.
                await asyncio.wait((down,))
            if down.done() and down.exception() is None:
                forwarded = down.result()
            else:
                # Bytes that are still buffered must not look like an orderly end.
                writer.transport.abort()
        finally:
            for copying in (up, down):
                copying.cancel()
                with suppress(asyncio.CancelledError, OSError):
                    await copying
            target_writer.transport.abort()
            self._count -= 1
            self._instance.metrics.relaying_connections.set(self._count)
            drain.handle(RequestClosed(), _clock.monotonic())
        return _Forwarded(forwarded, has_left)

    def _is_listed(self, address: str) -> bool:
        return any(
            target.address == address and target.state is not TargetState.GONE
            for target in self._instance.board.read(TARGETS).values()
        )

    def _must_not_use(self, address: str, now: float) -> bool:
        """Return whether a target must get no requests now.

        The instance that asks may be cut off from the leader and not know it.
        """
        board = self._instance.board
        names = [t.name for t in board.read(TARGETS).values() if t.address == address]
        return any(
            find_pause(board, name, now) > 0.0 or is_evacuated(board, name)
            for name in names
        )

    def _log(
        self,
        writer: asyncio.StreamWriter,
        address: str,
        outcome: RelayOutcome,
        forwarded: _Forwarded,
        started_at: float,
    ) -> None:
        self._instance.metrics.relay_requests.labels(outcome.value).inc()
        peer = writer.get_extra_info("peername")
        self._instance.logger.info(
            "connection_relayed",
            peer=peer[0] if peer else "",
            address=address,
            outcome=outcome.value,
            bytes=forwarded.byte_count,
            has_left=forwarded.has_left,
            open_connections=self._count,
            seconds=round(_clock.monotonic() - started_at, 3),
        )


async def _read_request(reader: asyncio.StreamReader) -> str:
    """Return the address that an instance asks for.

    Raises
    ------
    ValueError
        If it is not a request for a connection.
    asyncio.IncompleteReadError, TimeoutError
        If no whole request arrives.
    """
    try:
        async with asyncio.timeout(_REQUEST_TIMEOUT_SECONDS):
            line = await reader.readuntil(b"\n")
    except asyncio.LimitOverrunError as error:
        raise ValueError("no line end") from error
    decoded = decode_request(line)
    if isinstance(decoded, Failure):
        raise ValueError(str(decoded.failure()))
    address: str = decoded.unwrap()
    return address


async def _copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, holder: _RelayHolder
) -> None:
    """Copy bytes as they are until the end; the caller of the target has then left."""
    while data := await reader.read(_PIECE_BYTES):
        writer.write(data)
        holder.count()
        await writer.drain()
        holder.count()


async def _copy_in_frames(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, holder: _RelayHolder
) -> int:
    """Copy bytes in frames, with the last one after an orderly end.

    Raises
    ------
    OSError
        If a connection broke.
    """
    count = 0
    while data := await reader.read(_PIECE_BYTES):
        count += len(data)
        writer.write(build_frame(data))
        holder.count()
        await writer.drain()
        holder.count()
    writer.write(END_FRAME)
    await writer.drain()
    return count
