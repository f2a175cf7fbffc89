"""General helpers that do not depend on any other subpackage."""

from savoryarch.utils._budget import Budget, add_tokens, spend_tokens
from savoryarch.utils._clock import (
    Clock,
    make_boot_clock,
    make_monotonic_clock,
    make_wall_clock,
    set_reactor_clock,
    sleep,
)
from savoryarch.utils._findings import Finding, Place, format_findings
from savoryarch.utils._heap import Heap, heap_pop, heap_push
from savoryarch.utils._ini import IniDocument, IniEntry, IniSection, parse_ini
from savoryarch.utils._lingering_close import start_lingering_close
from savoryarch.utils._replace import fast_init, replace
from savoryarch.utils._sorted_items import sorted_items
from savoryarch.utils._validation import (
    NAME,
    PORT,
    URL,
    Boolean,
    Constraint,
    IpAddress,
    Number,
    OneOf,
    Text,
    WordList,
    find_key_place,
    format_suggestion,
    parse_section,
    parse_value,
    setting,
    value_or_default,
)

__all__ = [
    "NAME",
    "PORT",
    "URL",
    "Boolean",
    "Budget",
    "Clock",
    "Constraint",
    "Finding",
    "Heap",
    "IniDocument",
    "IniEntry",
    "IniSection",
    "IpAddress",
    "Number",
    "OneOf",
    "Place",
    "Text",
    "WordList",
    "add_tokens",
    "find_key_place",
    "fast_init",
    "format_findings",
    "format_suggestion",
    "heap_pop",
    "heap_push",
    "make_boot_clock",
    "make_monotonic_clock",
    "make_wall_clock",
    "parse_ini",
    "parse_section",
    "parse_value",
    "replace",
    "set_reactor_clock",
    "setting",
    "sleep",
    "sorted_items",
    "spend_tokens",
    "start_lingering_close",
    "value_or_default",
]
