"""Callers for real processes: open-loop requests over HTTP, and checks of what comes back."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from msgspec import DecodeError, Struct, json
from treq.client import HTTPClient
from twisted.internet.defer import Deferred, DeferredList
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers

from savoryarch.utils import Clock

REQUEST_TIMEOUT_S = 10.0
QUERY = b'{"q": "hinge"}'


@dataclass(frozen=True, slots=True)
class SearchCall:
    """One search of a declared name."""

    search: str
    caller: str


@dataclass(frozen=True, slots=True)
class RouteCall:
    """One request of a declared route; `body` names the key if the route takes it from there."""

    route: str
    caller: str
    key: str
    body: bytes


Call = SearchCall | RouteCall


@dataclass(frozen=True, slots=True)
class CallResult:
    """What came of one call.

    Parameters
    ----------
    call : SearchCall or RouteCall
        What was asked.
    latency_ms : float
        Time from the call to the whole reply.
    status : int
        HTTP status; 0 if no reply came.
    outcome : str
        ``answered``, ``done``, ``refused``, ``unknown`` or ``lost``.
    reason : str
        Reason of a refusal, or what was lost.
    asked, answered : int
        Coverage of a search.
    body : bytes
        The reply.
    problems : tuple of str
        What is wrong with the reply.
    """

    call: Call
    latency_ms: float
    status: int
    outcome: str
    reason: str = ""
    shard_count: int = 0
    answered_count: int = 0
    body: bytes = b""
    problems: tuple[str, ...] = ()


class _Record(Struct):
    id: str
    service: str
    snapshot: str


class _Part(Struct):
    service: str
    records: tuple[_Record, ...]


class _Snapshot(Struct):
    shard_map: int
    index: int


class _LeftOut(Struct):
    service: str
    reason: str


class _Coverage(Struct):
    asked: int
    answered: int
    left_out: tuple[_LeftOut, ...]


class _Answer(Struct):
    outcome: str
    search: str
    snapshot: _Snapshot
    coverage: _Coverage
    parts: tuple[_Part, ...]


class _Refusal(Struct):
    outcome: str = ""
    reason: str = ""


class CallerClient:
    """Sends calls to one address; each call gets exactly one result.

    Parameters
    ----------
    address : str
        ``HOST:PORT`` of the balancer or of an entry instance.
    reactor : object
        Twisted's reactor.
    clock : Clock
        Clock that latencies are measured on.
    """

    def __init__(self, address: str, reactor: Any, clock: Clock) -> None:
        self._url = f"http://{address}"
        self._reactor = reactor
        self._clock = clock
        # One connection a call: the balancer chooses an instance for each of them.
        agent: Any = Agent(reactor, pool=HTTPConnectionPool(reactor, persistent=False))
        self._client = HTTPClient(agent)

    def send(self, call: Call) -> "Deferred[CallResult]":
        """Send one call; the result of a failure is ``lost``."""
        sent_ms = self._clock.now_ms()
        match call:
            case SearchCall(search=name):
                path, body = f"/v1/searches/{name}", QUERY
            case RouteCall(route=name, body=body):
                path = f"/v1/routes/{name}"
        headers = Headers({"x-caller": [call.caller]})
        if isinstance(call, RouteCall) and call.key:
            headers.addRawHeader("idempotency-key", call.key)
        sent: Deferred = self._client.post(
            self._url + path, data=body, headers=headers, timeout=REQUEST_TIMEOUT_S
        )
        sent.addCallback(_read_body)
        sent.addTimeout(REQUEST_TIMEOUT_S, self._reactor)

        def finish(reply: tuple[int, str, bytes]) -> CallResult:
            return check_reply(call, self._clock.now_ms() - sent_ms, *reply)

        def lose(failure: Any) -> CallResult:
            latency_ms = self._clock.now_ms() - sent_ms
            return CallResult(call, latency_ms, 0, "lost", failure.type.__name__)

        return sent.addCallbacks(finish, lose)


def send_open_loop(
    client: CallerClient, plan: tuple[tuple[float, Call], ...], reactor: Any
) -> "Deferred[list[CallResult]]":
    """Send each call at its time (seconds from now), whether earlier ones have ended or not."""
    waiting = []
    for at_s, call in plan:
        result: Deferred = Deferred()
        reactor.callLater(at_s, _send_and_deliver, client, call, result)
        waiting.append(result)
    return DeferredList(waiting).addCallback(lambda rows: [row for _, row in rows])


def check_reply(
    call: Call, latency_ms: float, status: int, outcome: str, body: bytes
) -> CallResult:
    """Check one reply."""
    match call:
        case SearchCall() if status == 200:
            return _check_answer(call, latency_ms, body)
        case RouteCall() if outcome == "done":
            return CallResult(call, latency_ms, status, "done", body=body)
        case _:
            return _read_refusal(call, latency_ms, status, body)


def _check_answer(call: SearchCall, latency_ms: float, body: bytes) -> CallResult:
    try:
        answer = json.decode(body, type=_Answer)
    except DecodeError as error:
        problem = (f"answer cannot be read: {error}",)
        return CallResult(call, latency_ms, 200, "answered", body=body, problems=problem)
    return CallResult(
        call,
        latency_ms,
        200,
        "answered",
        shard_count=answer.coverage.asked,
        answered_count=answer.coverage.answered,
        body=body,
        problems=tuple(_answer_problems(call, answer)),
    )


def _answer_problems(call: SearchCall, answer: _Answer) -> list[str]:
    snapshot = f"{answer.snapshot.shard_map}.{answer.snapshot.index}"
    records = [record for part in answer.parts for record in part.records]
    left_out = {shard.service for shard in answer.coverage.left_out}
    answered = {part.service for part in answer.parts}
    checks = (
        (answer.search == call.search, f"got the answer of {answer.search!r}"),
        (
            all(record.snapshot == snapshot for record in records),
            f"records of another snapshot than {snapshot}",
        ),
        (len({record.id for record in records}) == len(records), "a record twice"),
        (len(answer.parts) == len(answered) == answer.coverage.answered, "parts miscounted"),
        (not answered & left_out, "a shard both answered and left out"),
        (answer.coverage.asked == len(answered) + len(left_out), "coverage does not add up"),
        (all(part.records for part in answer.parts), "an empty part counts as answered"),
    )
    return [problem for holds, problem in checks if not holds]


def _read_refusal(call: Call, latency_ms: float, status: int, body: bytes) -> CallResult:
    try:
        refusal = json.decode(body, type=_Refusal)
    except DecodeError:
        return CallResult(call, latency_ms, status, "lost", f"status {status}", body=body)
    return CallResult(call, latency_ms, status, refusal.outcome, refusal.reason, body=body)


def _send_and_deliver(client: CallerClient, call: Call, result: Deferred) -> None:
    client.send(call).addCallback(result.callback)


def _read_body(response: Any) -> Deferred:
    values = response.headers.getRawHeaders("x-outcome", [""])
    read: Callable[[bytes], tuple[int, str, bytes]] = lambda body: (  # noqa: E731
        response.code,
        values[0],
        body,
    )
    return response.content().addCallback(read)
