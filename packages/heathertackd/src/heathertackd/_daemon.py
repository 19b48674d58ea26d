"""Starts, drains and stops one daemon."""

from __future__ import annotations

import asyncio
import random
import secrets
import signal
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success

from heathertack.blackboard import DRAIN, Blackboard
from heathertack.consensus import Replica, ReplicaTimings
from heathertack.controllers import ControlLogController, LeavingStarted, StopStarted
from heathertack.policy import ADMISSION_TUNING, AdmissionTuning
from heathertack.settings import Settings
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
from heathertackd._control_log_runner import ControlLogRunner
from heathertackd._disk import FolderDisk
from heathertackd._frontend import Frontend, FrontendFactory
from heathertackd._instance import Instance
from heathertackd._logs import Logger
from heathertackd._peers import PeerNetworkError
from heathertackd._supervision import BackgroundWork, Supervisor
from heathertackd._target_relay import TargetRelay
from heathertackd._target_sessions import open_session

_DRAIN_POLL_SECONDS = 0.1
#: Maximum time for the answers to the last open requests before the process ends.
_LAST_ANSWERS_SECONDS = 0.2
_LAST_ANSWERS_POLL_SECONDS = 0.01
#: Interval between checks for settings that changed without a signal.
_SETTINGS_POLL_SECONDS = 2.0
_STORAGE_ID_BYTES = 6
#: Storage id of the replicas that form the log at the first start of a cluster.
_FOUNDING_STORAGE_ID = "founder"


ReadSettings = Callable[[], Result[Settings, str]]


class StartError(Exception):
    """The daemon can't start with its settings on this machine."""


class WorkLostError(Exception):
    """The daemon left since a part of its work kept failing."""


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
    if "data_folder" not in settings:
        raise StartError("settings: $.data_folder: absent, expected a folder")
    disk = _open_disk(settings)
    if disk.list_files():
        raise StartError(f"{settings.get('data_folder')}: expected an empty folder")
    identity = _create_identity(settings)
    format_folder(disk, identity, initial_voters=(identity.replica,))
    return identity.replica


def open_control_log(
    settings: Settings, board: Blackboard, logger: Logger
) -> ControlLogRunner | None:
    """Open the control log of an instance that has a data folder.

    Raises
    ------
    StartError
        If the folder can't be used.
    """
    if "data_folder" not in settings:
        return None

    def build(board: Blackboard) -> ControlLogController:
        return build_control_log(settings, board)

    try:
        return ControlLogRunner(board, build, logger)
    except OSError as error:
        folder = settings["data_folder"]
        raise StartError(f"{folder}: {error.strerror}") from error


def build_control_log(settings: Settings, board: Blackboard) -> ControlLogController:
    """Open the data folder and return the controller of the control log.

    Raises
    ------
    StartError
        If the folder can't be used.
    OSError
        If the disk fails.
    """
    disk = _open_disk(settings)
    try:
        return _build_on_disk(settings, board, disk)
    except Exception:
        disk.close()
        raise


def _build_on_disk(
    settings: Settings, board: Blackboard, disk: Disk
) -> ControlLogController:
    identity = _unwrap_or_raise(
        load_identity(disk, settings["cluster"], settings["instance"]), settings
    )
    if identity is None:
        identity = _format(disk, settings)
    opened = _unwrap_or_raise(open_storage(disk), settings)
    machine = ControlStateMachine()
    machine.restore_snapshot(opened.durable.snapshot.data)
    replica = Replica(
        identity.replica,
        opened.durable,
        ReplicaTimings(),
        random.Random(secrets.randbits(64)),
        _clock.monotonic(),
    )
    membership = settings.get("membership")
    if membership is None:
        peers = tuple(p["instance"] for p in settings["peers"] if p["control"])
        return ControlLogController(board, replica, opened.storage, machine, peers)
    return ControlLogController(
        board,
        replica,
        opened.storage,
        machine,
        tuple(membership["seeds"]),
        min_voters=2 * membership.get("tolerated_losses", 1) + 1,
    )


def _format(disk: Disk, settings: Settings) -> StorageIdentity:
    """Format an empty folder.

    At the first start of a cluster its seeds form the log together. All of them use
    the founding storage id, so that each can name the other voters without
    communication. No other folder is given that storage id.
    """
    membership = settings.get("membership")
    seeds = tuple(membership["seeds"]) if membership is not None else ()
    is_first_start = membership is not None and membership.get("first_start", False)
    if not is_first_start or settings["instance"] not in seeds:
        identity = _create_identity(settings)
        format_folder(disk, identity)
        return identity
    cluster = settings["cluster"]
    founders = {
        seed: StorageIdentity(cluster, seed, _FOUNDING_STORAGE_ID) for seed in seeds
    }
    voters = tuple(identity.replica for identity in founders.values())
    format_folder(disk, founders[settings["instance"]], initial_voters=voters)
    return founders[settings["instance"]]


class Daemon:
    """One running daemon.

    Parameters
    ----------
    settings : Settings
        Settings of the instance.
    logger : Logger
        Logger of the instance.
    build_frontend : FrontendFactory
        Builds the frontend that serves callers, operators and targets.
    tuning : AdmissionTuning
        Parameters of admission.
    read_settings : callable or None
        Rereads the settings, which may change without a signal; ``None`` if they do
        not change.
    """

    def __init__(
        self,
        settings: Settings,
        logger: Logger,
        build_frontend: FrontendFactory,
        tuning: AdmissionTuning = ADMISSION_TUNING,
        *,
        read_settings: ReadSettings | None = None,
    ) -> None:
        self._read_settings = read_settings
        self._reload = asyncio.Event()
        self._settings = settings
        self._logger = logger
        self._build_frontend = build_frontend
        self._tuning = tuning
        self._stop_now = asyncio.Event()
        self._leaving = asyncio.Event()
        self._lost_work = False

    async def run(self) -> None:
        """Serve until a signal requests a shutdown and no work is in progress.

        Raises
        ------
        StartError
            If an address or the data folder can't be used.
        WorkLostError
            If the daemon left since a part of its work kept failing.
        """
        board = Blackboard()
        control_log = open_control_log(self._settings, board, self._logger)
        instance = Instance(
            self._settings, control_log, board, self._logger, self._tuning
        )
        async with open_session(instance.connections) as session:
            frontend = self._build_frontend(instance, session)
            relay = TargetRelay(instance)
            supervisor = Supervisor(instance.failures, self._logger, self._lose_work)
            self._log_unhandled_errors(instance)
            # Before a listener opens: the default action drops what callers sent.
            self._install_signal_handlers()
            try:
                await self._start(instance, frontend, relay)
                watch_settings = partial(self._watch_settings, instance)
                for work in (
                    *instance.background_work(),
                    *frontend.background_work(),
                    BackgroundWork("settings", watch_settings),
                ):
                    supervisor.start(work)
                self._logger.info("started", incarnation=instance.incarnation)
                await self._serve(instance, frontend)
            finally:
                supervisor.stop()
                await frontend.stop()
                relay.stop()
                await instance.stop()
        self._logger.info("stopped")
        if self._lost_work:
            raise WorkLostError("a part of the background work kept failing")

    async def _start(
        self, instance: Instance, frontend: Frontend, relay: TargetRelay
    ) -> None:
        try:
            await frontend.start()
            await instance.start()
        except OSError as error:
            http = self._settings["http"]
            address = f"{http['host']}:{http['port']}"
            message = f"settings: $.http: can't listen on {address}: {error.strerror}"
            raise StartError(message) from error
        except PeerNetworkError as error:
            raise StartError(f"settings: $.peer: {error}") from error
        try:
            await relay.start()
        except OSError as error:
            peer = self._settings["peer"]
            address = f"{peer['host']}:{peer.get('relay_port')}"
            message = f"can't listen on {address}: {error.strerror}"
            raise StartError(f"settings: $.peer.relay_port: {message}") from error

    def _lose_work(self) -> None:
        """Leave, since the daemon can't keep its promises without this work."""
        self._lost_work = True
        self._leaving.set()

    def _log_unhandled_errors(self, instance: Instance) -> None:
        """Log the errors of callbacks and of tasks that nobody awaits."""

        def handle(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
            del loop
            message = str(context.get("message", ""))
            error = context.get("exception") or RuntimeError(message)
            instance.failures.record("event_loop", error, message=message[:200])

        asyncio.get_running_loop().set_exception_handler(handle)

    def _install_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._leave)
        loop.add_signal_handler(signal.SIGINT, self._handle_interrupt)
        loop.add_signal_handler(signal.SIGHUP, self._reload.set)

    async def _watch_settings(self, instance: Instance) -> None:
        """Apply changed settings, on SIGHUP and at regular intervals."""
        while True:
            try:
                async with asyncio.timeout(_SETTINGS_POLL_SECONDS):
                    await self._reload.wait()
            except TimeoutError:
                pass
            self._reload.clear()
            if self._read_settings is None:
                continue
            result = self._read_settings()
            if isinstance(result, Failure):
                self._logger.warning("settings_unreadable", detail=result.failure())
                continue
            settings = result.unwrap()
            if settings != instance.settings:
                instance.update_settings(settings)
                self._logger.info("settings_reloaded")

    def _leave(self) -> None:
        """Start to drain; further calls do nothing, so that no open request is cut."""
        if self._leaving.is_set():
            self._logger.info("already_leaving")
        self._leaving.set()

    def _handle_interrupt(self) -> None:
        """Start to drain at the first interrupt; stop at once at the second."""
        if self._leaving.is_set():
            self._stop_now.set()
        self._leaving.set()

    async def _serve(self, instance: Instance, frontend: Frontend) -> None:
        await self._leaving.wait()
        instance.drain.handle(LeavingStarted(), _clock.monotonic())
        instance.announce_leaving()
        self._logger.info(
            "leaving", open_requests=instance.board.read(DRAIN).open_requests
        )
        frontend.limit_time(instance.drain.answer_deadline)
        while not self._stop_now.is_set():
            now = _clock.monotonic()
            if not instance.drain.accepts_requests(now):
                frontend.stop_accepting()
            if _may_end(instance, frontend, now):
                break
            await asyncio.sleep(_DRAIN_POLL_SECONDS)
        await self._end_requests(instance, frontend)

    async def _end_requests(self, instance: Instance, frontend: Frontend) -> None:
        """Answer the requests that are still open, as after a second interrupt."""
        frontend.stop_accepting()
        now = _clock.monotonic()
        instance.drain.handle(StopStarted(), now)
        end = now + _LAST_ANSWERS_SECONDS
        frontend.limit_time(now)
        while frontend.has_open_requests() and now < end:
            await asyncio.sleep(_LAST_ANSWERS_POLL_SECONDS)
            frontend.stop_accepting()
            now = _clock.monotonic()
        left = instance.board.read(DRAIN).open_requests
        self._logger.info("requests_ended", unanswered=left)
        _ignore_signals()


def _may_end(instance: Instance, frontend: Frontend, now: float) -> bool:
    """Return whether an instance that leaves has nothing left to do, or no time."""
    if not instance.drain.may_stop(now) or frontend.has_unrecorded_work():
        return False
    return instance.drain.must_stop(now) or not frontend.has_open_requests()


def _ignore_signals() -> None:
    """Ignore further signals until the process is gone.

    The event loop restores the default action, which ends the process, when it closes.
    """
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def _open_disk(settings: Settings) -> Disk:
    folder = settings["data_folder"]
    try:
        return FolderDisk(Path(folder))
    except OSError as error:
        message = f"settings: $.data_folder: {folder}: {error.strerror}"
        raise StartError(f"{message}, expected a writable folder") from error


def _create_identity(settings: Settings) -> StorageIdentity:
    storage_id = secrets.token_hex(_STORAGE_ID_BYTES)
    return StorageIdentity(settings["cluster"], settings["instance"], storage_id)


def _unwrap_or_raise(result: Result[Any, StorageError], settings: Settings) -> Any:
    match result:
        case Success(value):
            return value
        case Failure(error):
            raise StartError(f"{settings.get('data_folder')}/{error}")
        case _:
            raise StartError("the storage returned neither a value nor an error")
