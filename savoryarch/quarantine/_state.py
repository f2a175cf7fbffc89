"""State of the quarantine: attempts in flight, and records of suspected requests."""

from dataclasses import dataclass, field

from immutables import Map

from savoryarch.quarantine._settings import QuarantineSettings
from savoryarch.utils import Heap, fast_init

NEVER_MS = float("-inf")


@fast_init
@dataclass(frozen=True, slots=True)
class ServiceHistory:
    """Crashes and replies of one request at one service, since its first crash there.

    Parameters
    ----------
    crashes : int
        Number of crashes that the request is blamed for.
    replies : int
        Number of replies, each of which offsets one crash.
    last_crash_target_id : str
        Target of the last crash.
    last_crash_at_ms : float
        Time of the last crash, or of the last lost connection that belongs to it.
    """

    crashes: int = 0
    replies: int = 0
    last_crash_target_id: str = ""
    last_crash_at_ms: float = NEVER_MS


@fast_init
@dataclass(frozen=True, slots=True)
class RequestRecord:
    """Record of one suspected or quarantined request.

    Parameters
    ----------
    histories : Map
        `ServiceHistory` by service.
    quarantined_until_ms : float
        Time until which the request is refused.
    expires_at_ms : float
        Time at which the record is dropped.
    """

    histories: Map[str, ServiceHistory] = field(default_factory=Map)
    quarantined_until_ms: float = NEVER_MS
    expires_at_ms: float = NEVER_MS


@fast_init
@dataclass(frozen=True, slots=True)
class InFlightAttempt:
    """An attempt in flight.

    Parameters
    ----------
    fingerprint : str
        Fingerprint of its request.
    service : str
        Service of its target.
    """

    fingerprint: str
    service: str


@fast_init
@dataclass(frozen=True, slots=True)
class QuarantineState:
    """State of the quarantine at one instance.

    Parameters
    ----------
    settings : QuarantineSettings
        Fixed while the process runs.
    in_flight : Map
        By target id, a map of the `InFlightAttempt` by attempt id.
    in_flight_counts : Map
        Number of attempts in flight by fingerprint.
    records : Map
        `RequestRecord` by fingerprint.
    recent_replies : Map
        Sequence number by (fingerprint, service) of requests with a recent reply.
    recent_reply_order : Map
        The same pairs by sequence number, to find the oldest.
    recent_reply_count : int
        Number of pairs ever added, which is the next sequence number.
    expiry_heap : Heap
        Fingerprints by the expiry time of their record.
    next_sequence : int
        Next sequence number for keys of the heap, which makes them unique.
    """

    settings: QuarantineSettings
    in_flight: Map[str, Map[str, InFlightAttempt]] = field(default_factory=Map)
    in_flight_counts: Map[str, int] = field(default_factory=Map)
    records: Map[str, RequestRecord] = field(default_factory=Map)
    recent_replies: Map[tuple[str, str], int] = field(default_factory=Map)
    recent_reply_order: Map[int, tuple[str, str]] = field(default_factory=Map)
    recent_reply_count: int = 0
    expiry_heap: Heap[str] = None
    next_sequence: int = 0


def make_quarantine_state(settings: QuarantineSettings) -> QuarantineState:
    """Return the state of an instance without suspects."""
    return QuarantineState(settings)
