"""Small helpers that every other subpackage may use."""

from savoryarch.utils._clock import Clock, make_system_clock, make_wall_clock
from savoryarch.utils._findings import Finding, Place, format_findings
from savoryarch.utils._ini import IniDocument, IniEntry, IniSection, read_ini

__all__ = [
    "Clock",
    "Finding",
    "IniDocument",
    "IniEntry",
    "IniSection",
    "Place",
    "format_findings",
    "make_system_clock",
    "make_wall_clock",
    "read_ini",
]
