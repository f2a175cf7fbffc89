"""A small deployment with forwarded routes, for benchmarks, tests and the demonstration."""

import signal
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http.client import HTTPConnection
from pathlib import Path
from threading import Event

import msgspec
import requests

from savoryarch.model import KeyRead, ReadKey, StoreCall, StoreReply, SwapKey
from savoryarch.platform import (
    CONFIGURATION_KEY,
    DEADLINE_HEADER,
    PART_DIGESTS_HEADER,
    REQUEST_ID_HEADER,
    decode_store_reply,
    encode_store_call,
)
from savoryarch.store import ListPage, StoreHttpReply
from savoryarch_soak._instances import find_free_addresses, render_settings
from savoryarch_soak._route_table import make_route_table
from savoryarch_standins.forwarded import Arrival
from savoryarch_standins.harness import Address, ManagedProcess, start_process

SHARDS = tuple(f"shard-{number}" for number in range(10))
SERVICES = ("shop", "till", *SHARDS)
REPLICAS = 3
ROUTE_HOST = "small.example"
MAX_READY_ATTEMPTS = 200
RETRY_INTERVAL_S = 0.05
HTTP_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a client.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        Body of the answer.
    digests : tuple of str
        Digests of the parts of a search; empty on other routes.
    """

    status: int
    body: bytes
    digests: tuple[str, ...]


class _ArrivalsPage(msgspec.Struct):
    arrivals: list[Arrival]


class SmallDeployment:
    """A store, targets and an entry instance, in processes of their own.

    Use as a context manager, which starts the store and the targets, and kills all processes on
    exit, also after a failure.

    Parameters
    ----------
    folder : Path
        Folder for settings and logs.
    registered_ports : mapping of str to int, optional
        Ports that targets register instead of those that they listen on, by the name of the target.

    Attributes
    ----------
    target_ports : dict of str to int
        Ports that the targets listen on, by name.
    """

    def __init__(self, folder: Path, registered_ports: Mapping[str, int] | None = None) -> None:
        self._folder = folder
        self._registered_ports = registered_ports or {}
        self.target_ports: dict[str, int] = {}
        self._started: list[ManagedProcess] = []

    def __enter__(self) -> "SmallDeployment":
        try:
            store = self._start("store", ["-m", "savoryarch_standins.store"])
            self._store = store.address()
            url = f"http://{self._store}"
            self._controls: list[str] = []
            self._targets: list[ManagedProcess] = []
            for replica in range(REPLICAS):
                target_specs = ",".join(
                    f"{name}-{replica}:{name}:{self._registered_ports.get(f'{name}-{replica}', 0)}"
                    for name in SERVICES
                )
                arguments = ["-m", "savoryarch_standins.forwarded", "--store", url]
                targets = self._start(f"targets-{replica}", [*arguments, "--targets", target_specs])
                self._targets.append(targets)
                fields = targets.ready_fields
                self._controls.append(f"http://{fields['host']}:{fields['control']}")
                for port in fields["ports"].split(","):
                    name, _, number = port.partition(":")
                    self.target_ports[name] = int(number)
            self.write_entry(CONFIGURATION_KEY, make_route_table(1, SHARDS, ROUTE_HOST))
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *error: object) -> None:
        for process in reversed(self._started):
            process.kill()

    @property
    def store_address(self) -> Address:
        """Address of the store."""
        return self._store

    def start_entry(
        self,
        level: str = "info",
        program: tuple[str, ...] = ("savoryarch",),
        memory_mb: float = 0.0,
    ) -> tuple[ManagedProcess, HTTPConnection]:
        """Start an entry instance and wait until it answers searches.

        Parameters
        ----------
        level : str
            Level of its log.
        program : tuple of str
            Module to run, and arguments that precede those of the program.
        memory_mb : float
            Memory that the process may use, as its settings say; 0 if they do not.

        Returns
        -------
        tuple of ManagedProcess and HTTPConnection
            Its process, and a connection to it.
        """
        addresses = find_free_addresses(3)
        settings = render_settings(0, 1, addresses, self._store)
        path = self._folder / f"entry-{level}.ini"
        settings = settings.replace("[log]", f"[log]\nlevel = {level}")
        settings = settings.replace("[instance]", f"[instance]\nmemory_mb = {memory_mb}")
        path.write_text(settings, encoding="utf-8")
        arguments = ["-m", *program, "serve", "--settings", str(path)]
        entry = self._start(f"entry-{level}", arguments)
        return entry, _connect_when_serving(addresses[0])

    def write_entry(self, key: str, value: bytes) -> None:
        """Write a new entry into the store."""
        self._call_store(SwapKey("write", key, value, 0))

    def rewrite_entry(self, key: str, update: Callable[[bytes], bytes]) -> None:
        """Replace the value of an entry of the store by what `update` returns for it."""
        entry = self._call_store(ReadKey("read", key))
        assert isinstance(entry, KeyRead)
        self._call_store(SwapKey("write", key, update(entry.value), entry.revision))

    def drive_target(self, replica: int, name: str, event: str) -> None:
        """Trigger an event of the chart ``forwarded_target`` for a target of one replica."""
        url = f"{self._controls[replica]}/drive/{name}/{event}"
        requests.post(url, timeout=HTTP_TIMEOUT_S).raise_for_status()

    def set_switches(self, replica: int, **switches: float) -> None:
        """Replace the `TargetSwitches` of all targets of one replica."""
        url = f"{self._controls[replica]}/switches"
        requests.post(url, json=switches, timeout=HTTP_TIMEOUT_S).raise_for_status()

    def suspend_targets(self) -> None:
        """Suspend the processes of all targets, whose connections stay open."""
        for process in self._targets:
            process.send_signal(signal.SIGSTOP)

    def resume_targets(self) -> None:
        """Resume the processes of all targets."""
        for process in self._targets:
            process.send_signal(signal.SIGCONT)

    def read_arrivals(self) -> list[Arrival]:
        """Return the requests that reached the targets, in the order of their times."""
        arrivals: list[Arrival] = []
        for control in self._controls:
            reply = requests.get(f"{control}/arrivals", timeout=HTTP_TIMEOUT_S)
            arrivals += msgspec.json.decode(reply.content, type=_ArrivalsPage).arrivals
        return sorted(arrivals, key=lambda item: item.at_ms)

    def _call_store(self, call: StoreCall) -> StoreReply:
        request = encode_store_call(call, "")
        url = f"http://{self._store}{request.path}"
        reply = requests.request(
            request.method,
            url,
            params=dict(request.query),
            data=request.body,
            timeout=HTTP_TIMEOUT_S,
        )
        reply.raise_for_status()
        decoded = decode_store_reply(call, StoreHttpReply(reply.status_code, reply.content))
        assert not isinstance(decoded, ListPage)
        return decoded

    def _start(self, name: str, arguments: list[str]) -> ManagedProcess:
        process = start_process(name, arguments, self._folder)
        self._started.append(process)
        return process


def send_request(
    connection: HTTPConnection, route: str, request_id: str, method: str = "GET"
) -> Answer:
    """Send a request on a connection and return its answer.

    Parameters
    ----------
    connection : HTTPConnection
        Connection to an entry instance.
    route : str
        Route of the request: ``read``, ``order`` or ``find``.
    request_id : str
        Id of the request, unique in the deployment.
    method : str
        HTTP method.
    """
    headers = {"host": ROUTE_HOST, REQUEST_ID_HEADER: request_id, DEADLINE_HEADER: "2000"}
    connection.request(method, f"/{route}/{request_id}", headers=headers)
    reply = connection.getresponse()
    body = reply.read()
    digests = reply.getheader(PART_DIGESTS_HEADER, "")
    return Answer(reply.status, body, tuple(digests.split(", ")) if digests else ())


def _connect_when_serving(front: Address) -> HTTPConnection:
    """Send searches until one is answered, when the instance has routes and targets.

    Raises
    ------
    TimeoutError
        If no search was answered within `MAX_READY_ATTEMPTS` attempts.
    """
    connection = HTTPConnection(front.host, front.port, timeout=HTTP_TIMEOUT_S)
    pause = Event()
    for number in range(MAX_READY_ATTEMPTS):
        try:
            if send_request(connection, "find", f"ready-{number}").status == 200:
                return connection
        except OSError:
            connection.close()
        pause.wait(RETRY_INTERVAL_S)
    raise TimeoutError(f"the instance answered none of {MAX_READY_ATTEMPTS} searches")
