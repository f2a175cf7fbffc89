"""One connection of a client, driven by the chart ``client_connection.ini``."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from twisted.internet.protocol import Protocol as TwistedProtocol

from savoryarch.charts import load_chart
from savoryarch.front._byte_sender import ByteSender
from savoryarch.front._connection_owner import ClientAnswer, ConnectionOwner
from savoryarch.front._parser import ParsedRequest, RequestParser, UnusableRequest
from savoryarch.model import RefusalReason, Refused
from savoryarch.model.forwarding import ForwardOutcome
from savoryarch.utils import start_lingering_close

ACTIONS = frozenset(
    {
        "abort",
        "close",
        "discard_pipelined",
        "half_close",
        "read_buffered",
        "start_idle_timer",
        "start_receive_timer",
        "stop_idle_timer",
        "stop_timers",
        "submit",
        "abandon",
        "write_answer",
        "write_refusal",
        "write_timeout",
    }
)
CHART = load_chart("client_connection", ACTIONS)
MAX_BUFFERED_BYTES = 65_536  # that a client may send before its outstanding request is answered
# Requests of one connection that are answered immediately before other connections have their turn.
MAX_REQUESTS_PER_TURN = 16
# Added to each timeout, because a client may use the timeout in full as it measures it.
TIMEOUT_MARGIN_MS = 1000.0
# After a refusal for lack of memory; by then, what other clients have sent in part has been
# completed or has timed out.
MEMORY_RETRY_AFTER_MS = 1000.0
_MS_PER_S = 1000.0
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ClientConnection(TwistedProtocol):
    """One connection of a client; at most one request is outstanding on it.

    Parameters
    ----------
    owner : ConnectionOwner
        The front that accepted the connection.
    """

    transport: Any = None

    def __init__(self, owner: ConnectionOwner) -> None:
        self._owner = owner
        self._parser = RequestParser(owner.limits())
        self._state = CHART.initial
        self._request: ParsedRequest | None = None
        self._request_id = ""
        self._request_bytes = 0
        self._answer: ClientAnswer | None = None
        self._refusal: ClientAnswer | None = None
        self._buffered = b""
        self._held_bytes = 0
        self._unsent_bytes = 0
        self._discards_pipelined = False
        self._reads_buffered = False
        self._read_call: Any = None
        self._idle_timer: Any = None
        self._receive_timer: Any = None
        self._unread_timer: Any = None
        self._actions: dict[str, Callable[[], None]] = {
            name: getattr(self, f"_{name}") for name in ACTIONS
        }

    def connectionMade(self) -> None:  # noqa: N802
        """Start the idle timeout; called by Twisted."""
        self.transport.setTcpNoDelay(True)
        self._sender = ByteSender(self.transport, self._handle_unsent)
        self._start_idle_timer()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse bytes from the client, or buffer them for later; called by Twisted.

        Bytes that come while a request is outstanding are buffered. A client that sends more than
        `MAX_BUFFERED_BYTES` of them is disconnected. Bytes that come after the last answer are
        discarded.
        """
        match self._state:
            case "waiting":
                if self._discards_pipelined:
                    return
                self._buffered += data
                if len(self._buffered) > MAX_BUFFERED_BYTES:
                    self._step("unusable")
                self._report_held_bytes()
            case "closed":
                return
            case _:
                self._read(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Handle the end of the connection; called by Twisted."""
        self._stop_timers()
        if self._state != "closed":
            self._step("lost")
        self._sender.close()
        self._release()
        # The bound methods refer to the connection, so that without this it would stay until the
        # next garbage collection, with the bytes that its transport has not sent.
        self._actions = {}
        self._owner.remove_connection(self)

    @property
    def state(self) -> str:
        """Current state in the chart ``client_connection``."""
        return self._state

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being received or answered on it."""
        if self._state == "idle" and self._read_call is None:
            self._step("idle_ended")

    def release_memory(self, detail: str) -> None:
        """Discard what the connection holds apart from its outstanding request.

        A request that is received in part is refused; it has not been forwarded. Answers that the
        client does not read are lost with the connection. Pipelined requests are not read, which
        the last answer tells by closing the connection.
        """
        self._held_bytes = 0
        refused = Refused(RefusalReason.OVERLOADED, detail, True, MEMORY_RETRY_AFTER_MS)
        self._refusal = self._owner.dialect.encode_answer(refused)
        self._owner.report_memory_shortage(detail)
        match self._state:
            case "closed":
                self._abort()
            case _ if self._sender.unsent_bytes:
                self._step("unread")
            case _:
                self._step("out_of_memory")

    def _report_held_bytes(self) -> None:
        """Report what the connection holds apart from its outstanding request, if it changed."""
        unsent_bytes = self._sender.unsent_bytes
        held_bytes = self._parser.held_bytes + len(self._buffered) + unsent_bytes
        if held_bytes != self._held_bytes:
            self._held_bytes = held_bytes
            self._owner.memory.update(self, held_bytes)

    def _release(self) -> None:
        """Release all memory but the answers that are being sent."""
        if self._read_call is not None:
            self._read_call.cancel()
            self._read_call = None
        self._parser.close()
        self._buffered = b""
        self._request = self._answer = None
        self._free_request()
        self._report_held_bytes()

    def _free_request(self) -> None:
        self._owner.memory.free(self._request_bytes)
        self._request_bytes = 0

    def _read(self, data: bytes) -> None:
        if self._state == "idle":
            self._step("bytes_received")
        self._parser.limits = self._owner.limits()
        self._handle_parsed(self._parser.feed(data))
        self._report_held_bytes()

    def _handle_parsed(self, parsed: ParsedRequest | UnusableRequest | None) -> None:
        match parsed:
            case UnusableRequest():
                self._refuse(parsed)
            case ParsedRequest():
                self._request = parsed
                self._step("request_complete")
            case None if self._parser.wants_continue:
                self._parser.wants_continue = False
                self._sender.send(_CONTINUE)

    def _refuse(self, unusable: UnusableRequest) -> None:
        self._refusal = ClientAnswer(unusable.status, (), unusable.detail.encode())
        self._owner.count_refusal(unusable.reason)
        self._step("unusable")

    def _submit(self) -> None:
        assert self._request is not None
        decoded = self._owner.dialect.decode_request(self._request)
        if isinstance(decoded, UnusableRequest):
            self._owner.count_refusal(decoded.reason)
            self._finish(ClientAnswer(decoded.status, (), decoded.detail.encode()))
            return
        request, remaining_ms = decoded
        request_bytes = self._parser.request_bytes
        if not self._owner.memory.reserve(request_bytes):
            detail = "requests hold too much memory"
            self._owner.report_memory_shortage(detail)
            refused = Refused(RefusalReason.OVERLOADED, detail, True, MEMORY_RETRY_AFTER_MS)
            self._finish(self._owner.dialect.encode_answer(refused))
            return
        self._request_bytes = request_bytes
        self._request_id = self._owner.submit(request, remaining_ms, self._handle_outcome)

    def _handle_outcome(self, outcome: ForwardOutcome) -> None:
        if self._state == "waiting":
            self._finish(self._owner.dialect.encode_answer(outcome))

    def _finish(self, answer: ClientAnswer) -> None:
        assert self._request is not None
        self._answer = answer
        self._free_request()
        is_last = (
            self._owner.is_closing() or not self._request.keep_alive or self._discards_pipelined
        )
        self._step("answered_last" if is_last else "answered")

    def _step(self, event: str) -> None:
        transition = CHART.step(self._state, event)
        # The state is set before the actions run, because an action may step the chart again.
        self._state = transition.next_state
        for action in transition.actions:
            self._actions[action]()
        if self._state == "closed":
            self._release()

    def _write_answer(self) -> None:
        answer, self._answer = self._answer, None
        assert answer is not None
        self._write(answer, is_last=self._state == "closed")
        self._request = None

    def _write(self, answer: ClientAnswer, *, is_last: bool) -> None:
        try:
            phrase = HTTPStatus(answer.status).phrase
        except ValueError:
            phrase = ""
        lines = [f"HTTP/1.1 {answer.status} {phrase}".encode("latin-1")]
        lines += [name + b": " + value for name, value in answer.headers]
        lines.append(b"content-length: %d" % len(answer.body))
        if is_last:
            lines.append(b"connection: close")
        self._sender.send(b"\r\n".join(lines) + b"\r\n\r\n" + answer.body)

    def _handle_unsent(self) -> None:
        """Limit the time in which the client reads nothing of its answers."""
        unsent_bytes, earlier_bytes = self._sender.unsent_bytes, self._unsent_bytes
        self._unsent_bytes = unsent_bytes
        if unsent_bytes < earlier_bytes:
            self._stop_unread_timer()
        if unsent_bytes and self._unread_timer is None:
            delay_ms = self._owner.limits().idle_timeout_ms + TIMEOUT_MARGIN_MS
            self._unread_timer = self._call_later(delay_ms, self._end_unread)
        self._report_held_bytes()

    def _end_unread(self) -> None:
        self._unread_timer = None
        self._owner.count_refusal("answer_unread")
        if self._state == "closed":
            self._abort()
        else:
            self._step("unread")

    def _abort(self) -> None:
        self.transport.abortConnection()

    def _discard_pipelined(self) -> None:
        self._discards_pipelined = True
        self._parser.close()
        self._buffered = b""

    def _write_refusal(self) -> None:
        assert self._refusal is not None
        self._write(self._refusal, is_last=True)

    def _half_close(self) -> None:
        start_lingering_close(self.transport, self._owner.reactor)

    def _write_timeout(self) -> None:
        self._owner.count_refusal("receive_timeout")
        self._write(ClientAnswer(408, (), b"the request did not come whole in time"), is_last=True)

    def _read_buffered(self) -> None:
        # A request that is answered immediately leads here again. The loop handles it, because
        # recursion would exceed its limit when a client pipelines hundreds of them.
        if self._reads_buffered:
            return
        self._reads_buffered = True
        try:
            for _ in range(MAX_REQUESTS_PER_TURN):
                if self._state != "idle" or not self._read_next():
                    return
        finally:
            self._reads_buffered = False
        if self._state == "idle":
            # Bytes that arrive until then would overtake those that are left.
            self.transport.pauseProducing()
            self._read_call = self._owner.reactor.callLater(0, self._continue_reading)

    def _continue_reading(self) -> None:
        self._read_call = None
        self.transport.resumeProducing()
        self._read_buffered()
        self._report_held_bytes()

    def _read_next(self) -> bool:
        """Handle the next bytes that were received earlier; return whether there were any."""
        parsed = self._parser.next_request()
        if parsed is not None:
            # A pipelined request is already complete in the parser; the buffered bytes follow it.
            self._step("bytes_received")
            self._handle_parsed(parsed)
            return True
        buffered, self._buffered = self._buffered, b""
        if buffered:
            self._read(buffered)
        return bool(buffered)

    def _abandon(self) -> None:
        if self._request_id:
            self._owner.abandon(self._request_id)

    def _close(self) -> None:
        self.transport.loseConnection()

    def _start_idle_timer(self) -> None:
        delay_ms = self._owner.limits().idle_timeout_ms + TIMEOUT_MARGIN_MS
        self._idle_timer = self._call_later(delay_ms, self._end_idle)

    def _end_idle(self) -> None:
        self._idle_timer = None
        if self._state == "idle":
            self._step("idle_ended")

    def _start_receive_timer(self) -> None:
        delay_ms = self._owner.limits().header_timeout_ms + TIMEOUT_MARGIN_MS
        self._receive_timer = self._call_later(delay_ms, self._end_receive)

    def _end_receive(self) -> None:
        self._receive_timer = None
        if self._state == "receiving":
            self._step("receive_timed_out")

    def _call_later(self, delay_ms: float, call: Callable[[], None]) -> Any:
        return self._owner.reactor.callLater(delay_ms / _MS_PER_S, call)

    def _stop_idle_timer(self) -> None:
        timer, self._idle_timer = self._idle_timer, None
        if timer is not None:
            timer.cancel()

    def _stop_unread_timer(self) -> None:
        timer, self._unread_timer = self._unread_timer, None
        if timer is not None:
            timer.cancel()

    def _stop_timers(self) -> None:
        self._stop_idle_timer()
        timer, self._receive_timer = self._receive_timer, None
        if timer is not None:
            timer.cancel()
