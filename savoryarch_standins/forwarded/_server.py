"""Serves targets of forwarded requests over HTTP."""

from collections.abc import Callable
from dataclasses import replace
from importlib.resources import files
from typing import Any

from twisted.internet.protocol import Factory, Protocol
from xxhash import xxh3_64_intdigest

from savoryarch.charts import parse_chart
from savoryarch.front import ParsedRequest, RequestParser
from savoryarch.model.forwarding import FrontLimits
from savoryarch.utils import Clock
from savoryarch_standins.forwarded._bodies import make_digest, make_target_body
from savoryarch_standins.forwarded._model import Arrival, TargetPlan, TargetState, TargetSwitches
from savoryarch_standins.forwarded._registrar import Registrar
from savoryarch_standins.forwarded._wire import TargetReply, encode_reply, read_request_headers

ACTIONS = frozenset({"bear", "close_port", "drop", "open_port", "register"})
CHART = parse_chart(
    files("savoryarch_standins.forwarded")
    .joinpath("forwarded_target.ini")
    .read_text(encoding="utf-8"),
    "forwarded_target.ini",
    ACTIONS,
)
LEAVING = "leaving"  # state in the chart
MAX_RUNNING_PER_SLOT = 2  # a target refuses requests while this many are running for each slot
_DRAW_RANGE = 1 << 32
_MS_PER_S = 1000.0
_PARSER_LIMITS = FrontLimits()


class TargetServer(Factory):
    """A target, which accepts connections and runs requests.

    Parameters
    ----------
    plan : TargetPlan
        The declared target.
    registered_port : int
        Port to register, which may be that of a proxy; 0 registers the port that is listened on.
    reactor : object
        Twisted's reactor.
    clock : Clock
        Monotonic clock for the times of arrivals.
    wall_clock : Clock
        Clock for the registered start time.
    registrar : Registrar
        Writes the registration of the target.
    record_arrival : callable
        Called with an `Arrival` for each request that reaches the target.
    """

    noisy = False

    def __init__(
        self,
        plan: TargetPlan,
        registered_port: int,
        reactor: Any,
        clock: Clock,
        wall_clock: Clock,
        registrar: Registrar,
        record_arrival: Callable[[Arrival], None],
    ) -> None:
        self.state = TargetState(plan, CHART.initial, int(wall_clock.now_ms()))
        self.switches = TargetSwitches()
        self.reactor = reactor
        self._registered_port = registered_port
        self._clock = clock
        self._wall_clock = wall_clock
        self._registrar = registrar
        self._record_arrival = record_arrival
        self._connections: set[TargetConnection] = set()
        self._listening_port: Any = None
        self._port_number = 0

    def listen(self, host: str) -> int:
        """Listen at an IP address, register the target and return the port number."""
        self._host = host
        self._open_port()
        self._register()
        self._registrar.start_renewing()
        return self._port_number

    def step_chart(self, event: str) -> None:
        """Handle an event of the chart ``forwarded_target``.

        Each action of the chart is performed by the method with its name.
        """
        transition = CHART.step(self.state.chart_state, event)
        self.state = replace(self.state, chart_state=transition.next_state)
        for action in transition.actions:
            getattr(self, f"_{action}")()

    def buildProtocol(self, addr: Any) -> Protocol | None:  # noqa: N802
        """Return a protocol for a connection, or None at the limit; called by Twisted."""
        if len(self._connections) >= self.state.plan.connection_limit:
            # A peak above the limit shows that a connection was refused.
            self.state = replace(self.state, max_connections=len(self._connections) + 1)
            return None
        connection = TargetConnection(self)
        self._connections.add(connection)
        max_connections = max(self.state.max_connections, len(self._connections))
        self.state = replace(self.state, max_connections=max_connections)
        return connection

    def remove_connection(self, connection: "TargetConnection") -> None:
        """Remove a closed connection from the open ones."""
        self._connections.discard(connection)

    def handle_request(self, connection: "TargetConnection", parsed: ParsedRequest) -> None:
        """Run a request, or refuse it.

        Requests for another target get status 421 and are not recorded as arrivals. A request with
        the crash word in its path crashes the target, which restarts after one second.
        """
        headers = read_request_headers(parsed)
        plan, switches = self.state.plan, self.switches
        if headers.expected_target not in ("", plan.name):
            connection.send_reply(encode_reply(TargetReply(421, headers.request_id)))
            return
        is_full = self.state.running_count >= MAX_RUNNING_PER_SLOT * plan.slots
        is_refused = is_full or self._draw_uniform() < switches.refuse_share
        leaving = self.state.chart_state == LEAVING
        self._record_arrival(
            Arrival(
                at_ms=self._clock.now_ms(),
                target=plan.name,
                service=plan.service,
                request_id=headers.request_id,
                ran=not is_refused,
                draining=self.state.chart_state == "draining",
                leaving=leaving,
                hold_ms=switches.hold_ms if is_refused else 0.0,
            )
        )
        if is_refused:
            refusal = TargetReply(
                503, headers.request_id, not_run=True, hold_ms=switches.hold_ms, leaving=leaving
            )
            connection.send_reply(encode_reply(refusal))
            return
        if switches.crash_word and switches.crash_word.encode() in parsed.path:
            self.step_chart("crash")
            self.reactor.callLater(1.0, self.step_chart, "restart")
            return
        self.state = replace(self.state, running_count=self.state.running_count + 1)
        self.reactor.callLater(
            switches.work_ms / _MS_PER_S, self._reply, connection, headers.request_id
        )

    def _reply(self, connection: "TargetConnection", request_id: str) -> None:
        """End a run and reply to it, subject to the switches."""
        self.state = replace(self.state, running_count=self.state.running_count - 1)
        switches, service = self.switches, self.state.plan.service
        body = make_target_body(service, request_id)
        digest, leaving = make_digest(service, request_id, body), self.state.chart_state == LEAVING
        reply = TargetReply(200, request_id, body, digest, leaving=leaving)
        if self._draw_uniform() < switches.silent_share:
            return
        if self._draw_uniform() < switches.fail_share:
            reply = replace(reply, status=500)
        if self._draw_uniform() < switches.garble_share:
            reply = replace(reply, request_id=f"not-{request_id}")
        encoded_reply = encode_reply(reply)
        if self._draw_uniform() < switches.double_share:
            encoded_reply *= 2
        if self._draw_uniform() < switches.cut_share:
            # The body is longer than 7 bytes, so the reply ends within it.
            connection.send_reply(encoded_reply[:-7])
            connection.close()
            return
        connection.send_reply(encoded_reply)
        if switches.drop_idle_ms:
            self.reactor.callLater(
                switches.drop_idle_ms / _MS_PER_S,
                connection.close_if_no_request_since,
                connection.request_count,
            )

    def _draw_uniform(self) -> float:
        """Return the next draw from [0, 1), which depends only on name and draw count."""
        draw_count = self.state.draw_count
        self.state = replace(self.state, draw_count=draw_count + 1)
        return (
            xxh3_64_intdigest(f"{self.state.plan.name}/{draw_count}".encode())
            % _DRAW_RANGE
            / _DRAW_RANGE
        )

    def _open_port(self) -> None:
        """Listen, after a restart on the same port as before."""
        self._listening_port = self.reactor.listenTCP(self._port_number, self, interface=self._host)
        self._port_number = self._listening_port.getHost().port

    def _close_port(self) -> None:
        """Refuse connections and let the registration lapse, as after the end of a process."""
        self._listening_port.stopListening()
        self._registrar.publish({})

    def _drop(self) -> None:
        """Abort all connections."""
        for connection in list(self._connections):
            connection.close()

    def _bear(self) -> None:
        """Record the time of a start, which distinguishes it from the previous incarnation."""
        self.state = replace(self.state, started_at_unix_ms=int(self._wall_clock.now_ms()))

    def _register(self) -> None:
        """Publish the registration with the present state of the target."""
        state = self.state
        self._registrar.publish(
            {
                "service": state.plan.service,
                "address": f"{self._host}:{self._registered_port or self._port_number}",
                "zone": "zone-a",
                "slots": state.plan.slots,
                "state": "draining" if state.chart_state == "draining" else "ready",
                "born": state.started_at_unix_ms,
            }
        )


class TargetConnection(Protocol):
    """A connection of an entry instance."""

    transport: Any = None

    def __init__(self, server: TargetServer) -> None:
        self.request_count = 0
        self._server = server
        self._parser = RequestParser(_PARSER_LIMITS)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes, and close the connection if they are malformed."""
        parsed = self._parser.feed(data)
        if isinstance(parsed, ParsedRequest):
            self.request_count += 1
            self._server.handle_request(self, parsed)
        elif parsed is not None:
            self.close()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Remove the connection from the open ones of the target."""
        self._server.remove_connection(self)

    def send_reply(self, encoded_reply: bytes) -> None:
        """Write a reply, unless the connection has been lost."""
        if self.transport is not None and self.transport.connected:
            self.transport.write(encoded_reply)

    def close(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abortConnection()

    def close_if_no_request_since(self, request_count: int) -> None:
        """Close the connection if it has had no request since it had `request_count`."""
        if self.request_count == request_count:
            self.close()
