"""Applies what targets state about themselves in their replies.

Load pattern: a target that is overloaded or leaves while many requests are on their way. Each
request that is sent to it nevertheless is refused, costs the target work, and uses up the budget of
extra attempts.
"""

from savoryarch.model import (
    BroadcastToPeers,
    Count,
    Decided,
    LimitConnections,
    LogEvent,
    LogRoutine,
    OpenConnections,
    ReturnUnsent,
    TargetAdvice,
)
from savoryarch.targets._messages import TargetLeaving
from savoryarch.targets._state import TargetRecord, TargetsState
from savoryarch.targets._target_chart import LEAVING, put_record, step_target
from savoryarch.utils import replace

# Targets that are remembered as leaving. The ids of targets are not used again, so that only a
# long-lived instance in a large fleet forgets any, the oldest first.
MAX_REMEMBERED_LEAVING = 20_000


def apply_advice(
    state: TargetsState, target_id: str, advice: TargetAdvice, now_ms: float
) -> Decided[TargetsState]:
    """Apply the statement of a target.

    Parameters
    ----------
    state : TargetsState
        State before the statement.
    target_id : str
        The target.
    advice : TargetAdvice
        Its statement.
    now_ms : float
        Time of the reply, on the clock of the process.

    Returns
    -------
    decided : Decided
        The state, in which the target gets no further requests for as long as it asked, and the
        effects.
    """
    effects: tuple[object, ...] = ()
    if advice.ignored:
        fields = (("target", target_id), ("detail", advice.ignored))
        effects = (Count("target_advice", "ignored"), LogRoutine("target_advice_ignored", fields))
    if advice.hold_ms is not None:
        held = _hold_target(state, target_id, advice.hold_ms, now_ms)
        state, effects = held.state, effects + held.effects
    if advice.leaving and target_id not in state.leaving:
        left = apply_leaving(state, target_id, now_ms)
        broadcast = BroadcastToPeers(TargetLeaving(target_id))
        log = LogEvent("target_leaving", (("target", target_id), ("source", "reply")))
        count = Count("target_advice", "leaving")
        state, effects = left.state, (*effects, count, log, broadcast, *left.effects)
    return Decided(state, effects)


def apply_leaving(state: TargetsState, target_id: str, now_ms: float) -> Decided[TargetsState]:
    """Send no more to a target that leaves; what is under way is awaited.

    The id is remembered also if the target is not declared, or not any more: its entry in the store
    may appear again.
    """
    leaving = state.leaving.set(target_id, now_ms)
    if len(leaving) > MAX_REMEMBERED_LEAVING:
        leaving = leaving.delete(min(leaving, key=lambda name: (leaving[name], name)))
    state = replace(state, leaving=leaving)
    if target_id not in state.records:
        return Decided(state)
    stepped = step_target(state, target_id, LEAVING, now_ms)
    effects = (
        OpenConnections(target_id, 0),
        LimitConnections(target_id, 0),
        ReturnUnsent(target_id),
    )
    return Decided(stepped.state, stepped.effects + effects)


def _hold_target(
    state: TargetsState, target_id: str, hold_ms: float, now_ms: float
) -> Decided[TargetsState]:
    """Send nothing to a target until the time that it asked for has passed."""
    record = state.records.get(target_id)
    held_until_ms = now_ms + hold_ms
    if record is None or hold_ms <= 0.0 or held_until_ms <= record.held_until_ms:
        return Decided(state)
    fields = (("target", target_id), ("for_ms", f"{hold_ms:.0f}"))
    effects = (
        Count("target_advice", "hold"),
        LogRoutine("target_held", fields),
        ReturnUnsent(target_id),
    )
    return Decided(put_record(state, replace(record, held_until_ms=held_until_ms)), effects)


def may_probe(record: TargetRecord, now_ms: float) -> bool:
    """Return whether a target may be probed: it does not leave, and asked for no pause."""
    return record.chart_state != LEAVING and now_ms >= record.held_until_ms
