"""What a cluster on one machine is made of."""

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
    """One entry instance.

    Parameters
    ----------
    instance_id, availability_zone : str
        As in its settings.
    callers_port, operators_port, peers_port : int
        TCP ports; 0 takes free ones.
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
    """A cluster on one machine.

    Parameters
    ----------
    targets : str
        Settings of the target stand-ins, see ``savoryarch_standins.target``; empty for none.
    resources : str
        Searches, routes and callers, as for ``savoryarch apply``; the services are added.
    entries : tuple of EntryPlan
        The entry instances.
    settings : dict of str to dict
        Further settings of each entry instance, by section and key.
    program : tuple of str
        Arguments of the interpreter that run the program.
    check_interval_ms : float
        Time between two readiness checks of the balancer.
    balancer_lag_ms : float
        Time until the result of a check counts.
    list_lag_ms : float
        Lag of the instance list.
    """

    targets: str = DEFAULT_TARGETS
    resources: str = ""
    entries: tuple[EntryPlan, ...] = DEFAULT_ENTRIES
    settings: dict[str, dict[str, str]] = field(default_factory=dict)
    program: tuple[str, ...] = ("-m", "savoryarch")
    check_interval_ms: float = 200.0
    balancer_lag_ms: float = 100.0
    list_lag_ms: float = 200.0
