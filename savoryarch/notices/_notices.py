"""Opens and closes notices, one per cause."""

from dataclasses import dataclass, field, replace

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
from savoryarch.notices._causes import Recurrence, find_causes, note_recurrences
from savoryarch.notices._observe import TierObserved
from savoryarch.notices._settings import NoticesSettings

NOTICE_LIMIT = 100
OBSERVE_TIMER = "notices/observe"


@dataclass(frozen=True, slots=True)
class OpenNotice:
    """A notice and since when it has been open."""

    notice: Notice
    opened_at_ms: float


@dataclass(frozen=True, slots=True)
class NoticesState:
    """State of the notices.

    Parameters
    ----------
    settings : NoticesSettings
        From the settings file.
    open : Map
        `OpenNotice` by notice id.
    observed_since_ms : Map
        Since when each cause has held, by notice id, whether or not its notice is open.
    recurrences : Map
        `Recurrence` by fingerprint.
    """

    settings: NoticesSettings = field(default_factory=NoticesSettings)
    open: Map[str, OpenNotice] = field(default_factory=Map)
    observed_since_ms: Map[str, float] = field(default_factory=Map)
    recurrences: Map[str, Recurrence] = field(default_factory=Map)


def decide_notices(state: NoticesState, event: object, now_ms: float) -> Decided[NoticesState]:
    """Open or close notices.

    Parameters
    ----------
    state : NoticesState
        The state before.
    event : object
        `RaiseNotice` or `ClearNotice`, as the decisions returned them; `TierObserved`, each time
        the timer `OBSERVE_TIMER` is due; `Started`. Others change nothing.
    now_ms : float
        Time on the clock of the process.
    """
    match event:
        case RaiseNotice(notice=notice):
            return _open(state, notice, now_ms)
        case ClearNotice(notice_id=notice_id):
            return _close(state, notice_id)
        case Started():
            return Decided(state, (_next_look(state, now_ms),))
        case TierObserved():
            decided = _observe(state, event, now_ms)
            timer = _next_look(state, now_ms)
            return Decided(decided.state, (*decided.effects, timer))
        case _:
            return Decided(state)


def list_notices(state: NoticesState) -> tuple[OpenNotice, ...]:
    """Return the open notices, the oldest first."""
    opened = state.open.values()
    return tuple(sorted(opened, key=lambda item: (item.opened_at_ms, item.notice.notice_id)))


def _observe(state: NoticesState, observed: TierObserved, now_ms: float) -> Decided[NoticesState]:
    recurrences = note_recurrences(state.recurrences, observed.quarantined, now_ms)
    causes = {
        cause.notice.notice_id: cause
        for cause in find_causes(observed, recurrences, state.settings)
    }
    since_ms = Map(
        {notice_id: state.observed_since_ms.get(notice_id, now_ms) for notice_id in causes}
    )
    gone = [notice_id for notice_id in state.observed_since_ms if notice_id not in causes]
    state = replace(state, observed_since_ms=since_ms, recurrences=recurrences)
    effects: tuple[object, ...] = ()
    for notice_id in sorted(gone):
        decided = _close(state, notice_id)
        state, effects = decided.state, effects + decided.effects
    for notice_id, cause in sorted(causes.items()):
        if now_ms - since_ms[notice_id] >= cause.hold_ms:
            decided = _open(state, cause.notice, now_ms)
            state, effects = decided.state, effects + decided.effects
    return Decided(state, effects)


def _open(state: NoticesState, notice: Notice, now_ms: float) -> Decided[NoticesState]:
    known = state.open.get(notice.notice_id)
    if known and known.notice == notice:
        return Decided(state)
    if known is None and len(state.open) >= NOTICE_LIMIT:
        return Decided(state, (Count("notices", "over_limit"),))
    since_ms = known.opened_at_ms if known else now_ms
    state = replace(state, open=state.open.set(notice.notice_id, OpenNotice(notice, since_ms)))
    if known:
        return Decided(state)
    fields = (("notice_id", notice.notice_id), ("summary", notice.summary))
    return Decided(state, (LogEvent("notice_opened", fields), Count("notices", "opened")))


def _close(state: NoticesState, notice_id: str) -> Decided[NoticesState]:
    if notice_id not in state.open:
        return Decided(state)
    state = replace(state, open=state.open.delete(notice_id))
    return Decided(state, (LogEvent("notice_closed", (("notice_id", notice_id),)),))


def _next_look(state: NoticesState, now_ms: float) -> SetTimer:
    return SetTimer(OBSERVE_TIMER, now_ms + state.settings.observe_interval_ms)
