"""The heathertack daemon."""

from heathertackd._bounded_server import (
    BoundedServer,
    has_waiting_connections,
    listen,
)
from heathertackd._caller_limits import choose_connection_bounds
from heathertackd._clock import monotonic
from heathertackd._connection_guard import (
    ConnectionBounds,
    ConnectionGuard,
    close_idle,
    close_listener,
    has_open_requests,
)
from heathertackd._daemon import Daemon, StartError, WorkLostError
from heathertackd._disk import FolderDisk
from heathertackd._evacuation_client import EvacuationOrder, is_connected
from heathertackd._frontend import Frontend, FrontendFactory
from heathertackd._instance import Instance
from heathertackd._leaving_watcher import (
    LeavingReport,
    LeavingReporter,
    LeavingWatcher,
)
from heathertackd._logs import Logger, close_logs, configure_logs
from heathertackd._response_bodies import ResponseTooLargeError, read_limited
from heathertackd._retry_allowance import RetryAllowance
from heathertackd._supervision import BackgroundWork, FailurePolicy
from heathertackd._watchers import (
    ListedTarget,
    PlatformWatcher,
    TargetLister,
    TargetListing,
)

__all__ = [
    "BackgroundWork",
    "BoundedServer",
    "ConnectionBounds",
    "ConnectionGuard",
    "Daemon",
    "EvacuationOrder",
    "FailurePolicy",
    "FolderDisk",
    "Frontend",
    "FrontendFactory",
    "Instance",
    "LeavingReport",
    "LeavingReporter",
    "LeavingWatcher",
    "ListedTarget",
    "Logger",
    "PlatformWatcher",
    "ResponseTooLargeError",
    "RetryAllowance",
    "StartError",
    "TargetLister",
    "TargetListing",
    "WorkLostError",
    "choose_connection_bounds",
    "close_idle",
    "close_listener",
    "close_logs",
    "configure_logs",
    "has_open_requests",
    "has_waiting_connections",
    "is_connected",
    "listen",
    "monotonic",
    "read_limited",
]
