"""Guards of the membership, each with the tests that fail without it."""

from dataclasses import replace

from savoryarch.model import Decided
from tests.guard import Guard

PROMISE = "Instances come and go unnoticed: live instances are seen as live, dead ones are not."
PROPERTIES = "savoryarch/membership/tests/test_properties.py"
CASES = "savoryarch/membership/tests/test_membership.py"
UPDATES = "savoryarch.membership._updates"
PROBE = "savoryarch.membership._probe"
DECIDE = "savoryarch.membership._decide"


def _unchanged(state, *_):
    return Decided(state)


def _probe_without_relays(state, instance_id, probe):
    indirect = replace(probe, is_indirect=True)
    return Decided(replace(state, probes=state.probes.set(instance_id, indirect)))


def _return_true(*_):
    return True


def _return_false(*_):
    return False


def _case(name):
    return f"{CASES}::{name}"


FROZEN_INSTANCE = _case("test_frozen_instance_rejoins_and_suspects_no_peer")
ZONE_PARTITION = _case("test_partitioned_zone_is_published_and_rejoins")

GUARDS = (
    Guard(
        "apply only newer updates",
        PROMISE,
        UPDATES,
        "_overrides",
        _return_true,
        (f"{PROPERTIES}::test_older_update_never_overrides_newer_one",),
    ),
    Guard(
        "refute a suspicion with a higher revision",
        PROMISE,
        UPDATES,
        "_refute",
        _unchanged,
        (f"{FROZEN_INSTANCE}[8000]", f"{ZONE_PARTITION}[zone-a-4]"),
    ),
    Guard(
        "suspect no peer because of a local pause",
        PROMISE,
        PROBE,
        "_compensate_pause",
        _unchanged,
        (_case("test_local_pause_expires_no_suspicion"),),
    ),
    Guard(
        "probe a silent peer indirectly before suspecting it",
        PROMISE,
        PROBE,
        "_start_indirect_probe",
        _probe_without_relays,
        (_case("test_link_failure_between_two_instances_removes_neither"),),
    ),
    Guard(
        "probe dead members",
        PROMISE,
        PROBE,
        "_probe_dead_member",
        _unchanged,
        (f"{ZONE_PARTITION}[zone-a-4]",),
    ),
    Guard(
        "compare views with a peer whose live set differs",
        PROMISE,
        DECIDE,
        "needs_comparison",
        _return_false,
        (_case("test_view_that_missed_an_update_is_repaired"),),
    ),
    Guard(
        "replace the earlier instance at an address",
        PROMISE,
        DECIDE,
        "_replace_earlier_instances",
        _unchanged,
        (_case("test_new_instance_at_an_address_replaces_the_earlier_one"),),
    ),
)
