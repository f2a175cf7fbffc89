"""What the operators' API needs of the entry instance."""

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
        """Return the state of the configuration."""

    @property
    def notices(self) -> NoticesState:
        """Return the open notices."""


class OperatorBridge(Protocol):
    """What the API needs of the entry instance."""

    clock: Clock

    def submit(self, event: ChangeRequested | StatusRequested) -> Deferred:
        """Feed an event; fires with `ChangeOutcome` or `ConfigurationStatus`, once."""

    def read_state(self) -> OperatorState:
        """Return the state as it is now."""

    def wait_for_newer_generation(self, generation: int, wait_ms: float) -> Deferred:
        """Fire as soon as a newer generation is in force, or when the wait ends."""

    def next_request_id(self) -> str:
        """Return an id that is unique over instances and restarts."""

    def render_metrics(self) -> bytes:
        """Return every metric in the text exposition format."""

    def count_refusal(self, reason: str) -> None:
        """Count a refused request."""
