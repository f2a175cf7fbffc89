"""Encodes the configuration of forwarded routes in a soak."""

import msgspec

from savoryarch_soak._checks import CONNECTION_LIMIT, MINIMUM_COVERAGE, TOP_RECORDS
from savoryarch_soak._plan import service_names

TIMEOUT_MS = 2000.0
LATENCY_OBJECTIVE_MS = 150.0


def make_route_table(version: int, shards: tuple[str, ...], host: str) -> bytes:
    """Return the value of the store's configuration key, as JSON.

    Parameters
    ----------
    version : int
        Version of the configuration.
    shards : tuple of str
        Services that the route ``find`` searches.
    host : str
        Host that requests of the routes name in their header ``host``.
    """
    common: dict[str, object] = {
        "host": host,
        "timeout-ms": TIMEOUT_MS,
        "slo-ms": LATENCY_OBJECTIVE_MS,
    }
    routes: list[dict[str, object]] = [
        {"name": "read", "path-prefix": "/read/", "type": "idempotent", "service": "shop"},
        {"name": "order", "path-prefix": "/order/", "type": "non_idempotent", "service": "till"},
        {
            "name": "find",
            "path-prefix": "/find/",
            "type": "idempotent",
            "gather": list(shards),
            "top-k": TOP_RECORDS,
            "min-coverage": MINIMUM_COVERAGE,
        },
    ]
    table = {
        "version": version,
        "routes": [route | common for route in routes],
        "services": [{"name": name, "max-conns": CONNECTION_LIMIT} for name in service_names()],
    }
    return msgspec.json.encode(table)
