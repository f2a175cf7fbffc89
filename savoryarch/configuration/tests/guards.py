"""The guards of the configuration: what stands in their place when they are taken away."""

from dataclasses import replace
from importlib import import_module
from pathlib import Path

from hypothesis import Phase, settings

from savoryarch.configuration.tests.fleet import ANY_REVISION
from savoryarch.configuration.tests.test_properties import HISTORIES, SETTINGS, check_history
from savoryarch.configuration.tests.test_scenarios import test_scenario
from savoryarch.model import Decided, DeclarationsInForce, PublishEvent, SwapKey
from savoryarch.replay import replay_file
from tests.guard import SubjectGuard

TRACES = Path(__file__).parents[3] / "traces"


def run_proof(name: str) -> None:
    """Run a proof; raises AssertionError if it fails."""
    if name.endswith(".trace"):
        assert replay_file(TRACES / name).differences == ()
    elif name == "random":
        # Without shrinking: only whether it fails matters here.
        settings(SETTINGS, phases=[Phase.generate])(HISTORIES(check_history))()
    else:
        test_scenario(name)


def _take_any(state, record, source):
    if record.version == state.record.version:
        return Decided(state)
    informed = PublishEvent(DeclarationsInForce(record.declarations))
    return Decided(replace(state, record=record), (informed,))


def _swap_any(call_id, key, value, expected_revision):
    return SwapKey(call_id, key, value, ANY_REVISION)


def _accept_at_once(state, now_ms):
    changes = import_module("savoryarch.configuration._changes")
    return changes._fire(state, "acknowledged", now_ms)


def _unchanged(state, *_, **__) -> Decided:
    return Decided(state)


def _always(*_) -> bool:
    return True


def _never(*_) -> None:
    return None


NEVER_REVERTS = "An accepted configuration never reverts."
IN_FORCE = "An accepted configuration is in force everywhere within seconds."
TRUTHFUL = "The outcome that an operator gets is true."

_KEPT = "the store is restored and the configuration in force is kept"
_TWICE = "the store is restored and an instance that knows of nothing else changes it twice"

GUARDS: tuple[SubjectGuard, ...] = (
    SubjectGuard(
        "take only what is newer",
        NEVER_REVERTS,
        (("_spreading.take_record", _take_any), ("_following.take_record", _take_any)),
        (_KEPT, "configuration-stays.trace"),
    ),
    SubjectGuard(
        "take only what came from the version in force",
        NEVER_REVERTS,
        (("_spreading.descends", _always),),
        (_TWICE,),
    ),
    SubjectGuard(
        "take a difference only if it holds everything that is lacking",
        IN_FORCE,
        (("_record.fits", _always),),
        ("one push is lost and the next one arrives",),
    ),
    SubjectGuard(
        "swap at the revision that was read",
        NEVER_REVERTS,
        (("_changes.SwapKey", _swap_any),),
        ("operators race", "random", "configuration-race.trace"),
    ),
    SubjectGuard(
        "settle a lost reply by the history of the record",
        TRUTHFUL,
        (("_evaluate.find_change", _never),),
        ("the reply to the write is lost", "configuration-lost-reply.trace"),
    ),
    SubjectGuard(
        "accept once a peer holds the change",
        IN_FORCE,
        (("_changes.check_holders", _accept_at_once),),
        (
            "store out and the accepting instance gone right after acceptance",
            "configuration-held.trace",
        ),
    ),
    SubjectGuard(
        "push a new configuration to peers",
        IN_FORCE,
        (("_spreading._push", _unchanged),),
        ("a change in calm",),
    ),
    SubjectGuard(
        "announce what is in force",
        IN_FORCE,
        (("_decide.announce", _unchanged),),
        ("messages between peers are lost",),
    ),
    SubjectGuard(
        "take turns at a store that nobody hears from",
        IN_FORCE,
        (("_decide.take_turn", _unchanged),),
        ("only an instance that does not watch reaches the store",),
    ),
    SubjectGuard(
        "refuse changes while the store is behind",
        NEVER_REVERTS,
        (("_evaluate.is_restored", _never),),
        (_KEPT,),
    ),
    SubjectGuard(
        "tell the operators that the store was restored",
        NEVER_REVERTS,
        (("_decide.update_notices", _unchanged),),
        (_KEPT, _TWICE),
    ),
)
