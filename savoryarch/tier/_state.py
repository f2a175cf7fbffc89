"""The state of one entry instance: one frozen record per subject."""

from dataclasses import dataclass

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
    """

    instance_id: str
    availability_zone: str
    incarnation: int
    targets: TargetsSettings
    search: SearchSettings
    shutdown: ShutdownSettings


@dataclass(frozen=True, slots=True)
class TierState:
    """State of every decision.

    Parameters
    ----------
    unfinished_ids : tuple of str
        The unfinished requests that the shutdown was told of last.
    """

    settings: TierSettings
    targets: TargetsState
    search: SearchState
    shutdown: ShutdownState
    unfinished_ids: tuple[str, ...] = ()


def make_tier_state(settings: TierSettings) -> TierState:
    """Make the state of an instance that has not started yet."""
    return TierState(
        settings=settings,
        targets=make_targets_state(settings.targets),
        search=make_search_state(settings.search),
        shutdown=make_shutdown_state(settings.shutdown),
    )
