"""The state of one entry instance: one frozen record per subject."""

from dataclasses import dataclass, field

from savoryarch.admission import AdmissionSettings
from savoryarch.configuration import (
    ConfigurationSettings,
    ConfigurationState,
    make_configuration_state,
)
from savoryarch.discovery import (
    DiscoverySettings,
    DiscoveryState,
    StoreEntryCodec,
    make_discovery_state,
    make_null_codec,
)
from savoryarch.forwarding import ForwardingSettings, ForwardingState, make_forwarding_state
from savoryarch.membership import MembershipSettings, MembershipState, make_membership_state
from savoryarch.model import RecordCodec
from savoryarch.notices import NoticesSettings, NoticesState
from savoryarch.orders import OrdersSettings, OrdersState, make_orders_state
from savoryarch.quarantine import QuarantineSettings
from savoryarch.search import SearchSettings, SearchState, make_search_state
from savoryarch.shutdown import ShutdownSettings, ShutdownState, make_shutdown_state
from savoryarch.targets import TargetsSettings, TargetsState, make_targets_state


@dataclass(frozen=True, slots=True)
class TierSettings:
    """Settings of every decision.

    Parameters
    ----------
    instance_id, availability_zone : str
        Of this instance.
    incarnation : int
        Start time in ms since the Unix epoch.
    targets : TargetsSettings
        Each further field belongs to the subject of its name.
    peer_host, peer_port : str, int
        Where peers reach this instance.
    """

    instance_id: str
    availability_zone: str
    incarnation: int
    targets: TargetsSettings
    search: SearchSettings = field(default_factory=SearchSettings)
    admission: AdmissionSettings = field(default_factory=AdmissionSettings)
    quarantine: QuarantineSettings = field(default_factory=QuarantineSettings)
    orders: OrdersSettings = field(default_factory=OrdersSettings)
    notices: NoticesSettings = field(default_factory=NoticesSettings)
    configuration: ConfigurationSettings = field(default_factory=ConfigurationSettings)
    membership: MembershipSettings = field(default_factory=MembershipSettings)
    shutdown: ShutdownSettings = field(default_factory=ShutdownSettings)
    forwarding: ForwardingSettings = field(default_factory=ForwardingSettings)
    discovery: DiscoverySettings = field(default_factory=DiscoverySettings)
    peer_host: str = "127.0.0.1"
    peer_port: int = 0


@dataclass(frozen=True, slots=True)
class TierState:
    """State of every decision.

    Parameters
    ----------
    settings : TierSettings
        Fixed from start to end.
    targets : TargetsState
        Each further field belongs to the subject of its name.
    unfinished_ids : tuple of str
        The unfinished requests that the shutdown was told of last.
    """

    settings: TierSettings
    targets: TargetsState
    search: SearchState
    orders: OrdersState
    configuration: ConfigurationState
    membership: MembershipState
    shutdown: ShutdownState
    forwarding: ForwardingState
    discovery: DiscoveryState
    notices: NoticesState = field(default_factory=NoticesState)
    unfinished_ids: tuple[str, ...] = ()


def make_tier_state(
    settings: TierSettings, record_codec: RecordCodec, entry_codec: StoreEntryCodec | None = None
) -> TierState:
    """Make the state of an instance that has not started yet.

    Parameters
    ----------
    settings : TierSettings
        The settings.
    record_codec : RecordCodec
        How records of the configuration become bytes.
    entry_codec : StoreEntryCodec, optional
        How entries that are discovered in the store are read.
    """
    return TierState(
        settings=settings,
        targets=make_targets_state(settings.targets),
        search=make_search_state(settings.search, settings.admission, settings.quarantine),
        orders=make_orders_state(settings.orders, settings.instance_id, settings.incarnation),
        configuration=make_configuration_state(
            record_codec, settings.configuration, seed=settings.incarnation
        ),
        membership=make_membership_state(
            settings.membership, settings.peer_host, settings.peer_port
        ),
        shutdown=make_shutdown_state(settings.shutdown),
        forwarding=make_forwarding_state(settings.forwarding, settings.quarantine),
        discovery=make_discovery_state(settings.discovery, entry_codec or make_null_codec()),
        notices=NoticesState(settings.notices),
    )
