"""Serves a target stand-in over HTTP."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from msgspec import to_builtins
from msgspec.json import encode
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from savoryarch.utils import Clock
from savoryarch_standins.target._decide import decide_target, make_target
from savoryarch_standins.target._model import (
    Behaviour,
    CancelRequested,
    ConnectionsCounted,
    DropConnections,
    Reply,
    RequestReceived,
    RouteWork,
    ScheduleEvent,
    SearchWork,
    TargetEffect,
    TargetEvent,
    TargetSpec,
    TargetStandinState,
)
from savoryarch_standins.target._replies import Refusal
from savoryarch_standins.target._reports import report_health, report_load
from savoryarch_standins.target._switches import read_switches

_DEFAULT_DEADLINE_MS = 10_000.0


class TargetServer:
    """One target stand-in with its port.

    Parameters
    ----------
    spec, behaviour, seed
        As in `make_target`.
    reactor : object
        Twisted's reactor.
    clock : Clock
        Clock of the process.
    exit_process : callable
        Called when a crash has to end the process.
    """

    def __init__(
        self,
        spec: TargetSpec,
        behaviour: Behaviour,
        seed: int,
        reactor: Any,
        clock: Clock,
        exit_process: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._exit_process = exit_process
        self._exchanges: dict[int, Request] = {}
        self._next_exchange = 0
        self._site = LimitedSite(self)
        self._host, self._number = "", 0
        self._port: Any = None
        self._is_closed = False
        step = make_target(spec, behaviour, seed, clock.now_ms())
        self.state: TargetStandinState = step.state
        self._perform_all(step.effects)

    def listen(self, host: str) -> int:
        """Listen and return the port."""
        self._host = host
        self._port = self._reactor.listenTCP(self.state.spec.port, self._site, interface=host)
        return int(self._port.getHost().port)

    def serve(self, resource: Resource) -> None:
        """Serve `resource` on the port."""
        self._site.resource = resource

    def feed(self, event: TargetEvent) -> None:
        """Decide on an event and carry out the effects."""
        step = decide_target(self.state, event, self._clock.now_ms())
        self.state = step.state
        self._perform_all(step.effects)
        if self._is_closed and self.is_reachable():
            self._open_port()

    def is_reachable(self) -> bool:
        """Return whether connections are accepted."""
        return self.state.chart_state != "down"

    def begin(self, request: Request, work: SearchWork | RouteWork) -> None:
        """Take a search or a route request."""
        self._next_exchange += 1
        exchange = self._next_exchange
        self._exchanges[exchange] = request
        request.notifyFinish().addBoth(lambda _: self._exchanges.pop(exchange, None))
        left_ms = float(request.getHeader("x-deadline-ms") or _DEFAULT_DEADLINE_MS)
        request_id = request.getHeader("x-request-id") or ""
        self.feed(RequestReceived(exchange, request_id, self._clock.now_ms() + left_ms, work))

    def health(self, request: Request) -> None:
        """Answer ``GET /health``."""
        if self.state.chart_state == "frozen":
            return
        reported = report_health(self.state, self._clock.now_ms())
        self.state = reported.state
        if reported.value:
            self.write(request, 200, encode({"state": reported.value}))
        else:
            self.write(request, 500, Refusal("failure").body())

    def load(self, request: Request) -> None:
        """Answer ``GET /load``."""
        if self.state.chart_state == "frozen":
            return
        reported = report_load(self.state, self._clock.now_ms())
        self.state = reported.state
        if reported.value:
            self.write(request, 200, encode({"load": float(reported.value)}))
        else:
            self.write(request, 404, Refusal("absent").body())

    def counts(self) -> dict[str, Any]:
        """Return what ``GET /counts`` gives."""
        return {
            "target_id": self.state.spec.target_id,
            "state": self.state.chart_state,
            "in_flight": len(self.state.in_flight),
            "connections": self.state.open_connections,
            **to_builtins(self.state.counts, enc_hook=dict),
        }

    def write(
        self, request: Request, status: int, body: bytes, request_id: str = "", closes: bool = False
    ) -> None:
        """Write a reply with the headers that every reply carries."""
        request.setResponseCode(status)
        headers = request.responseHeaders
        headers.setRawHeaders("content-type", ["application/json"])
        headers.setRawHeaders("content-length", [str(len(body))])
        headers.setRawHeaders("x-snapshots", [self.state.behaviour.snapshots])
        echoed = request_id or request.getHeader("x-request-id") or ""
        headers.setRawHeaders("x-request-id", [echoed])
        reported = report_load(self.state, self._clock.now_ms())
        self.state = reported.state
        if reported.value:
            headers.setRawHeaders("x-load", [reported.value])
        if closes:
            headers.setRawHeaders("connection", ["close"])
        request.write(body)
        request.finish()

    def _close_port(self) -> None:
        """Refuse connections, as the address of a process that has ended does."""
        if self._port is not None:
            self._number = self._port.getHost().port
            self._port.stopListening()
            self._is_closed = True

    def _open_port(self) -> None:
        self._port = self._reactor.listenTCP(self._number, self._site, interface=self._host)
        self._is_closed = False

    def _perform_all(self, effects: tuple[object, ...]) -> None:
        for effect in effects:
            self._perform(effect)  # type: ignore[arg-type]

    def _perform(self, effect: TargetEffect) -> None:
        match effect:
            case Reply(exchange=exchange, request_id=request_id, status=status, body=body):
                request = self._exchanges.pop(exchange, None)
                if request is not None:
                    self.write(request, status, body, request_id, effect.closes)
            case ScheduleEvent(at_ms=at_ms, event=event):
                delay_ms = max(0.0, at_ms - self._clock.now_ms())
                self._reactor.callLater(delay_ms / 1000.0, self.feed, event)
            case DropConnections(exits=exits):
                self._exchanges.clear()
                self._site.drop()
                self._close_port()
                if exits:
                    self._exit_process()


class TargetResource(Resource):
    """Routes HTTP requests to a `TargetServer`."""

    isLeaf = True

    def __init__(self, server: TargetServer) -> None:
        super().__init__()
        self._server = server

    def render(self, request: Request) -> Any:
        """Take one HTTP request."""
        body = request.content.read() if request.content else b""
        match request.method.decode(), *request.path.decode().strip("/").split("/"):
            case "POST", "v1", "search", _:
                snapshot = request.getHeader("x-snapshot") or ""
                self._server.begin(request, SearchWork(snapshot, body))
            case "POST", "v1", "route", route:
                key = request.getHeader("idempotency-key") or ""
                self._server.begin(request, RouteWork(route, key, body))
            case "DELETE", "v1", "requests", request_id:
                self._server.feed(CancelRequested(request_id))
                request.setResponseCode(204)
                echoed = request.getHeader("x-request-id") or ""
                request.responseHeaders.setRawHeaders("x-request-id", [echoed])
                request.finish()
            case "GET", "health":
                self._server.health(request)
            case "GET", "load":
                self._server.load(request)
            case "GET", "counts":
                self._server.write(request, 200, encode(self._server.counts()))
            case "POST", "switches":
                switched = switch(self._server, body)
                if request.channel is not None:
                    self._server.write(request, switched.status, switched.body)
            case _:
                self._server.write(request, 404, Refusal("unknown path").body())
        return NOT_DONE_YET


class ControlResource(Resource):
    """Switches and counts of every target of the process, outside of their connection limits."""

    isLeaf = True

    def __init__(self, servers: list[TargetServer]) -> None:
        super().__init__()
        self._servers = servers

    def render(self, request: Request) -> bytes:
        """Take one HTTP request; ``?target=ID`` names one target, otherwise all are meant."""
        names = [name.decode() for name in request.args.get(b"target", [])]
        chosen = [
            server for server in self._servers if not names or server.state.spec.target_id in names
        ]
        request.responseHeaders.setRawHeaders("content-type", ["application/json"])
        match request.method, request.path:
            case b"GET", b"/counts":
                return encode({"targets": [server.counts() for server in chosen]})
            case b"POST", b"/switches":
                body = request.content.read() if request.content else b""
                answers = [switch(server, body) for server in chosen]
                worst = max(answers, key=lambda answer: answer.status, default=Answer(404, b"{}"))
                request.setResponseCode(worst.status)
                return worst.body
            case _:
                request.setResponseCode(404)
                return Refusal("unknown path").body()


@dataclass(frozen=True, slots=True)
class Answer:
    """Status and body of an HTTP reply."""

    status: int
    body: bytes


def switch(server: TargetServer, body: bytes) -> Answer:
    """Change a target as ``POST /switches`` asks."""
    switches = read_switches(body, server.state.behaviour)
    if switches.findings:
        detail = "; ".join(str(finding) for finding in switches.findings)
        return Answer(400, encode({"reason": "switches", "detail": detail}))
    for event in switches.events:
        server.feed(event)
    return Answer(200, b"{}")


class LimitedSite(Site):
    """A site that closes connections above the target's limit at once."""

    def __init__(self, server: TargetServer) -> None:
        super().__init__(Resource(), timeout=None)
        self._server = server
        self._transports: dict[Any, Any] = {}

    def log(self, request: Any) -> None:
        """Write no access log."""

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Accept a connection, or refuse it above the limit or while the target is down."""
        if not self._server.is_reachable():
            return None
        if len(self._transports) >= self._server.state.spec.connection_limit:
            self._server.feed(ConnectionsCounted(len(self._transports), refused=True))
            return None
        protocol = super().buildProtocol(addr)
        self._track(protocol)
        return protocol

    def drop(self) -> None:
        """Abort every connection."""
        for transport in tuple(self._transports.values()):
            transport.abortConnection()

    def _track(self, protocol: Any) -> None:
        made, lost = protocol.makeConnection, protocol.connectionLost
        self._transports[protocol] = None

        def remember(transport: Any) -> None:
            self._transports[protocol] = transport
            self._server.feed(ConnectionsCounted(len(self._transports)))
            made(transport)

        def forget(reason: Any) -> None:
            self._transports.pop(protocol, None)
            self._server.feed(ConnectionsCounted(len(self._transports)))
            lost(reason)

        protocol.makeConnection = remember
        protocol.connectionLost = forget
