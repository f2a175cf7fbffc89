"""Exceptions of the package.

Expected failures are returned as data classes instead. An exception of this module means a
programming error or an invalid input.
"""

from savoryarch.utils._findings import Finding, format_findings


class SavoryarchError(Exception):
    """Base class of the package's exceptions."""


class FindingsError(SavoryarchError, ValueError):
    """Raised for an input with errors, after all of it was validated.

    Parameters
    ----------
    findings : tuple of Finding
        All errors, each with its location.
    """

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        self.findings = findings
        super().__init__(format_findings(findings))


class NoTransitionError(SavoryarchError):
    """Raised if a state chart has no transition for an event in the current state."""


class CodecError(SavoryarchError, ValueError):
    """Raised if a message cannot be encoded or decoded."""
