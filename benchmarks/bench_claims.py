"""Writes of claims to the store, and their delay and size, at 1 to 5,000 orders per second.

Run with ``python -m benchmarks.bench_claims [--seconds S] [--seed N]``. Four instances share a
Poisson stream of orders in virtual time. The store is the stand-in, with its rate limits and a
latency of 2 ms.
"""

import json
import time
import tracemalloc
from collections import Counter
from dataclasses import dataclass, replace
from random import Random

from fire import Fire

from savoryarch.model import (
    Claim,
    Claimant,
    ClaimDone,
    RouteReturned,
    SendAttempt,
    SwapKey,
)
from savoryarch.orders import OrdersSettings
from savoryarch.orders._bucket_codec import decode_bucket, encode_bucket
from savoryarch.orders._claims import digest_key, estimate_claim_bytes, make_bucket_value
from savoryarch.orders.tests.simulation import Latencies, Simulation, make_declarations
from savoryarch_standins.store import MAX_VALUE_BYTES

INSTANCES = ("a", "b", "c", "d")
RATES_PER_S = (1, 10, 100, 1000, 5000)
BODY = (
    b'{"order_id": "%016d", "state": "accepted", "plates": 3, "ready_at": "2026-12-04T11:20:00Z"}'
)
MS_PER_S = 1000.0
STORE_LATENCY_MS = 2.0
MAX_WRITES_PER_S = 200.0
MAX_SEND_P99_MS = 250.0
RETAINED_SHARE = 0.75  # of the bytes of a full bucket, after its old claims have been dropped
SETTINGS = OrdersSettings()


@dataclass(frozen=True)
class Measurement:
    """Measurement of one run.

    Parameters
    ----------
    rate_per_s : int
        Mean rate of orders.
    relays_claims : bool
        Whether the owner of a bucket writes the claims of all instances.
    order_count, done_count : int
        Number of orders sent, and of orders with exactly one outcome.
    writes_per_s, busiest_writes_per_s : float
        Writes to the store in the mean and in the busiest second.
    conflicts : int
        Number of writes that were refused because of a newer revision.
    p50_ms, p99_ms : float
        Quantiles of the time from the request to its send to a target.
    max_value_bytes : int
        Size of the largest bucket value.
    decision_us : float
        CPU time per order of the decisions of all instances and of the simulation.
    peer_messages_per_s : float
        Messages between the instances.
    claim_bytes : float
        Bytes in the store per order.
    """

    rate_per_s: int
    relays_claims: bool
    order_count: int
    done_count: int
    writes_per_s: float
    busiest_writes_per_s: float
    conflicts: int
    p50_ms: float
    p99_ms: float
    max_value_bytes: int
    decision_us: float
    peer_messages_per_s: float
    claim_bytes: float

    def retention_s(self) -> float:
        """Return for how long outcomes are retained at this rate before the buckets are full."""
        retained_bytes = SETTINGS.buckets * SETTINGS.bucket_bytes * RETAINED_SHARE
        return retained_bytes / (self.claim_bytes * self.rate_per_s)


def measure(rate_per_s: int, relays: bool, seconds: float, seed: int, **settings) -> Measurement:
    """Send orders to four instances at a mean rate for some seconds and measure the claims."""
    rng = Random(seed)
    simulation = Simulation(
        INSTANCES,
        OrdersSettings(relays_claims=relays, **settings),
        Latencies(store_ms=lambda: STORE_LATENCY_MS, target_ms=lambda: rng.uniform(2, 20)),
        make_declarations(deadline_ms=5000.0, slots=100_000),
    )
    # Only watches need a long history of the store, and orders do not use them.
    simulation.store = replace(simulation.store, history_limit=2)
    simulation.target_reply = lambda run: RouteReturned(201, BODY % run)
    requested_at_ms: dict[str, float] = {}
    orders = 0

    def arrive() -> None:
        nonlocal orders
        orders += 1
        request_id = simulation.send_request(
            rng.choice(INSTANCES), f"order-{orders}", b'{"plate": %d}' % orders
        )
        requested_at_ms[request_id] = simulation.now_ms
        if simulation.now_ms < seconds * MS_PER_S:
            simulation.schedule(rng.expovariate(rate_per_s) * MS_PER_S, arrive)

    recorder = EffectRecorder()
    simulation.filter_effects = recorder.record
    recorder.simulation = simulation
    simulation.schedule(0.0, arrive)
    started_s = time.process_time()
    simulation.run(seconds * MS_PER_S)
    cpu_s = time.process_time() - started_s
    simulation.run((seconds + 5.0) * MS_PER_S)
    delays_ms = sorted(sent - requested_at_ms[key] for key, sent in recorder.sent_at_ms.items())
    done_count = sum(len(outcomes) == 1 for outcomes in simulation.outcomes.values())
    return Measurement(
        rate_per_s=rate_per_s,
        relays_claims=relays,
        order_count=orders,
        done_count=done_count,
        writes_per_s=sum(recorder.writes[second] for second in range(int(seconds))) / int(seconds),
        busiest_writes_per_s=max(recorder.writes.values()),
        # Each successful write raises the revision of the store by 1.
        conflicts=recorder.swap_count - simulation.store.revision,
        p50_ms=delays_ms[len(delays_ms) // 2],
        p99_ms=delays_ms[int(len(delays_ms) * 0.99)],
        max_value_bytes=recorder.max_value_bytes,
        decision_us=cpu_s / orders * 1e6,
        peer_messages_per_s=recorder.peer_message_count / seconds,
        claim_bytes=sum(len(entry.value) for entry in simulation.store.entries.values()) / orders,
    )


class EffectRecorder:
    """Counts the writes, messages and sends in the effects of all instances."""

    def __init__(self) -> None:
        self.simulation: Simulation
        self.writes: Counter[int] = Counter()  # by second
        self.swap_count = 0
        self.max_value_bytes = 0
        self.peer_message_count = 0
        self.sent_at_ms: dict[str, float] = {}

    def record(self, instance: str, effects: tuple[object, ...]) -> tuple[object, ...]:
        """Record the effects of one decision and return them unchanged."""
        # The simulation keeps all effects for tests, which would take memory here.
        self.simulation.effects.clear()
        for effect in effects:
            match effect:
                case SwapKey(value=value):
                    self.writes[int(self.simulation.now_ms // MS_PER_S)] += 1
                    self.swap_count += 1
                    self.max_value_bytes = max(self.max_value_bytes, len(value))
                case SendAttempt(attempt_id=attempt_id):
                    request_id = attempt_id.split("/")[1]
                    self.sent_at_ms.setdefault(request_id, self.simulation.now_ms)
                case _ if type(effect).__name__ == "SendToPeer":
                    self.peer_message_count += 1
        return effects


def print_row(row: Measurement) -> None:
    """Print one row of the table that `main` starts."""
    print(
        f"{row.rate_per_s:>7} {'owner' if row.relays_claims else 'each':>6}"
        f" {row.order_count:>7} {row.done_count:>7}"
        f" {row.writes_per_s:>8.1f} {row.busiest_writes_per_s:>8} {row.conflicts:>9}"
        f" {row.p50_ms:>8.1f} {row.p99_ms:>8.1f} {row.max_value_bytes:>9} {row.decision_us:>9.0f}"
        f" {row.peer_messages_per_s:>7.0f} {row.claim_bytes:>6.0f} {row.retention_s():>9.0f}",
        flush=True,
    )


def main(seconds: float = 5.0, seed: int = 1) -> None:
    """Measure the claims with and without owners of buckets and print the goals as JSON.

    Parameters
    ----------
    seconds : float
        Virtual time of each run.
    seed : int
        Seed of all random numbers.
    """
    print(
        "orders/s writer  orders answered writes/s  busiest conflicts   p50 ms   p99 ms"
        " max value us/order  msgs/s  bytes retained s"
    )
    rows = {}
    for relays_claims in (True, False):
        for rate_per_s in RATES_PER_S:
            row = measure(rate_per_s, relays_claims, seconds, seed)
            rows[rate_per_s, relays_claims] = row
            print_row(row)
    measure_full_bucket()
    fastest = rows[RATES_PER_S[-1], True]
    slopes = {
        "claim_us": round(fastest.decision_us),
        "claim_messages": round(fastest.peer_messages_per_s / fastest.rate_per_s, 2),
        "claim_writes_per_s": fastest.busiest_writes_per_s,
    }
    print(json.dumps({"goals": make_goals(rows), "slopes": slopes}))


def measure_full_bucket() -> None:
    """Print the size, memory and encoding time of a bucket with as many claims as it retains."""
    size_bytes, claim_count, claims = 0, 0, []
    while size_bytes < SETTINGS.bucket_bytes * RETAINED_SHARE:
        claim_count += 1
        digest = digest_key("order", f"order-{claim_count}")
        claimant = Claimant("entry-1", 1_700_000_000_000, claim_count)
        done = ClaimDone(201, BODY % claim_count)
        claims.append(Claim(digest, digest[:8], claimant, 1_700_000_000_000 + claim_count, done))
        size_bytes += estimate_claim_bytes(claims[-1])
    data = encode_bucket(make_bucket_value(claims, 0))
    tracemalloc.start()
    value = decode_bucket(data)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    started_s = time.process_time()
    decode_bucket(data)
    decoded_s = time.process_time()
    encode_bucket(value)
    encoded_s = time.process_time()
    print(
        f"full bucket: {claim_count} claims, {len(data)} bytes in the store,"
        f" {memory_bytes / claim_count:.0f} bytes of memory per claim,"
        f" decode {(decoded_s - started_s) * MS_PER_S:.1f} ms,"
        f" encode {(encoded_s - decoded_s) * MS_PER_S:.1f} ms",
        flush=True,
    )


def make_goals(rows: dict[tuple[int, bool], Measurement]) -> list[dict[str, object]]:
    """Compare the measurements with the bounds; the baseline has no owners of buckets."""
    with_owners = [row for row in rows.values() if row.relays_claims]
    without_owners = [row for row in rows.values() if not row.relays_claims]
    busiest_writes_per_s = max(row.busiest_writes_per_s for row in with_owners)
    max_value_bytes = max(row.max_value_bytes for row in with_owners)
    fastest, fastest_without_owners = rows[RATES_PER_S[-1], True], rows[RATES_PER_S[-1], False]
    min_retention_s = SETTINGS.minimum_retention_ms / MS_PER_S
    return [
        {
            "name": "claim writes in the busiest second, 1 to 5,000 orders/s",
            "measured": busiest_writes_per_s,
            "bound": MAX_WRITES_PER_S,
            "unit": "writes/s",
            "holds": busiest_writes_per_s <= MAX_WRITES_PER_S,
            "baseline": max(row.busiest_writes_per_s for row in without_owners),
        },
        {
            "name": "p99 from the request to its send at 5,000 orders/s",
            "measured": round(fastest.p99_ms, 1),
            "bound": MAX_SEND_P99_MS,
            "unit": "ms",
            "holds": fastest.p99_ms <= MAX_SEND_P99_MS,
            "baseline": round(fastest_without_owners.p99_ms, 1),
        },
        {
            "name": "retention at 5,000 orders/s, at least",
            "measured": round(fastest.retention_s(), 1),
            "bound": min_retention_s,
            "unit": "s",
            "holds": fastest.retention_s() >= min_retention_s,
            "baseline": round(fastest_without_owners.retention_s(), 1),
        },
        {
            "name": "largest bucket value",
            "measured": max_value_bytes,
            "bound": MAX_VALUE_BYTES,
            "unit": "bytes",
            "holds": max_value_bytes <= MAX_VALUE_BYTES,
            "baseline": max(row.max_value_bytes for row in without_owners),
        },
    ]


if __name__ == "__main__":
    Fire(main)
