"""Settings of one instance, read from JSON with comments."""

from heathertack.settings._model import (
    Address,
    Limits,
    LimitSettings,
    MembershipSettings,
    PeerListener,
    PeerSettings,
    Settings,
    TimingSettings,
    resolve_limits,
)
from heathertack.settings._parse import SettingsError, parse_settings

__all__ = [
    "Address",
    "LimitSettings",
    "Limits",
    "MembershipSettings",
    "PeerListener",
    "PeerSettings",
    "Settings",
    "SettingsError",
    "TimingSettings",
    "parse_settings",
    "resolve_limits",
]
