"""The state chart as data, and its interpreter."""

from collections.abc import Mapping
from dataclasses import dataclass

from savoryarch.exceptions import NoTransitionError


@dataclass(frozen=True, slots=True)
class Transition:
    """What an event does in a state.

    Parameters
    ----------
    next_state : str
        The state afterwards.
    actions : tuple of str
        What the owner of the chart has to carry out, in order.
    """

    next_state: str
    actions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Chart:
    """One state chart.

    Parameters
    ----------
    name, summary, initial : str
        As in the chart file.
    events : frozenset of str
        Every event that the chart knows.
    states : frozenset of str
        Every state.
    final_states : frozenset of str
        States that nothing leaves.
    transitions : mapping of (str, str) to Transition
        Keyed by state and event.
    """

    name: str
    summary: str
    initial: str
    events: frozenset[str]
    states: frozenset[str]
    final_states: frozenset[str]
    transitions: Mapping[tuple[str, str], Transition]

    def step(self, state: str, event: str) -> Transition:
        """Return the transition for `event` in `state`.

        Raises
        ------
        NoTransitionError
            If the chart has none.
        """
        transition = self.transitions.get((state, event))
        if transition is None:
            raise NoTransitionError(
                f"chart {self.name!r} has no event {event!r} in state {state!r}"
            )
        return transition

    def has_transition(self, state: str, event: str) -> bool:
        """Return whether `event` has a transition in `state`."""
        return (state, event) in self.transitions

    def actions(self) -> frozenset[str]:
        """Return every action that a transition names."""
        return frozenset(
            action for transition in self.transitions.values() for action in transition.actions
        )
