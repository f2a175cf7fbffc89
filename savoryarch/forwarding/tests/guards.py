"""Guards of the forwarded path and of the discovery, and the proofs that catch their removal."""

from tests.guard import Guard

FORWARDING = "savoryarch/forwarding/tests/test_forwarding.py"
DISCOVERY = "savoryarch/discovery/tests/test_discovery.py"
PACE = "savoryarch/discovery/tests/test_pace.py"
POOL = "savoryarch/entry/tests/test_target_pool.py"

AT_MOST_ONCE = "A request that must not run twice is sent again only if nothing of it ran."
BUDGET = "Extra requests stay within the budget of a service."
NOT_RUN = "A refusal that says not run is true."
COVERAGE = "An answer has the parts that its route asks for."
FEW_TARGETS = "A request reaches no more targets than its route allows."
REFUSED = "What cannot be served is refused at once."
RETURN = "Clients that were refused together do not come back together."
BACK = "A target that is back gets work again."
CONFIGURATION = "A configuration comes into force in time, and none before it again."


def _spends_nothing(turn, service):
    return turn


def _never_ran(turn):
    return False


def _one_piece(route, count):
    return 1


def _lets_in(turn, services):
    return None


def _excludes_only_failures(turn, piece):
    return piece.excluded


def _at_once(forward, now_ms):
    return 0.0


def _no_signs(before, state):
    return []


def _always(*_):
    return True


def _never(*_):
    return False


GUARDS: tuple[Guard, ...] = (
    Guard(
        "pay for each extra request",
        BUDGET,
        "savoryarch.forwarding._pieces",
        "pay_extra",
        _spends_nothing,
        (f"{FORWARDING}::test_hedges_stay_within_the_budget_of_the_service",),
    ),
    Guard(
        "stop at the targets that a route allows",
        FEW_TARGETS,
        "savoryarch.forwarding._pieces",
        "_exclusions",
        _excludes_only_failures,
        (f"{FORWARDING}::test_a_request_reaches_no_more_targets_than_its_route_allows",),
    ),
    Guard(
        "ask whether a cancelled attempt may be at work",
        NOT_RUN,
        "savoryarch.forwarding._forward_chart",
        "_has_open_attempts",
        _never_ran,
        ("savoryarch/forwarding/tests/test_properties.py",),
    ),
    Guard(
        "wait for the parts that an answer needs",
        COVERAGE,
        "savoryarch.forwarding._admit",
        "_required",
        _one_piece,
        (f"{FORWARDING}::test_an_answer_waits_for_every_part_until_its_objective",),
    ),
    Guard(
        "turn away what cannot be served",
        REFUSED,
        "savoryarch.forwarding._admit",
        "_turn_away",
        _lets_in,
        (
            f"{FORWARDING}::test_a_burst_is_refused_at_once_and_the_least_urgent_first",
            f"{FORWARDING}::test_a_burst_on_too_many_shards_refuses_the_whole_search",
        ),
    ),
    Guard(
        "spread the times at which clients come back",
        RETURN,
        "savoryarch.forwarding._forward_chart",
        "return_after_ms",
        _at_once,
        (f"{FORWARDING}::test_refusals_say_when_to_come_back_within_a_third_of_the_time",),
    ),
    Guard(
        "tell of a target that stays after all",
        BACK,
        "savoryarch.discovery._entries",
        "_signs",
        _no_signs,
        (f"{DISCOVERY}::test_a_target_that_stays_after_all_is_told",),
    ),
    Guard(
        "tell peers of changes in the store",
        CONFIGURATION,
        "savoryarch.discovery._pace",
        "_is_urgent",
        _never,
        (f"{PACE}::test_whoever_finds_urgent_changes_tells_a_fleet_that_looks_less_often",),
    ),
    Guard(
        "send what must not run twice on fresh connections only",
        AT_MOST_ONCE,
        "savoryarch.entry._target_pool",
        "TargetPool._is_fresh",
        _always,
        (f"{POOL}::test_what_must_not_run_twice_is_sent_on_no_connection_that_may_be_closed",),
    ),
    Guard(
        "pause after a connection that was reset at once",
        BACK,
        "savoryarch.entry._target_pool",
        "TargetPool._is_paused",
        _never,
        (f"{POOL}::test_a_target_that_turns_connections_away_is_asked_less_and_less_often",),
    ),
)
