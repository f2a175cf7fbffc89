"""Serves target stand-ins over HTTP, with a control endpoint for all of them."""

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
    ConnectionCountChanged,
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
    """A target stand-in and the port that it listens on.

    Parameters
    ----------
    spec : TargetSpec
        The declared target.
    behaviour : Behaviour
        Its behaviour at the start.
    seed : int
        Seed of its random draws.
    reactor : object
        Twisted's reactor.
    clock : Clock
        Clock that deadlines and timers refer to.
    exit_process : callable
        Called after a crash if the behaviour says that crashes end the process.
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
        # An exchange id identifies an HTTP request that waits for its reply. Request ids do not,
        # because senders choose them.
        self._requests_by_exchange_id: dict[int, Request] = {}
        self._last_exchange_id = 0
        self._site = LimitedSite(self)
        self._host, self._port_number = "", 0
        self._listening_port: Any = None
        self._is_port_closed = False
        step = make_target(spec, behaviour, seed, clock.now_ms())
        self.state: TargetStandinState = step.state
        self._perform_all(step.effects)

    def listen(self, host: str) -> int:
        """Listen on the declared port at an IP address and return the port number."""
        self._host = host
        self._listening_port = self._reactor.listenTCP(
            self.state.spec.port, self._site, interface=host
        )
        return int(self._listening_port.getHost().port)

    def set_resource(self, resource: Resource) -> None:
        """Set the resource that answers the requests on the port."""
        self._site.resource = resource

    def feed(self, event: TargetEvent) -> None:
        """Decide on an event and perform the effects; reopens the port after a restart."""
        step = decide_target(self.state, event, self._clock.now_ms())
        self.state = step.state
        self._perform_all(step.effects)
        if self._is_port_closed and self.is_reachable():
            self._open_port()

    def is_reachable(self) -> bool:
        """Return whether the target accepts connections."""
        return self.state.chart_state != "down"

    def start_request(self, request: Request, work: SearchWork | RouteWork) -> None:
        """Pass a search or a route request to the target, which replies to it later."""
        self._last_exchange_id += 1
        exchange_id = self._last_exchange_id
        self._requests_by_exchange_id[exchange_id] = request
        request.notifyFinish().addBoth(lambda _: self._requests_by_exchange_id.pop(exchange_id, None))
        time_left_ms = float(request.getHeader("x-deadline-ms") or _DEFAULT_DEADLINE_MS)
        request_id = request.getHeader("x-request-id") or ""
        self.feed(
            RequestReceived(exchange_id, request_id, self._clock.now_ms() + time_left_ms, work)
        )

    def reply_health(self, request: Request) -> None:
        """Reply to ``GET /health``, unless the target is frozen."""
        if self.state.chart_state == "frozen":
            return
        reported = report_health(self.state, self._clock.now_ms())
        self.state = reported.state
        if reported.value:
            self.write_reply(request, 200, encode({"state": reported.value}))
        else:
            self.write_reply(request, 500, Refusal("failure").encode())

    def reply_load(self, request: Request) -> None:
        """Reply to ``GET /load``, unless the target is frozen."""
        if self.state.chart_state == "frozen":
            return
        reported = report_load(self.state, self._clock.now_ms())
        self.state = reported.state
        if reported.value:
            self.write_reply(request, 200, encode({"load": float(reported.value)}))
        else:
            self.write_reply(request, 404, Refusal("absent").encode())

    def read_counts(self) -> dict[str, Any]:
        """Return the counters and the present state, as the body of ``GET /counts``."""
        return {
            "target_id": self.state.spec.target_id,
            "state": self.state.chart_state,
            "in_flight": len(self.state.in_flight),
            "connections": self.state.open_connections,
            **to_builtins(self.state.counts, enc_hook=dict),
        }

    def write_reply(
        self,
        request: Request,
        status: int,
        body: bytes,
        request_id: str = "",
        closes_connection: bool = False,
    ) -> None:
        """Write a reply with the headers that all replies have.

        Parameters
        ----------
        request : Request
            The HTTP request to reply to.
        status : int
            HTTP status.
        body : bytes
            JSON body.
        request_id : str
            Value of ``x-request-id``; that of the request if empty.
        closes_connection : bool
            Whether the reply announces that the connection will be closed.
        """
        request.setResponseCode(status)
        headers = request.responseHeaders
        headers.setRawHeaders("content-type", ["application/json"])
        headers.setRawHeaders("content-length", [str(len(body))])
        headers.setRawHeaders("x-snapshots", [self.state.behaviour.snapshots])
        echoed_request_id = request_id or request.getHeader("x-request-id") or ""
        headers.setRawHeaders("x-request-id", [echoed_request_id])
        reported = report_load(self.state, self._clock.now_ms())
        self.state = reported.state
        if reported.value:
            headers.setRawHeaders("x-load", [reported.value])
        if closes_connection:
            headers.setRawHeaders("connection", ["close"])
        request.write(body)
        request.finish()

    def _close_port(self) -> None:
        """Stop listening, so that connections are refused as after the end of a process."""
        if self._listening_port is not None:
            self._port_number = self._listening_port.getHost().port
            self._listening_port.stopListening()
            self._is_port_closed = True

    def _open_port(self) -> None:
        """Listen again on the port that was closed."""
        self._listening_port = self._reactor.listenTCP(
            self._port_number, self._site, interface=self._host
        )
        self._is_port_closed = False

    def _perform_all(self, effects: tuple[object, ...]) -> None:
        for effect in effects:
            self._perform(effect)  # type: ignore[arg-type]

    def _perform(self, effect: TargetEffect) -> None:
        match effect:
            case Reply(exchange_id=exchange_id, request_id=request_id, status=status, body=body):
                request = self._requests_by_exchange_id.pop(exchange_id, None)
                if request is not None:
                    self.write_reply(request, status, body, request_id, effect.closes_connection)
            case ScheduleEvent(at_ms=at_ms, event=event):
                delay_ms = max(0.0, at_ms - self._clock.now_ms())
                self._reactor.callLater(delay_ms / 1000.0, self.feed, event)
            case DropConnections(exits_process=exits_process):
                self._requests_by_exchange_id.clear()
                self._site.abort_connections()
                self._close_port()
                if exits_process:
                    self._exit_process()


class TargetResource(Resource):
    """Routes HTTP requests to a `TargetServer`."""

    isLeaf = True

    def __init__(self, server: TargetServer) -> None:
        super().__init__()
        self._server = server

    def render(self, request: Request) -> Any:
        """Handle one HTTP request; searches and route requests are answered later."""
        body = request.content.read() if request.content else b""
        match request.method.decode(), *request.path.decode().strip("/").split("/"):
            case "POST", "v1", "search", _:
                snapshot = request.getHeader("x-snapshot") or ""
                self._server.start_request(request, SearchWork(snapshot, body))
            case "POST", "v1", "route", route:
                key = request.getHeader("idempotency-key") or ""
                self._server.start_request(request, RouteWork(route, key, body))
            case "DELETE", "v1", "requests", request_id:
                self._server.feed(CancelRequested(request_id))
                request.setResponseCode(204)
                echoed_request_id = request.getHeader("x-request-id") or ""
                request.responseHeaders.setRawHeaders("x-request-id", [echoed_request_id])
                request.finish()
            case "GET", "health":
                self._server.reply_health(request)
            case "GET", "load":
                self._server.reply_load(request)
            case "GET", "counts":
                self._server.write_reply(request, 200, encode(self._server.read_counts()))
            case "POST", "switches":
                reply = apply_switches(self._server, body)
                # The channel is None if a switch made the target crash, which aborts the connection.
                if request.channel is not None:
                    self._server.write_reply(request, reply.status, reply.body)
            case _:
                self._server.write_reply(request, 404, Refusal("unknown path").encode())
        return NOT_DONE_YET


class ControlResource(Resource):
    """Switches and counters of all targets of the process, on a port without connection limit."""

    isLeaf = True

    def __init__(self, servers: list[TargetServer]) -> None:
        super().__init__()
        self._servers = servers

    def render(self, request: Request) -> bytes:
        """Handle one HTTP request, which is for all targets or for those in ``?target=ID``."""
        target_ids = [name.decode() for name in request.args.get(b"target", [])]
        selected_servers = [
            server
            for server in self._servers
            if not target_ids or server.state.spec.target_id in target_ids
        ]
        request.responseHeaders.setRawHeaders("content-type", ["application/json"])
        match request.method, request.path:
            case b"GET", b"/counts":
                return encode({"targets": [server.read_counts() for server in selected_servers]})
            case b"POST", b"/switches":
                body = request.content.read() if request.content else b""
                replies = [apply_switches(server, body) for server in selected_servers]
                # The reply with the highest status, so that an error at any target is returned.
                reply = max(
                    replies, key=lambda answer: answer.status, default=HttpReply(404, b"{}")
                )
                request.setResponseCode(reply.status)
                return reply.body
            case _:
                request.setResponseCode(404)
                return Refusal("unknown path").encode()


@dataclass(frozen=True, slots=True)
class HttpReply:
    """Status and body of an HTTP reply."""

    status: int
    body: bytes


def apply_switches(server: TargetServer, body: bytes) -> HttpReply:
    """Apply the body of ``POST /switches`` to a target; changes nothing if it is invalid."""
    switches = read_switches(body, server.state.behaviour)
    if switches.findings:
        detail = "; ".join(str(finding) for finding in switches.findings)
        return HttpReply(400, encode({"reason": "switches", "detail": detail}))
    for event in switches.events:
        server.feed(event)
    return HttpReply(200, b"{}")


class LimitedSite(Site):
    """An HTTP site that closes connections above the limit of its target immediately."""

    def __init__(self, server: TargetServer) -> None:
        super().__init__(Resource(), timeout=None)
        self._server = server
        self._transports: dict[Any, Any] = {}

    def log(self, request: Any) -> None:
        """Override the access log of Twisted, so that none is written."""

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Return a protocol, or None to close the connection at the limit or while down."""
        if not self._server.is_reachable():
            return None
        if len(self._transports) >= self._server.state.spec.connection_limit:
            self._server.feed(ConnectionCountChanged(len(self._transports), is_refused=True))
            return None
        protocol = super().buildProtocol(addr)
        self._track(protocol)
        return protocol

    def abort_connections(self) -> None:
        """Abort every connection."""
        for transport in tuple(self._transports.values()):
            transport.abortConnection()

    def _track(self, protocol: Any) -> None:
        """Wrap the methods of a protocol so that the target gets the number of open connections."""
        make_connection, connection_lost = protocol.makeConnection, protocol.connectionLost
        self._transports[protocol] = None

        def on_connected(transport: Any) -> None:
            self._transports[protocol] = transport
            self._server.feed(ConnectionCountChanged(len(self._transports)))
            make_connection(transport)

        def on_disconnected(reason: Any) -> None:
            self._transports.pop(protocol, None)
            self._server.feed(ConnectionCountChanged(len(self._transports)))
            connection_lost(reason)

        protocol.makeConnection = on_connected
        protocol.connectionLost = on_disconnected
