"""Dispatches events to the decisions of the configuration component."""

from savoryarch.configuration._changes import (
    ACKNOWLEDGE_TIMER,
    DEADLINE_TIMER,
    accept_unacknowledged,
    check_acknowledgements,
    handle_change_reply,
    queue_change,
    retry_change,
    time_out_change,
)
from savoryarch.configuration._changes import RETRY_TIMER as CHANGE_RETRY_TIMER
from savoryarch.configuration._dissemination import (
    announce,
    handle_announcement,
    handle_part,
    handle_request,
    make_announcement,
    update_peers,
)
from savoryarch.configuration._following import (
    RETRY_TIMER,
    handle_store_reply,
    poll_store_if_due,
    step_store,
    update_watching,
)
from savoryarch.configuration._notices import update_notices
from savoryarch.configuration._sampling import derive_seed, sample
from savoryarch.configuration._state import (
    ConfigurationDecided,
    ConfigurationState,
    chain_decisions,
)
from savoryarch.configuration._status import (
    STATUS_TIMER,
    answer_complete_status,
    answer_status,
    request_status,
)
from savoryarch.model import (
    ChangeRequested,
    ConfigurationAnnounced,
    ConfigurationPart,
    ConfigurationRequested,
    ConfigurationStatusRequested,
    Decided,
    PeerMessageReceived,
    PeersChanged,
    SendToPeer,
    SetTimer,
    Started,
    StatusRequested,
    StoreReplied,
    TimerFired,
)
from savoryarch.utils import replace

ANNOUNCE_TIMER = "configuration/announce"


def decide_configuration(
    state: ConfigurationState, event: object, now_ms: float
) -> ConfigurationDecided:
    """Decide the new state and the effects of an event.

    Parameters
    ----------
    state : ConfigurationState
        State before the event.
    event : object
        An event of the model; events of other components change nothing.
    now_ms : float
        Current time on the clock of the process, in milliseconds.

    Returns
    -------
    decided : Decided
        The new state and the effects to perform, including notices raised or cleared.
    """
    return chain_decisions(
        _handle_event(state, event, now_ms), lambda after: update_notices(after, now_ms)
    )


def _handle_event(state: ConfigurationState, event: object, now_ms: float) -> ConfigurationDecided:
    match event:
        case Started(instance_id=instance_id):
            return _start(replace(state, instance_id=instance_id), now_ms)
        case PeersChanged(live=live):
            decided = update_peers(state, live, now_ms)
            decided = chain_decisions(decided, lambda after: update_watching(after, now_ms))
            return chain_decisions(decided, lambda after: check_acknowledgements(after, now_ms))
        case ChangeRequested():
            return queue_change(state, event, now_ms)
        case StatusRequested(status_id=status_id):
            return request_status(state, status_id, now_ms)
        case StoreReplied(call_id=call_id, reply=reply):
            if call_id == state.store.call_id:
                return handle_store_reply(state, reply, now_ms)
            return handle_change_reply(state, call_id, reply, now_ms)
        case PeerMessageReceived(peer_id=peer_id, message=message):
            return _handle_peer_message(state, peer_id, message, now_ms)
        case TimerFired(timer_id=timer_id):
            return _handle_timer(state, timer_id, now_ms)
        case _:
            return Decided(state)


def _start(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    state = replace(state, random_state=derive_seed(state.random_state, state.instance_id))
    random_state, delay_ms = sample(state.random_state, int(state.settings.announce_interval_ms))
    timer = SetTimer(ANNOUNCE_TIMER, now_ms + delay_ms)
    decided: ConfigurationDecided = Decided(replace(state, random_state=random_state), (timer,))
    return chain_decisions(decided, lambda after: step_store(after, "started", now_ms))


def _handle_peer_message(
    state: ConfigurationState, peer_id: str, message: object, now_ms: float
) -> ConfigurationDecided:
    match message:
        case ConfigurationAnnounced():
            decided = handle_announcement(state, peer_id, message, now_ms)
            decided = chain_decisions(decided, lambda after: check_acknowledgements(after, now_ms))
            return chain_decisions(decided, lambda after: answer_complete_status(after, now_ms))
        case ConfigurationRequested():
            return handle_request(state, peer_id, message)
        case ConfigurationStatusRequested():
            return Decided(state, (SendToPeer(peer_id, make_announcement(state, now_ms)),))
        case ConfigurationPart():
            return handle_part(state, peer_id, message, now_ms)
        case _:
            return Decided(state)


def _handle_timer(state: ConfigurationState, timer_id: str, now_ms: float) -> ConfigurationDecided:
    if timer_id == ANNOUNCE_TIMER:
        return _handle_announce_timer(state, now_ms)
    if timer_id == RETRY_TIMER:
        return _retry_store(state, now_ms)
    if timer_id == CHANGE_RETRY_TIMER:
        return retry_change(state, now_ms)
    if timer_id == ACKNOWLEDGE_TIMER:
        return accept_unacknowledged(state, now_ms)
    if timer_id.startswith(DEADLINE_TIMER):
        return time_out_change(state, timer_id.removeprefix(DEADLINE_TIMER), now_ms)
    if timer_id.startswith(STATUS_TIMER):
        return answer_status(state, timer_id.removeprefix(STATUS_TIMER), now_ms)
    return Decided(state)


def _handle_announce_timer(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    decided = announce(state, now_ms)
    decided = chain_decisions(decided, lambda after: poll_store_if_due(after, now_ms))
    timer = SetTimer(ANNOUNCE_TIMER, now_ms + state.settings.announce_interval_ms)
    return chain_decisions(decided, lambda after: Decided(after, (timer,)))


def _retry_store(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    decided = update_watching(state, now_ms)
    return chain_decisions(decided, lambda after: step_store(after, "retry_due", now_ms))
