"""Runs the store stand-in: ``python -m savoryarch_standins.store --host 127.0.0.1 --port 0``."""

from typing import Any

from fire import Fire
from twisted.internet import reactor as installed_reactor
from twisted.internet.task import LoopingCall
from twisted.web.server import Site

from savoryarch.utils import make_monotonic_clock
from savoryarch_standins.store._server import StoreServer

_LEASE_CHECK_INTERVAL_S = 0.05


def main(host: str = "127.0.0.1", port: int = 0) -> None:
    """Serve the store until the process is stopped.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        TCP port; 0 selects a free one.
    """
    reactor: Any = installed_reactor
    server = StoreServer(reactor, make_monotonic_clock())
    listening_port = reactor.listenTCP(port, Site(server.app.resource()), interface=host)
    LoopingCall(server.expire_overdue_leases).start(_LEASE_CHECK_INTERVAL_S)
    address = listening_port.getHost()
    print(f"ready host={address.host} port={address.port}", flush=True)
    reactor.run()


if __name__ == "__main__":
    Fire(main)
