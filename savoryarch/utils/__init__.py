"""Small helpers that every other subpackage may use."""

from savoryarch.utils._budget import Budget, earn, spend
from savoryarch.utils._clock import Clock, make_system_clock, make_wall_clock, time_reactor
from savoryarch.utils._findings import Finding, Place, format_findings
from savoryarch.utils._heap import Heap, heap_pop, heap_push
from savoryarch.utils._ini import IniDocument, IniEntry, IniSection, read_ini
from savoryarch.utils._linger import close_after_answer
from savoryarch.utils._order import in_order
from savoryarch.utils._replace import replace
from savoryarch.utils._validation import (
    NAME,
    PORT,
    URL,
    Address,
    Constraint,
    Number,
    OneOf,
    Switch,
    Text,
    Words,
    entry_value,
    parse_value,
    place_of,
    read_section,
    setting,
    suggest,
)

__all__ = [
    "close_after_answer",
    "Budget",
    "earn",
    "spend",
    "NAME",
    "PORT",
    "URL",
    "Address",
    "Clock",
    "Constraint",
    "Finding",
    "Heap",
    "IniDocument",
    "IniEntry",
    "IniSection",
    "Number",
    "OneOf",
    "Place",
    "Switch",
    "Text",
    "Words",
    "entry_value",
    "format_findings",
    "in_order",
    "heap_pop",
    "heap_push",
    "make_system_clock",
    "make_wall_clock",
    "time_reactor",
    "parse_value",
    "place_of",
    "read_ini",
    "read_section",
    "replace",
    "setting",
    "suggest",
]
