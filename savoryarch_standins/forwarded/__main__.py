"""Runs targets of forwarded requests: ``python -m savoryarch_standins.forwarded --help``."""

from typing import Any

import msgspec
from fire import Fire
from klein import Klein
from twisted.internet import reactor as installed_reactor
from twisted.web.server import Request, Site

from savoryarch.platform import decode_store_reply, encode_store_call
from savoryarch.store import StoreClient, StoreSettings
from savoryarch.utils import make_monotonic_clock, make_wall_clock
from savoryarch_standins.forwarded._model import Arrival, TargetPlan, TargetSwitches
from savoryarch_standins.forwarded._registrar import Registrar
from savoryarch_standins.forwarded._server import TargetServer

reactor: Any = installed_reactor


class ControlApp:
    """HTTP interface to set switches, drive the targets and read the recorded arrivals."""

    app = Klein()

    def __init__(self) -> None:
        self.servers: dict[str, TargetServer] = {}
        self.arrivals: list[Arrival] = []

    @app.route("/switches", methods=["POST"])
    def set_switches(self, request: Request) -> bytes:
        """Replace the switches of all targets; fields that the body omits get their defaults."""
        content = request.content.read() if request.content else b"{}"
        switches = msgspec.json.decode(content, type=TargetSwitches)
        for server in self.servers.values():
            server.switches = switches
        return b"{}"

    @app.route("/drive/<name>/<event>", methods=["POST"])
    def drive_target(self, request: Request, name: str, event: str) -> bytes:
        """Trigger an event of the chart ``forwarded_target`` for one target."""
        self.servers[name].step_chart(event)
        return b"{}"

    @app.route("/arrivals", methods=["GET"])
    def report_arrivals(self, request: Request) -> bytes:
        """Return the arrivals from index ``from`` on, and the most open connections by target."""
        first_index = int(request.args.get(b"from", [b"0"])[0])
        max_connections = {name: item.state.max_connections for name, item in self.servers.items()}
        return msgspec.json.encode(
            {"arrivals": self.arrivals[first_index:], "most_connections": max_connections}
        )


def serve(store: str, targets: str, host: str = "127.0.0.1", connection_limit: int = 24) -> None:
    """Serve targets until the process is stopped.

    Parameters
    ----------
    store : str
        Base URL of the store.
    targets : str
        ``NAME:SERVICE:PORT`` of each target, separated by commas. The target registers this port,
        for example that of a proxy, or the one it listens on if it is 0.
    host : str
        IP address to listen on and to register.
    connection_limit : int
        Greatest number of open connections of each target.
    """
    control = ControlApp()
    store_client = StoreClient(StoreSettings(store), reactor, encode_store_call, decode_store_reply)
    clock, wall_clock = make_monotonic_clock(), make_wall_clock()
    ports: list[str] = []
    for declaration in targets.split(",") if isinstance(targets, str) else targets:
        name, service, port = declaration.split(":")
        plan = TargetPlan(name, service, connection_limit=connection_limit)
        server = TargetServer(
            plan,
            int(port),
            reactor,
            clock,
            wall_clock,
            Registrar(store_client, reactor, name),
            control.arrivals.append,
        )
        control.servers[name] = server
        ports.append(f"{name}:{server.listen(host)}")
    control_port = reactor.listenTCP(0, Site(control.app.resource()), interface=host)
    print(
        f"ready host={host} ports={','.join(ports)} control={control_port.getHost().port}",
        flush=True,
    )
    reactor.run()


if __name__ == "__main__":
    Fire(serve)
