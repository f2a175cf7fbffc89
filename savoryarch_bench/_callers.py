"""Callers for runs on real processes: open-loop requests over HTTP and checks of the replies."""

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
    """Call of a declared search.

    Parameters
    ----------
    search : str
        Name of the search.
    caller : str
        Caller that the request counts for.
    """

    search: str
    caller: str


@dataclass(frozen=True, slots=True)
class RouteCall:
    """Request on a declared route.

    Parameters
    ----------
    route : str
        Name of the route.
    caller : str
        Caller that the request counts for.
    key : str
        Idempotency key for the header; empty if the route takes the key from the body.
    body : bytes
        Body of the request.
    """

    route: str
    caller: str
    key: str
    body: bytes


Call = SearchCall | RouteCall


@dataclass(frozen=True, slots=True)
class CallResult:
    """Result of one call.

    Parameters
    ----------
    call : SearchCall or RouteCall
        The call.
    latency_ms : float
        Time from the call to the end of the reply.
    status : int
        HTTP status; 0 if no reply arrived.
    outcome : str
        ``answered`` for a search, ``done`` for a route, ``refused``, ``unknown`` if the request may
        have run, or ``lost`` if no reply arrived or a failure reply cannot be decoded.
    reason : str
        Reason of a refusal; for ``lost``, the class of the error or the HTTP status.
    shard_count, answered_count : int
        Number of requested and of answered shards of an answered search; 0 for other calls.
    body : bytes
        Body of the reply.
    problems : tuple of str
        Errors found in an answer; empty if it is right.
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


# Bodies of replies, as far as the checks read them.
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


class _FailureBody(Struct):
    outcome: str = ""
    reason: str = ""


class CallerClient:
    """HTTP client that sends calls to one address; each call gets exactly one result.

    Parameters
    ----------
    address : str
        ``HOST:PORT`` of the balancer or of an entry instance.
    reactor : object
        Twisted's reactor.
    clock : Clock
        Clock that the latencies are measured with.
    """

    def __init__(self, address: str, reactor: Any, clock: Clock) -> None:
        self._url = f"http://{address}"
        self._reactor = reactor
        self._clock = clock
        # The balancer chooses an instance per connection, so that a new connection for each call
        # spreads the calls over all instances.
        agent: Any = Agent(reactor, pool=HTTPConnectionPool(reactor, persistent=False))
        self._client = HTTPClient(agent)

    def send(self, call: Call) -> "Deferred[CallResult]":
        """Send one call; its outcome is ``lost`` if there is no reply within the time-out."""
        sent_at_ms = self._clock.now_ms()
        match call:
            case SearchCall(search=name):
                path, body = f"/v1/searches/{name}", QUERY
            case RouteCall(route=name, body=body):
                path = f"/v1/routes/{name}"
        headers = Headers({"x-caller": [call.caller]})
        if isinstance(call, RouteCall) and call.key:
            headers.addRawHeader("idempotency-key", call.key)
        response: Deferred = self._client.post(
            self._url + path, data=body, headers=headers, timeout=REQUEST_TIMEOUT_S
        )
        response.addCallback(_read_body)
        # The time-out of `post` ends with the headers of the reply; this one covers the body too.
        response.addTimeout(REQUEST_TIMEOUT_S, self._reactor)

        def succeed(reply: tuple[int, str, bytes]) -> CallResult:
            return check_reply(call, self._clock.now_ms() - sent_at_ms, *reply)

        def fail(failure: Any) -> CallResult:
            latency_ms = self._clock.now_ms() - sent_at_ms
            return CallResult(call, latency_ms, 0, "lost", failure.type.__name__)

        return response.addCallbacks(succeed, fail)


def send_open_loop(
    client: CallerClient, plan: tuple[tuple[float, Call], ...], reactor: Any
) -> "Deferred[list[CallResult]]":
    """Send each call at its time, whether or not earlier calls have ended.

    Parameters
    ----------
    client : CallerClient
        Client that sends the calls.
    plan : tuple of (float, Call)
        Time of each call in seconds from now, and the call.
    reactor : object
        Twisted's reactor.

    Returns
    -------
    Deferred of list of CallResult
        Results of all calls, in the order of the plan.
    """
    pending = []
    for at_s, call in plan:
        result: Deferred = Deferred()
        reactor.callLater(at_s, _send_and_deliver, client, call, result)
        pending.append(result)
    return DeferredList(pending).addCallback(lambda rows: [row for _, row in rows])


def check_reply(
    call: Call, latency_ms: float, status: int, outcome: str, body: bytes
) -> CallResult:
    """Evaluate the reply to a call.

    Parameters
    ----------
    call : SearchCall or RouteCall
        The call.
    latency_ms : float
        Time from the call to the end of the reply.
    status : int
        HTTP status of the reply.
    outcome : str
        Header ``x-outcome`` of the reply; empty if it has none.
    body : bytes
        Body of the reply.

    Returns
    -------
    CallResult
        Result whose `problems` are the errors in an answer to a search.
    """
    match call:
        case SearchCall() if status == 200:
            return _check_answer(call, latency_ms, body)
        case RouteCall() if outcome == "done":
            return CallResult(call, latency_ms, status, "done", body=body)
        case _:
            return _read_failure(call, latency_ms, status, body)


def _check_answer(call: SearchCall, latency_ms: float, body: bytes) -> CallResult:
    try:
        answer = json.decode(body, type=_Answer)
    except DecodeError as error:
        problems = (f"answer cannot be decoded: {error}",)
        return CallResult(call, latency_ms, 200, "answered", body=body, problems=problems)
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
    omitted = {shard.service for shard in answer.coverage.left_out}
    answered = {part.service for part in answer.parts}
    checks = (
        (answer.search == call.search, f"got an answer of search {answer.search!r}"),
        (
            all(record.snapshot == snapshot for record in records),
            f"got records of another snapshot than {snapshot}",
        ),
        (len({record.id for record in records}) == len(records), "got two records with one id"),
        (
            len(answer.parts) == len(answered) == answer.coverage.answered,
            "the number of parts differs from the answered shards of the coverage",
        ),
        (not answered & omitted, "got a shard that is both answered and omitted"),
        (
            answer.coverage.asked == len(answered) + len(omitted),
            "the sum of answered and omitted shards differs from the requested shards",
        ),
        (all(part.records for part in answer.parts), "got an answered shard without records"),
    )
    return [problem for holds, problem in checks if not holds]


def _read_failure(call: Call, latency_ms: float, status: int, body: bytes) -> CallResult:
    try:
        failure = json.decode(body, type=_FailureBody)
    except DecodeError:
        return CallResult(call, latency_ms, status, "lost", f"status {status}", body=body)
    return CallResult(call, latency_ms, status, failure.outcome, failure.reason, body=body)


def _send_and_deliver(client: CallerClient, call: Call, result: Deferred) -> None:
    client.send(call).addCallback(result.callback)


def _read_body(response: Any) -> Deferred:
    outcomes = response.headers.getRawHeaders("x-outcome", [""])
    combine: Callable[[bytes], tuple[int, str, bytes]] = lambda body: (  # noqa: E731
        response.code,
        outcomes[0],
        body,
    )
    return response.content().addCallback(combine)
