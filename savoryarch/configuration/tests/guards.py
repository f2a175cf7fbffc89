"""Guards of the configuration, each with its replacement and the proofs that fail with it."""

from dataclasses import replace
from importlib import import_module
from pathlib import Path

from hypothesis import Phase, settings

from savoryarch.configuration.tests.fleet import ANY_REVISION
from savoryarch.configuration.tests.test_properties import HISTORIES, SETTINGS, check_history
from savoryarch.configuration.tests.test_scenarios import test_scenario
from savoryarch.model import Decided, DeclarationsInForce, PublishEvent, SwapKey
from savoryarch.replay import replay_file
from tests.guard import ComponentGuard

TRACES = Path(__file__).parents[3] / "traces"


def run_proof(name: str) -> None:
    """Run a trace, the property test ``random`` or a scenario.

    Raises
    ------
    AssertionError
        If the proof fails.
    """
    if name.endswith(".trace"):
        assert replay_file(TRACES / name).differences == ()
    elif name == "random":
        # Shrinking is skipped, because only the fact that it fails matters here.
        settings(SETTINGS, phases=[Phase.generate])(HISTORIES(check_history))()
    else:
        test_scenario(name)


def _apply_any(state, record, source):
    if record.version == state.record.version:
        return Decided(state)
    published = PublishEvent(DeclarationsInForce(record.declarations))
    return Decided(replace(state, record=record), (published,))


def _write_at_any_revision(call_id, key, value, expected_revision):
    return SwapKey(call_id, key, value, ANY_REVISION)


def _accept_immediately(state, now_ms):
    changes = import_module("savoryarch.configuration._changes")
    return changes._step_change(state, "acknowledged", now_ms)


def _unchanged(state, *_, **__) -> Decided:
    return Decided(state)


def _return_true(*_) -> bool:
    return True


def _return_none(*_) -> None:
    return None


NEVER_REVERTS = "An accepted configuration never reverts."
IN_FORCE = "An accepted configuration is in force everywhere within seconds."
TRUTHFUL = "The outcome of a change that an operator gets is true."

_KEEP_IN_FORCE = "the store is restored and the configuration in force is kept"
_CHANGED_TWICE = "the store is restored and a new instance changes it twice"

GUARDS: tuple[ComponentGuard, ...] = (
    ComponentGuard(
        "apply only newer records",
        NEVER_REVERTS,
        (("_dissemination.apply_record", _apply_any), ("_following.apply_record", _apply_any)),
        (_KEEP_IN_FORCE, "configuration-stays.trace"),
    ),
    ComponentGuard(
        "apply only descendants of the version in force",
        NEVER_REVERTS,
        (("_dissemination.descends_from", _return_true),),
        (_CHANGED_TWICE,),
    ),
    ComponentGuard(
        "apply a delta only if it has all changes since the version in force",
        IN_FORCE,
        (("_record.is_applicable", _return_true),),
        ("one push is lost and the next one arrives",),
    ),
    ComponentGuard(
        "write at the revision that was read",
        NEVER_REVERTS,
        (("_changes.SwapKey", _write_at_any_revision),),
        ("operators change the configuration concurrently", "random", "configuration-race.trace"),
    ),
    ComponentGuard(
        "find a committed change in the history after a lost reply",
        TRUTHFUL,
        (("_evaluate.find_change_version", _return_none),),
        ("the reply to the write is lost", "configuration-lost-reply.trace"),
    ),
    ComponentGuard(
        "accept a change only when a peer holds it",
        IN_FORCE,
        (("_changes.check_acknowledgements", _accept_immediately),),
        (
            "the store fails and the accepting instance stops right after acceptance",
            "configuration-held.trace",
        ),
    ),
    ComponentGuard(
        "push a new configuration to peers",
        IN_FORCE,
        (("_dissemination._push_record", _unchanged),),
        ("a change without faults",),
    ),
    ComponentGuard(
        "announce the version in force",
        IN_FORCE,
        (("_decide.announce", _unchanged),),
        ("messages between peers are lost",),
    ),
    ComponentGuard(
        "poll in turn a store that has not replied for long",
        IN_FORCE,
        (("_decide.poll_store_if_due", _unchanged),),
        ("only an instance that does not watch reaches the store",),
    ),
    ComponentGuard(
        "refuse changes while the store is restored to an older version",
        NEVER_REVERTS,
        (("_evaluate.is_store_restored", _return_none),),
        (_KEEP_IN_FORCE,),
    ),
    ComponentGuard(
        "raise a notice that the store was restored",
        NEVER_REVERTS,
        (("_decide.update_notices", _unchanged),),
        (_KEEP_IN_FORCE, _CHANGED_TWICE),
    ),
)
