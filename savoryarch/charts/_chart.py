"""State charts as data classes, with a lookup of transitions."""

from collections.abc import Mapping
from dataclasses import dataclass

from savoryarch.exceptions import NoTransitionError


@dataclass(frozen=True, slots=True)
class Transition:
    """Transition that an event causes in a state.

    Parameters
    ----------
    next_state : str
        State after the transition.
    actions : tuple of str
        Names of the actions that the user of the chart has to perform, in order.
    """

    next_state: str
    actions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Chart:
    """One state chart.

    Parameters
    ----------
    name : str
        Name of the chart.
    summary : str
        One sentence about what the chart describes.
    initial : str
        State in which the chart starts.
    events : frozenset of str
        All events of the chart.
    states : frozenset of str
        All states.
    final_states : frozenset of str
        States without transitions.
    transitions : mapping of (str, str) to Transition
        Transitions by state and event.
    """

    name: str
    summary: str
    initial: str
    events: frozenset[str]
    states: frozenset[str]
    final_states: frozenset[str]
    transitions: Mapping[tuple[str, str], Transition]

    def step(self, state: str, event: str) -> Transition:
        """Return the transition that an event causes in a state.

        Raises
        ------
        NoTransitionError
            If the state has no transition for the event.
        """
        transition = self.transitions.get((state, event))
        if transition is None:
            raise NoTransitionError(
                f"chart {self.name!r} has no transition for event {event!r} in state {state!r}"
            )
        return transition

    def has_transition(self, state: str, event: str) -> bool:
        """Return whether a state has a transition for an event."""
        return (state, event) in self.transitions

    def actions(self) -> frozenset[str]:
        """Return the names of the actions of all transitions."""
        return frozenset(
            action for transition in self.transitions.values() for action in transition.actions
        )
