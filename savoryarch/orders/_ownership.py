"""Which instance writes which bucket.

Ownership only saves conflicts: any instance may write any bucket, because every write is a
compare-and-swap.
"""

from functools import lru_cache

from xxhash import xxh3_64_intdigest

from savoryarch.orders._state import OrdersState


def owner_of(state: OrdersState, bucket: int) -> str:
    """Return the instance that should write a bucket, by rendezvous hashing over the live ones."""
    if not state.settings.relays_claims:
        return state.instance_id
    return _rendezvous(bucket, (state.instance_id, *state.live))


def owned_buckets(state: OrdersState) -> int:
    """Return how many buckets this instance owns."""
    if not state.settings.relays_claims:
        return state.settings.buckets // (1 + len(state.live)) or 1
    live = (state.instance_id, *state.live)
    return _count_owned(state.instance_id, live, state.settings.buckets)


@lru_cache(maxsize=65536)
def _rendezvous(bucket: int, instances: tuple[str, ...]) -> str:
    return max(instances, key=lambda instance: xxh3_64_intdigest(f"{bucket}/{instance}".encode()))


@lru_cache(maxsize=64)
def _count_owned(instance_id: str, instances: tuple[str, ...], buckets: int) -> int:
    return sum(_rendezvous(bucket, instances) == instance_id for bucket in range(buckets))
