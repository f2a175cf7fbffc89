"""Events and effects that every decision may use."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by `SetTimer` is due."""

    timer_id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for `TimerFired` at a time; replaces an earlier timer of the same id.

    Parameters
    ----------
    timer_id : str
        ``SUBJECT/...``, where the subject is the decision that gets the event.
    at_ms : float
        Time on the clock of the process.
    """

    timer_id: str
    at_ms: float


@dataclass(frozen=True, slots=True)
class ClearTimer:
    """Forget a timer; unknown ids are ignored."""

    timer_id: str


@dataclass(frozen=True, slots=True)
class Count:
    """Add to a counter.

    Parameters
    ----------
    counter : str
        For example ``refusals``, ``retries``.
    reason : str
        Value of the counter's ``reason`` attribute.
    by : int
        What to add.
    """

    counter: str
    reason: str
    by: int = 1


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write one line of key=value pairs.

    Parameters
    ----------
    name : str
        Name of the event.
    fields : tuple of (str, str)
        The pairs, in order.
    """

    name: str
    fields: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class LogRoutine:
    """As `LogEvent`, for what went well; the first to be left out when there are too many."""

    name: str
    fields: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class RecordHistogram:
    """Record a duration in a histogram.

    Parameters
    ----------
    histogram : str
        For example ``forward_ms``.
    value_ms : float
        The duration.
    attributes : tuple of (str, str)
        Names and values of its attributes.
    """

    histogram: str
    value_ms: float
    attributes: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class Notice:
    """A decision that is the operator's to make.

    Parameters
    ----------
    notice_id : str
        One per cause.
    summary : str
        What happened.
    decision : str
        What has to be decided.
    choices : tuple of str
        The ways to decide.
    """

    notice_id: str
    summary: str
    decision: str
    choices: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RaiseNotice:
    """Open a notice, or keep it open."""

    notice: Notice


@dataclass(frozen=True, slots=True)
class ClearNotice:
    """Close a notice because its cause is gone; unknown ids are ignored."""

    notice_id: str


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send a message to one peer; it may be lost.

    Parameters
    ----------
    peer_id : str
        Instance id of the peer.
    message : object
        A data class registered with the peer codec.
    """

    peer_id: str
    message: object


@dataclass(frozen=True, slots=True)
class BroadcastToPeers:
    """Send a message to every live peer; it may be lost."""

    message: object


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A peer sent a message."""

    peer_id: str
    message: object


@dataclass(frozen=True, slots=True)
class PublishEvent:
    """Hand an event to the other decisions of the same instance."""

    event: object
