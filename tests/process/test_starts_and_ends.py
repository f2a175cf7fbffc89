"""No process of the program ends by itself or by a signal that it handles, at any age.

The rows run in the background, many at a time, because most of them wait for a clock.
"""

import fcntl
import os
import resource
import signal
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, suppress
from dataclasses import dataclass
from http.client import HTTPConnection
from pathlib import Path

import msgspec
import pytest

from savoryarch.platform import CONFIGURATION_KEY, DEADLINE_HEADER, REQUEST_ID_HEADER
from savoryarch_soak._instances import find_free_addresses
from savoryarch_soak._small_deployment import REPLICAS, ROUTE_HOST, SmallDeployment
from savoryarch_standins.harness import Address, set_switches
from tests.process.entry_process import (
    ADDRESS_NAMES,
    GRACE_S,
    OK,
    READY_TIMEOUT_S,
    DeployedProgram,
    EntryProcess,
    build_program,
    render_settings,
)

ROWS_AT_A_TIME = 12
ROUTE_TIMEOUT_MS = 9000.0
HELD_S = 6.0  # longer than an earlier program tried to open its addresses
SETTINGS_DELAY_S = 2.0
STORE_FAULT_S = 2.0
IDLE_S = 5.0
MAX_IDLE_SHARE = 0.015  # of a core, for control; see "The size that decides the design"
LOG_LENGTH = 100_000
PIPE_BYTES = 4096
SIGNAL_INTERVAL_S = 0.01
SLOW_MS = 5000.0  # within the time that a planned stop may take
REQUEST_LEAD_S = 0.3
SETTLE_S = 1.0
FLEET = 4
TERM, HUP, INT = signal.SIGTERM, signal.SIGHUP, signal.SIGINT
# The interpreter handles SIGINT itself before the first line.
EARLY_EXIT_CODES = {TERM: (-TERM,), HUP: (-HUP,), INT: (-INT, 1)}
AGES_MS = (0, 30, 120)
DELAYS_MS = (0, 5, 100)


@dataclass(frozen=True, slots=True)
class Signals:
    """Signals at ages of a process in ms; a process that is not asked to end has to serve."""

    signals: tuple[tuple[float, signal.Signals], ...]


@dataclass(frozen=True, slots=True)
class SignalAfterFirstLine:
    """A signal some time after the first line of the program has run."""

    delay_ms: float
    number: signal.Signals


@dataclass(frozen=True, slots=True)
class SignalsUntilExit:
    """A planned stop of a ready process that gets signals until it has ended."""

    numbers: tuple[signal.Signals, ...]


@dataclass(frozen=True, slots=True)
class Output:
    """Output to a pipe that is full, or without a reader from the start or when ready."""

    fault: str


@dataclass(frozen=True, slots=True)
class LateSettings:
    """Settings that are absent, or cut to a share of their length, at the start."""

    share: float | None


@dataclass(frozen=True, slots=True)
class HeldAddress:
    """An address that another socket holds."""

    name: str
    listens: bool


@dataclass(frozen=True, slots=True)
class FewDescriptors:
    """A low limit of descriptors, or standard descriptors that are closed."""

    limit: int | None
    closed: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Store:
    """A store that refuses connections, or accepts them and does not answer."""

    fault: str


@dataclass(frozen=True, slots=True)
class Predecessor:
    """A predecessor that drains while it has a request to a target that takes `SLOW_MS`.

    Parameters
    ----------
    deadline_ms : float
        Deadline of the request.
    status : int
        Status of its answer.
    """

    deadline_ms: float
    status: int


ROWS = (
    *(Signals(((age_ms, number),)) for age_ms in AGES_MS for number in (TERM, HUP, INT)),
    Signals(((30, TERM), (60, TERM), (90, HUP), (120, TERM))),
    Signals(((50, HUP), (60, HUP), (70, TERM))),
    Signals(((100, HUP), (150, INT), (200, TERM))),
    Signals(((0, HUP), (100, HUP), (200, HUP), (300, HUP), (400, HUP))),
    Signals(((150, INT), (160, INT))),
    *(
        SignalAfterFirstLine(delay_ms, number)
        for delay_ms in DELAYS_MS
        for number in (TERM, HUP, INT)
    ),
    SignalsUntilExit((TERM,)),
    SignalsUntilExit((HUP, TERM)),
    SignalsUntilExit((INT, HUP)),
    *(Output(fault) for fault in ("no reader", "reader leaves", "full")),
    *(LateSettings(share) for share in (None, 0.0, 0.9)),
    *(HeldAddress(name, listens) for name in ADDRESS_NAMES for listens in (False, True)),
    FewDescriptors(64),
    *(FewDescriptors(None, closed) for closed in ((1,), (0, 1, 2))),
    *(Store(fault) for fault in ("refuses", "is silent")),
    Predecessor(ROUTE_TIMEOUT_MS, 200),
    Predecessor(3000.0, 504),
)


@pytest.fixture(scope="module")
def program(tmp_path_factory):
    return build_program(tmp_path_factory.mktemp("program"))


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    """Return a store and slow targets, with routes that allow more time than a stop takes."""
    with SmallDeployment(tmp_path_factory.mktemp("deployment")) as small:

        def allow_more_time(value):
            table = msgspec.json.decode(value)
            table["version"] += 1
            for route in table["routes"]:
                route["timeout-ms"] = ROUTE_TIMEOUT_MS
            return msgspec.json.encode(table)

        small.rewrite_entry(CONFIGURATION_KEY, allow_more_time)
        for replica in range(REPLICAS):
            small.set_switches(replica, work_ms=SLOW_MS)
        yield small


@dataclass(frozen=True, slots=True)
class Instance:
    """An instance of the program, with addresses of its own."""

    program: DeployedProgram
    deployment: SmallDeployment
    path: Path
    addresses: tuple

    def address(self, name):
        return self.addresses[ADDRESS_NAMES.index(name)]

    def render_settings(self, store=None):
        store = store or self.deployment.store_address
        return render_settings(self.program, self.path.stem, self.addresses, store)

    def start(self, settings=None, **options):
        """Start a process; `settings` replace those of its address and the deployment."""
        self.path.write_text(self.render_settings() if settings is None else settings)
        return self.start_again(**options)

    def start_again(self, **options):
        """Start a process with the settings that the file has, if there is one."""
        return EntryProcess(self.program, self.path, self.addresses, **options)


@pytest.fixture(scope="module")
def make_instances(tmp_path_factory, program, deployment):
    """Return a function that makes instances; they are not started."""

    def make(count):
        folder = tmp_path_factory.mktemp("instances")
        addresses = find_free_addresses(len(ADDRESS_NAMES) * count)
        return [
            Instance(program, deployment, folder / f"entry-{number}.ini", addresses[number::count])
            for number in range(count)
        ]

    return make


@pytest.fixture(scope="module")
def results(request, make_instances):
    """Run the rows of the selected tests in the background; return a future for each."""
    selected = [
        item.callspec.params["row"]
        for item in request.session.items
        if item.originalname == "test_a_process_ends_only_when_it_is_asked_to"
    ]
    with ThreadPoolExecutor(ROWS_AT_A_TIME) as executor:
        instances = make_instances(len(selected))
        yield {
            row: executor.submit(run_row, row, instance)
            for row, instance in zip(selected, instances, strict=True)
        }


# Runs first, while the store lists no other instance.
@pytest.mark.process
def test_an_idle_instance_uses_little_processor_time(make_instances):
    (instance,) = make_instances(1)
    with instance.start() as process:
        process.wait_until_ready()
        wait_until_listening(instance.address("peers"))
        time.sleep(SETTLE_S)
        before_s = process.read_processor_time_s()
        time.sleep(IDLE_S)
        share = (process.read_processor_time_s() - before_s) / IDLE_S
        stop(process)
    assert share < MAX_IDLE_SHARE, share


@pytest.mark.process
@pytest.mark.timeout(120)
@pytest.mark.parametrize("row", ROWS, ids=str)
def test_a_process_ends_only_when_it_is_asked_to(results, row):
    results[row].result()


def run_row(row, instance):
    match row:
        case Signals(signals):
            run_signals(instance, signals)
        case SignalAfterFirstLine(delay_ms, number):
            run_signal_after_first_line(instance, delay_ms, number)
        case SignalsUntilExit(numbers):
            run_signals_until_exit(instance, numbers)
        case Output(fault):
            run_output(instance, fault)
        case LateSettings(share):
            run_late_settings(instance, share)
        case HeldAddress(name, listens):
            run_held_address(instance, name, listens)
        case FewDescriptors(limit, closed):
            run_few_descriptors(instance, limit, closed)
        case Store(fault):
            run_store(instance, fault)
        case Predecessor(deadline_ms, status):
            run_predecessor(instance, deadline_ms, status)


def run_signals(instance, signals):
    with instance.start() as process:
        for age_ms, number in signals:
            process.sleep_until_age(age_ms)
            process.send(number)
        if {number for _, number in signals} == {HUP}:
            serve_and_stop(process)
        else:
            check_exit(process)


def run_signal_after_first_line(instance, delay_ms, number):
    with instance.start() as process:
        process.wait_until_program_runs()
        time.sleep(delay_ms / 1000.0)
        process.send(number)
        assert process.sent == [(number, True)]
        if number == HUP:
            serve_and_stop(process)
        else:
            check_exit(process)


def run_signals_until_exit(instance, numbers):
    with instance.start() as process:
        process.wait_until_ready()
        process.send(TERM)
        while process.is_running() and process.age_s() < READY_TIMEOUT_S:
            for number in numbers:
                process.send(number)
            time.sleep(SIGNAL_INTERVAL_S)
        check_exit(process)


def run_output(instance, fault):
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    if fault == "full":
        os.write(writer, bytes(PIPE_BYTES))
    if fault == "no reader":
        os.close(reader)
    with instance.start(output=writer) as process:
        process.wait_until_ready()
        if fault == "reader leaves":
            os.close(reader)
        stop(process)
    os.close(writer)
    if fault == "full":
        os.close(reader)


def run_late_settings(instance, share):
    settings = instance.render_settings()
    if share is not None:
        instance.path.write_text(settings[: int(len(settings) * share)])
    with instance.start_again() as process:
        wait_for_log(process, "settings_awaited")
        process.send(HUP)
        time.sleep(SETTINGS_DELAY_S)
        check_runs(process)
        instance.path.write_text(settings)
        process.send(HUP)
        serve_and_stop(process)


def run_held_address(instance, name, listens):
    address = instance.address(name)
    with socket.socket() as holder:
        holder.bind((address.host, address.port))
        if listens:
            holder.listen()
        with instance.start() as process:
            wait_for_log(process, "cannot_listen")
            held_from_s = process.age_s()
            while process.age_s() < held_from_s + HELD_S:
                check_runs(process)
                # An instance serves without its addresses for metrics and peers.
                assert name in ("metrics", "peers") or not process.is_ready()
                time.sleep(0.5)
            holder.close()
            process.wait_until_ready()
            wait_until_listening(address)
            stop(process)


def run_few_descriptors(instance, limit, closed):
    with instance.start(closed=closed) as process:
        if limit is not None:
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (limit, limit))
        serve_and_stop(process)


def run_store(instance, fault):
    with socket.create_server(("127.0.0.1", 0)) as server:
        store = Address("127.0.0.1", server.getsockname()[1])
        if fault == "refuses":
            server.close()
        with instance.start(instance.render_settings(store)) as process:
            wait_until_listening(instance.address("ready"))
            time.sleep(STORE_FAULT_S)
            check_runs(process)
            assert not process.is_ready()
            stop(process)


def run_predecessor(instance, deadline_ms, status):
    front = instance.address("front")
    with instance.start() as predecessor:
        predecessor.wait_until_ready()
        wait_until_listening(instance.address("peers"))
        connection = send_slow_request(front, f"slow-{status}", deadline_ms)
        time.sleep(REQUEST_LEAD_S)
        predecessor.send(TERM)
        with instance.start_again() as successor:
            samples = []
            while predecessor.is_running():
                check_runs(successor)
                is_ready = successor.is_ready()
                if predecessor.is_running():
                    samples.append(is_ready)
                time.sleep(0.1)
            check_exit(predecessor)
            # The page is that of the predecessor, which may handle its signal late.
            assert not any(samples[samples.index(False) :]), samples
            assert connection.getresponse().status == status
            successor.wait_until_ready()
            answer = send_slow_request(front, f"after-{status}", ROUTE_TIMEOUT_MS).getresponse()
            assert answer.status == OK
            stop(successor)


def stop(process):
    process.send(TERM)
    check_exit(process)


def serve_and_stop(process):
    """Check that a process serves, unless a signal before its first line has ended it."""
    if process.wait_until_ready():
        process.send(TERM)
    check_exit(process)


def check_runs(process):
    assert process.is_running(), (process.exit_code, process.sent, process.read_log())


def check_exit(process):
    """Check that a process has ended as it was asked to.

    Only a signal before the first line of the program may end it in another way.
    """
    allowed_codes = {0 for number, _ in process.sent if number in (TERM, INT)}
    for number, ran_program in process.sent:
        if not ran_program:
            allowed_codes.update(EARLY_EXIT_CODES[number])
    exit_code = process.wait_for_exit()
    assert exit_code in allowed_codes, (exit_code, process.sent, process.read_log())


def wait_for_log(process, word):
    while word not in process.read_log(LOG_LENGTH):
        check_runs(process)
        assert process.age_s() < READY_TIMEOUT_S, process.read_log()
        time.sleep(0.1)


def wait_until_listening(address):
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline_s:
        with suppress(OSError), socket.create_connection((address.host, address.port), 1.0):
            return
        time.sleep(0.1)
    raise TimeoutError(f"nothing listens on {address}")


def send_slow_request(address, request_id, deadline_ms):
    """Send a request, and return the connection that its answer comes on."""
    connection = HTTPConnection(address.host, address.port, timeout=2 * GRACE_S)
    deadline = str(round(deadline_ms))
    headers = {"host": ROUTE_HOST, REQUEST_ID_HEADER: request_id, DEADLINE_HEADER: deadline}
    connection.request("GET", f"/read/{request_id}", headers=headers)
    return connection


@pytest.mark.process
@pytest.mark.timeout(120)
@pytest.mark.parametrize("reply_delay_ms", [0, 700])
def test_instances_that_start_at_the_same_moment_and_overlap_their_predecessors_serve(
    make_instances, deployment, reply_delay_ms
):
    instances = make_instances(FLEET)
    with ExitStack() as stack:
        set_switches(deployment.store_address, reply_delay_ms=reply_delay_ms)
        stack.callback(set_switches, deployment.store_address, reply_delay_ms=0)
        first = [stack.enter_context(instance.start()) for instance in instances]
        for process in first:
            process.wait_until_ready()
        for process in first:
            process.send(TERM)
        second = [stack.enter_context(instance.start_again()) for instance in instances]
        for process in first:
            check_exit(process)
        # One half of them stops while it starts, and is started once more.
        for process in second[::2]:
            process.send(HUP)
            process.send(TERM)
        third = [stack.enter_context(instance.start_again()) for instance in instances[::2]]
        for process in second[::2]:
            check_exit(process)
        for process in (*third, *second[1::2]):
            serve_and_stop(process)
