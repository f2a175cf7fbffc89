"""The balancer: which entry instances are ready, and the switches."""

from itertools import count
from typing import Any

import msgspec
import treq
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall
from twisted.web.client import Agent
from twisted.web.http import Request

from savoryarch_standins.balancer._passing import PassingFactory

MS_PER_S = 1000.0
CHECK_TIMEOUT_S = 1.0
READY = 200


class Entry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The caller address of an entry instance."""

    host: str
    port: int


class BalancerSwitches(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a test may switch; absent fields stay as they are.

    Parameters
    ----------
    entries : tuple of Entry, optional
        The entry instances that are checked.
    check_interval_ms : float, optional
        Time between two checks of an instance.
    lag_ms : float, optional
        Time until the result of a check counts.
    """

    entries: tuple[Entry, ...] | None = None
    check_interval_ms: float | None = None
    lag_ms: float | None = None


class Balancer:
    """Passes connections, in turn, to the entries whose last check said that they are ready.

    Parameters
    ----------
    reactor : object
        The reactor.
    """

    app = Klein()

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._agent: Any = Agent(reactor, connectTimeout=CHECK_TIMEOUT_S)
        self._switches = BalancerSwitches((), 1000.0, 0.0)
        self._ready: frozenset[Entry] = frozenset()
        self._turn = count()
        self._waiting: list[tuple[frozenset[Entry], Deferred]] = []
        self._checking = LoopingCall(self._check)
        self._checking.clock = reactor

    def make_factory(self) -> PassingFactory:
        """Make the factory that listens for callers."""
        return PassingFactory(self._reactor, self._choose)

    @app.route("/ready", methods=["GET"])
    def ready(self, request: Request) -> bytes:
        """Reply with the entries that get connections now."""
        return msgspec.json.encode({"ready": self._ready_entries()})

    @app.route("/switches", methods=["POST"])
    def set_switches(self, request: Any) -> bytes:
        """Set the switches that the body names."""
        try:
            asked = msgspec.json.decode(request.content.read(), type=BalancerSwitches)
        except msgspec.MsgspecError as error:
            request.setResponseCode(422)
            return msgspec.json.encode({"reason": str(error)})
        given = {
            name: value
            for name, value in msgspec.structs.asdict(asked).items()
            if value is not None
        }
        self._switches = msgspec.structs.replace(self._switches, **given)
        if self._checking.running:
            self._checking.stop()
        self._checking.start((self._switches.check_interval_ms or 0.0) / MS_PER_S)
        return b"{}"

    @app.route("/wait", methods=["POST"])
    def wait(self, request: Any) -> Deferred:
        """Reply when the entries that get connections are exactly those in the body."""
        wanted = msgspec.json.decode(request.content.read(), type=frozenset[Entry])
        waiting: Deferred = Deferred()
        self._waiting.append((wanted, waiting))
        self._tell_waiting()
        return waiting

    def _tell_waiting(self) -> None:
        ready = frozenset(self._ready_entries())
        told = [waiting for wanted, waiting in self._waiting if wanted == ready]
        self._waiting = [entry for entry in self._waiting if entry[0] != ready]
        for waiting in told:
            waiting.callback(b"{}")

    def _ready_entries(self) -> list[Entry]:
        return [entry for entry in self._switches.entries or () if entry in self._ready]

    def _choose(self) -> tuple[str, int] | None:
        entries = self._ready_entries()
        if not entries:
            return None
        entry = entries[next(self._turn) % len(entries)]
        return entry.host, entry.port

    def _check(self) -> None:
        for entry in self._switches.entries or ():
            self._check_one(entry)

    def _check_one(self, entry: Entry) -> None:
        url = f"http://{entry.host}:{entry.port}/ready"
        checked: Deferred = treq.get(
            url, agent=self._agent, timeout=CHECK_TIMEOUT_S, reactor=self._reactor
        )
        checked.addCallback(_drain)
        checked.addCallbacks(
            lambda code: self._note_after_lag(entry, code == READY),
            lambda failure: self._note_after_lag(entry, False),
        )

    def _note_after_lag(self, entry: Entry, is_ready: bool) -> None:
        self._reactor.callLater(
            (self._switches.lag_ms or 0.0) / MS_PER_S, self._note, entry, is_ready
        )

    def _note(self, entry: Entry, is_ready: bool) -> None:
        self._ready = self._ready | {entry} if is_ready else self._ready - {entry}
        self._tell_waiting()


def _drain(response: Any) -> Deferred:
    drained: Deferred = treq.content(response)
    return drained.addCallback(lambda body: response.code)
