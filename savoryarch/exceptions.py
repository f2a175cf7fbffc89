"""Every exception that savoryarch raises.

Expected failures are tagged outcomes (data classes), not exceptions. An exception here means a
programming error or an input that was checked as a whole and found wrong.
"""

from savoryarch.utils._findings import Finding, format_findings


class SavoryarchError(Exception):
    """Base class of the exceptions of this package."""


class FindingsError(SavoryarchError, ValueError):
    """An input was checked as a whole and is not usable.

    Parameters
    ----------
    findings : tuple of Finding
        Everything that is wrong, each with its place.
    """

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        self.findings = findings
        super().__init__(format_findings(findings))


class NoTransitionError(SavoryarchError):
    """A state chart has no transition for an event in the current state."""


class CodecError(SavoryarchError, ValueError):
    """Bytes could not be decoded into a message."""
