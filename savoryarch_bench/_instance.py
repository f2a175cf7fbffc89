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
            entry_instances=scenario.instances,
            zone_distance_ms=scenario.shape.zone_distance_ms,
            choice=RoundRobin() if scenario.plain_targets else LeastExpectedLatency(),
        )
        self.targets = make_targets_state(settings)
        self.search = make_search_state(scenario.search, scenario.admission)
        self.is_gone = False
        self.timers: dict[str, int] = {}
        self.request_ids: set[str] = set()
        self.open_attempts: set[str] = set()
        self.connected: set[str] = set()
        self.idle: dict[str, int] = {}
        self.held: dict[str, int] = {}
        self.allowed: dict[str, int] = {}
        self.decide_ns = 0

    def decide(self, event: object, now_ms: float) -> tuple[object, ...]:
        """Decide on an event and return the effects."""
        begun_ns = process_time_ns()
        on_targets = decide_targets(self.targets, event, now_ms)
        on_search = decide_search(self.search, on_targets.state, event, now_ms)
        self.decide_ns += process_time_ns() - begun_ns
        self.search, self.targets = on_search.state, on_search.targets
        return on_targets.effects + on_search.effects
