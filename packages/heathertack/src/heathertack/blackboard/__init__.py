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
    TARGET_VERSIONS,
    TARGETS,
    BundleView,
    ControlView,
    DrainView,
    LeaseView,
    TargetHealth,
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
]
