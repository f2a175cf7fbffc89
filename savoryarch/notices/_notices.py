"""Opens and closes notices, one for each cause."""

from dataclasses import dataclass, field

from immutables import Map

from savoryarch.model import (
    ClearNotice,
    Count,
    Decided,
    LogEvent,
    Notice,
    RaiseNotice,
    SetTimer,
    Started,
)
from savoryarch.notices._causes import Recurrence, find_causes, update_recurrences
from savoryarch.notices._observe import TierObserved
from savoryarch.notices._settings import NoticesSettings
from savoryarch.utils import replace

MAX_OPEN_NOTICES = 100
OBSERVE_TIMER = "notices/observe"


@dataclass(frozen=True, slots=True)
class OpenNotice:
    """An open notice and when it was opened."""

    notice: Notice
    opened_at_ms: float


@dataclass(frozen=True, slots=True)
class NoticesState:
    """State of the notices.

    Parameters
    ----------
    settings : NoticesSettings
        Settings of the section ``notices``.
    open_notices : Map of str to OpenNotice
        Open notices by notice id.
    cause_since_ms : Map of str to float
        Since when each cause has held, by notice id, whether or not its notice is open.
    recurrences : Map of str to Recurrence
        Recent quarantines by fingerprint of the request.
    """

    settings: NoticesSettings = field(default_factory=NoticesSettings)
    open_notices: Map[str, OpenNotice] = field(default_factory=Map)
    cause_since_ms: Map[str, float] = field(default_factory=Map)
    recurrences: Map[str, Recurrence] = field(default_factory=Map)


def decide_notices(state: NoticesState, event: object, now_ms: float) -> Decided[NoticesState]:
    """Open or close notices.

    Parameters
    ----------
    state : NoticesState
        State before the event.
    event : object
        `RaiseNotice` or `ClearNotice`, as other components returned them; `TierObserved`, each
        time the timer `OBSERVE_TIMER` fires; or `Started`. Other events change nothing.
    now_ms : float
        Current time on the process clock.

    Returns
    -------
    decided : Decided
        The new state and the effects: log events, counts and the timer of the next observation.
    """
    match event:
        case RaiseNotice(notice=notice):
            return _open_notice(state, notice, now_ms)
        case ClearNotice(notice_id=notice_id):
            return _close_notice(state, notice_id)
        case Started():
            return Decided(state, (_next_observation_timer(state, now_ms),))
        case TierObserved():
            decided = _observe(state, event, now_ms)
            timer = _next_observation_timer(state, now_ms)
            return Decided(decided.state, (*decided.effects, timer))
        case _:
            return Decided(state)


def list_notices(state: NoticesState) -> tuple[OpenNotice, ...]:
    """Return the open notices in the order in which they were opened."""
    opened = state.open_notices.values()
    return tuple(sorted(opened, key=lambda item: (item.opened_at_ms, item.notice.notice_id)))


def _observe(state: NoticesState, observed: TierObserved, now_ms: float) -> Decided[NoticesState]:
    """Close the notices whose causes ended and open those whose causes have held long enough."""
    recurrences = update_recurrences(state.recurrences, observed.quarantined, now_ms)
    causes = {
        cause.notice.notice_id: cause
        for cause in find_causes(observed, recurrences, state.settings)
    }
    since_ms = Map({notice_id: state.cause_since_ms.get(notice_id, now_ms) for notice_id in causes})
    ended = [notice_id for notice_id in state.cause_since_ms if notice_id not in causes]
    state = replace(state, cause_since_ms=since_ms, recurrences=recurrences)
    effects: tuple[object, ...] = ()
    for notice_id in sorted(ended):
        decided = _close_notice(state, notice_id)
        state, effects = decided.state, effects + decided.effects
    for notice_id, cause in sorted(causes.items()):
        if now_ms - since_ms[notice_id] >= cause.hold_ms:
            decided = _open_notice(state, cause.notice, now_ms)
            state, effects = decided.state, effects + decided.effects
    return Decided(state, effects)


def _open_notice(state: NoticesState, notice: Notice, now_ms: float) -> Decided[NoticesState]:
    """Open a notice, or replace an open one of the same id and keep the time it was opened at.

    A notice beyond `MAX_OPEN_NOTICES` is counted and not opened.
    """
    existing = state.open_notices.get(notice.notice_id)
    if existing and existing.notice == notice:
        return Decided(state)
    if existing is None and len(state.open_notices) >= MAX_OPEN_NOTICES:
        return Decided(state, (Count("notices", "over_limit"),))
    opened_at_ms = existing.opened_at_ms if existing else now_ms
    state = replace(
        state,
        open_notices=state.open_notices.set(notice.notice_id, OpenNotice(notice, opened_at_ms)),
    )
    if existing:
        return Decided(state)
    fields = (("notice_id", notice.notice_id), ("summary", notice.summary))
    return Decided(state, (LogEvent("notice_opened", fields), Count("notices", "opened")))


def _close_notice(state: NoticesState, notice_id: str) -> Decided[NoticesState]:
    if notice_id not in state.open_notices:
        return Decided(state)
    state = replace(state, open_notices=state.open_notices.delete(notice_id))
    return Decided(state, (LogEvent("notice_closed", (("notice_id", notice_id),)),))


def _next_observation_timer(state: NoticesState, now_ms: float) -> SetTimer:
    return SetTimer(OBSERVE_TIMER, now_ms + state.settings.observe_interval_ms)
