"""The balancer: readiness checks, choice of entry instances, and the HTTP interface."""

from itertools import count
from typing import Any

import msgspec
import treq
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall
from twisted.web.client import Agent
from twisted.web.http import Request

from savoryarch_standins.balancer._proxy import ProxyFactory

MS_PER_S = 1000.0
CHECK_TIMEOUT_S = 1.0
READY_STATUS = 200


class Entry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address that an entry instance listens on for callers."""

    host: str
    port: int


class BalancerSwitches(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Switches that a test can set; fields that are None keep their value.

    Parameters
    ----------
    entries : tuple of Entry, optional
        Entry instances to check.
    check_interval_ms : float, optional
        Interval of the checks.
    lag_ms : float, optional
        Delay until the balancer acts on the result of a check.
    """

    entries: tuple[Entry, ...] | None = None
    check_interval_ms: float | None = None
    lag_ms: float | None = None


class Balancer:
    """Passes connections in round-robin order to the entries whose last check succeeded.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    """

    app = Klein()

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._agent: Any = Agent(reactor, connectTimeout=CHECK_TIMEOUT_S)
        self._switches = BalancerSwitches((), 1000.0, 0.0)
        self._ready_set: frozenset[Entry] = frozenset()
        self._choice_counter = count()
        self._pending_waits: list[tuple[frozenset[Entry], Deferred]] = []
        self._check_loop = LoopingCall(self._check_entries)
        self._check_loop.clock = reactor

    def make_factory(self) -> ProxyFactory:
        """Return the factory that accepts the connections of callers."""
        return ProxyFactory(self._reactor, self._choose_address)

    @app.route("/ready", methods=["GET"])
    def list_ready(self, request: Request) -> bytes:
        """Return the entries that get connections at present."""
        return msgspec.json.encode({"ready": self._ready_entries()})

    @app.route("/switches", methods=["POST"])
    def set_switches(self, request: Any) -> bytes:
        """Set the switches that the body names and restart the checks; 422 if it is invalid."""
        try:
            requested = msgspec.json.decode(request.content.read(), type=BalancerSwitches)
        except msgspec.MsgspecError as error:
            request.setResponseCode(422)
            return msgspec.json.encode({"reason": str(error)})
        changes = {
            name: value
            for name, value in msgspec.structs.asdict(requested).items()
            if value is not None
        }
        self._switches = msgspec.structs.replace(self._switches, **changes)
        if self._check_loop.running:
            self._check_loop.stop()
        self._check_loop.start((self._switches.check_interval_ms or 0.0) / MS_PER_S)
        return b"{}"

    @app.route("/wait", methods=["POST"])
    def wait_until_ready(self, request: Any) -> Deferred:
        """Reply as soon as exactly the entries in the body get connections."""
        expected_entries = msgspec.json.decode(request.content.read(), type=frozenset[Entry])
        response: Deferred = Deferred()
        self._pending_waits.append((expected_entries, response))
        self._complete_waits()
        return response

    def _complete_waits(self) -> None:
        ready_entries = frozenset(self._ready_entries())
        completed = [
            response
            for expected_entries, response in self._pending_waits
            if expected_entries == ready_entries
        ]
        self._pending_waits = [wait for wait in self._pending_waits if wait[0] != ready_entries]
        for response in completed:
            response.callback(b"{}")

    def _ready_entries(self) -> list[Entry]:
        return [entry for entry in self._switches.entries or () if entry in self._ready_set]

    def _choose_address(self) -> tuple[str, int] | None:
        entries = self._ready_entries()
        if not entries:
            return None
        entry = entries[next(self._choice_counter) % len(entries)]
        return entry.host, entry.port

    def _check_entries(self) -> None:
        for entry in self._switches.entries or ():
            self._check_entry(entry)

    def _check_entry(self, entry: Entry) -> None:
        url = f"http://{entry.host}:{entry.port}/ready"
        response: Deferred = treq.get(
            url, agent=self._agent, timeout=CHECK_TIMEOUT_S, reactor=self._reactor
        )
        response.addCallback(_read_status)
        response.addCallbacks(
            lambda code: self._record_readiness_after_lag(entry, code == READY_STATUS),
            lambda failure: self._record_readiness_after_lag(entry, False),
        )

    def _record_readiness_after_lag(self, entry: Entry, is_ready: bool) -> None:
        self._reactor.callLater(
            (self._switches.lag_ms or 0.0) / MS_PER_S, self._record_readiness, entry, is_ready
        )

    def _record_readiness(self, entry: Entry, is_ready: bool) -> None:
        self._ready_set = self._ready_set | {entry} if is_ready else self._ready_set - {entry}
        self._complete_waits()


def _read_status(response: Any) -> Deferred:
    body: Deferred = treq.content(response)
    return body.addCallback(lambda body: response.code)
