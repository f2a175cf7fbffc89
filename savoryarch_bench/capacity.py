"""Computes the tables of ``docs/CAPACITY.md`` from measured slopes; run by ``make capacity``.

A slope is the cost of one unit of work, such as the CPU time of one request. Each benchmark of
``BENCHMARKS`` prints its slopes as JSON in its last line.
"""

import subprocess
import sys
from collections.abc import Mapping
from dataclasses import dataclass, fields
from pathlib import Path

from fire import Fire
from msgspec import json

CAPACITY_PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
BENCHMARKS = (
    "bench_front",
    "bench_fanout",
    "bench_target_client",
    "bench_batch",
    "bench_admission",
    "bench_quarantine",
    "bench_claims",
    "bench_configuration",
    "bench_membership",
    "bench_peers",
    "bench_memory",
)
US_PER_S = 1e6
S_PER_DAY = 86_400.0
MS_PER_S = 1000.0
KB_PER_MB = 1024.0
CONFIGURATION_FRAME_BYTES = 250.0  # assumed size of one configuration message between peers
CONNECTED_PEERS = 30  # of one node
# Bounds that the users set for the control cost of a node.
MAX_CONTROL_CORE_PERCENT = 1.5
MAX_CONTROL_MB = 32.0
MAX_CONTROL_BYTES_PER_S = 9_000.0


@dataclass(frozen=True, slots=True)
class DeploymentSize:
    """Load and size of the deployment that users require, and the design choices for it.

    Parameters
    ----------
    nodes, targets : int
        Number of entry instances and of targets.
    queries_per_s : float
        Queries of all callers per second.
    fan_out : int
        Number of shards of one query.
    deadline_ms : float
        Deadline of a query.
    changes_per_day, restarts_per_day : float
        Changes of the configuration, and restarts of nodes.
    owners_per_target : int
        Number of nodes that send requests to one target.
    replicas_per_shard : int
        Number of targets of one shard.
    batch_window_ms : float
        Time during which sub-requests to one target are collected in a batch.
    orders_per_s : float
        Orders of all callers per second.
    """

    nodes: int = 740
    targets: int = 5_700
    queries_per_s: float = 150_000.0
    fan_out: int = 660
    deadline_ms: float = 66.0
    changes_per_day: float = 1_400.0
    restarts_per_day: float = 1_200.0
    owners_per_target: int = 3
    replicas_per_shard: int = 3
    batch_window_ms: float = 2.0
    orders_per_s: float = 5_000.0

    @property
    def node_queries_per_s(self) -> float:
        """Return the queries that one node accepts per second."""
        return self.queries_per_s / self.nodes

    @property
    def node_sub_requests_per_s(self) -> float:
        """Return the sub-requests that belong to the queries of one node, per second."""
        return self.node_queries_per_s * self.fan_out

    @property
    def owned_targets(self) -> float:
        """Return the number of targets that one node owns."""
        return self.targets * self.owners_per_target / self.nodes

    @property
    def relay_groups(self) -> float:
        """Return the owners that one query is relayed to.

        This holds if targets that are searched together have the same owners.
        """
        return self.fan_out / (self.owned_targets)

    @property
    def target_sub_requests_per_s(self) -> float:
        """Return the sub-requests that one target receives per second."""
        return self.queries_per_s * self.fan_out / self.targets


@dataclass(frozen=True, slots=True)
class Slopes:
    """Measured costs; the end of a name gives the unit.

    ``_us`` is CPU time in microseconds, ``_kb`` memory in KB, ``_core`` the share of one core.

    Parameters
    ----------
    front_us, rest_kb : float
        One request of a caller over HTTP, and an entry process before its first request.
    decision_us, client_us : float
        Decisions on one sub-request, and its HTTP request to the target.
    batch_us, metric_us : float
        One sub-answer in a batch, and one count of a metric.
    admission_us, quarantine_us : float
        Admission of one request, and quarantine of one attempt.
    claim_us, claim_messages, claim_writes_per_s : float
        CPU time and peer messages of the claim of one order, and writes of all instances to the
        store in the busiest second.
    configuration_bytes_per_s, configuration_change_bytes : float
        Bytes to peers per instance without changes, and per change.
    configuration_calls_per_s, configuration_p99_ms : float
        Calls of all instances to the store, and time until a change is in force everywhere.
    configuration_apply_ms, configuration_value_bytes : float
        CPU time to decode and check the complete configuration, and its size.
    membership_bytes_per_s, membership_messages_per_s, membership_core, detection_ms : float
        Cost of the membership per instance, and time until all detect a killed instance.
    peer_us, peer_connection_kb, transport_kb : float
        One message between peers, one connection, and the transport without connections.
    membership_kb, configuration_kb, targets_kb, quarantine_kb : float
        State of these components.
    """

    front_us: float
    rest_kb: float
    decision_us: float
    client_us: float
    batch_us: float
    metric_us: float
    admission_us: float
    quarantine_us: float
    claim_us: float
    claim_messages: float
    claim_writes_per_s: float
    configuration_bytes_per_s: float
    configuration_change_bytes: float
    configuration_calls_per_s: float
    configuration_p99_ms: float
    configuration_apply_ms: float
    configuration_value_bytes: float
    membership_bytes_per_s: float
    membership_messages_per_s: float
    membership_core: float
    detection_ms: float
    peer_us: float
    peer_connection_kb: float
    transport_kb: float
    membership_kb: float
    configuration_kb: float
    targets_kb: float
    quarantine_kb: float


@dataclass(frozen=True, slots=True)
class ControlRow:
    """Cost of one control component on a node."""

    component: str
    mechanism: str
    core_percent: float
    memory_mb: float
    bytes_per_s: float
    store_calls: str


@dataclass(frozen=True, slots=True)
class PathRow:
    """Cost of one role of the data path on a node."""

    role: str
    mechanism: str
    per_s: float
    cost_us: float

    @property
    def cores(self) -> float:
        """Return the number of cores that the role uses."""
        return self.per_s * self.cost_us / US_PER_S


def control_rows(size: DeploymentSize, slopes: Slopes) -> tuple[ControlRow, ...]:
    """Return the control cost of a node, one row for each component."""
    transport_kb = slopes.transport_kb + CONNECTED_PEERS * slopes.peer_connection_kb
    return (
        _membership_row(slopes),
        _configuration_row(size, slopes),
        _restart_row(size, slopes),
        _memory_row("targets", "state of every declared target", slopes.targets_kb),
        _memory_row("quarantine", "bounded records, announced to peers", slopes.quarantine_kb),
        _memory_row("peer transport", "one-way nng sockets, closed when idle", transport_kb),
    )


def _membership_row(slopes: Slopes) -> ControlRow:
    core = slopes.membership_core
    core += slopes.membership_messages_per_s * slopes.peer_us / US_PER_S
    return ControlRow(
        "membership",
        "heartbeats to ring neighbours; membership updates are piggybacked on them",
        100.0 * core,
        slopes.membership_kb / KB_PER_MB,
        slopes.membership_bytes_per_s,
        "none",
    )


def _configuration_row(size: DeploymentSize, slopes: Slopes) -> ControlRow:
    changes_per_s = size.changes_per_day / S_PER_DAY
    messages_per_s = slopes.configuration_bytes_per_s / CONFIGURATION_FRAME_BYTES
    core = changes_per_s * slopes.configuration_apply_ms / MS_PER_S
    core += messages_per_s * slopes.peer_us / US_PER_S
    return ControlRow(
        "configuration",
        "a few instances watch the store; peers push and announce new versions",
        100.0 * core,
        slopes.configuration_kb / KB_PER_MB,
        slopes.configuration_bytes_per_s + changes_per_s * slopes.configuration_change_bytes,
        f"{slopes.configuration_calls_per_s:g}/s, all nodes together",
    )


def _restart_row(size: DeploymentSize, slopes: Slopes) -> ControlRow:
    node_restarts_per_s = size.restarts_per_day / S_PER_DAY / size.nodes
    return ControlRow(
        "configuration of restarted nodes",
        "a restarted node gets the complete configuration from a peer",
        100.0 * node_restarts_per_s * slopes.configuration_apply_ms / MS_PER_S,
        0.0,
        2.0 * node_restarts_per_s * slopes.configuration_value_bytes,
        "1 list call per restart",
    )


def _memory_row(component: str, mechanism: str, used_kb: float) -> ControlRow:
    return ControlRow(component, mechanism, 0.0, used_kb / KB_PER_MB, 0.0, "none")


def unbatched_path_rows(size: DeploymentSize, slopes: Slopes) -> tuple[PathRow, ...]:
    """Return the cost of the data path of a node in the current design, without batches."""
    per_s = size.node_sub_requests_per_s
    return (
        PathRow("accepting", "HTTP front end (klein)", size.node_queries_per_s, slopes.front_us),
        PathRow("admission", "fair queueing", size.node_queries_per_s, slopes.admission_us),
        PathRow("quarantine", "check and record of each attempt", per_s, slopes.quarantine_us),
        PathRow("fan-out, decisions", "state charts, immutable maps", per_s, slopes.decision_us),
        PathRow("fan-out, connections", "one request per sub-request", per_s, slopes.client_us),
        PathRow("metrics", "one counter increment per reply", per_s, slopes.metric_us),
    )


def batched_path_rows(size: DeploymentSize, slopes: Slopes) -> tuple[PathRow, ...]:
    """Return the cost of the data path of a node with owners, relays and batches.

    A frame costs its fixed part once, so that a sub-request only costs its share of the frame.
    """
    relayed = size.node_queries_per_s * size.relay_groups
    batches = size.owned_targets * 1000.0 / size.batch_window_ms
    per_s = size.node_sub_requests_per_s
    return (
        PathRow("accepting", "HTTP front end (klein)", size.node_queries_per_s, slopes.front_us),
        PathRow("admission", "fair queueing", size.node_queries_per_s, slopes.admission_us),
        PathRow("relaying to owners", "one frame per owner and query", 2 * relayed, slopes.peer_us),
        PathRow(
            "relay batches", "messages within a window share a frame", 2 * per_s, slopes.batch_us
        ),
        PathRow(
            "fan-out, decisions", "one per owner instead of per shard", relayed, slopes.decision_us
        ),
        PathRow("fan-out, connections", "a batch per target and window", batches, slopes.client_us),
        PathRow("target batches", "decoding of sub-answers", 2 * per_s, slopes.batch_us),
        PathRow("metrics", "one counter increment per batch", batches, slopes.metric_us),
    )


def render_slopes(slopes: Slopes) -> str:
    """Return the table of the slopes in Markdown."""
    rows = [f"| `{item.name}` | {getattr(slopes, item.name):g} |" for item in fields(Slopes)]
    return "\n".join(["| slope | measured |", "|---|---|", *rows])


def render_control(size: DeploymentSize, slopes: Slopes) -> str:
    """Return the table of control costs in Markdown, with their sum and the bounds."""
    rows = control_rows(size, slopes)
    lines = [
        "| component | mechanism | % of a core | MB | bytes/s | store calls |",
        "|---|---|---|---|---|---|",
    ]
    lines += [
        f"| {row.component} | {row.mechanism} | {row.core_percent:.3f} | {row.memory_mb:.2f}"
        f" | {row.bytes_per_s:.0f} | {row.store_calls} |"
        for row in rows
    ]
    core_percent = sum(row.core_percent for row in rows)
    memory_mb = sum(row.memory_mb for row in rows)
    bytes_per_s = sum(row.bytes_per_s for row in rows)
    lines.append(f"| **sum** | | {core_percent:.3f} | {memory_mb:.2f} | {bytes_per_s:.0f} | |")
    lines.append(
        f"| bound | | {MAX_CONTROL_CORE_PERCENT:g} | {MAX_CONTROL_MB:g}"
        f" | {MAX_CONTROL_BYTES_PER_S:g} | |"
    )
    return "\n".join(lines)


def render_path(rows: tuple[PathRow, ...]) -> str:
    """Return the table of the data path of a node in Markdown."""
    lines = ["| role | mechanism | operations/s | us/operation | cores |", "|---|---|---|---|---|"]
    lines += [
        f"| {row.role} | {row.mechanism} | {row.per_s:,.0f} | {row.cost_us:.2f}"
        f" | {row.cores:.2f} |"
        for row in rows
    ]
    lines.append(f"| **sum** | | | | {sum(row.cores for row in rows):.2f} |")
    return "\n".join(lines)


def render_tables(size: DeploymentSize, slopes: Slopes) -> dict[str, str]:
    """Return every table of the page by the name of its section."""
    return {
        "slopes": render_slopes(slopes),
        "control": render_control(size, slopes),
        "today": render_path(unbatched_path_rows(size, slopes)),
        "batched": render_path(batched_path_rows(size, slopes)),
    }


def read_slopes(page: str) -> Slopes:
    """Return the slopes from the table of a page."""
    table = _extract_section(page, "slopes")
    values: dict[str, float] = {}
    for line in table.splitlines()[2:]:
        _, name, value, _ = (cell.strip() for cell in line.split("|"))
        values[name.strip("`")] = float(value)
    return Slopes(**values)


def write_tables(page: str, tables: Mapping[str, str]) -> str:
    """Return the page with its tables replaced."""
    for name, table in tables.items():
        page = page.replace(_extract_section(page, name), table)
    return page


def _extract_section(page: str, name: str) -> str:
    start, end = f"<!-- {name} -->\n", f"\n<!-- end {name} -->"
    return page.partition(start)[2].partition(end)[0]


def measure_slopes() -> Slopes:
    """Run every benchmark and return the slopes of all."""
    values: dict[str, float] = {}
    for benchmark in BENCHMARKS:
        completed = subprocess.run(
            [sys.executable, "-m", f"benchmarks.{benchmark}"],
            cwd=CAPACITY_PAGE.parent.parent,
            stdout=subprocess.PIPE,
            check=True,
        )
        lines = completed.stdout.decode().splitlines()
        slopes = json.decode(lines[-1])["slopes"]
        print(f"{benchmark}: {slopes}", flush=True)
        values |= slopes
    return Slopes(**values)


def main(write: bool = False) -> None:
    """Measure every slope and print the tables.

    Parameters
    ----------
    write : bool
        Whether to replace the tables of ``docs/CAPACITY.md`` as well.
    """
    tables = render_tables(DeploymentSize(), measure_slopes())
    for name, table in tables.items():
        print(f"\n{name}\n{table}")
    if write:
        page = CAPACITY_PAGE.read_text(encoding="utf-8")
        CAPACITY_PAGE.write_text(write_tables(page, tables), encoding="utf-8")


if __name__ == "__main__":
    Fire(main)
