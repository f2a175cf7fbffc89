"""Runs a cluster of stand-ins and entry instances as processes on one machine."""

import subprocess
import sys
import tempfile
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import requests

from savoryarch.model import Service, Target
from savoryarch.resources import format_resource
from savoryarch_standins.harness._plans import ClusterPlan, EntryPlan
from savoryarch_standins.harness._process import Address, ManagedProcess, StartError, start_process
from savoryarch_standins.target import TargetSpec, read_settings

HTTP_TIMEOUT_S = 10.0
APPLY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 60.0


class Cluster:
    """A running cluster, as a context manager that kills all its processes on exit.

    If a process fails to start, those started before are killed and `StartError` is raised.

    Parameters
    ----------
    plan : ClusterPlan
        Processes to start.

    Attributes
    ----------
    store, instance_list, balancer : ManagedProcess
        Stand-ins of the platform.
    targets : dict of str to ManagedProcess
        Processes of target stand-ins by availability zone.
    entries : dict of str to ManagedProcess
        Listed entry instances by instance id.
    folder : Path
        Temporary folder for settings and logs, which is deleted on exit.
    """

    def __init__(self, plan: ClusterPlan) -> None:
        self.plan = plan
        self.targets: dict[str, ManagedProcess] = {}
        self.entries: dict[str, ManagedProcess] = {}
        self.store: ManagedProcess
        self.instance_list: ManagedProcess
        self.balancer: ManagedProcess
        self._entry_plans: dict[str, EntryPlan] = {}
        self._processes: list[ManagedProcess] = []
        self._exit_stack = ExitStack()
        self._specs = _read_specs(plan.targets)

    def __enter__(self) -> "Cluster":
        self.folder = Path(
            self._exit_stack.enter_context(tempfile.TemporaryDirectory(prefix="savoryarch-"))
        )
        self._exit_stack.callback(self._kill_processes)
        try:
            self._start_platform()
            for plan in self.plan.entries:
                self.start_entry(plan)
        except BaseException:
            self._exit_stack.close()
            raise
        return self

    def __exit__(self, *error: object) -> None:
        self._exit_stack.close()

    def start_entry(self, plan: EntryPlan) -> ManagedProcess:
        """Start an entry instance and publish it to the instance list and the balancer."""
        path = self.folder / f"{plan.instance_id}.ini"
        path.write_text(self._format_entry_settings(plan), encoding="utf-8")
        process = self._start_process(
            plan.instance_id, [*self.plan.program, "serve", "--settings", str(path)]
        )
        self.entries[plan.instance_id] = process
        self._entry_plans[plan.instance_id] = plan
        self.publish_entries()
        return process

    def unlist_entry(self, instance_id: str) -> None:
        """Remove an entry instance from the instance list and the balancer.

        The process is not stopped before the exit of the cluster.
        """
        self.entries.pop(instance_id)
        self.publish_entries()

    def publish_entries(self, leaving_ids: frozenset[str] = frozenset()) -> None:
        """Send the listed entry instances to the instance list and the balancer.

        Parameters
        ----------
        leaving_ids : frozenset of str
            Instances to list as leaving; the others are listed as live.
        """
        rows = [
            {
                "instance_id": instance_id,
                "role": "entry",
                "availability_zone": self._entry_plans[instance_id].availability_zone,
                "host": process.address("peers").host,
                "port": process.address("peers").port,
                "state": "leaving" if instance_id in leaving_ids else "live",
            }
            for instance_id, process in self.entries.items()
        ]
        set_switches(self.instance_list.address(), rows=rows + self._make_target_rows())
        caller_addresses = [process.address("callers") for process in self.entries.values()]
        self.set_balancer_switches(
            entries=[{"host": address.host, "port": address.port} for address in caller_addresses]
        )

    def wait_until_balanced(self, instance_ids: tuple[str, ...]) -> None:
        """Wait until the balancer passes connections to exactly these entry instances.

        Raises
        ------
        requests.Timeout
            If that takes more than `HTTP_TIMEOUT_S`.
        """
        caller_addresses = [
            self.entries[instance_id].address("callers") for instance_id in instance_ids
        ]
        body: Any = [{"host": address.host, "port": address.port} for address in caller_addresses]
        reply = requests.post(
            f"http://{self._balancer_admin_address()}/wait", json=body, timeout=HTTP_TIMEOUT_S
        )
        reply.raise_for_status()

    def set_balancer_switches(self, **switches: Any) -> None:
        """Set switches of the balancer."""
        set_switches(self._balancer_admin_address(), **switches)

    def apply_resources(self, resources: str) -> None:
        """Declare the services of the targets and further resources, through the first entry.

        Parameters
        ----------
        resources : str
            Searches, routes and callers in the format of ``savoryarch apply``.
        """
        path = self.folder / "resources.ini"
        path.write_text(self.format_services() + "\n" + resources, encoding="utf-8")
        operators_address = next(iter(self.entries.values())).address("operators")
        arguments = [sys.executable, *self.plan.program, "apply", str(path)]
        subprocess.run(
            [*arguments, "--operators", f"http://{operators_address}"],
            check=True,
            timeout=APPLY_TIMEOUT_S,
        )

    def format_services(self) -> str:
        """Return the services of the target stand-ins in the format of ``savoryarch apply``."""
        return "\n".join(format_resource(service) for service in self.make_services())

    def make_services(self) -> tuple[Service, ...]:
        """Return the services of the target stand-ins, with the addresses they listen on."""
        targets: dict[str, list[Target]] = {}
        for spec in self._specs:
            address = self.target_address(spec.target_id)
            zone = spec.availability_zone
            target = Target(spec.target_id, spec.service, zone, address.host, address.port)
            targets.setdefault(spec.service, []).append(target)
        by_service = {spec.service: spec for spec in self._specs}
        return tuple(
            Service(
                name=name,
                group=name.rstrip("0123456789").rstrip("-"),
                slots=spec.slots,
                connection_limit=spec.connection_limit,
                targets=tuple(targets[name]),
            )
            for name, spec in by_service.items()
        )

    def target_address(self, target_id: str) -> Address:
        """Return the address that a target stand-in listens on.

        Raises
        ------
        KeyError
            If no target has this id.
        """
        for process in self.targets.values():
            ports = dict(item.split(":") for item in process.ready_fields["ports"].split(","))
            if target_id in ports:
                return Address(process.ready_fields["host"], int(ports[target_id]))
        raise KeyError(target_id)

    def read_log_tails(self) -> str:
        """Return the last log lines of every process that was started."""
        return "\n".join(
            f"== {process.name}\n{process.read_log_tail()}" for process in self._processes
        )

    def _start_platform(self) -> None:
        self.store = self._start_process("store", ["-m", "savoryarch_standins.store"])
        self.instance_list = self._start_process(
            "list", ["-m", "savoryarch_standins.instance_list"]
        )
        self.balancer = self._start_process("balancer", ["-m", "savoryarch_standins.balancer"])
        set_switches(self.instance_list.address(), lag_ms=self.plan.list_lag_ms)
        self.set_balancer_switches(
            check_interval_ms=self.plan.check_interval_ms, lag_ms=self.plan.balancer_lag_ms
        )
        path = self.folder / "targets.ini"
        path.write_text(self.plan.targets, encoding="utf-8")
        for zone in sorted({spec.availability_zone for spec in self._specs}):
            target_ids = [spec.target_id for spec in self._specs if spec.availability_zone == zone]
            arguments = ["-m", "savoryarch_standins.target", "--settings", str(path)]
            self.targets[zone] = self._start_process(
                f"targets-{zone}", [*arguments, "--target", ",".join(target_ids)]
            )

    def _start_process(self, name: str, arguments: list[str]) -> ManagedProcess:
        process = start_process(name, arguments, self.folder)
        self._processes.append(process)
        return process

    def _format_entry_settings(self, plan: EntryPlan) -> str:
        sections: dict[str, dict[str, str]] = {
            "instance": {
                "instance_id": plan.instance_id,
                "availability_zone": plan.availability_zone,
            },
            "callers": {"port": str(plan.callers_port)},
            "operators": {"port": str(plan.operators_port)},
            "peers": {"port": str(plan.peers_port)},
            "platform": {
                "store_url": f"http://{self.store.address()}",
                "instance_list_url": f"http://{self.instance_list.address()}",
            },
        }
        for name, values in self.plan.settings.items():
            sections[name] = {**sections.get(name, {}), **values}
        return "\n".join(
            f"[{name}]\n" + "".join(f"{key} = {value}\n" for key, value in values.items())
            for name, values in sections.items()
        )

    def _make_target_rows(self) -> list[dict[str, Any]]:
        return [
            {
                "instance_id": spec.target_id,
                "role": "target",
                "availability_zone": spec.availability_zone,
                "host": self.target_address(spec.target_id).host,
                "port": self.target_address(spec.target_id).port,
            }
            for spec in self._specs
        ]

    def _balancer_admin_address(self) -> Address:
        return Address(
            self.balancer.ready_fields["host"], int(self.balancer.ready_fields["admin_port"])
        )

    def _kill_processes(self) -> None:
        for process in reversed(self._processes):
            process.kill()


def set_switches(address: Address, **switches: Any) -> None:
    """Set switches of a stand-in through its ``/switches`` endpoint."""
    reply = requests.post(f"http://{address}/switches", json=switches, timeout=HTTP_TIMEOUT_S)
    reply.raise_for_status()


def _read_specs(text: str) -> tuple[TargetSpec, ...]:
    result = read_settings(text, "targets.ini")
    if result.findings:
        raise StartError("\n".join(str(finding) for finding in result.findings))
    return result.settings.specs
