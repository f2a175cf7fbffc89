"""Measures the claims on the store against orders per second, in virtual time.

Four instances share a Poisson stream of orders; the store is the stand-in's pure logic with its
rate limits, 2 ms away. Usage: ``python -m benchmarks.bench_claims [--seconds S] [--seed N]``.
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
STORE_MS = 2.0
WRITES_BOUND_PER_S = 200.0
SEND_BOUND_MS = 250.0
KEPT_SHARE = 0.75  # of a full bucket, after old claims were dropped
SETTINGS = OrdersSettings()


@dataclass(frozen=True)
class Measured:
    """What one run came to."""

    rate_per_s: int
    relays: bool
    orders: int
    done: int
    writes_per_s: float
    busiest_writes_per_s: float
    conflicts: int
    p50_ms: float
    p99_ms: float
    value_bytes: int
    decision_us: float
    peer_messages_per_s: float
    claim_bytes: float

    def retention_s(self) -> float:
        """How long outcomes are kept at this rate before room is needed."""
        kept_bytes = SETTINGS.buckets * SETTINGS.bucket_bytes * KEPT_SHARE
        return kept_bytes / (self.claim_bytes * self.rate_per_s)


def measure(rate_per_s: int, relays: bool, seconds: float, seed: int, **settings) -> Measured:
    """Drive four instances at a rate of orders and measure the claims."""
    draw = Random(seed)
    simulation = Simulation(
        INSTANCES,
        OrdersSettings(relays_claims=relays, **settings),
        Latencies(store_ms=lambda: STORE_MS, target_ms=lambda: draw.uniform(2, 20)),
        make_declarations(deadline_ms=5000.0, slots=100_000),
    )
    # The history is for watches, which orders do not use.
    simulation.store = replace(simulation.store, history_limit=2)
    simulation.target_reply = lambda run: RouteReturned(201, BODY % run)
    asked_at_ms: dict[str, float] = {}
    number = 0

    def arrive() -> None:
        nonlocal number
        number += 1
        request_id = simulation.send_request(
            draw.choice(INSTANCES), f"order-{number}", b'{"plate": %d}' % number
        )
        asked_at_ms[request_id] = simulation.now_ms
        if simulation.now_ms < seconds * MS_PER_S:
            simulation.schedule(draw.expovariate(rate_per_s) * MS_PER_S, arrive)

    seen = Seen()
    simulation.filter_effects = seen.keep
    seen.simulation = simulation
    simulation.schedule(0.0, arrive)
    started_s = time.process_time()
    simulation.run(seconds * MS_PER_S)
    spent_s = time.process_time() - started_s
    simulation.run((seconds + 5.0) * MS_PER_S)
    waits_ms = sorted(sent - asked_at_ms[name] for name, sent in seen.sent_at_ms.items())
    done = sum(len(outcomes) == 1 for outcomes in simulation.outcomes.values())
    return Measured(
        rate_per_s=rate_per_s,
        relays=relays,
        orders=number,
        done=done,
        writes_per_s=sum(seen.writes[second] for second in range(int(seconds))) / int(seconds),
        busiest_writes_per_s=max(seen.writes.values()),
        conflicts=seen.swaps - simulation.store.revision,
        p50_ms=waits_ms[len(waits_ms) // 2],
        p99_ms=waits_ms[int(len(waits_ms) * 0.99)],
        value_bytes=seen.value_bytes,
        decision_us=spent_s / number * 1e6,
        peer_messages_per_s=seen.peer_messages / seconds,
        claim_bytes=sum(len(entry.value) for entry in simulation.store.entries.values()) / number,
    )


class Seen:
    """Keeps what the measurement needs of the effects."""

    def __init__(self) -> None:
        self.simulation: Simulation
        self.writes: Counter[int] = Counter()
        self.swaps = 0
        self.value_bytes = 0
        self.peer_messages = 0
        self.sent_at_ms: dict[str, float] = {}

    def keep(self, instance: str, effects: tuple[object, ...]) -> tuple[object, ...]:
        """Note the effects of one decision."""
        self.simulation.effects.clear()
        for effect in effects:
            match effect:
                case SwapKey(value=value):
                    self.writes[int(self.simulation.now_ms // MS_PER_S)] += 1
                    self.swaps += 1
                    self.value_bytes = max(self.value_bytes, len(value))
                case SendAttempt(attempt_id=attempt_id):
                    request_id = attempt_id.split("/")[1]
                    self.sent_at_ms.setdefault(request_id, self.simulation.now_ms)
                case _ if type(effect).__name__ == "SendToPeer":
                    self.peer_messages += 1
        return effects


def show(row: Measured) -> None:
    """Print one row of the table."""
    print(
        f"{row.rate_per_s:>7} {'owner' if row.relays else 'each':>6} {row.orders:>7} {row.done:>7}"
        f" {row.writes_per_s:>8.1f} {row.busiest_writes_per_s:>8} {row.conflicts:>9}"
        f" {row.p50_ms:>8.1f} {row.p99_ms:>8.1f} {row.value_bytes:>9} {row.decision_us:>9.0f}"
        f" {row.peer_messages_per_s:>7.0f} {row.claim_bytes:>6.0f} {row.retention_s():>9.0f}",
        flush=True,
    )


def main(seconds: float = 5.0, seed: int = 1) -> None:
    """Measure with and without owners of buckets, and print the goals as JSON."""
    print(
        "orders/s writer  orders answered writes/s  busiest conflicts   p50 ms   p99 ms"
        " max value us/order  msgs/s  bytes retained s"
    )
    rows = {}
    for relays in (True, False):
        for rate_per_s in RATES_PER_S:
            row = measure(rate_per_s, relays, seconds, seed)
            rows[rate_per_s, relays] = row
            show(row)
    measure_full_bucket()
    fastest = rows[RATES_PER_S[-1], True]
    slopes = {
        "claim_us": round(fastest.decision_us),
        "claim_messages": round(fastest.peer_messages_per_s / fastest.rate_per_s, 2),
        "claim_writes_per_s": fastest.busiest_writes_per_s,
    }
    print(json.dumps({"goals": make_goals(rows), "slopes": slopes}))


def measure_full_bucket() -> None:
    """Print what a bucket costs that is as full as it gets."""
    size_bytes, number, claims = 0, 0, []
    while size_bytes < SETTINGS.bucket_bytes * KEPT_SHARE:
        number += 1
        digest = digest_key("order", f"order-{number}")
        claimant = Claimant("entry-1", 1_700_000_000_000, number)
        done = ClaimDone(201, BODY % number)
        claims.append(Claim(digest, digest[:8], claimant, 1_700_000_000_000 + number, done))
        size_bytes += estimate_claim_bytes(claims[-1])
    data = encode_bucket(make_bucket_value(claims, 0))
    tracemalloc.start()
    value = decode_bucket(data)
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    started_s = time.process_time()
    decode_bucket(data)
    decoded_s = time.process_time()
    encode_bucket(value)
    encoded_s = time.process_time()
    print(
        f"full bucket: {number} claims, {len(data)} bytes in the store, {held_bytes / number:.0f}"
        f" bytes of memory a claim, decode {(decoded_s - started_s) * MS_PER_S:.1f} ms,"
        f" encode {(encoded_s - decoded_s) * MS_PER_S:.1f} ms",
        flush=True,
    )


def make_goals(rows: dict[tuple[int, bool], Measured]) -> list[dict[str, object]]:
    """Hold what was measured against the bounds; the baseline is without owners."""
    owned = [row for row in rows.values() if row.relays]
    alone = [row for row in rows.values() if not row.relays]
    busiest = max(row.busiest_writes_per_s for row in owned)
    value_bytes = max(row.value_bytes for row in owned)
    fastest, fastest_alone = rows[RATES_PER_S[-1], True], rows[RATES_PER_S[-1], False]
    floor_s = SETTINGS.minimum_retention_ms / MS_PER_S
    return [
        {
            "name": "claim writes in the busiest second, 1 to 5,000 orders/s",
            "measured": busiest,
            "bound": WRITES_BOUND_PER_S,
            "unit": "writes/s",
            "holds": busiest <= WRITES_BOUND_PER_S,
            "baseline": max(row.busiest_writes_per_s for row in alone),
        },
        {
            "name": "p99 from the request to its send at 5,000 orders/s",
            "measured": round(fastest.p99_ms, 1),
            "bound": SEND_BOUND_MS,
            "unit": "ms",
            "holds": fastest.p99_ms <= SEND_BOUND_MS,
            "baseline": round(fastest_alone.p99_ms, 1),
        },
        {
            "name": "retention at 5,000 orders/s, at least",
            "measured": round(fastest.retention_s(), 1),
            "bound": floor_s,
            "unit": "s",
            "holds": fastest.retention_s() >= floor_s,
            "baseline": round(fastest_alone.retention_s(), 1),
        },
        {
            "name": "largest bucket value",
            "measured": value_bytes,
            "bound": MAX_VALUE_BYTES,
            "unit": "bytes",
            "holds": value_bytes <= MAX_VALUE_BYTES,
            "baseline": max(row.value_bytes for row in alone),
        },
    ]


if __name__ == "__main__":
    Fire(main)
