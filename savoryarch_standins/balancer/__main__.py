"""Runs the balancer: ``python -m savoryarch_standins.balancer --port 0 --admin-port 0``."""

from typing import Any

import fire
from twisted.internet import reactor as default_reactor
from twisted.web.server import Site

from savoryarch_standins.balancer._app import Balancer


def serve(host: str = "127.0.0.1", port: int = 0, admin_port: int = 0) -> None:
    """Pass connections of callers to entry instances until the process is stopped.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        TCP port for callers; 0 selects a free one.
    admin_port : int
        TCP port of the HTTP interface for switches; 0 selects a free one.
    """
    reactor: Any = default_reactor
    balancer = Balancer(reactor)
    listen = reactor.listenTCP
    caller_port = listen(port, balancer.make_factory(), interface=host).getHost().port
    admin_port_number = (
        listen(admin_port, Site(balancer.app.resource()), interface=host).getHost().port
    )
    print(f"ready host={host} port={caller_port} admin_port={admin_port_number}", flush=True)
    reactor.run()


if __name__ == "__main__":
    fire.Fire(serve)
