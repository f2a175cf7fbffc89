"""What a decision returns."""

from dataclasses import dataclass
from typing import Generic, TypeVar

State = TypeVar("State")
Shared = TypeVar("Shared")


@dataclass(frozen=True, slots=True)
class Decided(Generic[State]):
    """The state afterwards and what has to be done, in order."""

    state: State
    effects: tuple[object, ...] = ()


@dataclass(frozen=True, slots=True)
class DecidedOnTargets(Generic[State, Shared]):
    """As `Decided`, for decisions that share the targets' slots."""

    state: State
    targets: Shared
    effects: tuple[object, ...] = ()
