"""Cost of the membership per entry instance, its detection time and false deaths.

Run with ``python -m benchmarks.bench_membership [--seed N] [--largest N]``. The decisions of all
instances run in virtual time, with lost messages and frozen instances, and messages are encoded
by the peer codec. Wire bytes include the frame around a message and the headers of TCP and IP.
"""

import argparse
import json
import statistics
import time
from collections import Counter
from dataclasses import dataclass

from savoryarch import model
from savoryarch.codec import make_message_codec
from savoryarch.membership import MembershipSettings
from savoryarch_standins.virtual_peers import NetworkConditions, VirtualPeers

FRAME_BYTES = 24  # version, sender, incarnation
HEADER_BYTES = 8 + 52  # length prefix of an nng message; TCP and IP headers with time stamps
TCP_ACK_BYTES = 52
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d", "zone-e", "zone-f")
WARM_UP_MS = 20_000.0
MS_PER_S = 1000.0
DETECTION_STEP_MS = 50.0
MAX_CONTROL_BYTES_PER_S = 9000.0
MAX_CONTROL_CORE_SHARE = 0.015


@dataclass(frozen=True, slots=True)
class InstanceCost:
    """Cost of the membership on one instance.

    Parameters
    ----------
    instances : int
        Number of instances.
    messages_per_s, bytes_per_s : float
        Messages that the instance sends and their bytes on the wire, with acknowledgements.
    codec_us_per_message : float
        Time to encode and decode one message.
    core_share : float
        CPU time of decisions, codec and simulation, as a share of one core.
    """

    instances: int
    messages_per_s: float
    bytes_per_s: float
    codec_us_per_message: float
    core_share: float


def make_fleet(count, seed, on_message=None):
    """Return a fleet after its warm-up; `on_message` is called with each message that is sent."""
    fleet = VirtualPeers(MembershipSettings(), seed, on_message)
    fleet.conditions = NetworkConditions(list_lag_ms=0.0)
    for number in range(count):
        fleet.set_listed_instance(f"entry-{number}", ZONES[number % 6], "10.0.0.1", 7000 + number)
    for number in range(count):
        fleet.start(f"entry-{number}", ZONES[number % 6], 7000 + number)
    fleet.run(WARM_UP_MS)
    return fleet


def measure_cost(count, seed, duration_ms):
    """Return the mean cost per instance without lost messages or frozen instances."""
    codec = make_message_codec(model)
    sent = Counter()
    codec_s = [0.0]

    def record_message(sender_id, receiver_id, message):
        started_s = time.perf_counter()
        frame = codec.encode_frame(message)
        codec.decode_frame(frame)
        codec_s[0] += time.perf_counter() - started_s
        sent["messages"] += 1
        sent["bytes"] += len(frame) + FRAME_BYTES + HEADER_BYTES + TCP_ACK_BYTES

    fleet = make_fleet(count, seed, record_message)
    sent.clear()
    codec_s[0] = 0.0
    started_s = time.process_time()
    fleet.run(duration_ms)
    cpu_s = time.process_time() - started_s
    instance_s = count * duration_ms / MS_PER_S
    return InstanceCost(
        count,
        sent["messages"] / instance_s,
        sent["bytes"] / instance_s,
        codec_s[0] / max(1, sent["messages"]) * 1e6,
        cpu_s / instance_s,
    )


def measure_detection(count, seed):
    """Kill an instance; return the times in ms until the first and until all peers detect it."""
    fleet = make_fleet(count, seed)
    killed_id = f"entry-{seed % count}"
    killed_at_ms = fleet.now_ms
    fleet.kill(killed_id, listed=True)
    first_ms = 0.0
    while any(killed_id in fleet.live_peer_ids(peer) for peer in fleet.running_instances):
        fleet.run(DETECTION_STEP_MS)
        if not first_ms and any(
            killed_id not in fleet.live_peer_ids(peer) for peer in fleet.running_instances
        ):
            first_ms = fleet.now_ms - killed_at_ms
    return first_ms, fleet.now_ms - killed_at_ms


def measure_false_deaths(count, seed, duration_ms, loss_share, freeze_ms):
    """Return the suspicions and the deaths of live instances, per instance and hour."""
    fleet = make_fleet(count, seed)
    fleet.conditions = NetworkConditions(list_lag_ms=0.0, loss_share=loss_share)
    fleet.counts.clear()
    ends_at_ms = fleet.now_ms + duration_ms
    number = 0
    while fleet.now_ms < ends_at_ms:
        fleet.run(5000)
        if freeze_ms:
            frozen_id = f"entry-{number % count}"
            fleet.freeze(frozen_id)
            fleet.run(freeze_ms)
            fleet.resume(frozen_id)
            number += 1
    hours = count * duration_ms / 3_600_000
    return (
        fleet.counts[("membership", "suspected")] / hours,
        fleet.counts[("membership", "dead")] / hours,
    )


def print_costs(sizes, seed):
    print("instances  messages/s  wire bytes/s  codec us/message  CPU share of a core")
    costs = []
    for count in sizes:
        duration_ms = 60_000.0 if count <= 64 else 10_000.0
        cost = measure_cost(count, seed, duration_ms)
        costs.append(cost)
        print(
            f"{cost.instances:9}  {cost.messages_per_s:10.2f}  {cost.bytes_per_s:12.0f}"
            f"  {cost.codec_us_per_message:16.1f}  {cost.core_share:.5f}"
        )
    return costs


def print_detection(sizes, seeds):
    print("\ninstances  first noticed ms (median, max)  all noticed ms (median, max)")
    worst_ms = {}
    for count in sizes:
        # Only one seed for the largest size, because it runs for a minute.
        times_ms = [
            measure_detection(count, seed) for seed in (seeds if count <= 64 else seeds[:1])
        ]
        first_ms, all_ms = zip(*times_ms, strict=True)
        worst_ms[count] = max(all_ms)
        print(
            f"{count:9}  {statistics.median(first_ms):12.0f} {max(first_ms):8.0f}"
            f"  {statistics.median(all_ms):22.0f} {max(all_ms):8.0f}"
        )
    return worst_ms


def print_false_deaths(seed):
    print("\ninstances  loss  freeze ms  suspicions/instance/h  deaths/instance/h")
    deaths = {}
    for count, loss_share, freeze_ms in [
        (4, 0.0, 0),
        (4, 0.05, 0),
        (4, 0.0, 800),
        (64, 0.01, 0),
        (64, 0.05, 0),
        (64, 0.01, 800),
    ]:
        duration_ms = 1_800_000.0 if count == 4 else 120_000.0
        suspicions, dead = measure_false_deaths(count, seed, duration_ms, loss_share, freeze_ms)
        deaths[(count, loss_share, freeze_ms)] = dead
        print(f"{count:9}  {loss_share:4.2f}  {freeze_ms:9}  {suspicions:21.2f}  {dead:17.2f}")
    return deaths


def make_goal(name, measured, bound, unit, baseline=None):
    return {
        "name": name,
        "measured": round(measured, 6),
        "bound": bound,
        "unit": unit,
        "holds": measured <= bound,
        "baseline": baseline,
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--largest", type=int, default=740)
    arguments = parser.parse_args()
    sizes = [count for count in (4, 16, 64, 740) if count <= arguments.largest]
    costs = print_costs(sizes, arguments.seed)
    worst_ms = print_detection(sizes, [arguments.seed + step for step in range(3)])
    deaths = print_false_deaths(arguments.seed)
    largest_cost = costs[-1]
    # The baseline is computed: a full mesh with heartbeats of the measured size and interval.
    mesh_bytes_per_s = (
        (largest_cost.instances - 1) * largest_cost.bytes_per_s / largest_cost.messages_per_s * 2
    )
    goals = [
        make_goal(
            f"wire bytes at {largest_cost.instances}",
            largest_cost.bytes_per_s,
            MAX_CONTROL_BYTES_PER_S,
            "B/s",
            mesh_bytes_per_s,
        ),
        make_goal(
            f"core share at {largest_cost.instances}",
            largest_cost.core_share,
            MAX_CONTROL_CORE_SHARE,
            "cores",
        ),
        make_goal(
            "bytes, largest to 64", largest_cost.bytes_per_s / costs[-2].bytes_per_s, 1.5, "ratio"
        ),
        make_goal("all notice a death", max(worst_ms.values()), 15_000.0, "ms"),
        make_goal("false deaths at 5% loss", deaths[(64, 0.05, 0)], 0.0, "1/instance/h"),
    ]
    slopes = {
        "membership_bytes_per_s": round(largest_cost.bytes_per_s),
        "membership_messages_per_s": round(largest_cost.messages_per_s, 2),
        "membership_core": round(largest_cost.core_share, 6),
        "detection_ms": max(worst_ms.values()),
    }
    print(json.dumps({"goals": goals, "slopes": slopes}))


if __name__ == "__main__":
    main()
