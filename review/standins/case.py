"""Runs a case: the exit code is 1 if the rule was broken, 0 if it held, 2 if it could not run."""

import asyncio
import json
import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.record import Record

MAX_RUN_S = 110.0
ROUTE_HOST = "leno12.example"
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 262144,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}


def has_trouble() -> bool:
    """Return whether the disruption is to be caused."""
    return os.environ.get("TROUBLE", "1") != "0"


def make_route(name: str, prefix: str, service: str, *, idempotent: bool, **fields: object) -> dict:
    """Return a route to one service, with the times of the site's single-backend requests."""
    return {
        "name": name,
        "host": ROUTE_HOST,
        "path-prefix": prefix,
        "type": "idempotent" if idempotent else "non_idempotent",
        "timeout-ms": 6000,
        "slo-ms": 400,
        "priority": 2,
        "service": service,
        "max-attempts": 2,
        **fields,
    }


def encode_config(version: int, routes: list[dict]) -> bytes:
    """Return the value of ``op/config``."""
    names = sorted({route["service"] for route in routes})
    services = [{"name": name, "health-path": "/health", "max-conns": 110} for name in names]
    config = {"version": version, "routes": routes, "services": services, "limits": LIMITS}
    return json.dumps(config).encode()


def run_case(folder: Path, play: Callable[[Record], Awaitable[list[str]]]) -> None:
    """Play a case and exit.

    Parameters
    ----------
    folder : Path
        Folder of the case, which gets ``record.txt``.
    play : callable
        Plays the case and returns a line for each way in which the rule was broken.
    """
    record = Record(folder / "record.txt")
    record.write(f"TROUBLE={int(has_trouble())}")

    async def play_in_time() -> list[str]:
        async with asyncio.timeout(MAX_RUN_S):
            return await play(record)

    try:
        breaches = asyncio.run(play_in_time())
    except Exception as error:  # an error of the stand-ins must not look like a broken rule
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    for line in breaches[:20]:
        record.write(f"BROKEN {line}")
    verdict = f"rule broken {len(breaches)} times" if breaches else "rule held"
    record.write(verdict)
    print(verdict)
    sys.exit(1 if breaches else 0)
