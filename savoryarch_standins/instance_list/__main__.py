"""Runs the instance list: ``python -m savoryarch_standins.instance_list --port 0``."""

from typing import Any

import fire
from twisted.internet import reactor as default_reactor
from twisted.web.server import Site

from savoryarch_standins.instance_list._app import InstanceList


def serve(host: str = "127.0.0.1", port: int = 0) -> None:
    """Serve the instance list until the process is stopped.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        TCP port; 0 selects a free one.
    """
    reactor: Any = default_reactor
    listening_port = reactor.listenTCP(
        port, Site(InstanceList(reactor).app.resource()), interface=host
    )
    print(f"ready host={host} port={listening_port.getHost().port}", flush=True)
    reactor.run()


if __name__ == "__main__":
    fire.Fire(serve)
