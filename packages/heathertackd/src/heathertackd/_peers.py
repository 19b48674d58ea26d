"""Messages between instances over pyzmq, with CURVE if the settings list peers."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

import zmq
import zmq.asyncio
from returns.result import Failure, Success
from zmq.auth.asyncio import AsyncioAuthenticator

from heathertack.decoding import parse_address
from heathertack.messages import (
    PEER_CODEC,
    PeerMessage,
    build_frames,
    join_frames,
)
from heathertack.settings import Settings, resolve_limits
from heathertackd import _clock
from heathertackd._line_limit import LineLimit
from heathertackd._logs import Logger
from heathertackd._loop_turns import LoopTurns
from heathertackd._metrics import Metrics
from heathertackd._peer_connections import PeerConnectionLimit
from heathertackd._supervision import FailureLog

_MAX_QUEUED_MESSAGES = 1000
#: An unresponsive connection is replaced well within the wait for a lease (1.5 s).
_HEARTBEAT_INTERVAL_MS = 500
_HEARTBEAT_TIMEOUT_MS = 1500
_RECONNECT_INTERVAL_MS = 100
_MAX_RECONNECT_INTERVAL_MS = 1000
#: The kernel retries a connection attempt at growing intervals. A new attempt is
#: started after this time, so that a link is used soon after a network partition.
_CONNECT_TIMEOUT_MS = 500
_MAX_SENDER_BYTES = 256
#: Maximum number of unreachable instances that are logged.
_MAX_LOGGED_PEERS = 1000
#: Interval at which unreadable messages are logged, seconds.
_LOG_INTERVAL_SECONDS = 1.0
_MAX_MESSAGE_BYTES = 64 * 1024 * 1024

MessageHandler = Callable[[str, PeerMessage], None]


class PeerNetworkError(Exception):
    """The listener for other instances can't be opened."""


class PeerAddress(NamedTuple):
    """Address to which the messages for an instance are sent."""

    #: ``ip:port`` of its listener.
    address: str
    #: Its CURVE public key; ``None`` where connections are not encrypted.
    public_key: bytes | None = None


class PeerDirectory(Protocol):
    """Looks up the addresses of the other instances."""

    def find(self, instance: str) -> PeerAddress | None:
        """Return the address of an instance, ``None`` for an unknown one."""
        ...


class ListedPeers:
    """Looks up instances in the list of peers in the settings."""

    def __init__(self, settings: Settings) -> None:
        self._peers = {
            peer["instance"]: PeerAddress(
                f"{peer['peer']['host']}:{peer['peer']['port']}",
                peer["public_key"].encode(),
            )
            for peer in settings["peers"]
        }

    def find(self, instance: str) -> PeerAddress | None:
        """Return the address of an instance, ``None`` for an unknown one."""
        return self._peers.get(instance)


class AddressNamedPeers:
    """Looks up instances whose name is their address."""

    def find(self, instance: str) -> PeerAddress | None:
        """Return the address, ``None`` if the name is not ``ip:port``."""
        is_address = isinstance(parse_address("instance", instance), Success)
        return PeerAddress(instance) if is_address else None


class _KnownKeys:
    """Accepts only instances whose public key is in the settings."""

    def __init__(self, instances: dict[str, str]) -> None:
        self._instances = instances

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a public key may connect."""
        del domain
        return key.decode() in self._instances


class PeerNetwork:
    """Exchanges messages with other instances.

    Parameters
    ----------
    settings : Settings
        Settings of this instance.
    receive : callable
        Called with the sender's name and each message.
    metrics : Metrics
        Counts messages and bytes.
    logger : Logger
        Logger of the instance.
    failures : FailureLog
        Log of messages that can't be handled.
    """

    def __init__(
        self,
        settings: Settings,
        receive: MessageHandler,
        metrics: Metrics,
        logger: Logger,
        failures: FailureLog,
    ) -> None:
        self._settings = settings
        self._receive = receive
        self._metrics = metrics
        self._logger = logger
        self._failures = failures
        self._name = settings["instance"].encode()
        self._is_encrypted = "membership" not in settings
        self._directory: PeerDirectory = (
            ListedPeers(settings) if self._is_encrypted else AddressNamedPeers()
        )
        self._names = {p["public_key"]: p["instance"] for p in settings["peers"]}
        self._context = zmq.asyncio.Context()
        self._plain_context: zmq.Context[zmq.Socket[bytes]] = zmq.Context.shadow(
            self._context
        )
        self._authenticator: AsyncioAuthenticator | None = None
        self._senders: dict[str, zmq.Socket[bytes]] = {}
        #: Peers that read packed messages, by their latest message.
        self._packing_peers: set[str] = set()
        #: The latest message: large ones go to several peers in turn.
        self._latest_data = b""
        self._latest_frames: tuple[bytes, ...] = ()
        self._listener: zmq.asyncio.Socket | None = None
        self._secret_key = settings.get("secret_key", "").encode()
        self._public_key = (
            zmq.curve_public(self._secret_key) if self._is_encrypted else b""
        )
        self._unreachable: set[str] = set()
        self._line_limit = LineLimit(_LOG_INTERVAL_SECONDS)
        self._limits = resolve_limits(settings)
        self._connection_limit: PeerConnectionLimit | None = None
        self._received_count = 0

    @property
    def received_count(self) -> int:
        """Number of messages that were received."""
        return self._received_count

    @property
    def has_connection_limit(self) -> bool:
        """Whether the settings limit the connections of other instances."""
        limits = (
            self._limits.max_peer_connections,
            self._limits.max_open_message_bytes,
        )
        return limits != (None, None)

    async def start(self) -> None:
        """Open the listener.

        Raises
        ------
        PeerNetworkError
            If the address can't be used.
        """
        listener = self._context.socket(zmq.PULL)
        if self._is_encrypted:
            self._authenticator = AsyncioAuthenticator(self._context)
            self._authenticator.start()
            self._authenticator.configure_curve_callback(
                credentials_provider=_KnownKeys(self._names)
            )
            listener.curve_secretkey = self._secret_key
            listener.curve_publickey = self._public_key
            listener.curve_server = True
        listener.linger = 0
        listener.setsockopt(zmq.MAXMSGSIZE, _MAX_MESSAGE_BYTES)
        _enable_heartbeats(listener)
        address = self._settings["peer"]
        endpoint = f"tcp://{address['host']}:{address['port']}"
        try:
            listener.bind(endpoint)
        except zmq.ZMQError as error:
            message = f"can't listen on {endpoint}: {error}"
            raise PeerNetworkError(message) from error
        self._listener = listener

    async def limit_connections(self) -> None:
        """Close surplus connections until cancelled; :meth:`start` was called before.

        Raises
        ------
        PeerNetworkError
            If the listener is not open.
        """
        if self._listener is None:
            raise PeerNetworkError("the listener is not open")
        peer = self._settings["peer"]
        self._connection_limit = PeerConnectionLimit(
            self._listener,
            (peer["host"], peer["port"]),
            self._limits.max_peer_connections,
            self._limits.max_open_message_bytes,
            self._metrics,
        )
        await self._connection_limit.run()

    async def stop(self) -> None:
        """Close all connections."""
        if self._listener is not None:
            self._listener.disable_monitor()
            self._listener.close()
        for sender in self._senders.values():
            sender.close()
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.destroy(linger=0)

    def find_address(self, instance: str) -> str | None:
        """Return the ``ip:port`` of an instance's listener, ``None`` if unknown."""
        peer = self._directory.find(instance)
        return peer.address if peer is not None else None

    def send(self, instance: str, message: PeerMessage) -> None:
        """Send a message; one that can't be sent now is dropped and counted."""
        sender = self._senders.get(instance)
        if sender is None:
            peer = self._directory.find(instance)
            if peer is None:
                return
            try:
                sender = self._connect(peer)
            except zmq.ZMQError as error:
                self._log_unreachable(instance, str(error))
                return
            self._senders[instance] = sender
        frames = self._build_frames(instance, PEER_CODEC.encode(message))
        try:
            sender.send_multipart((self._name, *frames), zmq.NOBLOCK)
        except zmq.Again:
            self._metrics.peer_messages.labels("dropped").inc()
            return
        self._metrics.peer_messages.labels("sent").inc()
        self._metrics.peer_bytes.labels("sent").inc(sum(map(len, frames)))

    def _build_frames(self, instance: str, data: bytes) -> tuple[bytes, ...]:
        if instance not in self._packing_peers:
            return build_frames(data, may_pack=False)
        if data != self._latest_data:
            self._latest_data = data
            self._latest_frames = build_frames(data, may_pack=True)
        return self._latest_frames

    def _connect(self, peer: PeerAddress) -> zmq.Socket[bytes]:
        sender: zmq.Socket[bytes] = self._plain_context.socket(zmq.PUSH)
        if peer.public_key is not None:
            sender.curve_secretkey = self._secret_key
            sender.curve_publickey = self._public_key
            sender.curve_serverkey = peer.public_key
        sender.linger = 0
        sender.setsockopt(zmq.SNDHWM, _MAX_QUEUED_MESSAGES)
        sender.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_INTERVAL_MS)
        sender.setsockopt(zmq.RECONNECT_IVL_MAX, _MAX_RECONNECT_INTERVAL_MS)
        sender.setsockopt(zmq.CONNECT_TIMEOUT, _CONNECT_TIMEOUT_MS)
        _enable_heartbeats(sender)
        sender.connect(f"tcp://{peer.address}")
        return sender

    async def receive_all(self) -> None:
        """Handle messages until cancelled; :meth:`start` was called before."""
        listener = self._listener
        if listener is None:
            raise PeerNetworkError("the listener is not open")
        turns = LoopTurns()
        while True:
            try:
                frames = await turns.receive(listener, copy=False)
            except zmq.Again:
                # libzmq reports a message that it drops with its closed connection.
                self._logger.info("peer_message_withdrawn")
                continue
            if self._connection_limit is not None:
                number = frames[0].get(zmq.SRCFD)
                self._connection_limit.record_delivered(int(number))
            sender = self._identify(frames[0])
            parts = [frame.bytes for frame in frames[1:]]
            self._received_count += 1
            self._metrics.peer_messages.labels("received").inc()
            self._metrics.peer_bytes.labels("received").inc(sum(map(len, parts)))
            try:
                self._handle(sender, parts)
            except Exception as error:
                self._failures.record("peer_message", error, sender=sender)

    def _identify(self, frame: zmq.Frame) -> str:
        """Return the sender: authenticated if encrypted, else as it names itself."""
        if self._is_encrypted:
            return self._names.get(str(frame.get("User-Id")), "")
        return frame.bytes[:_MAX_SENDER_BYTES].decode(errors="replace")

    def _handle(self, sender: str, parts: list[bytes]) -> None:
        if len(parts) == 1:
            # An earlier build, which sends and reads one frame.
            self._packing_peers.discard(sender)
            self._handle_data(sender, parts[0])
            return
        match join_frames(parts):
            case Success(data):
                self._packing_peers.add(sender)
                self._handle_data(sender, data)
            case Failure(detail):
                self._log_unreadable(sender, detail)

    def _handle_data(self, sender: str, data: bytes) -> None:
        match PEER_CODEC.decode(data):
            case Success(message):
                self._receive(sender, message)
            case Failure(error):
                self._log_unreadable(sender, error.detail)

    def _log_unreachable(self, instance: str, detail: str) -> None:
        """Log an instance once that no connection can be opened for."""
        if instance in self._unreachable or len(self._unreachable) >= _MAX_LOGGED_PEERS:
            return
        self._unreachable.add(instance)
        self._logger.warning("peer_unreachable", peer=instance, detail=detail)

    def _log_unreadable(self, sender: str, detail: str) -> None:
        """Log a message that can't be read, at most one in an interval."""
        count = self._line_limit.admit("", _clock.monotonic())
        if count:
            self._logger.warning(
                "peer_message_unreadable",
                sender=sender,
                detail=detail[:500],
                count=count,
            )


def _enable_heartbeats(link: zmq.Socket[bytes] | zmq.asyncio.Socket) -> None:
    """Close connections of a socket whose peer does not respond any more."""
    link.setsockopt(zmq.HEARTBEAT_IVL, _HEARTBEAT_INTERVAL_MS)
    link.setsockopt(zmq.HEARTBEAT_TIMEOUT, _HEARTBEAT_TIMEOUT_MS)
