"""Findings: what is wrong with an input, and where."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Place:
    """Where a finding was made.

    Parameters
    ----------
    source : str
        File name, or what else the text came from.
    line : int, default=0
        Line number from 1; 0 if the input has no lines.
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
    """One thing that is wrong with an input.

    Parameters
    ----------
    place : Place
        Where it was found.
    message : str
        What was got and what was expected.
    """

    place: Place
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


def format_findings(findings: Iterable[Finding]) -> str:
    """Format findings one a line, in the order of their places."""
    return "\n".join(str(finding) for finding in sorted(findings))
