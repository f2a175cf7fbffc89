"""Descriptions of declared fields for the documentation, made from their constraints."""

from dataclasses import MISSING, Field, dataclass, fields
from enum import Enum

from savoryarch.utils import Boolean, Constraint, IpAddress, Number, OneOf, Text, WordList

_UNITS = {"_ms": "ms", "_bytes": "bytes", "_s": "s"}


@dataclass(frozen=True, slots=True)
class FieldRow:
    """Description of one field of a settings section or a resource.

    Parameters
    ----------
    name : str
        Name of the field.
    accepted_values : str
        Values that the constraint of the field accepts.
    default : str
        Default value; empty if the field is required.
    description : str
        Meaning of the field.
    """

    name: str
    accepted_values: str
    default: str
    description: str


def describe_fields(data_class: type) -> tuple[FieldRow, ...]:
    """Return the descriptions of those fields of a data class that `setting` declares."""
    return tuple(
        FieldRow(
            name=item.name,
            accepted_values=_describe_constraint(item.metadata["constraint"], _unit_of(item.name)),
            default=_format_default(item),
            description=item.metadata["description"].rstrip("."),
        )
        for item in fields(data_class)
        if "constraint" in item.metadata
    )


def format_field_table(data_class: type) -> str:
    """Return the fields of a section or a resource as a Markdown table."""
    lines = ["| key | accepts | default | what it is |", "|---|---|---|---|"]
    for row in describe_fields(data_class):
        default = f"`{row.default}`" if row.default else "required"
        if row.default == '""':  # an empty text or list of words
            default = "empty"
        description = row.description[:1].lower() + row.description[1:]
        lines.append(f"| `{row.name}` | {row.accepted_values} | {default} | {description} |")
    return "\n".join(lines)


def _describe_constraint(constraint: Constraint, unit: str) -> str:
    suffix = f" {unit}" if unit else ""
    match constraint:
        case Number(low=low, high=high, integer=integer):
            noun = "whole number" if integer else "number"
            return f"{noun}, {_format_number(low)} to {_format_number(high)}{suffix}"
        case OneOf(choices=choices):
            return ", ".join(f"`{choice.value}`" for choice in choices)
        case Text(example=example):
            return f"text such as `{example}`"
        case WordList(example=example):
            return f"words, such as {example}"
        case IpAddress():
            return "IP number"
        case Boolean():
            return "`yes` or `no`"


def _format_default(declared_field: Field) -> str:
    if declared_field.default is MISSING:
        return ""
    match declared_field.default:
        case bool() as flag:
            return "yes" if flag else "no"
        case Enum() as choice:
            return str(choice.value)
        case int() | float() as value:
            return _format_number(value)
        case () | "":
            return '""'
        case value:
            return str(value)


def _format_number(value: float) -> str:
    return f"{value:,.10g}".replace(",", "")


def _unit_of(name: str) -> str:
    return next((unit for suffix, unit in _UNITS.items() if name.endswith(suffix)), "")
