"""Findings: errors in an input, each with its location."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Place:
    """Location of a finding in an input.

    Parameters
    ----------
    source : str
        File name or another name of the input.
    line : int, default=0
        Line number, counted from 1; 0 if the line is unknown or the input has no lines.
    path : str, default=""
        Dotted path of the field, for example ``search.counter.deadline_ms``.
    """

    source: str
    line: int = 0
    path: str = ""

    def __str__(self) -> str:
        line = f":{self.line}" if self.line else ""
        path = f" {self.path}" if self.path else ""
        return f"{self.source}{line}{path}"


@dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One error in an input.

    Parameters
    ----------
    place : Place
        Location of the error.
    message : str
        The value that was found and what was expected instead.
    """

    place: Place
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


def format_findings(findings: Iterable[Finding]) -> str:
    """Return findings as text, one on each line, sorted by their location."""
    return "\n".join(str(finding) for finding in sorted(findings))
