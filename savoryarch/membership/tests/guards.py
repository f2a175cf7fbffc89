"""The guards of the membership, and the proofs that fail without them."""

from dataclasses import replace

from savoryarch.model import Decided
from tests.guard import Guard

PROMISE = "Instances come and go unnoticed: the live are seen and the dead are not."
PROPERTIES = "savoryarch/membership/tests/test_properties.py"
CASES = "savoryarch/membership/tests/test_membership.py"
BELIEVE = "savoryarch.membership._believe"
PROBE = "savoryarch.membership._probe"
DECIDE = "savoryarch.membership._decide"


def _unchanged(state, *_):
    return Decided(state)


def _ask_nobody(state, instance_id, probe):
    waiting = replace(probe, is_indirect=True)
    return Decided(replace(state, probes=state.probes.set(instance_id, waiting)))


def _true(*_):
    return True


def _false(*_):
    return False


def _case(name):
    return f"{CASES}::{name}"


FROZEN = _case("test_a_frozen_instance_returns_and_blames_nobody")
ZONE = _case("test_a_zone_cut_off_goes_on_says_so_and_returns")

GUARDS = (
    Guard(
        "believe only statements that are newer",
        PROMISE,
        BELIEVE,
        "_overrides",
        _true,
        (f"{PROPERTIES}::test_an_older_statement_never_overrides_a_newer_one",),
    ),
    Guard(
        "refute a suspicion with a higher revision",
        PROMISE,
        BELIEVE,
        "_refute",
        _unchanged,
        (f"{FROZEN}[8000]", f"{ZONE}[zone-a-4]"),
    ),
    Guard(
        "blame nobody for a pause of one's own",
        PROMISE,
        PROBE,
        "_excuse_peers",
        _unchanged,
        (_case("test_a_pause_ends_no_suspicion"),),
    ),
    Guard(
        "have others confirm that a peer is silent",
        PROMISE,
        PROBE,
        "_ask_others",
        _ask_nobody,
        (_case("test_a_cut_between_two_instances_drops_neither"),),
    ),
    Guard(
        "ask the dead whether they live",
        PROMISE,
        PROBE,
        "_probe_dead",
        _unchanged,
        (f"{ZONE}[zone-a-4]",),
    ),
    Guard(
        "compare notes with a peer that sees others live",
        PROMISE,
        DECIDE,
        "needs_to_compare",
        _false,
        (_case("test_a_view_that_missed_the_news_is_repaired"),),
    ),
    Guard(
        "take the earlier instance at an address for gone",
        PROMISE,
        DECIDE,
        "_note_replaced",
        _unchanged,
        (_case("test_another_instance_at_the_same_address_replaces_the_earlier_one"),),
    ),
)
