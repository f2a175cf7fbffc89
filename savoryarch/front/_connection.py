"""One connection of a client, driven by the chart ``client_connection.ini``."""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Protocol

from twisted.internet.protocol import Protocol as TwistedProtocol

from savoryarch.charts import load_chart
from savoryarch.front._parser import ParsedRequest, RequestParser, UnusableRequest
from savoryarch.model.forwarding import (
    ForwardedRequest,
    ForwardOutcome,
    FrontLimits,
    HeaderFields,
)
from savoryarch.utils import start_lingering_close

ACTIONS = frozenset(
    {
        "close",
        "close_reading",
        "read_kept",
        "start_idle_timer",
        "start_receive_timer",
        "stop_idle_timer",
        "stop_timers",
        "submit",
        "withdraw",
        "write_answer",
        "write_refusal",
        "write_too_slow",
    }
)
CHART = load_chart("client_connection", ACTIONS)
MAX_KEPT_BYTES = 65_536  # of further requests while one is outstanding
IDLE_MARGIN_MS = 1000.0  # clients may send until the idle timeout, as they count it
_MS_PER_S = 1000.0
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass(frozen=True, slots=True)
class ClientAnswer:
    """The answer to one request."""

    status: int
    headers: HeaderFields
    body: bytes


@dataclass(frozen=True, slots=True)
class ClientDialect:
    """How clients' requests are read and their answers are written.

    Parameters
    ----------
    decode_request : callable
        Returns the request and how long the client waits in ms, or `UnusableRequest`.
    encode_answer : callable
        Returns the `ClientAnswer` of an outcome.
    """

    decode_request: Callable[
        [ParsedRequest], "tuple[ForwardedRequest, float | None] | UnusableRequest"
    ]
    encode_answer: Callable[[ForwardOutcome], ClientAnswer]


class FrontOwner(Protocol):
    """What a connection needs of the front."""

    reactor: Any
    dialect: ClientDialect

    def limits(self) -> FrontLimits:
        """Return the limits in force."""

    def is_closing(self) -> bool:
        """Return whether connections end with their next answer."""

    def submit(
        self,
        request: ForwardedRequest,
        left_ms: float | None,
        answer: Callable[[ForwardOutcome], None],
    ) -> str:
        """Have a request forwarded; returns its id."""

    def withdraw(self, request_id: str) -> None:
        """Note that the client of a request has gone."""

    def count_refusal(self, reason: str) -> None:
        """Count a request that cannot be forwarded."""

    def forget(self, connection: "ClientConnection") -> None:
        """Drop a closed connection."""


class ClientConnection(TwistedProtocol):
    """One connection of a client.

    Parameters
    ----------
    owner : FrontOwner
        The front.
    """

    transport: Any = None

    def __init__(self, owner: FrontOwner) -> None:
        self._owner = owner
        self._parser = RequestParser(owner.limits())
        self._state = CHART.initial
        self._request: ParsedRequest | None = None
        self._request_id = ""
        self._answer: ClientAnswer | None = None
        self._unusable: UnusableRequest | None = None
        self._kept = b""
        self._idle_timer: Any = None
        self._receive_timer: Any = None
        self._actions: dict[str, Callable[[], None]] = {
            name: getattr(self, f"_{name}") for name in ACTIONS
        }

    def connectionMade(self) -> None:  # noqa: N802
        """Start to use the connection; called by Twisted."""
        self.transport.setTcpNoDelay(True)
        self._start_idle_timer()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes from the client; called by Twisted."""
        match self._state:
            case "waiting":
                self._kept += data
                if len(self._kept) > MAX_KEPT_BYTES:
                    self._step("unusable")
            case "closed":
                return
            case _:
                self._read(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Note the end of the connection; called by Twisted."""
        self._stop_timers()
        if self._state != "closed":
            self._step("lost")
        self._owner.forget(self)

    @property
    def state(self) -> str:
        """State in the chart ``client_connection``."""
        return self._state

    def close_if_idle(self) -> None:
        """Close the connection unless a request has begun on it."""
        if self._state == "idle":
            self._step("idle_over")

    def _read(self, data: bytes) -> None:
        if self._state == "idle":
            self._step("bytes_came")
        self._parser.limits = self._owner.limits()
        self._take(self._parser.feed(data))

    def _take(self, parsed: ParsedRequest | UnusableRequest | None) -> None:
        match parsed:
            case UnusableRequest():
                self._refuse(parsed)
            case ParsedRequest():
                self._request = parsed
                self._step("request_whole")
            case None if self._parser.wants_continue:
                self._parser.wants_continue = False
                self.transport.write(_CONTINUE)

    def _refuse(self, unusable: UnusableRequest) -> None:
        self._unusable = unusable
        self._owner.count_refusal(unusable.reason)
        self._step("unusable")

    def _submit(self) -> None:
        assert self._request is not None
        read = self._owner.dialect.decode_request(self._request)
        if isinstance(read, UnusableRequest):
            self._owner.count_refusal(read.reason)
            self._finish(ClientAnswer(read.status, (), read.detail.encode()))
            return
        request, left_ms = read
        self._request_id = self._owner.submit(request, left_ms, self._take_outcome)

    def _take_outcome(self, outcome: ForwardOutcome) -> None:
        if self._state == "waiting":
            self._finish(self._owner.dialect.encode_answer(outcome))

    def _finish(self, answer: ClientAnswer) -> None:
        assert self._request is not None
        self._answer = answer
        last = self._owner.is_closing() or not self._request.keep_alive
        self._step("answered_last" if last else "answered")

    def _step(self, event: str) -> None:
        transition = CHART.step(self._state, event)
        # An action may step the chart again, so that the state comes first.
        self._state = transition.next_state
        for action in transition.actions:
            self._actions[action]()

    def _write_answer(self) -> None:
        answer, self._answer = self._answer, None
        assert answer is not None
        self._write(answer, last=self._state == "closed")
        self._request = None

    def _write(self, answer: ClientAnswer, *, last: bool) -> None:
        try:
            phrase = HTTPStatus(answer.status).phrase
        except ValueError:
            phrase = ""
        lines = [f"HTTP/1.1 {answer.status} {phrase}".encode("latin-1")]
        lines += [name + b": " + value for name, value in answer.headers]
        lines.append(b"content-length: %d" % len(answer.body))
        if last:
            lines.append(b"connection: close")
        self.transport.write(b"\r\n".join(lines) + b"\r\n\r\n" + answer.body)

    def _write_refusal(self) -> None:
        assert self._unusable is not None
        detail = self._unusable.detail.encode()
        self._write(ClientAnswer(self._unusable.status, (), detail), last=True)

    def _close_reading(self) -> None:
        start_lingering_close(self.transport, self._owner.reactor)

    def _write_too_slow(self) -> None:
        self._owner.count_refusal("receive_timeout")
        self._write(ClientAnswer(408, (), b"the request did not come whole in time"), last=True)

    def _read_kept(self) -> None:
        kept, self._kept = self._kept, b""
        parsed = self._parser.take()
        if parsed is not None:
            self._step("bytes_came")
            self._kept = kept
            self._take(parsed)
        elif kept:
            self._read(kept)

    def _withdraw(self) -> None:
        if self._request_id:
            self._owner.withdraw(self._request_id)

    def _close(self) -> None:
        self.transport.loseConnection()

    def _start_idle_timer(self) -> None:
        delay_ms = self._owner.limits().idle_timeout_ms + IDLE_MARGIN_MS
        self._idle_timer = self._call_later(delay_ms, self._end_idle)

    def _end_idle(self) -> None:
        self._idle_timer = None
        if self._state == "idle":
            self._step("idle_over")

    def _start_receive_timer(self) -> None:
        delay_ms = self._owner.limits().header_timeout_ms + IDLE_MARGIN_MS
        self._receive_timer = self._call_later(delay_ms, self._end_receive)

    def _end_receive(self) -> None:
        self._receive_timer = None
        if self._state == "receiving":
            self._step("receive_over")

    def _call_later(self, delay_ms: float, call: Callable[[], None]) -> Any:
        return self._owner.reactor.callLater(delay_ms / _MS_PER_S, call)

    def _stop_idle_timer(self) -> None:
        timer, self._idle_timer = self._idle_timer, None
        if timer is not None:
            timer.cancel()

    def _stop_timers(self) -> None:
        self._stop_idle_timer()
        timer, self._receive_timer = self._receive_timer, None
        if timer is not None:
            timer.cancel()
