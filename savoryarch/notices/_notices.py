"""Opens and closes notices, one per cause."""

from dataclasses import dataclass, field, replace

from immutables import Map

from savoryarch.model import ClearNotice, Count, Decided, LogEvent, Notice, RaiseNotice

NOTICE_LIMIT = 100


@dataclass(frozen=True, slots=True)
class OpenNotice:
    """A notice and since when it has been open."""

    notice: Notice
    since_ms: float


@dataclass(frozen=True, slots=True)
class NoticesState:
    """The open notices by id."""

    open: Map[str, OpenNotice] = field(default_factory=Map)


def decide_notices(state: NoticesState, event: object, now_ms: float) -> Decided[NoticesState]:
    """Open or close a notice.

    Parameters
    ----------
    state : NoticesState
        The state before.
    event : object
        `RaiseNotice` or `ClearNotice`, as the decisions returned them; others change nothing.
    now_ms : float
        Time on the clock of the process.
    """
    match event:
        case RaiseNotice(notice=notice):
            return _open(state, notice, now_ms)
        case ClearNotice(notice_id=notice_id) if notice_id in state.open:
            state = replace(state, open=state.open.delete(notice_id))
            return Decided(state, (LogEvent("notice_closed", (("notice_id", notice_id),)),))
        case _:
            return Decided(state)


def list_notices(state: NoticesState) -> tuple[OpenNotice, ...]:
    """Return the open notices, the oldest first."""
    return tuple(
        sorted(state.open.values(), key=lambda item: (item.since_ms, item.notice.notice_id))
    )


def _open(state: NoticesState, notice: Notice, now_ms: float) -> Decided[NoticesState]:
    known = state.open.get(notice.notice_id)
    if known and known.notice == notice:
        return Decided(state)
    if known is None and len(state.open) >= NOTICE_LIMIT:
        return Decided(state, (Count("notices", "over_limit"),))
    since_ms = known.since_ms if known else now_ms
    state = replace(state, open=state.open.set(notice.notice_id, OpenNotice(notice, since_ms)))
    if known:
        return Decided(state)
    fields = (("notice_id", notice.notice_id), ("summary", notice.summary))
    return Decided(state, (LogEvent("notice_opened", fields), Count("notices", "opened")))
