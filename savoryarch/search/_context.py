"""What a decision on one query works on."""

from dataclasses import dataclass, replace

from savoryarch.model import AttemptEnded, DecidedOnTargets
from savoryarch.search._state import PendingShard, Query, SearchState
from savoryarch.targets import TargetsState


@dataclass(frozen=True, slots=True)
class DecisionContext:
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


def emit(context: DecisionContext, *effects: object) -> DecisionContext:
    """Add effects."""
    return replace(context, effects=context.effects + effects)


def put_shard(context: DecisionContext, service: str, shard: PendingShard) -> DecisionContext:
    """Put a changed pending shard back."""
    pending = context.query.pending.set(service, shard)
    return replace(context, query=replace(context.query, pending=pending))


def commit_context(
    context: DecisionContext, *, keep: bool
) -> DecidedOnTargets[SearchState, TargetsState]:
    """Put the query back, or forget it if it has its answer."""
    queries = context.state.queries
    request_id = context.query.request_id
    if keep:
        queries = queries.set(request_id, context.query)
    elif request_id in queries:
        queries = queries.delete(request_id)
    return DecidedOnTargets(
        replace(context.state, queries=queries), context.targets, context.effects
    )
