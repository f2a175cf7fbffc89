"""Replays a trace against a decision function and compares the effects."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from savoryarch.codec import MessageCodec
from savoryarch.exceptions import CodecError
from savoryarch.model import ClearTimer, Decided, SetTimer, TimerFired
from savoryarch.replay._pattern import match_pattern, substitute
from savoryarch.replay._trace import AdvanceStep, EventStep, ExpectStep, ForbidStep, Step, Trace
from savoryarch.utils import Place

DecideFunction = Callable[[Any, object, float], Decided]


@dataclass(frozen=True, slots=True)
class Difference:
    """One difference between a replay and its trace.

    Parameters
    ----------
    place : Place
        Line of the trace.
    expected : str
        Description of what the trace expects on that line.
    actual : tuple of str
        The effects that were decided, one per line.
    """

    place: Place
    expected: str
    actual: tuple[str, ...]

    def __str__(self) -> str:
        lines = "".join(f"\n    got: {line}" for line in self.actual) or "\n    got: nothing"
        return f"{self.place}: {self.expected}{lines}"


@dataclass(frozen=True, slots=True)
class TraceResult:
    """Result of one replay.

    Parameters
    ----------
    trace : Trace
        The trace that was replayed.
    differences : tuple of Difference
        Empty if the trace holds.
    effect_count : int
        Number of effects decided during the replay.
    """

    trace: Trace
    differences: tuple[Difference, ...]
    effect_count: int


@dataclass(frozen=True, slots=True)
class _ReplayState:
    """State of a running replay.

    Parameters
    ----------
    state : object
        State of the decision function.
    timers : mapping of str to float
        When each timer that is set is due, by timer id.
    bindings : mapping of str to object
        Values of the names that were bound so far.
    recent : tuple of dict
        Encoded effects since the last event step that no expectation has matched yet.
    differences : tuple of Difference
        Differences found so far.
    effect_count : int
        Number of effects decided so far.
    """

    state: Any
    timers: Mapping[str, float]
    bindings: Mapping[str, Any]
    recent: tuple[dict[str, Any], ...]
    differences: tuple[Difference, ...]
    effect_count: int = 0


def play_trace(
    trace: Trace,
    state: Any,
    decide: DecideFunction,
    codec: MessageCodec,
    start: tuple[object, ...] = (),
) -> TraceResult:
    """Replay a trace in virtual time.

    Parameters
    ----------
    trace : Trace
        The trace to replay.
    state : object
        Initial state of the decision function.
    decide : callable
        Decision function, called with state, event and time in ms.
    codec : MessageCodec
        Converts events and effects to and from the text form of the trace.
    start : tuple of object
        Events that are fed at time 0 before the first step.

    Returns
    -------
    result : TraceResult
        The differences and the number of effects.
    """
    player = _Player(trace, decide, codec)
    replay_state = _ReplayState(state, {}, {}, (), ())
    for event in start:
        replay_state = player.feed(replay_state, event, 0.0, Place(trace.source, 1))
    for step in trace.steps:
        replay_state = player.step(replay_state, step)
    return TraceResult(trace, replay_state.differences, replay_state.effect_count)


@dataclass(frozen=True, slots=True)
class _Player:
    """Executes the steps of a trace on a replay state."""

    trace: Trace
    decide: DecideFunction
    codec: MessageCodec

    def step(self, replay_state: _ReplayState, step: Step) -> _ReplayState:
        """Execute one step of the trace."""
        match step:
            case EventStep(place=place, at_ms=at_ms, event=event):
                advanced = self._fire_due_timers(_clear_recent(replay_state), at_ms, place)
                return self._feed_encoded(advanced, event, at_ms, place)
            case AdvanceStep(place=place, advance_to_ms=at_ms):
                return self._fire_due_timers(_clear_recent(replay_state), at_ms, place)
            case ExpectStep(place=place, expect=pattern):
                return _check_expected(replay_state, pattern, place)
            case ForbidStep(place=place, forbid=pattern):
                return _check_forbidden(replay_state, pattern, place, replay_state.recent)

    def _fire_due_timers(
        self, replay_state: _ReplayState, until_ms: float, place: Place
    ) -> _ReplayState:
        while replay_state.timers:
            timer_id = min(replay_state.timers, key=lambda name: (replay_state.timers[name], name))
            at_ms = replay_state.timers[timer_id]
            if at_ms > until_ms:
                break
            remaining = {name: due for name, due in replay_state.timers.items() if name != timer_id}
            fired = replace(replay_state, timers=remaining)
            replay_state = self.feed(fired, TimerFired(timer_id), at_ms, place)
        return replay_state

    def _feed_encoded(
        self, replay_state: _ReplayState, event: dict[str, Any], at_ms: float, place: Place
    ) -> _ReplayState:
        try:
            message = self.codec.decode_plain(substitute(event, replay_state.bindings))
        except (CodecError, KeyError) as error:
            expected = f"expected an event that can be decoded and whose names are bound: {error}"
            return _add_difference(replay_state, Difference(place, expected, ()))
        return self.feed(replay_state, message, at_ms, place)

    def feed(
        self, replay_state: _ReplayState, event: object, at_ms: float, place: Place
    ) -> _ReplayState:
        """Decide on one event, update the timers and check the effects against ``never``."""
        decided = self.decide(replay_state.state, event, at_ms)
        timers = dict(replay_state.timers)
        for effect in decided.effects:
            match effect:
                case SetTimer(timer_id=timer_id, at_ms=due_ms):
                    timers[timer_id] = due_ms
                case ClearTimer(timer_id=timer_id):
                    timers.pop(timer_id, None)
        encoded = tuple(self.codec.encode_plain(effect) for effect in decided.effects)
        replay_state = replace(
            replay_state,
            state=decided.state,
            timers=timers,
            recent=replay_state.recent + encoded,
            effect_count=replay_state.effect_count + len(encoded),
        )
        for pattern in self.trace.header.never:
            replay_state = _check_forbidden(replay_state, pattern, place, encoded)
        return replay_state


def _clear_recent(replay_state: _ReplayState) -> _ReplayState:
    return replace(replay_state, recent=())


def _check_expected(
    replay_state: _ReplayState, pattern: dict[str, Any], place: Place
) -> _ReplayState:
    for number, effect in enumerate(replay_state.recent):
        bindings = match_pattern(pattern, effect, replay_state.bindings)
        if bindings is not None:
            # Each effect matches one expectation only, so that two equal ones need two effects.
            remaining = replay_state.recent[:number] + replay_state.recent[number + 1 :]
            return replace(replay_state, bindings=bindings, recent=remaining)
    difference = Difference(place, f"expected {pattern}", _lines(replay_state.recent))
    return _add_difference(replay_state, difference)


def _check_forbidden(
    replay_state: _ReplayState,
    pattern: dict[str, Any],
    place: Place,
    effects: tuple[dict[str, Any], ...],
) -> _ReplayState:
    forbidden = tuple(
        effect
        for effect in effects
        if match_pattern(pattern, effect, replay_state.bindings) is not None
    )
    if not forbidden:
        return replay_state
    return _add_difference(
        replay_state, Difference(place, f"expected never {pattern}", _lines(forbidden))
    )


def _add_difference(replay_state: _ReplayState, difference: Difference) -> _ReplayState:
    return replace(replay_state, differences=(*replay_state.differences, difference))


def _lines(effects: tuple[dict[str, Any], ...]) -> tuple[str, ...]:
    return tuple(str(effect) for effect in effects)
