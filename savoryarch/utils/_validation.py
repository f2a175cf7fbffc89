"""Constraints that settings and resource fields declare, and the validation of text by them."""

import re
from dataclasses import MISSING, Field, dataclass, field, fields
from difflib import get_close_matches
from enum import Enum
from ipaddress import ip_address
from typing import Any

from savoryarch.utils._findings import Finding, Place
from savoryarch.utils._ini import IniEntry, IniSection

_TRUE = {"yes", "true", "on", "1"}
_FALSE = {"no", "false", "off", "0"}


@dataclass(frozen=True, slots=True)
class Number:
    """Constraint: a number from `low` to `high`, both inclusive, or an integer in that range."""

    low: float
    high: float
    integer: bool = False


@dataclass(frozen=True, slots=True)
class OneOf:
    """Constraint: a member of the enumeration `choices`, written as its value."""

    choices: type[Enum]


@dataclass(frozen=True, slots=True)
class Text:
    """Constraint: text that matches a regular expression in full; findings quote `example`."""

    pattern: str
    example: str


@dataclass(frozen=True, slots=True)
class WordList:
    """Constraint: words, separated by white space or commas, that each match a pattern in full."""

    pattern: str
    example: str


@dataclass(frozen=True, slots=True)
class IpAddress:
    """Constraint: an IPv4 or IPv6 address."""


@dataclass(frozen=True, slots=True)
class Boolean:
    """Constraint: ``yes`` or ``no``, or one of their usual synonyms."""


Constraint = Number | OneOf | Text | WordList | IpAddress | Boolean

NAME = Text(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?", "balcao-03")
PORT = Number(0, 65535, integer=True)
URL = Text(r"https?://[^\s/]+(:\d+)?", "http://127.0.0.1:7000")


def setting(constraint: Constraint, description: str, default: Any = MISSING) -> Any:
    """Declare a field of a settings data class with its constraint.

    Parameters
    ----------
    constraint : Constraint
        Constraint that values have to satisfy.
    description : str
        Meaning of the field, for the documentation and for findings about a missing key.
    default : object, optional
        Value of the field if the key is absent; without a default, the key is required.

    Returns
    -------
    field : dataclasses.Field
        Field with the constraint and the description as its metadata.
    """
    metadata = {"constraint": constraint, "description": description}
    if default is MISSING:
        return field(metadata=metadata)
    return field(default=default, metadata=metadata)


def parse_section(section: IniSection, section_class: type) -> tuple[Any, tuple[Finding, ...]]:
    """Parse one INI section into a data class whose fields are declared by `setting`.

    Parameters
    ----------
    section : IniSection
        The section.
    section_class : type
        The data class.

    Returns
    -------
    value : object or None
        Instance of `section_class`; None if there are findings.
    findings : tuple of Finding
        Unknown keys (with a suggestion), missing keys and values that violate their constraint.
    """
    declared = {item.name: item for item in fields(section_class) if "constraint" in item.metadata}
    values: dict[str, Any] = {}
    findings: list[Finding] = []
    for entry in section.entries:
        if entry.key not in declared:
            findings.append(Finding(entry.place, _format_unknown_key(entry.key, declared)))
            continue
        value, message = parse_value(entry.value, declared[entry.key].metadata["constraint"])
        values[entry.key] = value
        if message:
            findings.append(Finding(entry.place, message))
    findings += [
        Finding(section.place, f"key {name!r} is missing: {item.metadata['description']}")
        for name, item in declared.items()
        if name not in values and _is_required(item)
    ]
    return (None if findings else section_class(**values)), tuple(findings)


def parse_value(text: str, constraint: Constraint) -> tuple[Any, str]:
    """Parse a value by its constraint.

    Returns
    -------
    value : object
        The parsed value; None if the text violates the constraint.
    message : str
        The text that was got and what was expected; empty if the text is valid.
    """
    match constraint:
        case Number(low=low, high=high, integer=integer):
            return _parse_number(text, low, high, integer)
        case OneOf(choices=choices):
            return _parse_choice(text, choices)
        case Text(pattern=pattern, example=example):
            if re.fullmatch(pattern, text):
                return text, ""
            return None, f"got {text!r}, expected text such as {example!r}"
        case WordList(pattern=pattern, example=example):
            words = tuple(text.replace(",", " ").split())
            invalid = [word for word in words if not re.fullmatch(pattern, word)]
            if invalid or not words:
                return None, f"got {' '.join(invalid)!r}, expected words such as {example!r}"
            return words, ""
        case IpAddress():
            try:
                return str(ip_address(text)), ""
            except ValueError:
                return None, f"got {text!r}, expected an IP number such as '127.0.0.1'"
        case Boolean():
            if text.lower() in _TRUE | _FALSE:
                return text.lower() in _TRUE, ""
            return None, f"got {text!r}, expected 'yes' or 'no'"


def format_suggestion(word: str, candidates: tuple[str, ...]) -> str:
    """Return a phrase that suggests the most similar candidate; empty if none is similar."""
    matches = get_close_matches(word, candidates, n=1)
    return f"; did you mean {matches[0]!r}?" if matches else ""


def _parse_number(text: str, low: float, high: float, integer: bool) -> tuple[Any, str]:
    expected = f"expected {'a whole number' if integer else 'a number'} from {low:g} to {high:g}"
    try:
        value = int(text) if integer else float(text)
    except ValueError:
        return None, f"got {text!r}, {expected}"
    if not low <= value <= high:
        return None, f"got {text}, {expected}"
    return value, ""


def _parse_choice(text: str, choices: type[Enum]) -> tuple[Any, str]:
    values = tuple(str(choice.value) for choice in choices)
    if text in values:
        return choices(text), ""
    return (
        None,
        f"got {text!r}, expected one of {', '.join(values)}{format_suggestion(text, values)}",
    )


def _format_unknown_key(key: str, declared: dict[str, Field]) -> str:
    return f"key {key!r} is unknown{format_suggestion(key, tuple(declared))}"


def _is_required(declared_field: Field) -> bool:
    return declared_field.default is MISSING and declared_field.default_factory is MISSING


def value_or_default(entry: IniEntry | None, default: str = "") -> str:
    """Return the value of an entry, or the default if the entry is None."""
    return entry.value if entry else default


def find_key_place(section: IniSection, key: str) -> Place:
    """Return the location of a key, or that of its section if the key is absent."""
    entry = section.get(key)
    return entry.place if entry else section.place
