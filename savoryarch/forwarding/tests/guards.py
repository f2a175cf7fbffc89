"""Guards of forwarding, discovery and target connections, each with tests that fail without it."""

from savoryarch.model import Decided
from tests.guard import Guard

FORWARDING = "savoryarch/forwarding/tests/test_forwarding.py"
DISCOVERY = "savoryarch/discovery/tests/test_discovery.py"
POLLING = "savoryarch/discovery/tests/test_polling.py"
ADVICE = "savoryarch/targets/tests/test_advice.py"
ENTRIES = "savoryarch/platform/tests/test_odd_entries.py"
ANY_ORDER = "test_a_draining_target_gets_no_new_work_whatever_the_order_of_evidence"
FAULTS = "savoryarch/entry/tests/test_instance_faults.py"
MEMORY = "savoryarch/entry/tests/test_reply_memory.py"
POOL = "savoryarch/entry/tests/test_target_pool.py"
DRAINING_TESTS = "savoryarch/tier/tests/test_draining.py"

AT_MOST_ONCE = "A non-idempotent request is sent again only if nothing of it ran."
BUDGET = "Extra attempts stay within the budget of a service."
NOT_RUN = "A request that is reported as not run has not run."
COVERAGE = "An answer has the coverage that its route requires."
FEW_TARGETS = "A request reaches no more targets than its route allows."
REFUSED = "A request that cannot be served is refused immediately."
RETRY = "Clients that were refused together do not retry together."
RECOVERY = "A target that has recovered gets requests again."
LEAVING = "A target that says that it leaves gets nothing more."
DRAINING = "A target that drains gets no new work."
PAUSE = "A target that asks for a pause gets it."
ROBUST = "One odd message or error concerns nothing else."
CONFIGURATION = "A configuration comes into force in time, and no older one after it."


def _spend_nothing(context, service):
    return context


def _no_open_attempts(context):
    return False


def _one_sub_request(route, count):
    return 1


def _admit_all(context, services):
    return None


def _exclude_only_failures(context, sub_request):
    return sub_request.excluded


def _no_delay(forward, now_ms, pause_ms=0.0):
    return 0.0


def _keep_state(state, *_):
    return Decided(state)


def _decode_unguarded(state, key, value):
    return state.codec.decode(key, value)


def _do_nothing(*_):
    return None


def _no_evidence(before, state):
    return []


def _no_effects(previous, state):
    return ()


def _return_true(*_):
    return True


def _return_false(*_):
    return False


GUARDS: tuple[Guard, ...] = (
    Guard(
        "charge the budget for each extra attempt",
        BUDGET,
        "savoryarch.forwarding._sub_requests",
        "spend_extra",
        _spend_nothing,
        (f"{FORWARDING}::test_hedges_stay_within_the_budget_of_the_service",),
    ),
    Guard(
        "limit the targets that a request reaches",
        FEW_TARGETS,
        "savoryarch.forwarding._sub_requests",
        "_exclusions",
        _exclude_only_failures,
        (f"{FORWARDING}::test_a_request_reaches_no_more_targets_than_its_route_allows",),
    ),
    Guard(
        "check whether a cancelled attempt may still run",
        NOT_RUN,
        "savoryarch.forwarding._forward_chart",
        "_has_open_attempts",
        _no_open_attempts,
        ("savoryarch/forwarding/tests/test_properties.py",),
    ),
    Guard(
        "wait for the shards that an answer needs",
        COVERAGE,
        "savoryarch.forwarding._admission",
        "_required_count",
        _one_sub_request,
        (f"{FORWARDING}::test_an_answer_waits_for_all_shards_until_its_objective",),
    ),
    Guard(
        "refuse requests that cannot be served",
        REFUSED,
        "savoryarch.forwarding._admission",
        "_find_rejection_reason",
        _admit_all,
        (
            f"{FORWARDING}::test_a_burst_is_refused_immediately_and_the_least_urgent_first",
            f"{FORWARDING}::test_a_burst_on_too_many_shards_refuses_complete_searches",
        ),
    ),
    Guard(
        "spread the times at which clients retry",
        RETRY,
        "savoryarch.forwarding._forward_chart",
        "compute_retry_after_ms",
        _no_delay,
        (
            f"{FORWARDING}::test_retry_times_of_refusals_spread_within_a_third_of_the_remaining_time",
        ),
    ),
    Guard(
        "publish that a target no longer drains",
        RECOVERY,
        "savoryarch.discovery._entries",
        "_target_evidence",
        _no_evidence,
        (f"{DISCOVERY}::test_a_target_that_stops_draining_is_published",),
    ),
    Guard(
        "ignore a registration that is older than the report of draining",
        DRAINING,
        "savoryarch.discovery._entries",
        "_is_outdated",
        _return_false,
        (
            f"{DISCOVERY}::test_an_older_registration_does_not_end_the_draining",
            f"{DRAINING_TESTS}::{ANY_ORDER}",
        ),
    ),
    Guard(
        "end the attempts that wait for a connection to a target that drains",
        DRAINING,
        "savoryarch.targets._decide",
        "_reconnection_effects",
        _no_effects,
        (f"{DRAINING_TESTS}::{ANY_ORDER}",),
    ),
    Guard(
        "accept an answer of a draining target's health endpoint only after the lag",
        DRAINING,
        "savoryarch.targets._target_chart",
        "_is_fresh",
        _return_true,
        (f"{DRAINING_TESTS}::{ANY_ORDER}",),
    ),
    Guard(
        "announce urgent changes in the store to peers",
        CONFIGURATION,
        "savoryarch.discovery._polling",
        "_is_urgent_change",
        _return_false,
        (f"{POLLING}::test_urgent_changes_are_announced_to_a_fleet_that_polls_less_often",),
    ),
    Guard(
        "send non-idempotent requests only on fresh connections",
        AT_MOST_ONCE,
        "savoryarch.entry._target_pool",
        "TargetPool._is_fresh",
        _return_true,
        (f"{POOL}::test_non_idempotent_requests_are_sent_only_on_recently_used_connections",),
    ),
    Guard(
        "pause after a connection that was reset immediately",
        RECOVERY,
        "savoryarch.entry._target_pool",
        "TargetPool._is_paused",
        _return_false,
        (f"{POOL}::test_a_target_that_resets_connections_is_connected_to_less_and_less_often",),
    ),
    Guard(
        "send nothing to a target that leaves",
        LEAVING,
        "savoryarch.targets._advice",
        "apply_leaving",
        _keep_state,
        (f"{ADVICE}::test_a_start_that_leaves_gets_nothing_more_whatever_else_says",),
    ),
    Guard(
        "hold requests back from a target that asked for a pause",
        PAUSE,
        "savoryarch.targets._advice",
        "_hold_target",
        _keep_state,
        (f"{ADVICE}::test_a_target_gets_nothing_for_the_time_that_it_asked_for",),
    ),
    Guard(
        "let an error of the decoder concern one entry",
        ROBUST,
        "savoryarch.discovery._entries",
        "_decode_entry",
        _decode_unguarded,
        (f"{ENTRIES}::test_an_unexpected_error_of_the_decoder_concerns_one_entry",),
    ),
    Guard(
        "treat a store call whose decision failed as failed",
        ROBUST,
        "savoryarch.entry._instance",
        "EntryInstance._fail_store_call",
        _do_nothing,
        (f"{FAULTS}::test_the_store_is_followed_after_a_decision_on_a_reply_has_failed",),
    ),
    Guard(
        "bound the memory of incomplete replies",
        ROBUST,
        "savoryarch.entry._reply_memory",
        "ReplyMemory.update",
        _do_nothing,
        (f"{MEMORY}::test_the_largest_reply_is_closed_above_the_limit",),
    ),
    Guard(
        "ignore the end of connections that were idle for long",
        RECOVERY,
        "savoryarch.entry._target_pool",
        "TargetPool._is_idle_timeout",
        _return_false,
        (f"{POOL}::test_the_end_of_a_connection_that_was_idle_for_long_is_no_evidence",),
    ),
)
