"""Headers and statuses in the HTTP messages of the platform's clients and targets."""

from savoryarch.codec import HttpReply
from savoryarch.front import ClientAnswer, ParsedRequest, UnusableRequest
from savoryarch.model import (
    NO_ADVICE,
    AttemptReply,
    MalformedReply,
    Misdirected,
    RefusalReason,
    Refused,
    ResponseReturned,
    SendAttempt,
    Shed,
    SnapshotId,
    Target,
    TargetAdvice,
    TargetEvidence,
)
from savoryarch.model.forwarding import (
    ForwardedRequest,
    ForwardOutcome,
    HeaderFields,
    ShardsAnswered,
    TargetAnswered,
    Unanswered,
)

REQUEST_ID_HEADER = "request-id"
DEADLINE_HEADER = "deadline-ms"
# Carries the digest that the target computed of its response body; it is not a time stamp.
DIGEST_HEADER = "response-stamp"
EXPECTED_TARGET_HEADER = "expect-instance"
NOT_RUN_HEADER = "not-executed"
# "1" in every reply of a target that leaves; it concerns the target, not the reply.
LEAVING_HEADER = "server-leaving"
RETRY_AFTER_HEADER = "retry-after"
# Running requests, waiting requests and slots of the target, separated by commas.
LOAD_HEADER = "server-load"
_MAX_REPORTED_DIGITS = 6
PART_DIGESTS_HEADER = "Part-Stamps"
MISSING_PARTS_HEADER = "Missing-Parts"
_HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# Headers of a client's request that each attempt replaces by its own.
_REPLACED_HEADERS = frozenset({DEADLINE_HEADER.encode(), EXPECTED_TARGET_HEADER.encode()})
_REFUSAL_STATUSES = {RefusalReason.UNKNOWN_ROUTE: 404}
_UNAVAILABLE_STATUS = 503
_FAILED_STATUS = 502
_TIMED_OUT_STATUS = 504
_MISDIRECTED_STATUS = 421
_FIRST_UNSUCCESSFUL_STATUS = 300
_FIRST_ERROR_STATUS = 400
_MS_PER_S = 1000.0
_LEAVING = "1"
_MAX_HOLD_MS = 3_600_000.0  # one hour; a longer pause is taken for a mistake of the target
_SHOWN_CHARACTERS = 80  # of a value that is logged
_IDLE_TIMEOUT_SHARE = 0.8  # of the target's idle timeout; the rest covers the network delay
_DEFAULT_IDLE_MS = 4000.0  # for connections to targets that state no idle timeout


class PlatformDialect:
    """The protocol that the platform's targets speak, as a `Dialect`."""

    connect_timeout_ms = 250.0
    probes_by_connecting = True  # a successful connection suffices as a probe
    reports_every_close = False  # only the close of a target's last connection is evidence
    default_max_idle_ms = _DEFAULT_IDLE_MS

    def encode_attempt(self, send: SendAttempt, target: Target, remaining_ms: float) -> bytes:
        """Return the request of an attempt.

        Parameters
        ----------
        send : SendAttempt
            The attempt; its request must be a `ForwardedRequest`.
        target : Target
            Not used: the client's ``host`` header is forwarded.
        remaining_ms : float
            Time until the deadline, which is stated in whole milliseconds and at least 1.
        """
        request = send.request
        assert isinstance(request, ForwardedRequest)
        lines = [request.method + b" " + request.path + b" HTTP/1.1"]
        lines += [name + b": " + value for name, value in request.headers]
        lines.append(f"{DEADLINE_HEADER}: {max(1, int(remaining_ms))}".encode())
        lines.append(f"{EXPECTED_TARGET_HEADER}: {registered_name(send.target_id)}".encode())
        if request.body or request.method not in (b"GET", b"HEAD"):
            lines.append(b"content-length: %d" % len(request.body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + request.body

    def reply_id(self, send: SendAttempt) -> str:
        """Return the client's request id, which all attempts of the request share."""
        assert isinstance(send.request, ForwardedRequest)
        return send.request.client_request_id

    def is_reply_to(self, reply: HttpReply, send: SendAttempt) -> bool:
        """Return whether a reply belongs to an attempt of the same request.

        A refusal without an id may be the second copy of an earlier one.
        """
        return reply.header(REQUEST_ID_HEADER) == self.reply_id(send)

    def may_be_repeated(self, reply: HttpReply) -> bool:
        """Return whether the request of a reply may be sent again, to this target or another."""
        return reply.status >= _FIRST_UNSUCCESSFUL_STATUS or _is_not_run(reply)

    def decode_attempt_reply(
        self, reply: HttpReply, send: SendAttempt
    ) -> tuple[AttemptReply, tuple[SnapshotId, ...], float | None]:
        """Return the reply, no snapshots, and no load; `decode_in_flight` returns a number."""
        return _classify_reply(reply), (), None

    def decode_advice(self, reply: HttpReply) -> TargetAdvice:
        """Return whether the target leaves, and the pause that it asks for with a refusal."""
        retry_after = ""
        if reply.status == _UNAVAILABLE_STATUS:
            retry_after = reply.header(RETRY_AFTER_HEADER).strip()
        leaving = reply.header(LEAVING_HEADER).strip() == _LEAVING
        if not leaving and not retry_after:
            return NO_ADVICE
        hold_ms, ignored = decode_retry_after(retry_after) if retry_after else (None, "")
        return TargetAdvice(leaving, hold_ms, ignored)

    def decode_in_flight(self, reply: HttpReply) -> int | None:
        """Return the running and waiting requests that a reply reports; None if it has no such."""
        numbers = reply.header(LOAD_HEADER).split(",")
        if len(numbers) < 2:
            return None
        running, waiting = numbers[0].strip(), numbers[1].strip()
        for number in (running, waiting):
            if not (number.isascii() and number.isdigit()) or len(number) > _MAX_REPORTED_DIGITS:
                return None
        return int(running) + int(waiting)

    def encode_cancel(self, attempt_id: str, host: str) -> bytes | None:
        """Return None, because targets stop a request when its connection is closed."""
        return None

    def encode_probe(self, host: str) -> bytes:
        """Return the request for the target's health endpoint."""
        return f"GET /health HTTP/1.1\r\nhost: {host}\r\n\r\n".encode()

    def decode_probe_reply(self, reply: HttpReply) -> tuple[TargetEvidence, tuple[SnapshotId, ...]]:
        """Return the evidence in a reply to a probe: a failure unless its status is 200."""
        return (
            TargetEvidence.PROBE_ANSWERED if reply.status == 200 else TargetEvidence.PROBE_FAILED
        ), ()

    def max_idle_ms(self, reply: HttpReply) -> float:
        """Return the time in milliseconds for which the connection may be reused after a reply."""
        for parameter in reply.header("keep-alive").split(","):
            name, _, value = parameter.strip().partition("=")
            value = value.strip()
            if name.lower() == "timeout" and value.isascii() and value.isdigit():
                return float(value) * _MS_PER_S * _IDLE_TIMEOUT_SHARE
        return _DEFAULT_IDLE_MS


def decode_retry_after(text: str) -> tuple[float | None, str]:
    """Decode the pause that a target asks for, in seconds with an optional fraction.

    A date is not accepted, because the clocks of the machines differ by seconds.

    Returns
    -------
    hold_ms : float or None
        The pause in milliseconds, at most one hour; None if the text is no such pause.
    ignored : str
        What was ignored of the text, empty if nothing was.
    """
    shown = text[:_SHOWN_CHARACTERS]
    is_number = text.isascii() and text.replace(".", "", 1).isdigit()
    if not is_number:
        return None, f"got {RETRY_AFTER_HEADER} {shown!r}, expected seconds"
    hold_ms = float(text) * _MS_PER_S
    if hold_ms > _MAX_HOLD_MS:
        return _MAX_HOLD_MS, f"got {RETRY_AFTER_HEADER} {shown!r}, shortened to one hour"
    return hold_ms, ""


def make_target_id(name: str, born_ms: int) -> str:
    """Return the id of one start of a target, from its registered name and its start time.

    Parameters
    ----------
    name : str
        Name that the target registered with.
    born_ms : int
        Start of the target in Unix milliseconds.
    """
    return f"{name}@{born_ms}"


def registered_name(target_id: str) -> str:
    """Return the registered name in a target id of `make_target_id`."""
    return target_id.rpartition("@")[0]


def _is_not_run(reply: HttpReply) -> bool:
    return bool(reply.header(NOT_RUN_HEADER)) or reply.status == _MISDIRECTED_STATUS


def _classify_reply(reply: HttpReply) -> AttemptReply:
    if reply.status == _MISDIRECTED_STATUS:
        return Misdirected()
    if reply.header(NOT_RUN_HEADER):
        return Shed()
    digest = reply.header(DIGEST_HEADER)
    if reply.status < _FIRST_ERROR_STATUS:
        if not digest:
            return MalformedReply(f"got status {reply.status} without a digest")
        if reply.header("content-encoding"):
            return MalformedReply("got an encoded body, which was not asked for")
    return ResponseReturned(
        reply.status, _end_to_end_headers(reply.raw_headers), reply.body, digest
    )


def _end_to_end_headers(fields: HeaderFields) -> HeaderFields:
    return tuple((name, value) for name, value in fields if name.lower() not in _HOP_BY_HOP_HEADERS)


def decode_request(
    parsed: ParsedRequest,
) -> tuple[ForwardedRequest, float | None] | UnusableRequest:
    """Decode a client's request.

    Returns
    -------
    decoded : tuple of (ForwardedRequest, float or None), or UnusableRequest
        The request, and the time in milliseconds that the client waits for the answer (None if it
        states none). Headers that concern only the client's connection, or that each attempt
        replaces, are left out of the request. If the request lacks an id or has a malformed
        deadline, the answer that refuses it.
    """
    request_id = parsed.header(REQUEST_ID_HEADER)
    if not request_id:
        return UnusableRequest(400, "missing_request_id", f"header {REQUEST_ID_HEADER} is missing")
    deadline_text = parsed.header(DEADLINE_HEADER)
    remaining_ms: float | None = None
    if deadline_text:
        if not (deadline_text.isascii() and deadline_text.isdigit()):
            detail = f"got {DEADLINE_HEADER} {deadline_text!r}, expected whole milliseconds"
            return UnusableRequest(400, "malformed_deadline", detail)
        remaining_ms = float(deadline_text)
    headers = tuple(
        (name, value)
        for name, value in _end_to_end_headers(parsed.headers)
        if name.lower() not in _REPLACED_HEADERS
    )
    request = ForwardedRequest(
        client_request_id=request_id,
        method=parsed.method,
        path=parsed.path,
        host=parsed.header("host"),
        headers=headers,
        body=parsed.body,
    )
    return request, remaining_ms


def encode_answer(outcome: ForwardOutcome) -> ClientAnswer:
    """Return the answer that tells a client the outcome of its request."""
    match outcome:
        case TargetAnswered(status=status, headers=headers, body=body):
            return ClientAnswer(status, headers, body)
        case ShardsAnswered(digests=digests, missing_shards=missing, body=body):
            fields: HeaderFields = (
                (PART_DIGESTS_HEADER.encode(), ", ".join(digests).encode()),
                (MISSING_PARTS_HEADER.encode(), str(missing).encode()),
            )
            return ClientAnswer(200, fields, body)
        case Refused(reason=reason, detail=detail, retry_after_ms=retry_after_ms):
            status = _REFUSAL_STATUSES.get(reason, _UNAVAILABLE_STATUS)
            fields = ()
            if retry_after_ms is not None and status == _UNAVAILABLE_STATUS:
                fields = ((b"Retry-After", f"{retry_after_ms / _MS_PER_S:.3f}".encode()),)
            return ClientAnswer(status, fields, detail.encode())
        case Unanswered(timed_out=timed_out, detail=detail):
            return ClientAnswer(
                _TIMED_OUT_STATUS if timed_out else _FAILED_STATUS, (), detail.encode()
            )
