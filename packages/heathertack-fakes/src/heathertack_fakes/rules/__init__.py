"""Checks of the users' rules over what clients and engines recorded.

They read the users' rules, not the product: a check takes records that can be made
without the product's logs, and names the rule that a record breaks.
"""

from heathertack_fakes.rules._brittle_engines import find_excess_falls
from heathertack_fakes.rules._evacuations import (
    find_cold_overloads,
    find_evacuated_requests,
)
from heathertack_fakes.rules._planned_stops import find_lost_requests
from heathertack_fakes.rules._records import (
    BrittleTime,
    ClientAttempt,
    ColdBounds,
    ColdTime,
    EngineFall,
    EngineWork,
    Evacuation,
    OutOfTouch,
    Stop,
    StopBounds,
    TargetCut,
    TargetRequest,
    Violation,
)
from heathertack_fakes.rules._requests import (
    find_repeated_runs,
    find_untrue_refusals,
    find_wrong_streams,
)
from heathertack_fakes.rules._target_cuts import find_unserved_at_cut_instances

__all__ = [
    "BrittleTime",
    "ClientAttempt",
    "ColdBounds",
    "ColdTime",
    "EngineFall",
    "EngineWork",
    "Evacuation",
    "OutOfTouch",
    "Stop",
    "StopBounds",
    "TargetCut",
    "TargetRequest",
    "Violation",
    "find_cold_overloads",
    "find_evacuated_requests",
    "find_excess_falls",
    "find_lost_requests",
    "find_repeated_runs",
    "find_unserved_at_cut_instances",
    "find_untrue_refusals",
    "find_wrong_streams",
]
