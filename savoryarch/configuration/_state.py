"""State of the configuration on one instance."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

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

CONFIGURATION_KEY = "configuration/current"
CONFIGURATION_PREFIX = "configuration/"

STORE_ACTIONS = frozenset({"list_store", "watch_store", "set_retry", "clear_retry"})
CHANGE_ACTIONS = frozenset(
    {
        "read_store",
        "swap_store",
        "set_retry",
        "note_lost",
        "take_committed",
        "answer_settled",
        "answer_timed_out",
        "answer_accepted",
    }
)
STORE_CHART = load_chart("configuration", STORE_ACTIONS)
CHANGE_CHART = load_chart("change", CHANGE_ACTIONS)


@dataclass(frozen=True, slots=True)
class StoreView:
    """What this instance knows of the store.

    Parameters
    ----------
    chart_state : str
        State of the chart ``configuration``.
    call_id : str
        The call that is under way; replies to others are late.
    since_revision : int
        Where the watch goes on.
    listed_at_ms : float or None
        When the key was last read as a whole.
    asked_generation : int
        What was in force when the call was made. The store must hold at least this, unless it
        was restored.
    seen_at_ms : float or None
        When this instance, or a peer that told it, last had a reply from the store.
    behind_generation : int or None
        Generation in the store, if it was restored to before what is in force.
    """

    chart_state: str = STORE_CHART.initial
    call_id: str = ""
    since_revision: int = 0
    listed_at_ms: float | None = None
    asked_generation: int = 0
    seen_at_ms: float | None = None
    behind_generation: int | None = None


@dataclass(frozen=True, slots=True)
class ProposedSwap:
    """A record that is to be committed, or was.

    Parameters
    ----------
    record : ConfigurationRecord
        The record.
    value : bytes
        Its encoding.
    expected_revision : int
        Revision of the key in the store that it replaces.
    """

    record: ConfigurationRecord
    value: bytes = b""
    expected_revision: int = 0


@dataclass(frozen=True, slots=True)
class PendingChange:
    """One change asked by an operator.

    Parameters
    ----------
    change_id, changes
        As asked.
    chart_state : str
        State of the chart ``change``.
    call_id : str
        The store call that is under way.
    asked_version : ConfigurationVersion
        What was in force when the store was read. The store must hold this or what came from it,
        unless it was restored.
    swap_lost : bool
        Whether a swap was sent whose reply did not come.
    proposed : ProposedSwap or None
        What the swap writes.
    outcome : ChangeOutcome or None
        The outcome, once it is known.
    """

    change_id: str
    changes: tuple[Change, ...]
    chart_state: str = CHANGE_CHART.initial
    call_id: str = ""
    asked_version: ConfigurationVersion = field(default_factory=ConfigurationVersion)
    swap_lost: bool = False
    proposed: ProposedSwap | None = None
    outcome: ChangeOutcome | None = None


@dataclass(frozen=True, slots=True)
class Unsettled:
    """A change that was answered with unknown.

    Parameters
    ----------
    base_generation : int
        The generation that it would have followed.
    since_ms : float
        When it was answered.
    """

    base_generation: int
    since_ms: float


@dataclass(frozen=True, slots=True)
class Heard:
    """What a peer said that it has in force, and when."""

    version: ConfigurationVersion
    at_ms: float


@dataclass(frozen=True, slots=True)
class Incoming:
    """The parts of a record that have arrived from a peer."""

    version: ConfigurationVersion = field(default_factory=ConfigurationVersion)
    parts: Map[int, bytes] = field(default_factory=Map)


@dataclass(frozen=True, slots=True)
class ConfigurationState:
    """State of the configuration on one instance.

    Parameters
    ----------
    settings : ConfigurationSettings
        From the settings file.
    codec : RecordCodec
        How records become bytes.
    instance_id : str
        This instance.
    random_state : int
        Seed of the choice of peers; changes with each draw.
    record : ConfigurationRecord
        What is in force here.
    store : StoreView
        What is known of the store.
    changes : tuple of PendingChange
        The first one is under way.
    unsettled : Map
        `Unsettled` by change id.
    peers : tuple of str
        Live peers.
    partners : tuple of str
        The live peers that this instance tells; few, so that connections are few.
    heard : Map
        `Heard` by instance id.
    incoming : Incoming
        A record that is arriving.
    split_version : ConfigurationVersion or None
        A version that did not come from what is in force here, nor the other way round.
    asked_status : Map
        For each status id, when it was asked.
    raised : frozenset of str
        Ids of the open notices.
    calls : int
        Number of store calls made, for call ids.
    """

    settings: ConfigurationSettings
    codec: RecordCodec
    instance_id: str = ""
    random_state: int = 0
    record: ConfigurationRecord = field(default_factory=ConfigurationRecord)
    store: StoreView = field(default_factory=StoreView)
    changes: tuple[PendingChange, ...] = ()
    unsettled: Map[str, Unsettled] = field(default_factory=Map)
    peers: tuple[str, ...] = ()
    partners: tuple[str, ...] = ()
    heard: Map[str, Heard] = field(default_factory=Map)
    incoming: Incoming = field(default_factory=Incoming)
    split_version: ConfigurationVersion | None = None
    asked_status: Map[str, float] = field(default_factory=Map)
    raised: frozenset[str] = frozenset()
    calls: int = 0


ConfigurationDecided = Decided[ConfigurationState]


def make_configuration_state(
    codec: RecordCodec, settings: ConfigurationSettings | None = None, seed: int = 0
) -> ConfigurationState:
    """Make the state of an instance that has not started.

    Parameters
    ----------
    codec : RecordCodec
        How records become bytes, for example ``savoryarch.resources.RECORD_CODEC``.
    settings : ConfigurationSettings, optional
        The defaults if absent.
    seed : int
        Should differ between instances.
    """
    return ConfigurationState(settings or ConfigurationSettings(), codec, random_state=seed)


def then(
    decided: ConfigurationDecided, step: Callable[[ConfigurationState], ConfigurationDecided]
) -> ConfigurationDecided:
    """Carry out `step` on the state of `decided` and join the effects."""
    after = step(decided.state)
    return Decided(after.state, decided.effects + after.effects)


def number_call(state: ConfigurationState, subject: str) -> tuple[ConfigurationState, str]:
    """Return the state and a new call id."""
    calls = state.calls + 1
    return replace(state, calls=calls), f"configuration/{subject}/{calls}"
