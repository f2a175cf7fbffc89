"""Applies new configurations and disseminates them between peers by gossip."""

from immutables import Map

from savoryarch.configuration._record import apply_delta, descends_from, make_delta
from savoryarch.configuration._sampling import choose_gossip_peers, sample_some
from savoryarch.configuration._state import (
    ConfigurationDecided,
    ConfigurationState,
    IncomingParts,
    PeerVersion,
    UnconfirmedChange,
    chain_decisions,
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
from savoryarch.utils import replace

# Largest payload of one part, and largest number of parts that a receiver accepts.
PART_BYTES = 32 * 1024
MAX_PARTS = 64
CHANGE_SOURCE = "change"
# Time after which the version of a peer that is no longer live is dropped.
PEER_RETENTION_MS = 600_000.0


def apply_record(
    state: ConfigurationState, record: ConfigurationRecord, source: str
) -> ConfigurationDecided:
    """Put a record in force if it is a newer descendant, and push it to some peers.

    A record that is not a descendant of the record in force is recorded as diverged.

    Parameters
    ----------
    state : ConfigurationState
        State before the record.
    record : ConfigurationRecord
        A committed configuration.
    source : str
        ``store``, `CHANGE_SOURCE` or the id of the peer that sent the record. It is logged, and
        the record is not pushed back to that peer.
    """
    if record.generation <= state.record.generation:
        return Decided(_record_divergence(state, record.version))
    if not descends_from(record, state.record.version):
        return Decided(replace(state, diverged_version=record.version))
    previous = state.record.version
    state = replace(state, record=record, diverged_version=None, incoming=IncomingParts())
    state = replace(state, unconfirmed_changes=_find_unconfirmed(state))
    effects = (
        PublishEvent(DeclarationsInForce(record.declarations)),
        LogEvent(
            "configuration_in_force",
            (("generation", str(record.generation)), ("source", source)),
        ),
        Count("configurations", "in_force"),
    )
    return chain_decisions(
        Decided(state, effects),
        lambda after: _push_record(after, previous, source, acknowledge=source == CHANGE_SOURCE),
    )


def disseminate_change(
    state: ConfigurationState, record: ConfigurationRecord
) -> ConfigurationDecided:
    """Put a record in force that this instance committed, and push it with acknowledgement."""
    if record.generation > state.record.generation:
        return apply_record(state, record, CHANGE_SOURCE)
    earlier = [item for item in record.history if item.generation < record.generation]
    previous = earlier[-1] if earlier else ConfigurationVersion()
    return _push_record(state, previous, CHANGE_SOURCE, acknowledge=True)


def handle_announcement(
    state: ConfigurationState, peer_id: str, announced: ConfigurationAnnounced, now_ms: float
) -> ConfigurationDecided:
    """Record a peer's announced version; request what is newer, and send what the peer lacks."""
    state = replace(
        state,
        peer_versions=state.peer_versions.set(peer_id, PeerVersion(announced.version, now_ms)),
    )
    state = _update_store_contact(state, announced, now_ms)
    peer_version, own_version = announced.version, state.record.version
    if peer_version.generation > own_version.generation:
        return Decided(state, (SendToPeer(peer_id, ConfigurationRequested(own_version)),))
    if peer_version.generation < own_version.generation:
        return _send_since(_record_divergence(state, peer_version), peer_id, peer_version)
    return Decided(_record_divergence(state, peer_version))


def handle_request(
    state: ConfigurationState, peer_id: str, request: ConfigurationRequested
) -> ConfigurationDecided:
    """Send a peer the delta or the record that brings it up to date, if it is behind."""
    if request.since.generation >= state.record.generation:
        return Decided(state)
    return _send_since(state, peer_id, request.since)


def handle_part(
    state: ConfigurationState, peer_id: str, message: ConfigurationPart, now_ms: float
) -> ConfigurationDecided:
    """Collect a part of a newer version, and announce this instance's version if requested."""
    if not 0 <= message.part < message.parts <= MAX_PARTS:
        return Decided(state, (Count("peer_messages_refused", "malformed_configuration"),))
    if message.version.generation > state.record.generation:
        decided = _collect_part(state, peer_id, message)
    else:
        decided = Decided(_record_divergence(state, message.version))
    if message.acknowledge:
        decided = chain_decisions(
            decided,
            lambda after: Decided(after, (SendToPeer(peer_id, make_announcement(after, now_ms)),)),
        )
    return decided


def announce(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    """Announce the version in force to one random gossip peer."""
    random_state, chosen = sample_some(state.random_state, state.gossip_peers, 1)
    message = make_announcement(state, now_ms)
    effects = tuple(SendToPeer(peer, message) for peer in chosen)
    return Decided(replace(state, random_state=random_state), effects)


def update_peers(
    state: ConfigurationState, live: tuple[str, ...], now_ms: float
) -> ConfigurationDecided:
    """Set the live peers, and announce the version in force to a sample of the new ones.

    The sample of `spread_peers` is taken from all live peers, and the new ones in it get an
    announcement. An availability zone that returns thus gets announcements from many instances,
    and a single new instance gets about as many as it sends itself.
    """
    known = set(state.peers)
    random_state, sampled = sample_some(state.random_state, live, state.settings.spread_peers)
    peer_versions = state.peer_versions
    for peer_id, peer_version in state.peer_versions.items():
        if peer_id not in live and now_ms - peer_version.received_at_ms > PEER_RETENTION_MS:
            peer_versions = peer_versions.delete(peer_id)
    gossip_peers = choose_gossip_peers(state.instance_id, live, state.settings.partners)
    state = replace(
        state,
        peers=live,
        gossip_peers=gossip_peers,
        random_state=random_state,
        peer_versions=peer_versions,
    )
    message = make_announcement(state, now_ms)
    return Decided(state, tuple(SendToPeer(peer, message) for peer in sampled if peer not in known))


def make_announcement(state: ConfigurationState, now_ms: float) -> ConfigurationAnnounced:
    """Return an announcement of the version in force and of the last contact with the store."""
    last_contact_at_ms = state.store.last_contact_at_ms
    restored_generation = state.store.restored_generation
    return ConfigurationAnnounced(
        version=state.record.version,
        store_last_contact_ago_ms=(
            -1.0 if last_contact_at_ms is None else now_ms - last_contact_at_ms
        ),
        store_restored_generation=-1 if restored_generation is None else restored_generation,
    )


def _push_record(
    state: ConfigurationState, since: ConfigurationVersion, source: str, acknowledge: bool
) -> ConfigurationDecided:
    """Send the changes after `since` to a sample of the gossip peers, but not to the source."""
    others = tuple(peer for peer in state.gossip_peers if peer != source)
    random_state, chosen = sample_some(state.random_state, others, state.settings.spread_peers)
    state = replace(state, random_state=random_state)
    messages = _make_parts_since(state, since, acknowledge) if chosen else ()
    return Decided(
        state, tuple(SendToPeer(peer, message) for peer in chosen for message in messages)
    )


def _send_since(
    state: ConfigurationState, peer_id: str, since: ConfigurationVersion
) -> ConfigurationDecided:
    return Decided(
        state, tuple(SendToPeer(peer_id, message) for message in _make_parts_since(state, since))
    )


def _make_parts_since(
    state: ConfigurationState, since: ConfigurationVersion, acknowledge: bool = False
) -> tuple[ConfigurationPart, ...]:
    """Return the parts of the delta from `since`, or of the full record if there is none."""
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


def _collect_part(
    state: ConfigurationState, peer_id: str, message: ConfigurationPart
) -> ConfigurationDecided:
    """Store a part; as soon as all have arrived, apply the delta or record that they form.

    If the base of a delta is newer than the record in force, a delta from the version in force is
    requested instead.
    """
    incoming = state.incoming
    if incoming.version != message.version:
        incoming = IncomingParts(message.version)
    incoming = replace(incoming, parts=incoming.parts.set(message.part, message.payload))
    if len(incoming.parts) < message.parts:
        return Decided(replace(state, incoming=incoming))
    state = replace(state, incoming=IncomingParts())
    payload = b"".join(incoming.parts.get(part, b"") for part in range(message.parts))
    if message.full_record:
        record = state.codec.decode_record(payload)
        return _apply_or_refuse(state, record, peer_id)
    delta = state.codec.decode_delta(payload)
    if delta is None:
        return _apply_or_refuse(state, None, peer_id)
    record = apply_delta(state.record, delta)
    if record is not None:
        return apply_record(state, record, peer_id)
    if delta.base.generation > state.record.generation:
        return Decided(state, (SendToPeer(peer_id, ConfigurationRequested(state.record.version)),))
    return Decided(replace(state, diverged_version=message.version))


def _apply_or_refuse(
    state: ConfigurationState, record: ConfigurationRecord | None, peer_id: str
) -> ConfigurationDecided:
    if record is None:
        return Decided(state, (Count("peer_messages_refused", "malformed_configuration"),))
    return apply_record(state, record, peer_id)


def _record_divergence(
    state: ConfigurationState, version: ConfigurationVersion
) -> ConfigurationState:
    """Record a version as diverged if the history has another one of the same generation."""
    history = state.record.history
    known = any(item.generation == version.generation for item in history)
    if known and version not in history:
        return replace(state, diverged_version=version)
    return state


def _update_store_contact(
    state: ConfigurationState, announced: ConfigurationAnnounced, now_ms: float
) -> ConfigurationState:
    """Adopt a peer's view of the store if it is based on a later reply of the store."""
    contact_at_ms = now_ms - announced.store_last_contact_ago_ms
    own_contact_at_ms = state.store.last_contact_at_ms
    if announced.store_last_contact_ago_ms < 0 or (
        own_contact_at_ms is not None and own_contact_at_ms >= contact_at_ms
    ):
        return state
    restored_generation = announced.store_restored_generation
    store = replace(
        state.store,
        last_contact_at_ms=contact_at_ms,
        restored_generation=None if restored_generation < 0 else restored_generation,
    )
    return replace(state, store=store)


def _find_unconfirmed(state: ConfigurationState) -> Map[str, UnconfirmedChange]:
    """Return the unconfirmed changes that the record in force does not decide.

    A generation after the base of a change shows whether the change was committed.
    """
    unconfirmed_changes = state.unconfirmed_changes
    for change_id, item in state.unconfirmed_changes.items():
        if state.record.generation > item.base_generation:
            unconfirmed_changes = unconfirmed_changes.delete(change_id)
    return unconfirmed_changes
