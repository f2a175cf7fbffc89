"""Patterns of a trace: plain values in which ``$name`` stands for a value bound earlier."""

from collections.abc import Mapping
from typing import Any

Bindings = Mapping[str, Any]


def match_pattern(pattern: Any, value: Any, bindings: Bindings) -> Bindings | None:
    """Match a plain value against a pattern.

    Parameters
    ----------
    pattern : object
        Objects match if each of their keys matches (further keys of the value are ignored),
        arrays match element by element. A string ``$name`` matches anything the first time and
        that same value afterwards; ``$`` alone matches anything.
    value : object
        The value in plain form.
    bindings : mapping
        What is bound so far.

    Returns
    -------
    bindings : mapping or None
        The bindings afterwards, or None if the value does not match.
    """
    match pattern:
        case "$":
            return bindings
        case str() if pattern.startswith("$"):
            return _bind(pattern, value, bindings)
        case dict():
            return _match_object(pattern, value, bindings)
        case list():
            return _match_array(pattern, value, bindings)
        case _:
            return bindings if pattern == value else None


def substitute(pattern: Any, bindings: Bindings) -> Any:
    """Replace each bound ``$name`` of a pattern by its value; raises `KeyError` if unbound."""
    match pattern:
        case str() if pattern.startswith("$"):
            return bindings[pattern]
        case dict():
            return {key: substitute(item, bindings) for key, item in pattern.items()}
        case list():
            return [substitute(item, bindings) for item in pattern]
        case _:
            return pattern


def _bind(name: str, value: Any, bindings: Bindings) -> Bindings | None:
    if name in bindings:
        return bindings if bindings[name] == value else None
    return {**bindings, name: value}


def _match_object(pattern: dict, value: Any, bindings: Bindings) -> Bindings | None:
    if not isinstance(value, dict):
        return None
    for key, item in pattern.items():
        found = match_pattern(item, value[key], bindings) if key in value else None
        if found is None:
            return None
        bindings = found
    return bindings


def _match_array(pattern: list, value: Any, bindings: Bindings) -> Bindings | None:
    if not isinstance(value, list | tuple) or len(pattern) != len(value):
        return None
    for item, element in zip(pattern, value, strict=True):
        found = match_pattern(item, element, bindings)
        if found is None:
            return None
        bindings = found
    return bindings
