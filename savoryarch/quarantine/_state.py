"""State of the quarantine: what is in flight where, and who is blamed for what."""

from dataclasses import dataclass, field

from immutables import Map

from savoryarch.quarantine._settings import QuarantineSettings
from savoryarch.utils import Heap

NEVER_MS = float("-inf")


@dataclass(frozen=True, slots=True)
class Mark:
    """What is known of one request at one service, since its first crash.

    Parameters
    ----------
    crashes, clean : int
        Its attempts that ended with a crash of their target, and with a reply.
    target_id : str
        Target of the last crash.
    at_ms : float
        Time of the last crash.
    """

    crashes: int = 0
    clean: int = 0
    target_id: str = ""
    at_ms: float = NEVER_MS


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """What is known of one request.

    Parameters
    ----------
    marks : Map
        `Mark` by service.
    quarantined_until_ms : float
        It is refused before this time.
    forget_at_ms : float
        When the record is dropped.
    """

    marks: Map[str, Mark] = field(default_factory=Map)
    quarantined_until_ms: float = NEVER_MS
    forget_at_ms: float = NEVER_MS


@dataclass(frozen=True, slots=True)
class InFlight:
    """One attempt that has not ended."""

    fingerprint: str
    service: str


@dataclass(frozen=True, slots=True)
class QuarantineState:
    """What this instance knows of requests that crash targets.

    Parameters
    ----------
    settings : QuarantineSettings
        Fixed from start to end.
    in_flight : Map
        `InFlight` by target id and attempt id.
    running : Map
        Attempts in flight by fingerprint.
    records : Map
        `RequestRecord` by fingerprint: suspects and quarantined requests.
    replied : Map
        Fingerprints and services of requests that got a reply of late, with their number.
    replied_order : Map
        The same by number, so that the oldest can be forgotten.
    replied_count : int
        How many were ever added.
    expiry : Heap
        Fingerprints by the time at which their record may be dropped.
    numbered : int
        Makes the keys of the heap differ.
    """

    settings: QuarantineSettings
    in_flight: Map[str, Map[str, InFlight]] = field(default_factory=Map)
    running: Map[str, int] = field(default_factory=Map)
    records: Map[str, RequestRecord] = field(default_factory=Map)
    replied: Map[tuple[str, str], int] = field(default_factory=Map)
    replied_order: Map[int, tuple[str, str]] = field(default_factory=Map)
    replied_count: int = 0
    expiry: Heap[str] = None
    numbered: int = 0


def make_quarantine_state(settings: QuarantineSettings) -> QuarantineState:
    """Make the state of an instance that suspects nobody."""
    return QuarantineState(settings)
