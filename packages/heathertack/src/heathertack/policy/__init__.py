"""Estimators and policies for admission decisions."""

from heathertack.policy._band_rates import Band, BandRates, spread_retry
from heathertack.policy._brief_request_room import BriefRequestRoom
from heathertack.policy._call_durations import CallDurations
from heathertack.policy._crash_attribution import (
    CrashCause,
    LostRun,
    find_crash_causes,
)
from heathertack.policy._execution_record import ExecutionRecord, SendOutcome
from heathertack.policy._fair_queue import FairQueue, QueuedItem
from heathertack.policy._ledger import LedgerEntry, TargetLedger, projected_peak
from heathertack.policy._lengths import LengthEstimator
from heathertack.policy._prefix_index import BLOCK_TOKENS, PrefixIndex, digest_prefixes
from heathertack.policy._rejection_bound import RejectionBounds, RejectionUser
from heathertack.policy._rendezvous import (
    choose_evenly,
    choose_owner,
    group_targets,
    rank_instances,
    rank_successors,
)
from heathertack.policy._request_rate import RateUser, RequestRates
from heathertack.policy._reserved_quantile import ReservedQuantile
from heathertack.policy._retry_budget import RetryBudget
from heathertack.policy._run_pace import RunPace, RunPaceSample
from heathertack.policy._target_loss_counter import TargetLossCounter
from heathertack.policy._target_speed import (
    REFERENCE_TARGET,
    USUAL_SPEED,
    GenerationProgress,
    ReferenceTarget,
    TargetSpeed,
    TargetSpeeds,
)
from heathertack.policy._tuning import ADMISSION_TUNING, AdmissionTuning

__all__ = [
    "ADMISSION_TUNING",
    "BLOCK_TOKENS",
    "REFERENCE_TARGET",
    "USUAL_SPEED",
    "AdmissionTuning",
    "Band",
    "BandRates",
    "BriefRequestRoom",
    "CallDurations",
    "CrashCause",
    "ExecutionRecord",
    "FairQueue",
    "GenerationProgress",
    "LedgerEntry",
    "LengthEstimator",
    "LostRun",
    "PrefixIndex",
    "QueuedItem",
    "RateUser",
    "ReferenceTarget",
    "RejectionBounds",
    "RejectionUser",
    "RequestRates",
    "ReservedQuantile",
    "RetryBudget",
    "RunPace",
    "RunPaceSample",
    "SendOutcome",
    "TargetLedger",
    "TargetLossCounter",
    "TargetSpeed",
    "TargetSpeeds",
    "choose_evenly",
    "choose_owner",
    "digest_prefixes",
    "find_crash_causes",
    "group_targets",
    "projected_peak",
    "rank_instances",
    "rank_successors",
    "spread_retry",
]
