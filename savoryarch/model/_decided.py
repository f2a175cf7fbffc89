"""Results of decisions."""

from dataclasses import dataclass
from typing import Generic, TypeVar

from savoryarch.utils import fast_init

State = TypeVar("State")
Shared = TypeVar("Shared")


@fast_init
@dataclass(frozen=True, slots=True)
class Decided(Generic[State]):
    """The result of a decision.

    Parameters
    ----------
    state : State
        State after the event.
    effects : tuple of object
        Effects in the order in which the driver performs them.
    """

    state: State
    effects: tuple[object, ...] = ()


@fast_init
@dataclass(frozen=True, slots=True)
class DecidedOnTargets(Generic[State, Shared]):
    """The result of a decision that also changes the state of the targets.

    Parameters
    ----------
    state : State
        State after the event.
    targets : Shared
        State of the targets, whose slots are shared by several components.
    effects : tuple of object
        Effects in the order in which the driver performs them.
    """

    state: State
    targets: Shared
    effects: tuple[object, ...] = ()
