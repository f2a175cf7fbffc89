"""Which causes of the configuration need a decision of an operator now."""

from dataclasses import replace

from savoryarch.configuration._state import ConfigurationDecided, ConfigurationState
from savoryarch.model import ClearNotice, Decided, Notice, RaiseNotice, RestoreChoice

RESTORED_NOTICE = "configuration-restored"
UNSETTLED_NOTICE = "configuration-unsettled"
UNSETTLED_NOTICE_MS = 30_000.0
_RESTORE_CHOICES = (
    f"savoryarch restore {RestoreChoice.KEEP_IN_FORCE.value}",
    f"savoryarch restore {RestoreChoice.TAKE_STORED.value}",
)


def update_notices(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    """Raise the notices of causes that are new, and clear those whose cause is gone."""
    notices = _find_causes(state, now_ms)
    raised = frozenset(notice.notice_id for notice in notices)
    if raised == state.raised:
        return Decided(state)
    effects: list[object] = [
        RaiseNotice(notice) for notice in notices if notice.notice_id not in state.raised
    ]
    effects += [ClearNotice(notice_id) for notice_id in sorted(state.raised - raised)]
    return Decided(replace(state, raised=raised), tuple(effects))


def _find_causes(state: ConfigurationState, now_ms: float) -> list[Notice]:
    causes: list[Notice] = []
    behind = state.store.behind_generation
    if behind is not None or state.split_version is not None:
        causes.append(_restored_notice(state))
    late = sorted(
        change_id
        for change_id, item in state.unsettled.items()
        if now_ms - item.since_ms >= UNSETTLED_NOTICE_MS
    )
    if late:
        causes.append(
            Notice(
                UNSETTLED_NOTICE,
                f"whether changes {', '.join(late)} were committed cannot be told, "
                "because the store cannot be read",
                "whether to wait for the store",
                ("wait for the store", "send the same change again once the store is back"),
            )
        )
    return causes


def _restored_notice(state: ConfigurationState) -> Notice:
    generation = state.record.generation
    if state.split_version is not None:
        summary = (
            f"generation {generation} is in force here and another configuration, of generation "
            f"{state.split_version.generation}, elsewhere; the store was restored in between"
        )
    else:
        summary = (
            f"the store went back to generation {state.store.behind_generation}, while generation "
            f"{generation} is in force and stays so"
        )
    return Notice(
        RESTORED_NOTICE, summary, "which configuration is in force from now on", _RESTORE_CHOICES
    )
