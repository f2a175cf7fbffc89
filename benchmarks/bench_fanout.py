"""CPU time of the decisions per sub-request, for queries to 10 up to 660 shards.

Run with ``python -m benchmarks.bench_fanout [--replies N] [--rounds N]``.
"""

import argparse
import json
from dataclasses import dataclass
from statistics import median
from time import process_time

from immutables import Map

from savoryarch.model import (
    AnswerSearch,
    AttemptEnded,
    CallerDisconnected,
    Declarations,
    DeclarationsInForce,
    PartReturned,
    Search,
    SearchRequested,
    SendAttempt,
    Service,
    ShardMap,
    SnapshotId,
    Target,
    TargetEvidence,
    TargetEvidenceReceived,
)
from savoryarch.search import SearchSettings, decide_search, make_search_state
from savoryarch.targets import TargetsSettings, decide_targets, make_targets_state

SHARD_COUNTS = (10, 15, 66, 220, 660)
MAX_COST_RATIO = 1.3
SNAPSHOT = SnapshotId(1, 1)
REPLY = PartReturned(SNAPSHOT, b"[]", True)
ZONES = ("zone-a", "zone-b", "zone-c")
US_PER_S = 1e6


@dataclass(frozen=True, slots=True)
class SubRequestCost:
    """CPU time per sub-request: to send it, and to process its reply."""

    send_us: float
    reply_us: float

    @property
    def total_us(self) -> float:
        """Return the CPU time of a sub-request from the query to the end of its reply."""
        return self.send_us + self.reply_us


class SearchTier:
    """The product's decisions on one search over many shards, without a process or a network.

    Parameters
    ----------
    shards : int
        Number of shards, each of three targets.
    """

    def __init__(self, shards: int) -> None:
        self.now_ms = 0.0
        self.search = make_search_state(SearchSettings())
        self.targets = make_targets_state(TargetsSettings("zone-a"))
        names = [f"shard-{number:03}" for number in range(shards)]
        services = {
            name: Service(
                name,
                "shards",
                2,
                25,
                tuple(Target(f"{name}-{zone}", name, zone, "127.0.0.1", 1) for zone in ZONES),
            )
            for name in names
        }
        search = Search("catalogue", (ShardMap(1, tuple(names)),), 1000.0)
        self.feed(DeclarationsInForce(Declarations(1, Map(services), Map({"catalogue": search}))))
        for service in services.values():
            for target in service.targets:
                self.feed(
                    TargetEvidenceReceived(
                        target.target_id, TargetEvidence.PROBE_ANSWERED, (SNAPSHOT,)
                    )
                )

    def feed(self, event: object) -> tuple[object, ...]:
        """Apply an event and return the effects."""
        decided_targets = decide_targets(self.targets, event, self.now_ms)
        self.targets = decided_targets.state
        decided_search = decide_search(self.search, self.targets, event, self.now_ms)
        self.search, self.targets = decided_search.state, decided_search.targets
        return decided_targets.effects + decided_search.effects

    def run_query(self, number: int) -> SubRequestCost:
        """Run one query with replies from all shards and return its cost per sub-request."""
        self.now_ms += 50.0
        started_s = process_time()
        effects = self.feed(SearchRequested(f"r{number}", "catalogue", "counter", b"{}"))
        sent_s = process_time()
        sends = [effect for effect in effects if isinstance(effect, SendAttempt)]
        replies = [
            AttemptEnded(send.attempt_id, send.target_id, REPLY, (SNAPSHOT,)) for send in sends
        ]
        self.now_ms += 5.0
        reply_started_s = process_time()
        for reply in replies:
            effects = self.feed(reply)
        reply_ended_s = process_time()
        answered = any(isinstance(effect, AnswerSearch) for effect in effects)
        if not answered:
            raise AssertionError(f"query {number}: got effects {effects}, expected an answer")
        self.feed(CallerDisconnected(f"r{number}"))
        count = len(sends)
        return SubRequestCost(
            (sent_s - started_s) * US_PER_S / count,
            (reply_ended_s - reply_started_s) * US_PER_S / count,
        )


def measure_cost(shards: int, replies: int) -> SubRequestCost:
    """Return the median cost of queries to `shards` shards, after two to warm up."""
    tier = SearchTier(shards)
    queries = max(5, replies // shards)
    costs = [tier.run_query(number) for number in range(queries + 2)][2:]
    return SubRequestCost(
        median(cost.send_us for cost in costs), median(cost.reply_us for cost in costs)
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--replies", type=int, default=10_000)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    best: dict[int, SubRequestCost] = {}
    for _ in range(options.rounds):
        for shards in SHARD_COUNTS:
            cost = measure_cost(shards, options.replies)
            if shards not in best or cost.total_us < best[shards].total_us:
                best[shards] = cost
    print(f"{'shards':>8}{'send us':>10}{'reply us':>10}{'sum us':>10}")
    for shards, cost in best.items():
        print(f"{shards:>8}{cost.send_us:>10.1f}{cost.reply_us:>10.1f}{cost.total_us:>10.1f}")
    smallest, largest = best[SHARD_COUNTS[0]], best[SHARD_COUNTS[-1]]
    ratio = largest.total_us / smallest.total_us
    goal = {
        "name": "decision_cpu_per_sub_request_660_over_10_shards",
        "measured": round(ratio, 3),
        "bound": MAX_COST_RATIO,
        "unit": "ratio",
        "holds": ratio <= MAX_COST_RATIO,
        "baseline": 1.0,
    }
    print(json.dumps({"goals": [goal], "slopes": {"decision_us": round(largest.total_us, 1)}}))


if __name__ == "__main__":
    main()
