"""Settings of one instance: their declaration, and the parser of the settings file."""

from savoryarch.settings._describe import FieldRow, describe_fields, format_field_table
from savoryarch.settings._load import (
    SECTION_CLASSES,
    Settings,
    await_settings,
    load_settings,
    parse_settings,
)
from savoryarch.settings._sections import (
    CallersSettings,
    InstanceSettings,
    LogLevel,
    LogSettings,
    MetricsSettings,
    OperatorsSettings,
    PeersSettings,
    PlatformSettings,
)

__all__ = [
    "SECTION_CLASSES",
    "CallersSettings",
    "FieldRow",
    "InstanceSettings",
    "LogLevel",
    "LogSettings",
    "MetricsSettings",
    "OperatorsSettings",
    "PeersSettings",
    "PlatformSettings",
    "Settings",
    "await_settings",
    "describe_fields",
    "format_field_table",
    "load_settings",
    "parse_settings",
]
