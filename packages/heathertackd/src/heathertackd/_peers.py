"""Messages between instances over pyzmq with CURVE."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import zmq
import zmq.asyncio
from returns.result import Failure, Success
from zmq.auth.asyncio import AsyncioAuthenticator

from heathertack.messages import PEER_CODEC, PeerMessage
from heathertack.settings import PeerSettings, Settings
from heathertackd._logs import Logger
from heathertackd._metrics import Metrics

_SEND_QUEUE_MESSAGES = 1000
_HEARTBEAT_MILLISECONDS = 2000
_HEARTBEAT_TIMEOUT_MILLISECONDS = 5000
_RECONNECT_MILLISECONDS = 100
_RECONNECT_LIMIT_MILLISECONDS = 1000
_LARGEST_MESSAGE_BYTES = 64 * 1024 * 1024

Receiver = Callable[[str, PeerMessage], None]


class PeerNetworkError(Exception):
    """The listener for other instances can't be opened."""


class _KnownKeys:
    """Admits only instances whose public key is in the settings."""

    def __init__(self, instances: dict[str, str]) -> None:
        self._instances = instances

    def callback(self, domain: str, key: bytes) -> bool:
        """Tell whether a public key may connect."""
        del domain
        return key.decode() in self._instances


class PeerNetwork:
    """Sends and receives messages of other instances.

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
    """

    def __init__(
        self, settings: Settings, receive: Receiver, metrics: Metrics, logger: Logger
    ) -> None:
        self._settings = settings
        self._receive = receive
        self._metrics = metrics
        self._logger = logger
        self._peers = {peer["instance"]: peer for peer in settings["peers"]}
        self._names = {peer["public_key"]: name for name, peer in self._peers.items()}
        self._context = zmq.asyncio.Context()
        self._plain_context: zmq.Context[zmq.Socket[bytes]] = zmq.Context.shadow(
            self._context
        )
        self._authenticator = AsyncioAuthenticator(self._context)
        self._senders: dict[str, zmq.Socket[bytes]] = {}
        self._listener: zmq.asyncio.Socket | None = None
        self._secret_key = settings["secret_key"].encode()
        self._public_key = zmq.curve_public(self._secret_key)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open the listener.

        Raises
        ------
        PeerNetworkError
            If the address can't be used.
        """
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            credentials_provider=_KnownKeys(self._names)
        )
        listener = self._context.socket(zmq.PULL)
        listener.curve_secretkey = self._secret_key
        listener.curve_publickey = self._public_key
        listener.curve_server = True
        listener.linger = 0
        listener.setsockopt(zmq.MAXMSGSIZE, _LARGEST_MESSAGE_BYTES)
        listener.setsockopt(zmq.HEARTBEAT_IVL, _HEARTBEAT_MILLISECONDS)
        listener.setsockopt(zmq.HEARTBEAT_TIMEOUT, _HEARTBEAT_TIMEOUT_MILLISECONDS)
        address = self._settings["peer"]
        endpoint = f"tcp://{address['host']}:{address['port']}"
        try:
            listener.bind(endpoint)
        except zmq.ZMQError as error:
            message = f"can't listen on {endpoint}: {error}"
            raise PeerNetworkError(message) from error
        self._listener = listener
        self._task = asyncio.create_task(self._receive_all(listener))

    async def stop(self) -> None:
        """Close all connections."""
        if self._task is not None:
            self._task.cancel()
        if self._listener is not None:
            self._listener.close()
        for sender in self._senders.values():
            sender.close()
        self._authenticator.stop()
        self._context.destroy(linger=0)

    def send(self, instance: str, message: PeerMessage) -> None:
        """Send a message; one that can't be sent now is dropped and counted."""
        peer = self._peers.get(instance)
        if peer is None:
            return
        sender = self._senders.get(instance)
        if sender is None:
            sender = self._connect(peer)
            self._senders[instance] = sender
        data = PEER_CODEC.encode(message)
        try:
            sender.send(data, zmq.NOBLOCK)
        except zmq.Again:
            self._metrics.peer_messages.labels("dropped").inc()
            return
        self._metrics.peer_messages.labels("sent").inc()
        self._metrics.peer_bytes.labels("sent").inc(len(data))

    def _connect(self, peer: PeerSettings) -> zmq.Socket[bytes]:
        sender: zmq.Socket[bytes] = self._plain_context.socket(zmq.PUSH)
        sender.curve_secretkey = self._secret_key
        sender.curve_publickey = self._public_key
        sender.curve_serverkey = peer["public_key"].encode()
        sender.linger = 0
        sender.setsockopt(zmq.SNDHWM, _SEND_QUEUE_MESSAGES)
        sender.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MILLISECONDS)
        sender.setsockopt(zmq.RECONNECT_IVL_MAX, _RECONNECT_LIMIT_MILLISECONDS)
        sender.setsockopt(zmq.HEARTBEAT_IVL, _HEARTBEAT_MILLISECONDS)
        sender.setsockopt(zmq.HEARTBEAT_TIMEOUT, _HEARTBEAT_TIMEOUT_MILLISECONDS)
        address = peer["peer"]
        sender.connect(f"tcp://{address['host']}:{address['port']}")
        return sender

    async def _receive_all(self, listener: zmq.asyncio.Socket) -> None:
        while True:
            frame = await listener.recv(copy=False)
            sender = self._names.get(str(frame.get("User-Id")), "")
            data = frame.bytes
            self._metrics.peer_messages.labels("received").inc()
            self._metrics.peer_bytes.labels("received").inc(len(data))
            self._handle(sender, data)

    def _handle(self, sender: str, data: bytes) -> None:
        match PEER_CODEC.decode(data):
            case Success(message):
                self._receive(sender, message)
            case Failure(error):
                self._logger.warning(
                    "peer_message_unreadable", sender=sender, detail=error.detail
                )
