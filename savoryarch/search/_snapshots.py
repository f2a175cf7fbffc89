"""Chooses the snapshot that all parts of an answer come from."""

from collections.abc import Iterator

from savoryarch.model import Search, ShardMap, SnapshotId
from savoryarch.search._state import ChosenSnapshot, SearchState
from savoryarch.targets import TargetsState
from savoryarch.utils import replace


def shard_services(search: Search, snapshot: SnapshotId) -> tuple[str, ...]:
    """Return the services of the snapshot's shard map, each once."""
    for shard_map in search.shard_maps:
        if shard_map.version == snapshot.shard_map:
            return tuple(dict.fromkeys(shard_map.services))
    return ()


def choose_snapshot(
    state: SearchState, targets: TargetsState, search: Search
) -> tuple[SearchState, SnapshotId | None]:
    """Return the snapshot for a new query; the choice is reused until served snapshots change.

    Parameters
    ----------
    state : SearchState
        Holds the last choice of each search.
    targets : TargetsState
        Holds the number of replicas of each shard that serve a snapshot.
    search : Search
        The declared search.

    Returns
    -------
    state : SearchState
        The state with the choice.
    snapshot : SnapshotId or None
        The snapshot; None if no shard serves any.
    """
    revision = targets.snapshots_revision
    chosen = state.chosen_snapshots.get(search.name)
    if chosen is None or chosen.revision != revision:
        chosen = ChosenSnapshot(revision, best_snapshot(targets, search, frozenset()))
        state = replace(state, chosen_snapshots=state.chosen_snapshots.set(search.name, chosen))
    return state, chosen.snapshot


def best_snapshot(
    targets: TargetsState, search: Search, exclude: frozenset[SnapshotId]
) -> SnapshotId | None:
    """Return the best snapshot that some shard serves; None if there is none.

    The best snapshot is the one that the fewest shards lack. Among equals, snapshots with a second
    replica at each serving shard come first, for hedges and retries, and then the newest.

    Parameters
    ----------
    targets : TargetsState
        Holds the number of replicas of each shard that serve a snapshot.
    search : Search
        The declared search.
    exclude : frozenset of SnapshotId
        Snapshots that must not be chosen.

    Returns
    -------
    snapshot : SnapshotId or None
        The best snapshot that is not excluded.
    """
    best: tuple[int, bool, SnapshotId] | None = None
    for shard_map in search.shard_maps:
        for rank in _rank_snapshots(targets, shard_map):
            if rank[2] not in exclude and (best is None or rank > best):
                best = rank
    return best[2] if best else None


def _rank_snapshots(
    targets: TargetsState, shard_map: ShardMap
) -> Iterator[tuple[int, bool, SnapshotId]]:
    """Yield the rank of each served snapshot of a shard map; a better snapshot has a greater rank.

    A rank is the negated number of shards that do not serve the snapshot, whether each shard that
    serves it has a spare replica, and the snapshot itself.
    """
    shard_counts: dict[SnapshotId, int] = {}
    without_spare: set[SnapshotId] = set()
    services = dict.fromkeys(shard_map.services)
    for name in services:
        service = targets.services.get(name)
        if service is None:
            continue
        required_replicas = min(2, len(service.target_ids))
        for snapshot, replicas in service.replica_counts.items():
            if snapshot.shard_map == shard_map.version:
                shard_counts[snapshot] = shard_counts.get(snapshot, 0) + 1
                if replicas < required_replicas:
                    without_spare.add(snapshot)
    for snapshot, shard_count in shard_counts.items():
        yield shard_count - len(services), snapshot not in without_spare, snapshot
