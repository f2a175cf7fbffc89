"""An entry instance in virtual time: its decisions, timers, attempts and connections."""

from time import process_time_ns

from savoryarch.search import decide_search, make_search_state
from savoryarch.targets import (
    LeastExpectedLatency,
    RoundRobin,
    TargetsSettings,
    decide_targets,
    make_targets_state,
)
from savoryarch_bench._model import ZONES, Scenario


class Instance:
    """The state of one entry instance, with the product's decisions on searches and targets.

    Parameters
    ----------
    number : int
        Position among the entry instances, from 0; an instance and its replacement share it.
    serial : int
        Number that is unique in the run, also after a replacement.
    scenario : Scenario
        Source of the settings.
    """

    def __init__(self, number: int, serial: int, scenario: Scenario) -> None:
        self.number = number
        self.serial = serial
        self.zone = ZONES[number % len(ZONES)]
        settings = TargetsSettings(
            self.zone,
            instance_id=f"entry-{number}",
            entry_instances=scenario.instance_count,
            zone_distance_ms=scenario.group.zone_distance_ms,
            choice=RoundRobin() if scenario.uses_round_robin else LeastExpectedLatency(),
        )
        self.targets = make_targets_state(settings)
        self.search = make_search_state(scenario.search, scenario.admission)
        self.has_crashed = False
        # Timer id -> number of the scheduled event; an event with another number is obsolete.
        self.timers: dict[str, int] = {}
        self.open_request_ids: set[str] = set()
        # Ids of attempts that have not ended, and of those among them that use a connection.
        self.open_attempts: set[str] = set()
        self.connected_attempts: set[str] = set()
        # By target id: idle connections, all open connections, and the maximum of open ones.
        self.idle_connections: dict[str, int] = {}
        self.open_connections: dict[str, int] = {}
        self.connection_shares: dict[str, int] = {}
        self.decision_ns = 0

    def decide(self, event: object, now_ms: float) -> tuple[object, ...]:
        """Apply an event to the state and return the effects; add the CPU time to `decision_ns`."""
        started_ns = process_time_ns()
        decided_targets = decide_targets(self.targets, event, now_ms)
        decided_search = decide_search(self.search, decided_targets.state, event, now_ms)
        self.decision_ns += process_time_ns() - started_ns
        self.search, self.targets = decided_search.state, decided_search.targets
        return decided_targets.effects + decided_search.effects
