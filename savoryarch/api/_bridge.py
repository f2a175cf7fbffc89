"""Interface between the operators' API and the entry instance."""

from typing import Protocol

from twisted.internet.defer import Deferred

from savoryarch.configuration import ConfigurationState
from savoryarch.model import ChangeRequested, StatusRequested
from savoryarch.notices import NoticesState
from savoryarch.utils import Clock


class OperatorState(Protocol):
    """The part of the state of the tier that the API reads."""

    @property
    def configuration(self) -> ConfigurationState:
        """State of the configuration component, with the resources in force."""

    @property
    def notices(self) -> NoticesState:
        """State of the notices component, with the open notices."""


class OperatorBridge(Protocol):
    """Functions of the entry instance that the operators' API uses.

    Attributes
    ----------
    clock : Clock
        Clock of the instance.
    """

    clock: Clock

    def submit(self, event: ChangeRequested | StatusRequested) -> Deferred:
        """Deliver an event to the instance.

        Returns
        -------
        outcome : Deferred
            Fires once, with a `ChangeOutcome` or a `ConfigurationStatus`.
        """

    def read_state(self) -> OperatorState:
        """Return the current state."""

    def wait_for_newer_generation(self, generation: int, wait_ms: float) -> Deferred:
        """Wait for a newer generation of the configuration.

        Parameters
        ----------
        generation : int
            Generation that the operator already knows.
        wait_ms : float
            Longest time to wait.

        Returns
        -------
        waiting : Deferred
            Fires as soon as a newer generation is in force, or after `wait_ms`.
        """

    def next_request_id(self) -> str:
        """Return an id that is unique across instances and restarts."""

    def render_metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""

    def count_refusal(self, reason: str) -> None:
        """Add a refused request to the counter of refusals, by its reason."""
