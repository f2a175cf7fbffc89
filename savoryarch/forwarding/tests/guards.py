"""Guards of forwarding, discovery and target connections, each with tests that fail without it."""

from tests.guard import Guard

FORWARDING = "savoryarch/forwarding/tests/test_forwarding.py"
DISCOVERY = "savoryarch/discovery/tests/test_discovery.py"
POLLING = "savoryarch/discovery/tests/test_polling.py"
POOL = "savoryarch/entry/tests/test_target_pool.py"

AT_MOST_ONCE = "A non-idempotent request is sent again only if nothing of it ran."
BUDGET = "Extra attempts stay within the budget of a service."
NOT_RUN = "A request that is reported as not run has not run."
COVERAGE = "An answer has the coverage that its route requires."
FEW_TARGETS = "A request reaches no more targets than its route allows."
REFUSED = "A request that cannot be served is refused immediately."
RETRY = "Clients that were refused together do not retry together."
RECOVERY = "A target that has recovered gets requests again."
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


def _no_delay(forward, now_ms):
    return 0.0


def _no_evidence(before, state):
    return []


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
)
