"""One entry instance in virtual time: the decisions, their timers and connections."""

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
    """The state of one entry instance.

    Parameters
    ----------
    number : int
        Which of the entry instances it is.
    serial : int
        Differs from that of the instance which it replaces.
    scenario : Scenario
        Gives the settings.
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
        self.has_failed = False
        self.timers: dict[str, int] = {}
        self.open_request_ids: set[str] = set()
        self.open_attempts: set[str] = set()
        self.connected_attempts: set[str] = set()
        self.idle_connections: dict[str, int] = {}
        self.open_connections: dict[str, int] = {}
        self.connection_shares: dict[str, int] = {}
        self.decision_ns = 0

    def decide(self, event: object, now_ms: float) -> tuple[object, ...]:
        """Decide on an event and return the effects."""
        begun_ns = process_time_ns()
        on_targets = decide_targets(self.targets, event, now_ms)
        on_search = decide_search(self.search, on_targets.state, event, now_ms)
        self.decision_ns += process_time_ns() - begun_ns
        self.search, self.targets = on_search.state, on_search.targets
        return on_targets.effects + on_search.effects
