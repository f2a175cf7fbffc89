"""Cost and quality of the membership per entry instance, in virtual time.

The decisions run against each other with losses and freezes; messages are encoded by the peer
codec. Wire bytes add the frame around a message and the headers of TCP and IP.
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
HEADER_BYTES = 8 + 52  # length in front of each nng message; TCP and IP with time stamps
ACKNOWLEDGEMENT_BYTES = 52
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d", "zone-e", "zone-f")
WARM_UP_MS = 20_000.0
MS_PER_S = 1000.0
DETECTION_STEP_MS = 50.0
CONTROL_BYTES_PER_S = 9000.0
CONTROL_CORE_SHARE = 0.015


@dataclass(frozen=True, slots=True)
class Cost:
    """What one instance spends on the membership."""

    instances: int
    messages_per_s: float
    bytes_per_s: float
    codec_us_per_message: float
    core_share: float


def make_fleet(count, seed, measure=None):
    fleet = VirtualPeers(MembershipSettings(), seed, measure)
    fleet.conditions = NetworkConditions(list_lag_ms=0.0)
    for number in range(count):
        fleet.set_listed_instance(f"entry-{number}", ZONES[number % 6], "10.0.0.1", 7000 + number)
    for number in range(count):
        fleet.start(f"entry-{number}", ZONES[number % 6], 7000 + number)
    fleet.run(WARM_UP_MS)
    return fleet


def measure_cost(count, seed, duration_ms):
    codec = make_message_codec(model)
    sent = Counter()
    codec_s = [0.0]

    def note(sender_id, receiver_id, message):
        started_s = time.perf_counter()
        frame = codec.encode_frame(message)
        codec.decode_frame(frame)
        codec_s[0] += time.perf_counter() - started_s
        sent["messages"] += 1
        sent["bytes"] += len(frame) + FRAME_BYTES + HEADER_BYTES + ACKNOWLEDGEMENT_BYTES

    fleet = make_fleet(count, seed, note)
    sent.clear()
    codec_s[0] = 0.0
    started_s = time.process_time()
    fleet.run(duration_ms)
    cpu_s = time.process_time() - started_s
    instance_s = count * duration_ms / MS_PER_S
    return Cost(
        count,
        sent["messages"] / instance_s,
        sent["bytes"] / instance_s,
        codec_s[0] / max(1, sent["messages"]) * 1e6,
        cpu_s / instance_s,
    )


def measure_detection(count, seed):
    """Return the time until all, and until the first, noticed that an instance was killed."""
    fleet = make_fleet(count, seed)
    victim = f"entry-{seed % count}"
    killed_at_ms = fleet.now_ms
    fleet.kill(victim, listed=True)
    first_ms = 0.0
    while any(victim in fleet.live_peer_ids(peer) for peer in fleet.running_instances):
        fleet.run(DETECTION_STEP_MS)
        if not first_ms and any(
            victim not in fleet.live_peer_ids(peer) for peer in fleet.running_instances
        ):
            first_ms = fleet.now_ms - killed_at_ms
    return first_ms, fleet.now_ms - killed_at_ms


def measure_false_deaths(count, seed, duration_ms, loss_share, freeze_ms):
    """Return suspicions and deaths of live instances per instance and hour."""
    fleet = make_fleet(count, seed)
    fleet.conditions = NetworkConditions(list_lag_ms=0.0, loss_share=loss_share)
    fleet.counts.clear()
    ends_at_ms = fleet.now_ms + duration_ms
    number = 0
    while fleet.now_ms < ends_at_ms:
        fleet.run(5000)
        if freeze_ms:
            victim = f"entry-{number % count}"
            fleet.freeze(victim)
            fleet.run(freeze_ms)
            fleet.resume(victim)
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
    worst = {}
    for count in sizes:
        # One seed at the largest size, which takes a minute.
        pairs = [measure_detection(count, seed) for seed in (seeds if count <= 64 else seeds[:1])]
        first, all_of_them = zip(*pairs, strict=True)
        worst[count] = max(all_of_them)
        print(
            f"{count:9}  {statistics.median(first):12.0f} {max(first):8.0f}"
            f"  {statistics.median(all_of_them):22.0f} {max(all_of_them):8.0f}"
        )
    return worst


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


def goal(name, measured, bound, unit, baseline=None):
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
    worst = print_detection(sizes, [arguments.seed + step for step in range(3)])
    deaths = print_false_deaths(arguments.seed)
    last = costs[-1]
    # Computed: as many heartbeats of the measured size as a full mesh needs at this interval.
    mesh = (last.instances - 1) * last.bytes_per_s / last.messages_per_s * 2
    goals = [
        goal(f"wire bytes at {last.instances}", last.bytes_per_s, CONTROL_BYTES_PER_S, "B/s", mesh),
        goal(f"core share at {last.instances}", last.core_share, CONTROL_CORE_SHARE, "cores"),
        goal("bytes, largest to 64", last.bytes_per_s / costs[-2].bytes_per_s, 1.5, "ratio"),
        goal("all notice a death", max(worst.values()), 15_000.0, "ms"),
        goal("false deaths at 5% loss", deaths[(64, 0.05, 0)], 0.0, "1/instance/h"),
    ]
    slopes = {
        "membership_bytes_per_s": round(last.bytes_per_s),
        "membership_messages_per_s": round(last.messages_per_s, 2),
        "membership_core": round(last.core_share, 6),
        "detection_ms": max(worst.values()),
    }
    print(json.dumps({"goals": goals, "slopes": slopes}))


if __name__ == "__main__":
    main()
