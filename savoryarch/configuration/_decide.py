"""Routes the events of the configuration."""

from dataclasses import replace

from savoryarch.configuration._causes import update_notices
from savoryarch.configuration._changes import (
    ACKNOWLEDGE_TIMER,
    DEADLINE_TIMER,
    accept_unacknowledged,
    ask_change,
    check_holders,
    hear_change_store,
    retry_change,
    time_out_change,
)
from savoryarch.configuration._changes import RETRY_TIMER as CHANGE_RETRY_TIMER
from savoryarch.configuration._draw import draw, mix_seed
from savoryarch.configuration._following import (
    RETRY_TIMER,
    choose_watchers,
    fire_store,
    hear_store,
    take_turn,
)
from savoryarch.configuration._spreading import (
    announce,
    announcement,
    hear_announced,
    hear_sent,
    hear_wanted,
    meet_peers,
)
from savoryarch.configuration._state import ConfigurationDecided, ConfigurationState, then
from savoryarch.configuration._status import (
    STATUS_TIMER,
    answer_heard_status,
    answer_status,
    ask_status,
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

ANNOUNCE_TIMER = "configuration/announce"


def decide_configuration(
    state: ConfigurationState, event: object, now_ms: float
) -> ConfigurationDecided:
    """Decide what an event changes in the configuration.

    Parameters
    ----------
    state : ConfigurationState
        The state before.
    event : object
        An event of the model; one that does not concern the configuration changes nothing.
    now_ms : float
        Time on the clock of the process.
    """
    return then(_decide(state, event, now_ms), lambda after: update_notices(after, now_ms))


def _decide(state: ConfigurationState, event: object, now_ms: float) -> ConfigurationDecided:
    match event:
        case Started(instance_id=instance_id):
            return _start(replace(state, instance_id=instance_id), now_ms)
        case PeersChanged(live=live):
            decided = meet_peers(state, live, now_ms)
            decided = then(decided, lambda after: choose_watchers(after, now_ms))
            return then(decided, lambda after: check_holders(after, now_ms))
        case ChangeRequested():
            return ask_change(state, event, now_ms)
        case StatusRequested(status_id=status_id):
            return ask_status(state, status_id, now_ms)
        case StoreReplied(call_id=call_id, reply=reply):
            if call_id == state.store.call_id:
                return hear_store(state, reply, now_ms)
            return hear_change_store(state, call_id, reply, now_ms)
        case PeerMessageReceived(peer_id=peer_id, message=message):
            return _hear_peer(state, peer_id, message, now_ms)
        case TimerFired(timer_id=timer_id):
            return _hear_timer(state, timer_id, now_ms)
        case _:
            return Decided(state)


def _start(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    state = replace(state, random_state=mix_seed(state.random_state, state.instance_id))
    random_state, draw_ms = draw(state.random_state, int(state.settings.announce_interval_ms))
    timer = SetTimer(ANNOUNCE_TIMER, now_ms + draw_ms)
    decided: ConfigurationDecided = Decided(replace(state, random_state=random_state), (timer,))
    return then(decided, lambda after: fire_store(after, "started", now_ms))


def _hear_peer(
    state: ConfigurationState, peer_id: str, message: object, now_ms: float
) -> ConfigurationDecided:
    match message:
        case ConfigurationAnnounced():
            decided = hear_announced(state, peer_id, message, now_ms)
            decided = then(decided, lambda after: check_holders(after, now_ms))
            return then(decided, lambda after: answer_heard_status(after, now_ms))
        case ConfigurationRequested():
            return hear_wanted(state, peer_id, message)
        case ConfigurationStatusRequested():
            return Decided(state, (SendToPeer(peer_id, announcement(state, now_ms)),))
        case ConfigurationPart():
            return hear_sent(state, peer_id, message, now_ms)
        case _:
            return Decided(state)


def _hear_timer(state: ConfigurationState, timer_id: str, now_ms: float) -> ConfigurationDecided:
    if timer_id == ANNOUNCE_TIMER:
        return _announce(state, now_ms)
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


def _announce(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    decided = announce(state, now_ms)
    decided = then(decided, lambda after: take_turn(after, now_ms))
    timer = SetTimer(ANNOUNCE_TIMER, now_ms + state.settings.announce_interval_ms)
    return then(decided, lambda after: Decided(after, (timer,)))


def _retry_store(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    decided = choose_watchers(state, now_ms)
    return then(decided, lambda after: fire_store(after, "due", now_ms))
