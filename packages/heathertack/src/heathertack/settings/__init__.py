"""Settings of one instance, read from JSON with comments."""

from heathertack.settings._model import (
    Address,
    Limits,
    LimitSettings,
    PeerSettings,
    Settings,
    resolve_limits,
)
from heathertack.settings._parse import SettingsError, parse_settings

__all__ = [
    "Address",
    "LimitSettings",
    "Limits",
    "PeerSettings",
    "Settings",
    "SettingsError",
    "parse_settings",
    "resolve_limits",
]
