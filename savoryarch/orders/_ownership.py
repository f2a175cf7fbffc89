"""Assigns buckets to the instances that write them.

Ownership only avoids conflicts. Any instance may write any bucket, because every write is a
compare-and-swap.
"""

from functools import lru_cache

from xxhash import xxh3_64_intdigest

from savoryarch.orders._state import OrdersState


def owner_of(state: OrdersState, bucket: int) -> str:
    """Return the instance that should write a bucket, by rendezvous hashing over live instances."""
    if not state.settings.relays_claims:
        return state.instance_id
    return _rendezvous_owner(bucket, (state.instance_id, *state.live_peer_ids))


def count_owned_buckets(state: OrdersState) -> int:
    """Return the number of buckets that this instance owns.

    Without relays every instance writes its own claims, and the number is an even share.
    """
    if not state.settings.relays_claims:
        return state.settings.buckets // (1 + len(state.live_peer_ids)) or 1
    live = (state.instance_id, *state.live_peer_ids)
    return _count_owned(state.instance_id, live, state.settings.buckets)


@lru_cache(maxsize=65536)
def _rendezvous_owner(bucket: int, instances: tuple[str, ...]) -> str:
    return max(instances, key=lambda instance: xxh3_64_intdigest(f"{bucket}/{instance}".encode()))


@lru_cache(maxsize=64)
def _count_owned(instance_id: str, instances: tuple[str, ...], buckets: int) -> int:
    return sum(_rendezvous_owner(bucket, instances) == instance_id for bucket in range(buckets))
