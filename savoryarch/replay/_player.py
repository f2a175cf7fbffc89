"""Plays a trace against a decision and compares the effects."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from savoryarch.codec import MessageCodec
from savoryarch.exceptions import CodecError
from savoryarch.model import ClearTimer, Decided, SetTimer, TimerFired
from savoryarch.replay._pattern import match_pattern, substitute
from savoryarch.replay._trace import AdvanceStep, EventStep, ExpectStep, ForbidStep, Step, Trace
from savoryarch.utils import Place

Decide = Callable[[Any, object, float], Decided]


@dataclass(frozen=True, slots=True)
class Difference:
    """One point in which a replay departs from its trace."""

    place: Place
    expected: str
    came: tuple[str, ...]

    def __str__(self) -> str:
        lines = "".join(f"\n    came: {line}" for line in self.came) or "\n    came: nothing"
        return f"{self.place}: {self.expected}{lines}"


@dataclass(frozen=True, slots=True)
class TraceResult:
    """What came of one trace; it holds if there are no differences."""

    trace: Trace
    differences: tuple[Difference, ...]
    effect_count: int


@dataclass(frozen=True, slots=True)
class _Playing:
    """A replay on its way; `recent` are the effects since the last event step."""

    state: Any
    timers: Mapping[str, float]
    bindings: Mapping[str, Any]
    recent: tuple[dict[str, Any], ...]
    differences: tuple[Difference, ...]
    effect_count: int = 0


def play_trace(
    trace: Trace,
    state: Any,
    decide: Decide,
    codec: MessageCodec,
    start: tuple[object, ...] = (),
) -> TraceResult:
    """Play a trace in virtual time.

    Parameters
    ----------
    trace : Trace
        What to play.
    state : object
        The state to start from.
    decide : callable
        The decision.
    codec : MessageCodec
        Converts events and effects to the plain form that the trace is written in.
    start : tuple of object
        Events at time 0 before the first step.
    """
    player = _Player(trace, decide, codec)
    playing = _Playing(state, {}, {}, (), ())
    for event in start:
        playing = player.feed(playing, event, 0.0, Place(trace.source, 1))
    for step in trace.steps:
        playing = player.step(playing, step)
    return TraceResult(trace, playing.differences, playing.effect_count)


@dataclass(frozen=True, slots=True)
class _Player:
    trace: Trace
    decide: Decide
    codec: MessageCodec

    def step(self, playing: _Playing, step: Step) -> _Playing:
        match step:
            case EventStep(place=place, at_ms=at_ms, event=event):
                started = self._fire_due(_clear_recent(playing), at_ms, place)
                return self._feed_plain(started, event, at_ms, place)
            case AdvanceStep(place=place, advance_to_ms=at_ms):
                return self._fire_due(_clear_recent(playing), at_ms, place)
            case ExpectStep(place=place, expect=pattern):
                return _check_expected(playing, pattern, place)
            case ForbidStep(place=place, forbid=pattern):
                return _check_forbidden(playing, pattern, place, playing.recent)

    def _fire_due(self, playing: _Playing, until_ms: float, place: Place) -> _Playing:
        while playing.timers:
            timer_id = min(playing.timers, key=lambda name: (playing.timers[name], name))
            at_ms = playing.timers[timer_id]
            if at_ms > until_ms:
                break
            rest = {name: due for name, due in playing.timers.items() if name != timer_id}
            fired = replace(playing, timers=rest)
            playing = self.feed(fired, TimerFired(timer_id), at_ms, place)
        return playing

    def _feed_plain(
        self, playing: _Playing, event: dict[str, Any], at_ms: float, place: Place
    ) -> _Playing:
        try:
            message = self.codec.decode_text(substitute(event, playing.bindings))
        except (CodecError, KeyError) as error:
            expected = f"an event that can be read and whose names are bound, got {error}"
            return _add_difference(playing, Difference(place, expected, ()))
        return self.feed(playing, message, at_ms, place)

    def feed(self, playing: _Playing, event: object, at_ms: float, place: Place) -> _Playing:
        decided = self.decide(playing.state, event, at_ms)
        timers = dict(playing.timers)
        for effect in decided.effects:
            match effect:
                case SetTimer(timer_id=timer_id, at_ms=due_ms):
                    timers[timer_id] = due_ms
                case ClearTimer(timer_id=timer_id):
                    timers.pop(timer_id, None)
        plain = tuple(self.codec.encode_text(effect) for effect in decided.effects)
        playing = replace(
            playing,
            state=decided.state,
            timers=timers,
            recent=playing.recent + plain,
            effect_count=playing.effect_count + len(plain),
        )
        for pattern in self.trace.header.never:
            playing = _check_forbidden(playing, pattern, place, plain)
        return playing


def _clear_recent(playing: _Playing) -> _Playing:
    return replace(playing, recent=())


def _check_expected(playing: _Playing, pattern: dict[str, Any], place: Place) -> _Playing:
    for number, effect in enumerate(playing.recent):
        bindings = match_pattern(pattern, effect, playing.bindings)
        if bindings is not None:
            # An effect meets one expectation only, so that two like expectations need two.
            rest = playing.recent[:number] + playing.recent[number + 1 :]
            return replace(playing, bindings=bindings, recent=rest)
    difference = Difference(place, f"expected {pattern}", _lines(playing.recent))
    return _add_difference(playing, difference)


def _check_forbidden(
    playing: _Playing, pattern: dict[str, Any], place: Place, effects: tuple[dict[str, Any], ...]
) -> _Playing:
    wrong = tuple(
        effect for effect in effects if match_pattern(pattern, effect, playing.bindings) is not None
    )
    if not wrong:
        return playing
    return _add_difference(playing, Difference(place, f"expected never {pattern}", _lines(wrong)))


def _add_difference(playing: _Playing, difference: Difference) -> _Playing:
    return replace(playing, differences=(*playing.differences, difference))


def _lines(effects: tuple[dict[str, Any], ...]) -> tuple[str, ...]:
    return tuple(str(effect) for effect in effects)
