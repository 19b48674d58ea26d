"""Shared state of the controllers: typed sections with one writer each."""

from heathertack.blackboard._board import (
    Blackboard,
    BlackboardError,
    Section,
    SectionUser,
)
from heathertack.blackboard._sections import (
    BUNDLE,
    CONTROL,
    DRAIN,
    LEASE,
    MEMBERS,
    SUSPECTS,
    TARGET_HEALTH,
    TARGET_LIMITS,
    TARGET_VERSIONS,
    TARGETS,
    BundleView,
    ControlView,
    DrainView,
    LeaseView,
    TargetHealth,
    TargetLimit,
)

__all__ = [
    "BUNDLE",
    "CONTROL",
    "DRAIN",
    "LEASE",
    "MEMBERS",
    "SUSPECTS",
    "TARGETS",
    "TARGET_HEALTH",
    "TARGET_LIMITS",
    "TARGET_VERSIONS",
    "Blackboard",
    "BlackboardError",
    "BundleView",
    "ControlView",
    "DrainView",
    "LeaseView",
    "Section",
    "SectionUser",
    "TargetHealth",
    "TargetLimit",
]
