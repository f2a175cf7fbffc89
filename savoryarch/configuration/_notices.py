"""Notices to operators about conditions of the configuration that need their decision."""

from savoryarch.configuration._state import ConfigurationDecided, ConfigurationState
from savoryarch.model import ClearNotice, Decided, Notice, RaiseNotice, RestoreChoice
from savoryarch.utils import replace

RESTORED_NOTICE = "configuration-restored"
UNCONFIRMED_NOTICE = "configuration-unsettled"
# Time for which it may stay unknown whether a change was committed before operators get a notice.
UNCONFIRMED_NOTICE_DELAY_MS = 30_000.0
_RESTORE_CHOICES = (
    f"savoryarch restore {RestoreChoice.KEEP_IN_FORCE.value}",
    f"savoryarch restore {RestoreChoice.TAKE_STORED.value}",
)


def update_notices(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    """Raise notices for new conditions, and clear the notices whose condition has ended."""
    notices = _find_notices(state, now_ms)
    notice_ids = frozenset(notice.notice_id for notice in notices)
    if notice_ids == state.raised_notice_ids:
        return Decided(state)
    effects: list[object] = [
        RaiseNotice(notice) for notice in notices if notice.notice_id not in state.raised_notice_ids
    ]
    effects += [
        ClearNotice(notice_id) for notice_id in sorted(state.raised_notice_ids - notice_ids)
    ]
    return Decided(replace(state, raised_notice_ids=notice_ids), tuple(effects))


def _find_notices(state: ConfigurationState, now_ms: float) -> list[Notice]:
    """Return the notices whose conditions hold now."""
    notices: list[Notice] = []
    restored_generation = state.store.restored_generation
    if restored_generation is not None or state.diverged_version is not None:
        notices.append(_restored_notice(state))
    overdue_ids = sorted(
        change_id
        for change_id, unconfirmed in state.unconfirmed_changes.items()
        if now_ms - unconfirmed.answered_at_ms >= UNCONFIRMED_NOTICE_DELAY_MS
    )
    if overdue_ids:
        notices.append(
            Notice(
                UNCONFIRMED_NOTICE,
                f"whether changes {', '.join(overdue_ids)} were committed cannot be told, "
                "because the store cannot be read",
                "whether to wait for the store",
                ("wait for the store", "send the same change again once the store is back"),
            )
        )
    return notices


def _restored_notice(state: ConfigurationState) -> Notice:
    """Return the notice of a restored store, which lacks a configuration that was in force."""
    generation = state.record.generation
    if state.diverged_version is not None:
        summary = (
            f"generation {generation} is in force here and another configuration, of generation "
            f"{state.diverged_version.generation}, elsewhere; the store was restored in between"
        )
    else:
        summary = (
            f"the store went back to generation {state.store.restored_generation}, while "
            f"generation {generation} is in force and stays so"
        )
    return Notice(
        RESTORED_NOTICE, summary, "which configuration is in force from now on", _RESTORE_CHOICES
    )
