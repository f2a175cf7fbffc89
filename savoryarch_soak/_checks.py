"""Checks of the product's promises against the observations of clients and targets."""

import math
import signal
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from savoryarch_soak._advice_checks import check_leaving, check_pauses
from savoryarch_soak._clients import CLIENT_DEADLINE_MS
from savoryarch_soak._fault_times import has_instance_fault, has_propagation_fault
from savoryarch_soak._faults import BreakLink, BreakStore, DriveTarget, FreezeInstance
from savoryarch_soak._journal import Exchange, InstanceExit, Journal, TableWritten
from savoryarch_soak._plan import service_names
from savoryarch_standins.forwarded import (
    Arrival,
    make_target_body,
    merge_expected_records,
    parse_digest,
)

# From the store's acknowledgement of a configuration until every instance has it in force.
CONFIGURATION_DEADLINE_MS = 3000.0
DRAIN_DEADLINE_MS = 3000.0  # from a target's drain until it gets no new requests
FAULT_FREE_MS = 4000.0  # time without faults until the configuration deadline holds again
STOP_DEADLINE_MS = 4000.0  # from SIGTERM to the exit of the process
REPLY_MARGIN_MS = 600.0  # beyond a client's deadline, until its answer or refusal
CLOSE_RACE_MS = 100.0  # a request may be sent while the instance closes its connection
# Extra requests that a service may get in a window: a ratio of its first ones, plus a number.
BUDGET_RATIO = 0.2
BUDGET_EXTRA_REQUESTS = 40.0
BUDGET_WINDOW_MS = 10_000.0
CONNECTION_LIMIT = 24
TOP_RECORDS = 10
MINIMUM_COVERAGE = 0.8
MIN_SERVED_SHARE = 0.99  # of the requests in the recovery window
RECOVERY_WINDOW_MS = 2000.0  # at the end of a run
# HTTP statuses that promise that no part of the request ran.
_REFUSAL_STATUSES = (503, 429, 408, 421)
_OK = 200


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise.

    Parameters
    ----------
    promise : str
        A key of `PROMISES`.
    detail : str
        The request, instance or target that shows the violation.
    """

    promise: str
    detail: str


@dataclass(frozen=True, slots=True)
class CheckResult:
    """The result of the check of one promise.

    Parameters
    ----------
    promise : str
        A key of `PROMISES`.
    count : int
        Number of cases that were checked.
    violations : tuple of Violation
        The cases that broke the promise.
    """

    promise: str
    count: int
    violations: tuple[Violation, ...]


def check_journal(journal: Journal) -> tuple[CheckResult, ...]:
    """Return the result of each check, in the order of `PROMISES`.

    Each check yields one text per case: the violation, or an empty text if the promise held.
    """
    return tuple(
        CheckResult(
            promise,
            len(found),
            tuple(Violation(promise, detail) for detail in found if detail),
        )
        for promise, check in PROMISES.items()
        for found in (list(check(journal)),)
    )


def check_refusals(journal: Journal) -> Iterable[str]:
    """Check that no target ran any part of a refused request, before or after the refusal."""
    ran = {arrival.request_id for arrival in journal.arrivals if arrival.ran}
    for exchange in journal.exchanges:
        if exchange.status in _REFUSAL_STATUSES:
            yield f"{exchange.request_id} was refused and ran" if exchange.request_id in ran else ""


def check_orders(journal: Journal) -> Iterable[str]:
    """Check that targets ran each order at most once."""
    runs = Counter(arrival.request_id for arrival in journal.arrivals if arrival.ran)
    for exchange in journal.exchanges:
        if exchange.route == "order":
            count = runs[exchange.request_id]
            yield f"{exchange.request_id} ran {count} times" if count > 1 else ""


def check_answers(journal: Journal) -> Iterable[str]:
    """Check that each answer is complete, of its own request and of one configuration's shards."""
    shard_sets = [frozenset(table.shards) for table in journal.tables]
    for exchange in journal.exchanges:
        if exchange.status != _OK:
            continue
        if exchange.route == "find":
            yield _check_parts(exchange, shard_sets)
        else:
            answering_service = {"read": "shop", "order": "till"}[exchange.route]
            is_expected = exchange.body == make_target_body(answering_service, exchange.request_id)
            yield "" if is_expected else f"{exchange.request_id} got another body"


def _check_parts(exchange: Exchange, shard_sets: list[frozenset[str]]) -> str:
    """Return the violation in the answer to a search, or an empty text.

    The answer must consist of parts of one configured set of shards, without duplicates, count
    its missing parts, reach the minimum coverage, and hold the greatest records of its parts.
    """
    request_id = exchange.request_id
    try:
        parts = [parse_digest(digest) for digest in exchange.digests]
    except ValueError:
        return f"{request_id} got malformed digests"
    part_services = tuple(part.service for part in parts)
    matching_sets = [shards for shards in shard_sets if shards.issuperset(part_services)]
    if len(set(part_services)) < len(part_services) or not matching_sets:
        return f"{request_id} got parts of {part_services}"
    if any(part.request_id != request_id for part in parts):
        return f"{request_id} got a part of another request"
    if len(matching_sets[0]) != len(part_services) + exchange.missing:
        return (
            f"{request_id} got {len(part_services)} of {len(matching_sets[0])} parts, but the "
            f"answer reports {exchange.missing} as missing"
        )
    # Without 1e-9, a rounding error of the product could require one part more.
    if len(part_services) < math.ceil(MINIMUM_COVERAGE * len(matching_sets[0]) - 1e-9):
        return (
            f"{request_id} got {len(part_services)} of {len(matching_sets[0])} parts, expected "
            f"a coverage of at least {MINIMUM_COVERAGE:g}"
        )
    if exchange.body != merge_expected_records(part_services, request_id, TOP_RECORDS):
        return f"{request_id} got records other than the greatest {TOP_RECORDS} of its parts"
    return ""


def check_deadlines(journal: Journal) -> Iterable[str]:
    """Check that a running instance answers or refuses by the client's deadline."""
    for exchange in journal.exchanges:
        if has_instance_fault(
            journal, exchange.instance, exchange.sent_at_ms, exchange.ended_at_ms
        ):
            continue
        took_ms = exchange.ended_at_ms - exchange.sent_at_ms
        is_late = exchange.failure == "late" or took_ms > CLIENT_DEADLINE_MS + REPLY_MARGIN_MS
        yield f"{exchange.request_id} took {took_ms:.0f} ms" if is_late else ""


def check_configuration(journal: Journal) -> Iterable[str]:
    """Check that configurations come into force in time and are never reverted.

    The shards of an answer show which version was in force. Several versions have the same
    shards, so that an answer gives only the range of versions that it can come from. Its oldest
    version sets the minimum for later answers, and its newest one must reach the minimum.
    """
    writes_by_shards: dict[frozenset[str], list[TableWritten]] = {}
    for table in journal.tables:
        writes_by_shards.setdefault(frozenset(table.shards), []).append(table)
    observed_versions: dict[tuple[int, int], list[tuple[float, int]]] = defaultdict(list)
    for exchange in sorted(journal.exchanges, key=lambda item: item.sent_at_ms):
        if exchange.route != "find" or exchange.status != _OK or not exchange.digests:
            continue
        services = {digest.partition(".")[0] for digest in exchange.digests}
        newest_version = max(
            (
                table.version
                for shards, tables in writes_by_shards.items()
                if shards.issuperset(services)
                for table in tables
                if table.sent_at_ms <= exchange.ended_at_ms
            ),
            default=0,
        )
        incarnation = (exchange.instance, exchange.life)
        earlier_versions = [
            version
            for at_ms, version in observed_versions[incarnation]
            if at_ms < exchange.sent_at_ms
        ]
        required_version = _required_version(journal, exchange)
        min_version = max(earlier_versions, default=0)
        if newest_version < max(min_version, required_version):
            yield (
                f"{exchange.request_id} got version {newest_version} or older, expected at least "
                f"{min_version} as in an earlier answer, and {required_version} by its deadline"
            )
        else:
            oldest_version = _oldest_version(writes_by_shards, services, min_version)
            observed_versions[incarnation].append((exchange.ended_at_ms, oldest_version))
            yield ""


def _oldest_version(
    writes_by_shards: dict[frozenset[str], list[TableWritten]], services: set[str], min_version: int
) -> int:
    """Return the oldest version that an answer can come from.

    Earlier answers of the instance exclude all versions below `min_version`.
    """
    candidates = [
        table.version
        for shards, tables in writes_by_shards.items()
        if shards.issuperset(services)
        for table in tables
        if table.version >= min_version
    ]
    return min(candidates, default=min_version)


def _required_version(journal: Journal, exchange: Exchange) -> int:
    """Return the newest version that must be in force when a request is sent, or 0."""
    required_version = 0
    for table in journal.tables:
        age_ms = exchange.sent_at_ms - table.at_ms
        if age_ms <= CONFIGURATION_DEADLINE_MS:
            continue
        from_ms = min(table.at_ms, exchange.sent_at_ms - FAULT_FREE_MS)
        if not has_propagation_fault(journal, exchange.instance, from_ms, exchange.ended_at_ms):
            required_version = max(required_version, table.version)
    return required_version


def check_budget(journal: Journal) -> Iterable[str]:
    """Check that extra requests to a service stay within its budget in every window.

    An extra request is one that reaches the service with a request id that arrived before.
    """
    by_service: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in sorted(journal.arrivals, key=lambda item: item.at_ms):
        by_service[arrival.service].append(arrival)
    for service, arrivals in by_service.items():
        seen_ids: set[str] = set()
        window: list[tuple[float, bool]] = []
        max_excess = 0.0
        for arrival in arrivals:
            window.append((arrival.at_ms, arrival.request_id in seen_ids))
            seen_ids.add(arrival.request_id)
            window = [item for item in window if item[0] > arrival.at_ms - BUDGET_WINDOW_MS]
            extra = sum(1 for _, is_extra in window if is_extra)
            allowed = BUDGET_RATIO * (len(window) - extra) + BUDGET_EXTRA_REQUESTS
            max_excess = max(max_excess, extra - allowed)
        yield f"{service} got {max_excess:.0f} extra requests too many" if max_excess > 0.0 else ""


def check_connections(journal: Journal) -> Iterable[str]:
    """Check that no target has more open connections than its limit."""
    for target, count in journal.most_connections.items():
        yield f"{target} had {count} connections" if count > CONNECTION_LIMIT else ""


def check_draining(journal: Journal) -> Iterable[str]:
    """Check that a draining target gets no new requests after the drain deadline.

    The deadline counts from the end of the last fault that can keep an instance from reading
    the store.
    """
    for drain in journal.injected:
        if not isinstance(drain.fault, DriveTarget) or drain.fault.event != "drain":
            continue
        fault_ends_ms = [
            item.from_ms + item.fault.for_ms
            for item in journal.injected
            if isinstance(item.fault, BreakStore | BreakLink | FreezeInstance)
            and item.from_ms < drain.to_ms
        ]
        from_ms = max([drain.from_ms, *fault_ends_ms]) + DRAIN_DEADLINE_MS
        if from_ms >= drain.to_ms:
            continue
        process, service_number = divmod(drain.fault.target, len(service_names()))
        target_name = f"{service_names()[service_number]}-{process}"
        late_ids = [
            arrival.request_id
            for arrival in journal.arrivals
            if arrival.target == target_name
            and arrival.draining
            and from_ms < arrival.at_ms < drain.to_ms
        ]
        yield f"{late_ids[0]} reached {target_name}, which is draining" if late_ids else ""


def check_stops(journal: Journal) -> Iterable[str]:
    """Check that planned stops meet their deadline and cut no request.

    Instances that were killed, frozen or not yet ready are left to `check_exits`.
    """
    for instance_exit in journal.exits:
        if not _is_planned_stop(instance_exit) or instance_exit.asked_at_ms is None:
            continue
        took_ms = instance_exit.at_ms - instance_exit.asked_at_ms
        if instance_exit.code != 0 or took_ms > STOP_DEADLINE_MS:
            yield (
                f"instance {instance_exit.instance} exited with code {instance_exit.code} after "
                f"{took_ms:.0f} ms"
            )
        cut_ids = [
            exchange.request_id
            for exchange in journal.exchanges
            if (exchange.instance, exchange.life) == (instance_exit.instance, instance_exit.life)
            and exchange.failure == "cut"
            and exchange.ended_at_ms - exchange.sent_at_ms > CLOSE_RACE_MS
        ]
        yield f"instance {instance_exit.instance} cut {cut_ids}" if cut_ids else ""


def _is_planned_stop(instance_exit: InstanceExit) -> bool:
    """Return whether an instance that served had to end its requests and exit with code 0."""
    return (
        instance_exit.asked_at_ms is not None
        and instance_exit.was_ready
        and not instance_exit.killed
        and not instance_exit.frozen
    )


def check_exits(journal: Journal) -> Iterable[str]:
    """Check that each instance exits only as it was asked to.

    SIGKILL ends it, and so may a signal before the first line of the program has run. SIGTERM ends
    it with code 0, or with code 1 if it was frozen and could not finish its requests in time.
    """
    for instance_exit in journal.exits:
        if _is_planned_stop(instance_exit):
            continue
        signals = set(instance_exit.early_signals)
        if instance_exit.killed:
            signals.add(signal.SIGKILL)
        codes: set[int] = set()
        if instance_exit.asked_at_ms is not None:
            codes = {0, 1} if instance_exit.frozen else {0}
        is_expected = instance_exit.signal in signals or instance_exit.code in codes
        yield (
            ""
            if is_expected
            else f"instance {instance_exit.instance}, start {instance_exit.life}, exited with code "
            f"{instance_exit.code}, signal {instance_exit.signal}"
        )


def check_recovery(journal: Journal) -> Iterable[str]:
    """Check that the minimum share of requests is served in the window after the last faults."""
    window_start_ms = journal.ended_at_ms - RECOVERY_WINDOW_MS
    sent = [
        item
        for item in journal.exchanges
        if window_start_ms <= item.sent_at_ms < journal.ended_at_ms
    ]
    served_count = sum(1 for item in sent if item.status == _OK)
    if sent:
        failed_ids = [item.request_id for item in sent if item.status != _OK]
        recovered = served_count >= MIN_SERVED_SHARE * len(sent)
        yield (
            ""
            if recovered
            else f"{served_count} of {len(sent)} were served; first failures: {failed_ids[:5]}"
        )


# The report names the promises by these keys.
PROMISES: dict[str, Callable[[Journal], Iterable[str]]] = {
    "refused means not run": check_refusals,
    "an order runs at most once": check_orders,
    "answers are whole and own": check_answers,
    "answered in time": check_deadlines,
    "configuration in force, never back": check_configuration,
    "extra requests within the budget": check_budget,
    "connections within the limit": check_connections,
    "draining targets get no new work": check_draining,
    "targets that say they leave get nothing more": check_leaving,
    "targets that ask for a pause get it": check_pauses,
    "planned stops cut nothing": check_stops,
    "no instance ends by itself": check_exits,
    "recovers after trouble": check_recovery,
}
