"""Starts the project's processes with the commands and the template of the deploy file."""

import asyncio
import os
import re
import shutil
import signal
import socket
import tempfile
import time
import tomllib
import urllib.request
from pathlib import Path
from urllib.error import HTTPError

from standins.record import Record

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("sul-a", "sul-b", "sul-c")
BOUNDS = {
    "seed-lag-s": 3,
    "reuse-after-s": 2,
    "contact-ms": 4000,
    "ack-ms": 5000,
    "catch-up-s": 4,
    "drain-ms": 3000,
    "grace-s": 6,
    "loss-slack-ms": 200,
    "apply-ms": 3000,
    "downgrade-ms": 250,
    "max-skew-ms": 12000,
    "budget-ratio": 0.2,
    "budget-window-s": 10,
    "retry-extra": 58,
    "recovery-s": 12,
}
MEMORY_MB = 560
START_TIMEOUT_S = 20.0


class CannotRun(Exception):
    """The case could not run; the exit code is 2."""


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def _look_up(fields: dict, path: str) -> object:
    value: object = fields
    for name in path.split("."):
        if isinstance(value, dict) and name in value:
            value = value[name]
        elif isinstance(value, list) and name.isdigit() and int(name) < len(value):
            value = value[int(name)]
        else:
            return None
    return value


def render(template: str, fields: dict) -> str:
    """Fill in a template as DEPLOY.md tells, as far as the project's template needs it."""

    def render_section(match: re.Match) -> str:
        value = _look_up(fields, match[1])
        return match[2] if value not in (None, False) else ""

    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", render_section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([^}#/]+)\}\}", lambda match: str(_look_up(fields, match[1])), text)


class Node:
    """One process of the project on one machine of the deployment.

    Attributes
    ----------
    front : tuple of (str, int)
        The address that clients connect to.
    """

    def __init__(self, name: str, zone: str, store_port: int, folder: Path) -> None:
        self.name = name
        ports = [free_port() for _ in range(4)]
        self.front = ("127.0.0.1", ports[0])
        self._ready = ports[1]
        fields = {
            "node-name": name,
            "zone": zone,
            "region": "sul",
            "ip": "127.0.0.1",
            "internal-ports": ports[2:],
            "listen": {"front": f"127.0.0.1:{ports[0]}", "ready": f"127.0.0.1:{ports[1]}"},
            "limits": {"memory-mb": MEMORY_MB, "max-fds": 8200},
            "bounds": BOUNDS,
            "platform": {"address": f"127.0.0.1:{store_port}"},
        }
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        (role,) = deploy["roles"].values()
        template = (ROOT / role["template"]).read_text()
        self._settings = folder / f"{name}.ini"
        self._settings.write_text(render(template, fields))
        self._command = [
            str(self._settings) if word == "/etc/savoryarch/boot.toml" else word
            for word in role["run"].split()
        ]
        self._log_path = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process; its log goes to a file of the temporary folder."""
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["SAVORYARCH_CONFIG"] = str(self._settings)
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_ready(self) -> None:
        """Wait until the process reports itself ready."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            if await asyncio.to_thread(self._is_ready):
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready: {self.read_log()[-2000:]}")

    def _is_ready(self) -> bool:
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{self._ready}/ready", timeout=2) as page:
                return page.status == 200
        except (HTTPError, OSError):
            return False

    def memory_mb(self) -> float:
        """Return the resident memory of the process in units of 2**20 bytes."""
        assert self._process is not None
        try:
            status = Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            return 0.0
        match = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(match[1]) / 1024 if match else 0.0

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)

    async def end(self) -> None:
        """Kill the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal.SIGKILL)
            await self._process.wait()

    async def wait(self) -> int:
        """Wait until the process has ended, and return its exit code."""
        assert self._process is not None
        return await self._process.wait()

    def read_log(self) -> str:
        """Return what the process has written."""
        return self._log_path.read_text(errors="replace")


class Deployment:
    """Some nodes in the zones of the deployment; ends all of them.

    Parameters
    ----------
    store_ports : list of int
        Ports of the store; the nodes use them in turn.
    count : int
        Number of nodes.
    record : Record
        Gets a line per start and end.
    """

    def __init__(self, store_ports: list[int], count: int, record: Record) -> None:
        if not (ROOT / "target/app/main.py").exists():
            raise CannotRun("the build of the deploy file has not run")
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._record = record
        self.nodes = [
            Node(
                f"front-{index + 1}",
                ZONES[index % len(ZONES)],
                store_ports[index % len(store_ports)],
                self._folder,
            )
            for index in range(count)
        ]

    async def start(self) -> None:
        """Start all nodes and wait until they are ready."""
        for node in self.nodes:
            await node.start()
        for node in self.nodes:
            await node.wait_ready()
            self._record.write(f"{node.name} ready front={node.front[1]}")

    async def end(self) -> None:
        """Kill all nodes, and remove the temporary folder."""
        for node in self.nodes:
            await node.end()
        shutil.rmtree(self._folder, ignore_errors=True)
