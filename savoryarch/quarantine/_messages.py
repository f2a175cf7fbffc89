"""Messages between entry instances about requests that crash targets."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CrashReported:
    """A target crashed while requests of the sender were in flight on it.

    Parameters
    ----------
    service : str
        Service of the target.
    target_id : str
        Id of the target.
    fingerprints : tuple of str
        Fingerprints of the requests that are blamed.
    """

    service: str
    target_id: str
    fingerprints: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReplyReported:
    """A suspect got a reply from a service.

    Parameters
    ----------
    fingerprint : str
        Fingerprint of the request.
    service : str
        Name of the service.
    """

    fingerprint: str
    service: str


@dataclass(frozen=True, slots=True)
class QuarantineDeclared:
    """A request is quarantined.

    Parameters
    ----------
    fingerprint : str
        Fingerprint of the request.
    remaining_ms : float
        Time in milliseconds until the quarantine ends. A duration does not depend on the clocks
        of sender and receiver.
    """

    fingerprint: str
    remaining_ms: float
