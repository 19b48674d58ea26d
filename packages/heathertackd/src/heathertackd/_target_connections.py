"""Opens connections to targets, through another instance where the link fails."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Awaitable, Callable, Iterable
from contextvars import ContextVar
from enum import StrEnum
from typing import NamedTuple

from returns.result import Failure

from heathertack.controllers import (
    DirectAttempted,
    RelayAnswered,
    RelayOutcome,
    SendToPeer,
    TargetLinkController,
)
from heathertack.decoding import parse_address
from heathertackd import _clock
from heathertackd._logs import Logger
from heathertackd._metrics import Metrics
from heathertackd._relay_protocol import REPLIES, encode_request
from heathertackd._sockets import detect_dead_peer, limit_buffers

#: Timeout for a connection by any path; a target that exceeds it counts as unreachable.
CONNECT_TIMEOUT_SECONDS = 1.0
#: Time after which relays are asked although the direct attempt has not failed yet: a
#: round trip takes a few milliseconds.
_DIRECT_HEAD_START_SECONDS = 0.25
#: Time after which one more relay is asked.
_RELAY_HEAD_START_SECONDS = 0.1
#: Timeout for a direct attempt to an address that is used through relays.
_PROBE_TIMEOUT_SECONDS = 0.4
_PROBE_POLL_SECONDS = 0.1

#: Relay through which the latest connection of the current task was opened; empty for
#: a direct one.
CONNECTION_RELAY: ContextVar[str] = ContextVar("connection_relay", default="")


Connect = Callable[[str], Awaitable[socket.socket]]


class Reachability(StrEnum):
    """Result of connecting to a target."""

    ACCEPTS = "accepts"
    #: Its machine responds, but the target does not run.
    REFUSES = "refuses"
    #: No response: the target or its machine has failed.
    SILENT = "silent"
    #: Nobody who reaches other targets was asked, so that only links may have failed.
    UNKNOWN = "unknown"


class OpenedConnection(NamedTuple):
    """A connection to a target."""

    connection: socket.socket
    #: Instance that forwards its bytes; empty for a direct connection.
    relay: str


class TargetConnections:
    """Opens connections to targets by the paths that the controller selects.

    A connection that is only opened has no effect at a target, so several paths are
    tried at a time and the first one that succeeds is used.

    Parameters
    ----------
    links : TargetLinkController
        Decides on the paths.
    send : callable
        Sends the announcements of the controller.
    find_relay_address : callable
        Returns the ``ip:port`` at which an instance relays, ``None`` if it does not.
    metrics : Metrics
        Counts connections by path.
    logger : Logger
        Logger of the instance.
    connect : callable or None
        Opens a direct connection to a target; :func:`open_directly` by default.
    buffer_bytes : int or None
        Size of each buffer of a socket; ``None`` leaves them to the kernel.
    """

    def __init__(
        self,
        links: TargetLinkController,
        send: Callable[[Iterable[SendToPeer]], None],
        find_relay_address: Callable[[str], str | None],
        metrics: Metrics,
        logger: Logger,
        *,
        connect: Connect | None = None,
        buffer_bytes: int | None = None,
    ) -> None:
        self._buffer_bytes = buffer_bytes
        self._connect = connect or open_directly
        self._links = links
        self._send = send
        self._find_relay_address = find_relay_address
        self._metrics = metrics
        self._logger = logger
        self._random = random.Random()
        self._announced: tuple[str, ...] = ()

    @property
    def buffer_bytes(self) -> int | None:
        """Size of each buffer of a socket; ``None`` if the kernel chooses it."""
        return self._buffer_bytes

    async def open(self, address: str) -> OpenedConnection:
        """Open a connection to an address.

        Addresses at which no target is listed are connected to directly.

        Raises
        ------
        OSError
            If the target refuses connections.
        TimeoutError
            If no path leads to it in time.
        """
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            if not self._links.is_target(address):
                return OpenedConnection(await open_directly(address), "")
            opened = await self._open_by_any_path(address)
        if opened is None:
            raise ConnectionRefusedError(f"{address}: no path leads to the target")
        limit_buffers(opened.connection, self._buffer_bytes)
        CONNECTION_RELAY.set(opened.relay)
        if opened.relay:
            self._metrics.relayed_connections.labels("used").inc()
        return opened

    async def probe(self, address: str) -> Reachability:
        """Return whether a target accepts connections, from here or from a relay."""
        opened: OpenedConnection | None = None
        has_timed_out = False
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                opened = await self._open_by_any_path(address)
        except TimeoutError:
            has_timed_out = True
        if opened is not None:
            opened.connection.close()
            return Reachability.ACCEPTS
        if not self._list_relays(address):
            return Reachability.SILENT if has_timed_out else Reachability.REFUSES
        now = _clock.monotonic()
        if not self._links.is_down(address, now):
            return Reachability.UNKNOWN
        is_refusing = self._links.is_refusing(address, now)
        return Reachability.REFUSES if is_refusing else Reachability.SILENT

    def is_target_down(self, address: str) -> bool:
        """Return whether a target that was not connected to can't be reached by others.

        Without another instance that could be asked, it is taken to be down.
        """
        is_down = self._links.is_down(address, _clock.monotonic())
        return is_down or not self._list_relays(address)

    async def run_probes(self) -> None:
        """Try cut links directly at intervals, until cancelled."""
        while True:
            due = self._links.take_probes(_clock.monotonic())
            await asyncio.gather(*(self._probe_link(address) for address in due))
            await asyncio.sleep(_PROBE_POLL_SECONDS)

    async def _probe_link(self, address: str) -> None:
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_SECONDS):
                opened = await self._connect(address)
        except (OSError, TimeoutError):
            return
        opened.close()
        self._record_attempt(address, is_connected=True)

    async def _open_by_any_path(self, address: str) -> OpenedConnection | None:
        """Return the connection that is opened first, ``None`` if no path leads there.

        The paths are tried with a head start for each, the direct one last while its
        link is cut.
        """
        relays = self._list_relays(address)
        order: tuple[str, ...] = ("", *relays)
        if self._links.must_relay(address):
            order = (*relays, "")
        attempts: set[asyncio.Task[OpenedConnection | None]] = set()
        opened: OpenedConnection | None = None
        try:
            for relay in order:
                if relay and self._links.is_down(address, _clock.monotonic()):
                    continue
                attempt = asyncio.create_task(self._attempt(address, relay))
                attempts.add(attempt)
                head_start = (
                    _RELAY_HEAD_START_SECONDS if relay else _DIRECT_HEAD_START_SECONDS
                )
                opened = await _wait_for_first(attempts, head_start)
                if opened is not None:
                    return opened
                if not relay and attempt in attempts:
                    self._record_attempt(address, is_connected=False)
            while attempts and opened is None:
                opened = await _wait_for_first(attempts, None)
            return opened
        finally:
            _abandon(attempts)

    async def _attempt(self, address: str, relay: str) -> OpenedConnection | None:
        """Try one path, and return the connection or ``None``."""
        if relay:
            return await self._attempt_through(relay, address)
        try:
            connection = await self._connect(address)
        except OSError:
            self._record_attempt(address, is_connected=False)
            return None
        self._record_attempt(address, is_connected=True)
        return OpenedConnection(connection, "")

    def _list_relays(self, address: str) -> tuple[str, ...]:
        """Return the instances to ask for a connection that have a relay."""
        now = _clock.monotonic()
        relays = self._links.list_relays(address, self._random, now)
        return tuple(r for r in relays if self._find_relay_address(r) is not None)

    async def _attempt_through(
        self, relay: str, address: str
    ) -> OpenedConnection | None:
        relay_address = self._find_relay_address(relay) or ""
        outcome = RelayOutcome.SILENT
        connection: socket.socket | None = None
        try:
            connection = await open_directly(relay_address)
            outcome = await _ask_relay(connection, address)
        except OSError:
            pass
        finally:
            if connection is not None and outcome is not RelayOutcome.CONNECTED:
                connection.close()
        self._record_answer(address, relay, outcome)
        if connection is None or outcome is not RelayOutcome.CONNECTED:
            return None
        return OpenedConnection(connection, relay)

    def _record_attempt(self, address: str, *, is_connected: bool) -> None:
        was_cut = self._links.must_relay(address)
        event = DirectAttempted(address, is_connected)
        self._send(self._links.handle(event, _clock.monotonic()))
        if was_cut and is_connected:
            self._logger.info("target_link_restored", address=address)
        self._log_services()

    def _record_answer(self, address: str, relay: str, outcome: RelayOutcome) -> None:
        was_cut = self._links.must_relay(address)
        event = RelayAnswered(address, relay, outcome)
        self._send(self._links.handle(event, _clock.monotonic()))
        if not was_cut and self._links.must_relay(address):
            self._logger.info("target_link_cut", address=address, relay=relay)
        if outcome is not RelayOutcome.CONNECTED:
            self._metrics.relayed_connections.labels(outcome.value).inc()
        self._log_services()

    def _log_services(self) -> None:
        services = self._links.unreachable_services
        if services != self._announced:
            self._announced = services
            self._logger.info("unreachable_services_changed", services=list(services))


async def open_directly(address: str) -> socket.socket:
    """Return a connected socket that detects a dead peer.

    Raises
    ------
    OSError
        If the connection is refused, or the address is not ``ip:port``.
    """
    parsed = parse_address("address", address)
    if isinstance(parsed, Failure):
        raise OSError(str(parsed.failure()))
    host, port = parsed.unwrap()
    family = socket.AF_INET6 if host.startswith("[") else socket.AF_INET
    opened = socket.socket(family, socket.SOCK_STREAM)
    try:
        opened.setblocking(False)
        detect_dead_peer(opened)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(opened, (host.strip("[]"), port))
    except BaseException:
        opened.close()
        raise
    return opened


async def _ask_relay(connection: socket.socket, address: str) -> RelayOutcome:
    """Ask a relay for a connection to a target, and return its answer."""
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(connection, encode_request(address))
    reply = await loop.sock_recv(connection, 1)
    return REPLIES.get(reply, RelayOutcome.SILENT)


async def _wait_for_first(
    attempts: set[asyncio.Task[OpenedConnection | None]], timeout: float | None
) -> OpenedConnection | None:
    """Wait until an attempt ends, and return its connection if it has succeeded.

    Attempts that have ended are removed, those that have failed without a result.
    """
    done, _ = await asyncio.wait(
        attempts, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
    )
    for attempt in done:
        attempts.discard(attempt)
        opened = attempt.result()
        if opened is not None:
            attempts.update(done - {attempt})
            return opened
    return None


def _abandon(attempts: set[asyncio.Task[OpenedConnection | None]]) -> None:
    """Cancel attempts, and close the connections of those that have succeeded."""
    for attempt in attempts:
        attempt.cancel()
        attempt.add_done_callback(_close_result)


def _close_result(attempt: asyncio.Task[OpenedConnection | None]) -> None:
    if attempt.cancelled() or attempt.exception() is not None:
        return
    opened = attempt.result()
    if opened is not None:
        opened.connection.close()
