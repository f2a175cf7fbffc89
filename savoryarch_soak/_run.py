"""Starts the processes of a soak, sends the load, injects the faults and records the run."""

import signal
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
from treq.client import HTTPClient
from twisted.internet.defer import Deferred, DeferredList, inlineCallbacks
from twisted.internet.task import LoopingCall
from twisted.web.client import Agent

from savoryarch.model import KeyAbsent, KeyRead, SwapConflict, SwapKey, Swapped
from savoryarch.model import ReadKey as ReadStoreKey
from savoryarch.platform import CONFIGURATION_KEY, decode_store_reply, encode_store_call
from savoryarch.store import StoreClient, StoreSettings
from savoryarch.utils import Clock
from savoryarch_soak._checks import STOP_DEADLINE_MS
from savoryarch_soak._clients import ROUTE_HOST as CLIENT_HOST
from savoryarch_soak._faults import (
    AddInstance,
    BlockOutput,
    BreakLink,
    BreakStore,
    BreakTargets,
    ChangeTable,
    DriveTarget,
    Fault,
    KillInstance,
    KillInstances,
    KillTargets,
    OverlapRestart,
    SignalStart,
    StopInstance,
)
from savoryarch_soak._instances import SoakInstance, find_free_addresses, render_settings
from savoryarch_soak._journal import Exchange, InjectedFault, InstanceExit, Journal, TableWritten
from savoryarch_soak._links import Link
from savoryarch_soak._plan import (
    ADDED_INSTANCES,
    REPLICAS,
    SHARD_SETS,
    SoakPlan,
    count_links,
    service_names,
)
from savoryarch_soak._process import SoakProcess
from savoryarch_soak._process_faults import ProcessFaults
from savoryarch_soak._route_table import make_route_table
from savoryarch_standins.forwarded import Arrival, TargetSwitches
from savoryarch_standins.harness import Address
from savoryarch_standins.store import StoreSwitches

ROUTES = ("read", "find", "order", "find")  # requested in turn
START_TIMEOUT_S = 20.0
ADDRESSES_PER_INSTANCE = 3  # for clients, readiness checks and peers
FINAL_WAIT_MS = 4000.0  # after the last request, for the requests in flight
RETRY_INTERVAL_S = 0.1
COLLECT_INTERVAL_S = 0.5  # a killed process of targets loses the arrivals since the last read
START_MS = 5000.0  # time to start an instance on a busy machine
_MS_PER_S = 1000.0


class SoakRun:
    """One run of a plan.

    Parameters
    ----------
    plan : SoakPlan
        The load and the faults.
    folder : Path
        Folder for settings and logs.
    reactor : object
        Twisted's reactor.
    clock : Clock
        Steady clock of the machine.
    """

    def __init__(self, plan: SoakPlan, folder: Path, reactor: Any, clock: Clock) -> None:
        self._plan = plan
        self._folder = folder
        self._reactor = reactor
        self._clock = clock
        agent: Any = Agent(reactor, connectTimeout=1.0)
        self._client = HTTPClient(agent)
        self._journal = Journal(0.0, 0.0)
        self._processes: list[SoakProcess] = []
        self._target_processes: dict[int, SoakProcess] = {}
        self._control_addresses: dict[int, Address] = {}
        self._collected_counts: dict[int, int] = {}
        self._links = [Link(reactor) for _ in range(count_links(plan.instances))]
        self._instances: list[SoakInstance] = []
        self._process_faults = ProcessFaults(reactor, self._instances)
        self._version = 0
        self._sent_count = 0
        self._open = 0
        reactor.addSystemEventTrigger("before", "shutdown", self._kill_all)

    @inlineCallbacks
    def run(self) -> Any:
        """Run the plan; returns a Deferred that fires with the `Journal`."""
        store = self._start_process(["-m", "savoryarch_standins.store"], "store")
        fields = yield store.ready
        self._store = Address(fields["host"], int(fields["port"]))
        settings = StoreSettings(f"http://{self._store}")
        self._store_client = StoreClient(
            settings, self._reactor, encode_store_call, decode_store_reply
        )
        for process in range(REPLICAS):
            yield self._start_targets(process)
        yield self._write_table()
        self._make_instances()
        for instance in self._instances[: self._plan.instances]:
            instance.start()
        yield self._wait_until_served()
        yield self._send_load()
        yield self._collect_arrivals()
        exits = [self._stop_instance(instance) for instance in self._instances]
        yield DeferredList(exits)
        return self._journal

    def _start_process(self, arguments: list[str], name: str) -> SoakProcess:
        process = SoakProcess(self._reactor, arguments, self._folder / f"{name}.log")
        self._processes.append(process)
        return process

    @inlineCallbacks
    def _start_targets(self, process: int) -> Any:
        target_specs = []
        for service_number, service in enumerate(service_names()):
            port = self._target_link(process, service_number).address.port
            target_specs.append(f"{service}-{process}:{service}:{port}")
        arguments = ["-m", "savoryarch_standins.forwarded", "--store", f"http://{self._store}"]
        target_process = self._start_process(
            [*arguments, "--targets", ",".join(target_specs)], f"targets-{process}"
        )
        self._target_processes[process], self._collected_counts[process] = target_process, 0
        fields = yield target_process.ready
        self._control_addresses[process] = Address(fields["host"], int(fields["control"]))
        for service_number, port_spec in enumerate(fields["ports"].split(",")):
            port = int(port_spec.rpartition(":")[2])
            self._target_link(process, service_number).upstream = Address(fields["host"], port)

    def _target_link(self, process: int, service_number: int) -> Link:
        return self._links[self._plan.instances + process * len(service_names()) + service_number]

    def _make_instances(self) -> None:
        count = self._plan.instances + ADDED_INSTANCES
        free_addresses = find_free_addresses(ADDRESSES_PER_INSTANCE * count)
        for number in range(count):
            store = self._store
            if number < self._plan.instances:
                link = self._links[number]
                link.upstream, store = store, link.address
            addresses = free_addresses[number::count]
            settings = render_settings(number, count, addresses, store)
            self._instances.append(
                SoakInstance(
                    number,
                    settings,
                    addresses[0],
                    self._folder,
                    self._reactor,
                    self._clock,
                    self._record_exchange,
                    self._record_exit,
                )
            )

    @inlineCallbacks
    def _write_table(self) -> Any:
        """Write the next version of the configuration and record when it took effect.

        The write is repeated until a reply or a later read shows that it took effect, since
        faults of the store can lose both requests and replies.
        """
        self._version += 1
        version, shards = self._version, SHARD_SETS[self._version % 2]
        value = make_route_table(version, shards, CLIENT_HOST)
        first_sent_at_ms = self._clock.now_ms()
        while True:
            read_reply = yield self._store_client.perform(ReadStoreKey("read", CONFIGURATION_KEY))
            match read_reply:
                case KeyRead(value=stored) if stored == value:
                    break
                case KeyRead(revision=revision):
                    pass
                case KeyAbsent():
                    revision = 0
                case _:
                    yield self._sleep(RETRY_INTERVAL_S)
                    continue
            swap_reply = yield self._store_client.perform(
                SwapKey("write", CONFIGURATION_KEY, value, revision)
            )
            if isinstance(swap_reply, Swapped):
                break
            if not isinstance(swap_reply, SwapConflict):
                yield self._sleep(RETRY_INTERVAL_S)
        row = TableWritten(self._clock.now_ms(), version, shards, first_sent_at_ms)
        self._journal = replace(self._journal, tables=(*self._journal.tables, row))

    @inlineCallbacks
    def _wait_until_served(self) -> Any:
        """Send searches until every instance has answered one with status 200.

        Raises
        ------
        TimeoutError
            If an instance has not answered within `START_TIMEOUT_S`.
        """
        for _ in range(int(START_TIMEOUT_S / RETRY_INTERVAL_S)):
            served = {item.instance for item in self._journal.exchanges if item.status == 200}
            if len(served) == self._plan.instances:
                return
            for number in range(self._plan.instances):
                self._send(number, "find")
            yield self._sleep(RETRY_INTERVAL_S)
        raise TimeoutError(f"not all instances answered a search within {START_TIMEOUT_S} s")

    @inlineCallbacks
    def _send_load(self) -> Any:
        began_at_ms = self._clock.now_ms()
        ended_at_ms = began_at_ms + self._plan.length_ms
        self._journal = replace(
            self._journal, began_at_ms=began_at_ms, ended_at_ms=ended_at_ms, exchanges=()
        )
        # A planned stop must not wait for a request that stays incomplete.
        for instance in self._started_instances():
            instance.clients.hold_incomplete_request()
        for fault in self._plan.faults:
            self._call_later(fault.at_ms, self._inject, fault)
        sending = LoopingCall(self._send_next)
        sending.clock = self._reactor
        collecting = LoopingCall(self._collect_arrivals)
        sending.start(1.0 / self._plan.requests_per_s)
        collecting.start(COLLECT_INTERVAL_S)
        yield self._sleep(self._plan.length_ms / _MS_PER_S)
        sending.stop()
        yield self._sleep(FINAL_WAIT_MS / _MS_PER_S)
        collecting.stop()

    def _send_next(self) -> None:
        # A round sends one request of the same route to each instance.
        instances = self._started_instances()
        round_number, index = divmod(self._sent_count, len(instances))
        self._send(instances[index].number, ROUTES[round_number % len(ROUTES)])

    def _started_instances(self) -> list[SoakInstance]:
        return [instance for instance in self._instances if instance.start_count]

    def _send(self, number: int, route: str) -> None:
        self._sent_count += 1
        instance = self._instances[number]
        request_id = f"s{self._plan.seed}-{self._sent_count}"
        now_ms = self._clock.now_ms()
        instance.clients.send(
            Exchange(request_id, route, number, instance.start_count, now_ms, now_ms)
        )

    def _record_exchange(self, exchange: Exchange) -> None:
        self._journal = replace(self._journal, exchanges=(*self._journal.exchanges, exchange))

    def _record_exit(self, instance_exit: InstanceExit) -> None:
        self._journal = replace(self._journal, exits=(*self._journal.exits, instance_exit))

    def _inject(self, fault: Fault) -> None:
        now_ms = self._clock.now_ms()
        self._begin_fault(fault)
        self._call_later(fault.for_ms, self._end_fault, fault)
        ends_at_ms = now_ms + fault.for_ms + _recovery_ms(fault)
        row = InjectedFault(fault, now_ms, ends_at_ms)
        self._journal = replace(self._journal, injected=(*self._journal.injected, row))

    def _begin_fault(self, fault: Fault) -> None:
        match fault:
            case BreakStore(switches=switches):
                self._post(self._store, "/switches", dict(switches))
            case BreakTargets(process=process, switches=switches):
                self._post(self._control_addresses[process], "/switches", dict(switches))
            case DriveTarget(target=target, event=event):
                self._send_target_event(target, event)
            case KillTargets(process=process):
                self._target_processes[process].send_signal(signal.SIGKILL)
            case BreakLink(link=link, mode="reset"):
                self._links[link].reset()
            case BreakLink(link=link, mode="silence"):
                self._links[link].silence()
            case BreakLink(link=link, mode=mode, delay_ms=delay_ms):
                self._links[link].mode, self._links[link].delay_ms = mode, delay_ms
            case ChangeTable():
                self._write_table()
            case _:
                self._process_faults.begin(fault)

    def _end_fault(self, fault: Fault) -> None:
        match fault:
            case BreakStore(switches=switches):
                defaults = msgspec.to_builtins(StoreSwitches())
                cleared = {name: defaults[name] for name, _ in switches}
                self._post(self._store, "/switches", cleared)
            case BreakTargets(process=process):
                self._post(
                    self._control_addresses[process],
                    "/switches",
                    msgspec.to_builtins(TargetSwitches()),
                )
            case DriveTarget(target=target, back=back):
                self._send_target_event(target, back)
            # An earlier kill of the same process may have ended and started it again.
            case KillTargets(process=process) if self._target_processes[process].exited.called:
                self._start_targets(process)
            case BreakLink(link=link):
                self._links[link].mode = ""
            case _:
                self._process_faults.end(fault)

    def _send_target_event(self, target: int, event: str) -> None:
        process, number = divmod(target, len(service_names()))
        target_name = f"{service_names()[number]}-{process}"
        self._post(self._control_addresses[process], f"/drive/{target_name}/{event}", {})

    def _post(self, address: Address, path: str, body: dict[str, Any]) -> None:
        # A failure is ignored: if the process was killed, its successor starts with defaults.
        reply = self._client.post(
            f"http://{address}{path}", data=msgspec.json.encode(body), reactor=self._reactor
        )
        reply.addCallbacks(lambda reply: reply.content(), lambda failure: None)

    @inlineCallbacks
    def _collect_arrivals(self) -> Any:
        for process, control in self._control_addresses.items():
            url = f"http://{control}/arrivals?from={self._collected_counts[process]}"
            try:
                reply = yield self._client.get(url, reactor=self._reactor, timeout=1.0)
                content = yield reply.content()
            except Exception:  # noqa: BLE001
                # If the process was killed, its uncollected arrivals are lost; no check relies
                # on them.
                continue
            body = msgspec.json.decode(content, type=_ArrivalsReply)
            self._collected_counts[process] += len(body.arrivals)
            most_connections = dict(self._journal.most_connections)
            for name, count in body.most_connections.items():
                most_connections[name] = max(most_connections.get(name, 0), count)
            self._journal = replace(
                self._journal,
                arrivals=(*self._journal.arrivals, *body.arrivals),
                most_connections=most_connections,
            )

    def _stop_instance(self, instance: SoakInstance) -> "Deferred[Any]":
        instance.clients.hold_incomplete_request()
        instance.stop()
        return instance.when_ended()

    def _sleep(self, seconds: float) -> "Deferred[None]":
        slept: Deferred[None] = Deferred()
        self._reactor.callLater(seconds, slept.callback, None)
        return slept

    def _call_later(self, delay_ms: float, call: Any, *arguments: Any) -> None:
        self._reactor.callLater(delay_ms / _MS_PER_S, call, *arguments)

    def _kill_all(self) -> None:
        for instance in self._instances:
            instance.kill_all()
        for process in self._processes:
            if not process.exited.called:
                process.send_signal(signal.SIGKILL)


class _ArrivalsReply(msgspec.Struct):
    arrivals: tuple[Arrival, ...]
    most_connections: dict[str, int]


def _recovery_ms(fault: Fault) -> float:
    """Return the time in ms that the system is allowed to recover after the end of a fault."""
    match fault:
        case OverlapRestart() | BlockOutput(closes=True):
            return START_MS + STOP_DEADLINE_MS
        case KillInstance() | KillInstances() | StopInstance() | SignalStart() | AddInstance():
            return START_MS
        case KillTargets() | DriveTarget(event="crash"):
            return 3000.0
        case BreakLink(mode="silence"):
            return 5000.0  # until both ends have detected the dead connections
        case _:
            return 0.0
