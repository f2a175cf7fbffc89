"""How a configuration is taken, and how it spreads between peers."""

from dataclasses import replace

from immutables import Map

from savoryarch.configuration._draw import choose_partners, draw_some
from savoryarch.configuration._record import apply_delta, descends, make_delta
from savoryarch.configuration._state import (
    ConfigurationDecided,
    ConfigurationState,
    Heard,
    Incoming,
    Unsettled,
    then,
)
from savoryarch.model import (
    ConfigurationAnnounced,
    ConfigurationPart,
    ConfigurationRecord,
    ConfigurationRequested,
    ConfigurationVersion,
    Count,
    Decided,
    DeclarationsInForce,
    LogEvent,
    PublishEvent,
    SendToPeer,
)

PART_BYTES = 32 * 1024
MAX_PARTS = 64
CHANGE_SOURCE = "change"
FORGET_PEER_MS = 600_000.0


def take_record(
    state: ConfigurationState, record: ConfigurationRecord, source: str
) -> ConfigurationDecided:
    """Put a record in force if it is newer, and tell some peers.

    Parameters
    ----------
    state : ConfigurationState
        The state before.
    record : ConfigurationRecord
        A committed configuration.
    source : str
        ``store``, `CHANGE_SOURCE` or the id of the peer that sent it; for the log.
    """
    if record.generation <= state.record.generation:
        return Decided(_note_split(state, record.version))
    if not descends(record, state.record.version):
        return Decided(replace(state, split_version=record.version))
    before = state.record.version
    state = replace(state, record=record, split_version=None, incoming=Incoming())
    state = replace(state, unsettled=_still_unsettled(state))
    effects = (
        PublishEvent(DeclarationsInForce(record.declarations)),
        LogEvent(
            "configuration_in_force",
            (("generation", str(record.generation)), ("source", source)),
        ),
        Count("configurations", "in_force"),
    )
    return then(
        Decided(state, effects),
        lambda after: _push(after, before, source, acknowledge=source == CHANGE_SOURCE),
    )


def spread_change(state: ConfigurationState, record: ConfigurationRecord) -> ConfigurationDecided:
    """Put a record in force that this instance committed, and ask peers to acknowledge it."""
    if record.generation > state.record.generation:
        return take_record(state, record, CHANGE_SOURCE)
    earlier = [item for item in record.history if item.generation < record.generation]
    before = earlier[-1] if earlier else ConfigurationVersion()
    return _push(state, before, CHANGE_SOURCE, acknowledge=True)


def hear_announced(
    state: ConfigurationState, peer_id: str, said: ConfigurationAnnounced, now_ms: float
) -> ConfigurationDecided:
    """Compare what a peer has in force with what is in force here."""
    state = replace(state, heard=state.heard.set(peer_id, Heard(said.version, now_ms)))
    state = _note_store(state, said, now_ms)
    theirs, ours = said.version, state.record.version
    if theirs.generation > ours.generation:
        return Decided(state, (SendToPeer(peer_id, ConfigurationRequested(ours)),))
    if theirs.generation < ours.generation:
        return _send_since(_note_split(state, theirs), peer_id, theirs)
    return Decided(_note_split(state, theirs))


def hear_wanted(
    state: ConfigurationState, peer_id: str, said: ConfigurationRequested
) -> ConfigurationDecided:
    """Send a peer what it lacks."""
    if said.since.generation >= state.record.generation:
        return Decided(state)
    return _send_since(state, peer_id, said.since)


def hear_sent(
    state: ConfigurationState, peer_id: str, said: ConfigurationPart, now_ms: float
) -> ConfigurationDecided:
    """Take what a peer sent, if it is newer."""
    if not 0 <= said.part < said.parts <= MAX_PARTS:
        return Decided(state, (Count("peer_messages_refused", "malformed_configuration"),))
    if said.version.generation > state.record.generation:
        decided = _receive(state, peer_id, said)
    else:
        decided = Decided(_note_split(state, said.version))
    if said.acknowledge:
        decided = then(
            decided,
            lambda after: Decided(after, (SendToPeer(peer_id, announcement(after, now_ms)),)),
        )
    return decided


def announce(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    """Tell one random partner what is in force here."""
    random_state, chosen = draw_some(state.random_state, state.partners, 1)
    message = announcement(state, now_ms)
    effects = tuple(SendToPeer(peer, message) for peer in chosen)
    return Decided(replace(state, random_state=random_state), effects)


def meet_peers(
    state: ConfigurationState, live: tuple[str, ...], now_ms: float
) -> ConfigurationDecided:
    """Note the live peers, and tell some of the new ones what is in force here.

    Of a few peers drawn from all live ones, those that are new are told. A whole zone that comes
    back is thus met by many, and one new instance by about as few as it tells itself.
    """
    known = set(state.peers)
    random_state, drawn = draw_some(state.random_state, live, state.settings.spread_peers)
    heard = state.heard
    for peer_id, said in state.heard.items():
        if peer_id not in live and now_ms - said.at_ms > FORGET_PEER_MS:
            heard = heard.delete(peer_id)
    partners = choose_partners(state.instance_id, live, state.settings.partners)
    state = replace(state, peers=live, partners=partners, random_state=random_state, heard=heard)
    message = announcement(state, now_ms)
    return Decided(state, tuple(SendToPeer(peer, message) for peer in drawn if peer not in known))


def announcement(state: ConfigurationState, now_ms: float) -> ConfigurationAnnounced:
    """Return what is in force here, and what is known of the store."""
    seen_at_ms = state.store.seen_at_ms
    behind = state.store.behind_generation
    return ConfigurationAnnounced(
        version=state.record.version,
        store_last_contact_ago_ms=-1.0 if seen_at_ms is None else now_ms - seen_at_ms,
        store_restored_generation=-1 if behind is None else behind,
    )


def _push(
    state: ConfigurationState, before: ConfigurationVersion, source: str, acknowledge: bool
) -> ConfigurationDecided:
    others = tuple(peer for peer in state.partners if peer != source)
    random_state, chosen = draw_some(state.random_state, others, state.settings.spread_peers)
    state = replace(state, random_state=random_state)
    messages = _messages_since(state, before, acknowledge) if chosen else ()
    return Decided(
        state, tuple(SendToPeer(peer, message) for peer in chosen for message in messages)
    )


def _send_since(
    state: ConfigurationState, peer_id: str, since: ConfigurationVersion
) -> ConfigurationDecided:
    return Decided(
        state, tuple(SendToPeer(peer_id, message) for message in _messages_since(state, since))
    )


def _messages_since(
    state: ConfigurationState, since: ConfigurationVersion, acknowledge: bool = False
) -> tuple[ConfigurationPart, ...]:
    """Return what brings a peer from `since` to what is in force here, in parts."""
    delta = make_delta(state.record, since)
    if delta is not None:
        payload = state.codec.encode_delta(delta)
    else:
        payload = state.codec.encode_record(state.record)
    parts = max(1, -(-len(payload) // PART_BYTES))
    return tuple(
        ConfigurationPart(
            version=state.record.version,
            full_record=delta is None,
            part=part,
            parts=parts,
            payload=payload[part * PART_BYTES : (part + 1) * PART_BYTES],
            acknowledge=acknowledge and part == parts - 1,
        )
        for part in range(parts)
    )


def _receive(
    state: ConfigurationState, peer_id: str, said: ConfigurationPart
) -> ConfigurationDecided:
    incoming = state.incoming
    if incoming.version != said.version:
        incoming = Incoming(said.version)
    incoming = replace(incoming, parts=incoming.parts.set(said.part, said.payload))
    if len(incoming.parts) < said.parts:
        return Decided(replace(state, incoming=incoming))
    state = replace(state, incoming=Incoming())
    payload = b"".join(incoming.parts.get(part, b"") for part in range(said.parts))
    if said.full_record:
        record = state.codec.decode_record(payload)
        return _take_or_refuse(state, record, peer_id)
    delta = state.codec.decode_delta(payload)
    if delta is None:
        return _take_or_refuse(state, None, peer_id)
    record = apply_delta(state.record, delta)
    if record is not None:
        return take_record(state, record, peer_id)
    if delta.base.generation > state.record.generation:
        return Decided(state, (SendToPeer(peer_id, ConfigurationRequested(state.record.version)),))
    return Decided(replace(state, split_version=said.version))


def _take_or_refuse(
    state: ConfigurationState, record: ConfigurationRecord | None, peer_id: str
) -> ConfigurationDecided:
    if record is None:
        return Decided(state, (Count("peer_messages_refused", "malformed_configuration"),))
    return take_record(state, record, peer_id)


def _note_split(state: ConfigurationState, version: ConfigurationVersion) -> ConfigurationState:
    """Note a version that has the generation of one that is known here, but is another."""
    history = state.record.history
    known = any(item.generation == version.generation for item in history)
    if known and version not in history:
        return replace(state, split_version=version)
    return state


def _note_store(
    state: ConfigurationState, said: ConfigurationAnnounced, now_ms: float
) -> ConfigurationState:
    """Believe a peer about the store if it heard from the store later than this instance."""
    seen_at_ms = now_ms - said.store_last_contact_ago_ms
    ours = state.store.seen_at_ms
    if said.store_last_contact_ago_ms < 0 or (ours is not None and ours >= seen_at_ms):
        return state
    behind = said.store_restored_generation
    store = replace(
        state.store, seen_at_ms=seen_at_ms, behind_generation=None if behind < 0 else behind
    )
    return replace(state, store=store)


def _still_unsettled(state: ConfigurationState) -> Map[str, Unsettled]:
    """Drop the unknown changes that the record in force decides, one way or the other."""
    unsettled = state.unsettled
    for change_id, item in state.unsettled.items():
        if state.record.generation > item.base_generation:
            unsettled = unsettled.delete(change_id)
    return unsettled
