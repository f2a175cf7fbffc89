"""CPU time per sub-answer if 64 of them share a frame, and CPU time to count one event.

Run with ``python -m benchmarks.bench_batch``.
"""

import time
from statistics import median

from msgspec import Raw, Struct, json

from savoryarch.entry import Metrics

SUB_ANSWERS_PER_FRAME = 64
ROUNDS = 7
FRAMES = 200
COUNTS = 20_000
MAX_SUB_ANSWER_US = 5.0


class SubAnswer(Struct, array_like=True):
    """Answer of one shard to one request, as it is encoded in a frame."""

    request: int
    shard: int
    complete: bool
    records: Raw


def measure_sub_answer_us() -> float:
    """Return the CPU time per sub-answer of encoding and decoding one frame, in us."""
    records = Raw(b'[{"id": "r1", "price": 12}]')
    answers = [
        SubAnswer(number, number % 660, True, records) for number in range(SUB_ANSWERS_PER_FRAME)
    ]
    samples = []
    for _ in range(ROUNDS):
        started_s = time.process_time()
        for _ in range(FRAMES):
            json.decode(json.encode(answers), type=list[SubAnswer])
        samples.append((time.process_time() - started_s) * 1e6 / FRAMES / SUB_ANSWERS_PER_FRAME)
    return median(samples)


def measure_count_us() -> float:
    """Return the CPU time of counting one event with a reason, in us."""
    metrics = Metrics()
    started_s = time.process_time()
    for _ in range(COUNTS):
        metrics.count("bench", "reason")
    spent_us = (time.process_time() - started_s) * 1e6 / COUNTS
    metrics.close()
    return spent_us


def main() -> None:
    batch_us, metric_us = measure_sub_answer_us(), measure_count_us()
    print(
        f"{batch_us:.2f} us per sub-answer in frames of {SUB_ANSWERS_PER_FRAME},"
        f" {metric_us:.2f} us per count"
    )
    goal = {
        "name": "sub-answer in a frame of 64",
        "measured": round(batch_us, 2),
        "bound": MAX_SUB_ANSWER_US,
        "unit": "us",
        "holds": batch_us <= MAX_SUB_ANSWER_US,
        "baseline": None,
    }
    slopes = {"batch_us": round(batch_us, 2), "metric_us": round(metric_us, 2)}
    print(json.encode({"goals": [goal], "slopes": slopes}).decode())


if __name__ == "__main__":
    main()
