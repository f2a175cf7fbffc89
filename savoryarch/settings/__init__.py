"""The settings file of one instance: INI sections, checked as a whole."""

from savoryarch.settings._load import SECTIONS, Settings, load_settings, parse_settings
from savoryarch.settings._sections import (
    CallersSettings,
    InstanceSettings,
    LogLevel,
    LogSettings,
    OperatorsSettings,
    PeersSettings,
    PlatformSettings,
)

__all__ = [
    "SECTIONS",
    "CallersSettings",
    "InstanceSettings",
    "LogLevel",
    "LogSettings",
    "OperatorsSettings",
    "PeersSettings",
    "PlatformSettings",
    "Settings",
    "load_settings",
    "parse_settings",
]
