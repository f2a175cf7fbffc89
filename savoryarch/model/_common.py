"""Events and effects that all components use."""

from dataclasses import dataclass

from savoryarch.utils import fast_init


@dataclass(frozen=True, slots=True)
class TimerFired:
    """Event: a timer that `SetTimer` had set has expired.

    Parameters
    ----------
    timer_id : str
        Id of the timer.
    """

    timer_id: str


@fast_init
@dataclass(frozen=True, slots=True)
class SetTimer:
    """Effect: deliver `TimerFired` at a given time; a timer of the same id is replaced.

    Parameters
    ----------
    timer_id : str
        ``COMPONENT/...``, where the component is the one that receives the event.
    at_ms : float
        When the timer expires, on the clock of the process.
    """

    timer_id: str
    at_ms: float


@dataclass(frozen=True, slots=True)
class ClearTimer:
    """Effect: remove a timer; an unknown id has no effect.

    Parameters
    ----------
    timer_id : str
        Id of the timer.
    """

    timer_id: str


@fast_init
@dataclass(frozen=True, slots=True)
class Count:
    """Effect: add to a counter.

    Parameters
    ----------
    counter : str
        Name of the counter, for example ``refusals`` or ``retries``.
    reason : str
        Value of the attribute ``reason`` of the counter.
    by : int
        Amount to add.
    """

    counter: str
    reason: str
    by: int = 1


@fast_init
@dataclass(frozen=True, slots=True)
class LogEvent:
    """Effect: write a line of key=value pairs to the log.

    Parameters
    ----------
    name : str
        Name of the logged event.
    fields : tuple of (str, str)
        Keys and values in the order of the line.
    """

    name: str
    fields: tuple[tuple[str, str], ...] = ()


@fast_init
@dataclass(frozen=True, slots=True)
class LogRoutine:
    """Effect: write a log line about a routine event.

    If more lines are logged than the log can write, lines of routine events are dropped first.

    Parameters
    ----------
    name : str
        Name of the logged event.
    fields : tuple of (str, str)
        Keys and values in the order of the line.
    """

    name: str
    fields: tuple[tuple[str, str], ...] = ()


@fast_init
@dataclass(frozen=True, slots=True)
class RecordHistogram:
    """Effect: record a duration in a histogram.

    Parameters
    ----------
    histogram : str
        Name of the histogram, for example ``forward_ms``.
    value_ms : float
        The duration.
    attributes : tuple of (str, str)
        Names and values of the attributes.
    """

    histogram: str
    value_ms: float
    attributes: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class Notice:
    """A problem that needs a decision by an operator.

    Parameters
    ----------
    notice_id : str
        Id of the notice; each cause has one.
    summary : str
        What has happened.
    decision : str
        The question that the operator has to decide.
    choices : tuple of str
        The possible answers.
    """

    notice_id: str
    summary: str
    decision: str
    choices: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RaiseNotice:
    """Effect: open a notice; a notice that is already open stays open.

    Parameters
    ----------
    notice : Notice
        The notice.
    """

    notice: Notice


@dataclass(frozen=True, slots=True)
class ClearNotice:
    """Effect: close a notice whose cause has ended; an unknown id has no effect.

    Parameters
    ----------
    notice_id : str
        Id of the notice.
    """

    notice_id: str


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Effect: send a message to one peer, without a guarantee of delivery.

    Parameters
    ----------
    peer_id : str
        Instance id of the peer.
    message : object
        Instance of a data class that is registered with the message codec.
    """

    peer_id: str
    message: object


@dataclass(frozen=True, slots=True)
class BroadcastToPeers:
    """Effect: send a message to every live peer, without a guarantee of delivery.

    Parameters
    ----------
    message : object
        Instance of a data class that is registered with the message codec.
    """

    message: object


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """Event: a message of a peer has arrived.

    Parameters
    ----------
    peer_id : str
        Instance id of the sender.
    message : object
        The decoded message.
    """

    peer_id: str
    message: object


@dataclass(frozen=True, slots=True)
class PublishEvent:
    """Effect: deliver an event to the other components of this instance.

    Parameters
    ----------
    event : object
        The event.
    """

    event: object
