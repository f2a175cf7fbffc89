"""What entry instances tell each other about requests that crash targets."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CrashReported:
    """A target crashed while requests of the sender were in flight on it.

    Parameters
    ----------
    service : str
        The service of the target.
    target_id : str
        The target.
    fingerprints : tuple of str
        The requests that are blamed.
    """

    service: str
    target_id: str
    fingerprints: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReplyReported:
    """A request that was a suspect got a reply from the service.

    Parameters
    ----------
    fingerprint : str
        The request.
    service : str
        The service.
    """

    fingerprint: str
    service: str


@dataclass(frozen=True, slots=True)
class QuarantineDeclared:
    """A request is quarantined.

    Parameters
    ----------
    fingerprint : str
        The request.
    remaining_ms : float
        Time until it may be tried again, so that clocks need not agree.
    """

    fingerprint: str
    remaining_ms: float
