"""Runs target stand-ins: ``python -m savoryarch_standins.target --settings FILE``."""

import os
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

from fire import Fire
from twisted.internet import reactor as default_reactor
from twisted.web.server import Site

from savoryarch.utils import format_findings, make_monotonic_clock
from savoryarch_standins.target._model import TargetSpec
from savoryarch_standins.target._server import ControlResource, TargetResource, TargetServer
from savoryarch_standins.target._settings import TargetsSettings, read_settings

_CRASH_EXIT_CODE = 70

reactor: Any = default_reactor


def serve(settings: str, target: str = "", port: int = 0, seed: int = 0) -> None:
    """Serve target stand-ins until the process is stopped.

    Parameters
    ----------
    settings : str
        Path of an INI file; ``savoryarch_standins/target/_settings.py`` describes its sections.
    target : str
        Target ids, separated by commas; all declared targets are served if empty.
    port : int
        TCP port; if not 0, only the first of these targets is served, on this port.
    seed : int
        Seed of the random draws; 0 takes that of the settings.
    """
    path = Path(settings)
    result = read_settings(path.read_text(encoding="utf-8"), path.name)
    if result.findings:
        sys.exit(format_findings(result.findings))
    target_ids = str(target).split(",") if target else []
    specs = [
        spec for spec in result.settings.specs if not target_ids or spec.target_id in target_ids
    ]
    if not specs:
        sys.exit(f"target {target!r} is not declared in {settings}")
    if port:
        specs = [replace(specs[0], port=port)]
    _start_servers(result.settings, specs, seed or result.settings.standin.seed)
    reactor.run()


def _start_servers(settings: TargetsSettings, specs: list[TargetSpec], seed: int) -> None:
    host = settings.standin.host
    clock = make_monotonic_clock()
    servers: list[TargetServer] = []
    ports: list[str] = []
    for spec in specs:
        server = TargetServer(
            spec, settings.behaviour, seed, reactor, clock, lambda: os._exit(_CRASH_EXIT_CODE)
        )
        server.set_resource(TargetResource(server))
        servers.append(server)
        ports.append(f"{spec.target_id}:{server.listen(host)}")
    control_port = (
        reactor.listenTCP(0, Site(ControlResource(servers)), interface=host).getHost().port
    )
    print(f"ready host={host} ports={','.join(ports)} control={control_port}", flush=True)


if __name__ == "__main__":
    Fire(serve)
