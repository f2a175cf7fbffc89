"""What a decision on one query works on."""

from dataclasses import dataclass, replace

from savoryarch.model import AttemptEnded, DecidedOnTargets
from savoryarch.search._state import Query, SearchState, Shard
from savoryarch.targets import TargetsState


@dataclass(frozen=True, slots=True)
class Turn:
    """The query at hand, everything around it, and the effects so far.

    Parameters
    ----------
    state : SearchState
        All searches; the query at hand is put back at the end of the turn.
    targets : TargetsState
        The targets.
    query : Query
        The query at hand.
    now_ms : float
        Time of the event.
    ended : AttemptEnded or None
        The event, if it is the end of an attempt.
    effects : tuple of object
        What has to be done.
    """

    state: SearchState
    targets: TargetsState
    query: Query
    now_ms: float
    ended: AttemptEnded | None = None
    effects: tuple[object, ...] = ()


def emit(turn: Turn, *effects: object) -> Turn:
    """Add effects."""
    return replace(turn, effects=turn.effects + effects)


def put_shard(turn: Turn, service: str, shard: Shard) -> Turn:
    """Put a changed pending shard back."""
    pending = turn.query.pending.set(service, shard)
    return replace(turn, query=replace(turn.query, pending=pending))


def end_turn(turn: Turn, *, keep: bool) -> DecidedOnTargets[SearchState, TargetsState]:
    """Put the query back, or forget it if it has its answer."""
    queries = turn.state.queries
    request_id = turn.query.request_id
    if keep:
        queries = queries.set(request_id, turn.query)
    elif request_id in queries:
        queries = queries.delete(request_id)
    return DecidedOnTargets(replace(turn.state, queries=queries), turn.targets, turn.effects)
