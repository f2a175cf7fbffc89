"""The state of one entry instance: one frozen record for each component."""

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
    """Settings of all components.

    Parameters
    ----------
    instance_id, availability_zone : str
        Identity of this instance.
    incarnation : int
        Start time of this instance in ms since the Unix epoch.
    targets : TargetsSettings
        Settings of the targets; each further field has the settings of the component it is named
        after.
    peer_host, peer_port : str, int
        Address at which peers reach this instance.
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
    """State of all components.

    Parameters
    ----------
    settings : TierSettings
        Settings at the start of the process.
    targets : TargetsState
        State of the targets; each further field has the state of the component it is named after.
    unfinished_request_ids : tuple of str
        Ids of the unfinished requests that were last reported to the shutdown.
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
    unfinished_request_ids: tuple[str, ...] = ()


def make_tier_state(
    settings: TierSettings, record_codec: RecordCodec, entry_codec: StoreEntryCodec | None = None
) -> TierState:
    """Make the initial state of an instance, before its `Started` event.

    Parameters
    ----------
    settings : TierSettings
        Settings of all components.
    record_codec : RecordCodec
        Encodes and decodes records of the configuration.
    entry_codec : StoreEntryCodec, optional
        Decodes the entries that are discovered in the store; by default there are none.
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
