"""The context of a decision on one query: state, targets and effects so far."""

from dataclasses import dataclass

from savoryarch.model import AttemptEnded, DecidedOnTargets
from savoryarch.search._state import PendingShard, Query, SearchState
from savoryarch.targets import TargetsState
from savoryarch.utils import replace


@dataclass(frozen=True, slots=True)
class DecisionContext:
    """The working record of one decision on one query.

    Each step returns a changed copy. The caller commits the last copy to the state.

    Parameters
    ----------
    state : SearchState
        State of all searches. Its copy of `query` is stale until the context is committed.
    targets : TargetsState
        State of all targets.
    query : Query
        The query that the decision is about.
    now_ms : float
        Time of the event, on the clock of the process.
    ended : AttemptEnded or None
        The event, if it is the end of an attempt.
    effects : tuple of object
        Effects of the steps so far, in the order in which they are performed.
    """

    state: SearchState
    targets: TargetsState
    query: Query
    now_ms: float
    ended: AttemptEnded | None = None
    effects: tuple[object, ...] = ()


def emit(context: DecisionContext, *effects: object) -> DecisionContext:
    """Append effects to those of the context."""
    return replace(context, effects=context.effects + effects)


def put_shard(context: DecisionContext, service: str, shard: PendingShard) -> DecisionContext:
    """Replace the pending shard of a service in the query."""
    pending = context.query.pending.set(service, shard)
    return replace(context, query=replace(context.query, pending=pending))


def commit_context(
    context: DecisionContext, *, keep: bool
) -> DecidedOnTargets[SearchState, TargetsState]:
    """Put the query into the state, or remove it if it has ended and `keep` is false."""
    queries = context.state.queries
    request_id = context.query.request_id
    if keep:
        queries = queries.set(request_id, context.query)
    elif request_id in queries:
        queries = queries.delete(request_id)
    return DecidedOnTargets(
        replace(context.state, queries=queries), context.targets, context.effects
    )
