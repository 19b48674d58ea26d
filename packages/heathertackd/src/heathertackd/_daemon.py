"""Starts, drains and stops one daemon."""

from __future__ import annotations

import asyncio
import random
import secrets
import signal
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web
from returns.result import Failure, Result, Success

from heathertack.blackboard import Blackboard
from heathertack.consensus import Replica, ReplicaTimings
from heathertack.controllers import ControlLogController, LeavingStarted
from heathertack.settings import Settings, resolve_limits
from heathertack.state import ControlStateMachine
from heathertack.storage import (
    Disk,
    StorageError,
    StorageIdentity,
    format_folder,
    load_identity,
    open_storage,
)
from heathertackd import _clock
from heathertackd._call_session import CallRunner, PlainClient
from heathertackd._connection_guard import ConnectionGuard
from heathertackd._disk import FolderDisk
from heathertackd._engine_client import EngineClient
from heathertackd._front import Front
from heathertackd._instance import Instance
from heathertackd._logs import Logger
from heathertackd._operator_api import OperatorApi
from heathertackd._order_runner import OrderRunner
from heathertackd._peers import PeerNetworkError
from heathertackd._watchers import LoadWatcher, PlatformWatcher

_DRAIN_STEP_SECONDS = 0.1
_STORAGE_ID_BYTES = 6


class StartError(Exception):
    """The daemon can't start with its settings on this machine."""


def form_cluster(settings: Settings) -> str:
    """Format the data folder as the first replica of a new cluster.

    Parameters
    ----------
    settings : Settings
        Settings of the instance.

    Returns
    -------
    str
        Name of the replica.

    Raises
    ------
    StartError
        If the folder can't be used or is not empty.
    """
    disk = _open_disk(settings)
    if disk is None:
        raise StartError("settings: $.data_folder: absent, expected a folder")
    if disk.list_files():
        raise StartError(f"{settings.get('data_folder')}: expected an empty folder")
    identity = _new_identity(settings)
    format_folder(disk, identity, forms_cluster=True)
    return identity.replica


def build_control_log(
    settings: Settings, board: Blackboard
) -> ControlLogController | None:
    """Open the data folder and return the controller of the control log.

    Raises
    ------
    StartError
        If the folder can't be used.
    """
    disk = _open_disk(settings)
    if disk is None:
        return None
    identity = _or_raise(
        load_identity(disk, settings["cluster"], settings["instance"]), settings
    )
    if identity is None:
        identity = _new_identity(settings)
        format_folder(disk, identity, forms_cluster=False)
    opened = _or_raise(open_storage(disk), settings)
    machine = ControlStateMachine()
    machine.restore_snapshot(opened.durable.snapshot.data)
    replica = Replica(
        identity.replica,
        opened.durable,
        ReplicaTimings(),
        random.Random(secrets.randbits(64)),
        _clock.monotonic(),
    )
    control_peers = tuple(p["instance"] for p in settings["peers"] if p["control"])
    return ControlLogController(board, replica, opened.storage, machine, control_peers)


class Daemon:
    """One running daemon.

    Parameters
    ----------
    settings : Settings
        Settings of the instance.
    logger : Logger
        Logger of the instance.
    """

    def __init__(self, settings: Settings, logger: Logger) -> None:
        self._settings = settings
        self._logger = logger
        self._stop_now = asyncio.Event()
        self._leaving = asyncio.Event()
        self._tasks: list[asyncio.Task[Any]] = []

    async def run(self) -> None:
        """Serve until a signal asks to leave and nothing is in progress.

        Raises
        ------
        StartError
            If an address or the data folder can't be used.
        """
        board = Blackboard()
        control_log = build_control_log(self._settings, board)
        instance = Instance(self._settings, control_log, board, self._logger)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            engines = EngineClient(session)
            calls = CallRunner(instance, PlainClient(session))
            limits = resolve_limits(self._settings)
            guard = ConnectionGuard(limits.max_connections, limits.request_read_timeout)
            runner = self._build_runner(instance, engines, calls, guard)
            try:
                await self._start(instance, runner)
                self._watch(PlatformWatcher(instance, session).run())
                self._watch(LoadWatcher(instance, engines).run())
                if control_log is not None:
                    self._watch(OrderRunner(instance, engines).run())
                if runner.server is not None:
                    self._watch(guard.run(runner.server))
                self._listen_to_signals()
                self._logger.info("started", incarnation=instance.incarnation)
                await self._serve(instance, calls)
            finally:
                for task in self._tasks:
                    task.cancel()
                await runner.cleanup()
                await instance.stop()
        self._logger.info("stopped")

    def _build_runner(
        self,
        instance: Instance,
        engines: EngineClient,
        calls: CallRunner,
        guard: ConnectionGuard,
    ) -> web.AppRunner:
        limits = resolve_limits(self._settings)
        app = web.Application(
            client_max_size=limits.max_body_bytes, middlewares=[guard.middleware]
        )
        Front(instance, engines, calls).add_routes(app)
        OperatorApi(instance).add_routes(app)
        return web.AppRunner(
            app,
            handler_cancellation=True,
            access_log=None,
            max_field_size=limits.max_header_bytes,
            max_line_size=limits.max_header_bytes,
        )

    async def _start(self, instance: Instance, runner: web.AppRunner) -> None:
        await runner.setup()
        http = self._settings["http"]
        site = web.TCPSite(runner, http["host"], http["port"])
        try:
            await site.start()
            await instance.start()
        except OSError as error:
            place = f"{http['host']}:{http['port']}"
            message = f"settings: $.http: can't listen on {place}: {error.strerror}"
            raise StartError(message) from error
        except PeerNetworkError as error:
            raise StartError(f"settings: $.peer: {error}") from error

    def _watch(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    def _listen_to_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._take_signal)

    def _take_signal(self) -> None:
        """Leave after the first signal, stop at once after the second."""
        if self._leaving.is_set():
            self._stop_now.set()
        self._leaving.set()

    async def _serve(self, instance: Instance, calls: CallRunner) -> None:
        await self._leaving.wait()
        instance.drain.handle(LeavingStarted(), _clock.monotonic())
        self._logger.info("leaving")
        while not self._stop_now.is_set():
            may_stop = instance.drain.may_stop(_clock.monotonic())
            if may_stop and not calls.pending_records:
                return
            await asyncio.sleep(_DRAIN_STEP_SECONDS)


def _open_disk(settings: Settings) -> Disk | None:
    folder = settings.get("data_folder")
    if folder is None:
        return None
    try:
        return FolderDisk(Path(folder))
    except OSError as error:
        message = f"settings: $.data_folder: {folder}: {error.strerror}"
        raise StartError(f"{message}, expected a writable folder") from error


def _new_identity(settings: Settings) -> StorageIdentity:
    storage_id = secrets.token_hex(_STORAGE_ID_BYTES)
    return StorageIdentity(settings["cluster"], settings["instance"], storage_id)


def _or_raise(result: Result[Any, StorageError], settings: Settings) -> Any:
    match result:
        case Success(value):
            return value
        case Failure(error):
            raise StartError(f"{settings.get('data_folder')}/{error}")
        case _:
            raise StartError("no result")
