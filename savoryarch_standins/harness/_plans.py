"""Plans that say which processes a cluster has."""

from dataclasses import dataclass, field

DEFAULT_TARGETS = """
[group balcao]
services = 3
targets = 3
slots = 4
connection_limit = 40

[group pedidos]
services = 1
targets = 3
slots = 4
connection_limit = 40
"""


@dataclass(frozen=True, slots=True)
class EntryPlan:
    """An entry instance.

    Parameters
    ----------
    instance_id, availability_zone : str
        Values of its settings.
    callers_port, operators_port, peers_port : int
        TCP ports to listen on; 0 selects a free one.
    """

    instance_id: str
    availability_zone: str
    callers_port: int = 0
    operators_port: int = 0
    peers_port: int = 0


DEFAULT_ENTRIES = (
    EntryPlan("entry-1", "zone-a"),
    EntryPlan("entry-2", "zone-a"),
    EntryPlan("entry-3", "zone-b"),
    EntryPlan("entry-4", "zone-c"),
)


@dataclass(frozen=True, slots=True)
class ClusterPlan:
    """A cluster on one machine, with a store, an instance list, a balancer, targets and entries.

    Parameters
    ----------
    targets : str
        Settings file of the target stand-ins, see ``savoryarch_standins.target``; empty for none.
    resources : str
        Searches, routes and callers in the format of ``savoryarch apply``.
    entries : tuple of EntryPlan
        Entry instances to start.
    settings : dict of str to dict
        Additional settings of every entry instance, by section and key.
    program : tuple of str
        Arguments with which the Python interpreter runs the program.
    check_interval_ms : float
        Interval of the readiness checks of the balancer.
    balancer_lag_ms : float
        Delay until the balancer acts on the result of a check.
    list_lag_ms : float
        Delay until the instance list shows a change.
    """

    targets: str = DEFAULT_TARGETS
    resources: str = ""
    entries: tuple[EntryPlan, ...] = DEFAULT_ENTRIES
    settings: dict[str, dict[str, str]] = field(default_factory=dict)
    program: tuple[str, ...] = ("-m", "savoryarch")
    check_interval_ms: float = 200.0
    balancer_lag_ms: float = 100.0
    list_lag_ms: float = 200.0
