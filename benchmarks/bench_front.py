"""CPU time of an entry process for a request over HTTP, and its memory before any request.

Run with ``python -m benchmarks.bench_front``.
"""

import http.client
import os
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

from msgspec import json

from savoryarch_standins.harness import ManagedProcess, start_process

REQUEST_COUNT = 2_000
WARM_UP_COUNT = 200
# One core for 200 requests per second, the rate that a node has to accept in two years.
MAX_REQUEST_US = 5_000.0
SETTINGS = """[instance]
instance_id = entry-1
availability_zone = zone-a
[callers]
port = 0
[operators]
port = 0
[peers]
port = 0
[shutdown]
balancer_lag_ms = 0
"""
US_PER_S = 1e6


def read_cpu_s(process: ManagedProcess) -> float:
    """Return the CPU time in s that a process has used since its start, user and system."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def read_resident_kb(process: ManagedProcess) -> int:
    """Return the resident memory of a process in KB; 0 if it is not known."""
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1])
    return 0


def send_refused_searches(process: ManagedProcess, count: int) -> None:
    """Send searches one after the other on one connection; they are refused as not declared."""
    address = process.address("callers")
    connection = http.client.HTTPConnection(address.host, address.port)
    for _ in range(count):
        connection.request("POST", "/v1/searches/counter", body=b'{"q": "hinge"}')
        connection.getresponse().read()
    connection.close()


def main() -> int:
    with TemporaryDirectory() as folder:
        path = Path(folder) / "settings.ini"
        path.write_text(SETTINGS)
        arguments = ["-m", "savoryarch", "serve", "--settings", str(path)]
        process = start_process("entry-1", arguments, Path(folder))
        try:
            idle_kb = read_resident_kb(process)
            send_refused_searches(process, WARM_UP_COUNT)
            before_s = read_cpu_s(process)
            send_refused_searches(process, REQUEST_COUNT)
            request_us = (read_cpu_s(process) - before_s) * US_PER_S / REQUEST_COUNT
        finally:
            process.stop()
    print(f"{request_us:.0f} us of CPU per accepted request, {idle_kb} KB resident when idle")
    goal = {
        "name": "accepting a request",
        "measured": round(request_us, 1),
        "bound": MAX_REQUEST_US,
        "unit": "us",
        "holds": request_us <= MAX_REQUEST_US,
        "baseline": None,
    }
    slopes = {"front_us": round(request_us, 1), "rest_kb": idle_kb}
    print(json.encode({"goals": [goal], "slopes": slopes}).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
