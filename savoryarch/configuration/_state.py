"""State of the configuration component on one instance."""

from collections.abc import Callable
from dataclasses import dataclass, field

from immutables import Map

from savoryarch.charts import load_chart
from savoryarch.configuration._settings import ConfigurationSettings
from savoryarch.model import (
    Change,
    ChangeOutcome,
    ConfigurationRecord,
    ConfigurationVersion,
    Decided,
    RecordCodec,
)
from savoryarch.utils import replace

CONFIGURATION_KEY = "configuration/current"
CONFIGURATION_PREFIX = "configuration/"

STORE_ACTIONS = frozenset({"list_store", "watch_store", "set_retry", "clear_retry"})
CHANGE_ACTIONS = frozenset(
    {
        "read_store",
        "swap_store",
        "set_retry",
        "record_lost_reply",
        "apply_committed",
        "answer_resolved",
        "answer_timed_out",
        "answer_accepted",
    }
)
STORE_CHART = load_chart("configuration", STORE_ACTIONS)
CHANGE_CHART = load_chart("change", CHANGE_ACTIONS)


@dataclass(frozen=True, slots=True)
class StoreView:
    """State of the calls to the store, and what is known about the store.

    Parameters
    ----------
    chart_state : str
        Current state in the chart ``configuration``.
    call_id : str
        Id of the call in flight; replies to other calls are late and are ignored.
    since_revision : int
        Revision of the store after which the next watch starts.
    listed_at_ms : float or None
        Time of the last complete list of the configuration's keys; None if there was none.
    generation_at_call : int
        Generation that was in force when the call was made. The store holds at least this
        generation unless it was restored.
    last_contact_at_ms : float or None
        Time when the store last replied to this instance or to a peer that announced it; None
        if no reply is known.
    restored_generation : int or None
        The generation in the store, if the store was restored to an older configuration than
        the one in force.
    """

    chart_state: str = STORE_CHART.initial
    call_id: str = ""
    since_revision: int = 0
    listed_at_ms: float | None = None
    generation_at_call: int = 0
    last_contact_at_ms: float | None = None
    restored_generation: int | None = None


@dataclass(frozen=True, slots=True)
class ProposedSwap:
    """A record that a change writes to the store or has written.

    Parameters
    ----------
    record : ConfigurationRecord
        The record.
    value : bytes
        The encoded record; empty if the record was found in the store.
    expected_revision : int
        Revision of the store's key that the compare-and-swap expects; 0 if the key is absent.
    """

    record: ConfigurationRecord
    value: bytes = b""
    expected_revision: int = 0


@dataclass(frozen=True, slots=True)
class PendingChange:
    """A change that an operator requested and that has not been answered.

    Parameters
    ----------
    change_id, changes
        As in `ChangeRequested`.
    chart_state : str
        Current state in the chart ``change``.
    call_id : str
        Id of the store call in flight; empty if there is none.
    version_at_read : ConfigurationVersion
        Version that was in force when the read of the store was sent. The store holds this
        version or a descendant of it unless it was restored.
    swap_reply_lost : bool
        Whether a compare-and-swap was sent that got no reply.
    proposed : ProposedSwap or None
        The record that the compare-and-swap writes; None before the store has been read.
    outcome : ChangeOutcome or None
        The outcome, as soon as it is known.
    """

    change_id: str
    changes: tuple[Change, ...]
    chart_state: str = CHANGE_CHART.initial
    call_id: str = ""
    version_at_read: ConfigurationVersion = field(default_factory=ConfigurationVersion)
    swap_reply_lost: bool = False
    proposed: ProposedSwap | None = None
    outcome: ChangeOutcome | None = None


@dataclass(frozen=True, slots=True)
class UnconfirmedChange:
    """A change that was answered with `ChangeUnknown`, because its write got no reply.

    Parameters
    ----------
    base_generation : int
        The generation that the write would replace. A later generation shows whether the write
        took effect.
    answered_at_ms : float
        Time of the answer.
    """

    base_generation: int
    answered_at_ms: float


@dataclass(frozen=True, slots=True)
class PeerVersion:
    """The version in the last announcement of a peer, and the time of its arrival."""

    version: ConfigurationVersion
    received_at_ms: float


@dataclass(frozen=True, slots=True)
class IncomingParts:
    """The parts of an encoded delta or record that have been received from a peer.

    Parameters
    ----------
    version : ConfigurationVersion
        Version that the complete delta or record leads to.
    parts : Map
        Bytes of each received part by its index.
    """

    version: ConfigurationVersion = field(default_factory=ConfigurationVersion)
    parts: Map[int, bytes] = field(default_factory=Map)


@dataclass(frozen=True, slots=True)
class ConfigurationState:
    """State of the configuration component on one instance.

    Parameters
    ----------
    settings : ConfigurationSettings
        Section ``configuration`` of the settings file.
    codec : RecordCodec
        Encodes and decodes records and deltas.
    instance_id : str
        Id of this instance; empty before it has started.
    random_state : int
        State of the pseudo-random generator that chooses peers; each sample advances it.
    record : ConfigurationRecord
        The configuration in force on this instance.
    store : StoreView
        State of the calls to the store.
    pending_changes : tuple of PendingChange
        Requested changes in order of arrival; only the first one is being processed.
    unconfirmed_changes : Map
        `UnconfirmedChange` by change id.
    peers : tuple of str
        Ids of the live peers.
    gossip_peers : tuple of str
        Ids of the live peers that this instance sends announcements and new versions to; a
        bounded number, which bounds the number of connections.
    peer_versions : Map
        `PeerVersion` by instance id.
    incoming : IncomingParts
        Parts of a delta or record that is not complete yet.
    diverged_version : ConfigurationVersion or None
        A version elsewhere that is neither an ancestor nor a descendant of the one in force
        here. It can exist only after the store was restored.
    status_requested_at_ms : Map
        Time of each unanswered status request by status id.
    raised_notice_ids : frozenset of str
        Ids of the open notices.
    store_call_count : int
        Number of store calls made, from which call ids are derived.
    """

    settings: ConfigurationSettings
    codec: RecordCodec
    instance_id: str = ""
    random_state: int = 0
    record: ConfigurationRecord = field(default_factory=ConfigurationRecord)
    store: StoreView = field(default_factory=StoreView)
    pending_changes: tuple[PendingChange, ...] = ()
    unconfirmed_changes: Map[str, UnconfirmedChange] = field(default_factory=Map)
    peers: tuple[str, ...] = ()
    gossip_peers: tuple[str, ...] = ()
    peer_versions: Map[str, PeerVersion] = field(default_factory=Map)
    incoming: IncomingParts = field(default_factory=IncomingParts)
    diverged_version: ConfigurationVersion | None = None
    status_requested_at_ms: Map[str, float] = field(default_factory=Map)
    raised_notice_ids: frozenset[str] = frozenset()
    store_call_count: int = 0


ConfigurationDecided = Decided[ConfigurationState]


def make_configuration_state(
    codec: RecordCodec, settings: ConfigurationSettings | None = None, seed: int = 0
) -> ConfigurationState:
    """Return the state of an instance that has not started.

    Parameters
    ----------
    codec : RecordCodec
        Encodes and decodes records, for example ``savoryarch.resources.RECORD_CODEC``.
    settings : ConfigurationSettings, optional
        Settings; the defaults if absent.
    seed : int
        Seed of the pseudo-random choices; it should differ between instances.
    """
    return ConfigurationState(settings or ConfigurationSettings(), codec, random_state=seed)


def chain_decisions(
    decided: ConfigurationDecided, step: Callable[[ConfigurationState], ConfigurationDecided]
) -> ConfigurationDecided:
    """Run `step` on the state of `decided` and append its effects."""
    after = step(decided.state)
    return Decided(after.state, decided.effects + after.effects)


def allocate_call_id(state: ConfigurationState, purpose: str) -> tuple[ConfigurationState, str]:
    """Return the state with one more call counted, and the id of that call."""
    calls = state.store_call_count + 1
    return replace(state, store_call_count=calls), f"configuration/{purpose}/{calls}"
