"""The product's promises, checked against what clients and targets saw."""

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from savoryarch_soak._clients import LEFT_MS
from savoryarch_soak._faults import (
    BreakLink,
    BreakStore,
    DriveTarget,
    FreezeInstance,
    KillInstance,
    StopInstance,
)
from savoryarch_soak._journal import Exchange, Journal, TableWritten
from savoryarch_soak._plan import services
from savoryarch_standins.forwarded import (
    Arrival,
    make_target_body,
    merge_expected_records,
    parse_digest,
)

APPLY_MS = 3000.0  # until a configuration is in force, after the store's acknowledgement
DRAIN_MS = 3000.0  # until a target that leaves gets no new work, after it said so
CONTACT_MS = 4000.0  # time-bound promises hold this long after the last trouble
GRACE_MS = 4000.0  # from SIGTERM to the end of the process
LATE_MS = 600.0  # beyond a client's deadline, until its answer or refusal
CROSSING_MS = 100.0  # a request may cross the close of its connection
BUDGET_RATIO = 0.2
BUDGET_EXTRA = 40.0
BUDGET_WINDOW_MS = 10_000.0
CONNECTION_LIMIT = 24
TOP_RECORDS = 10
MINIMUM_COVERAGE = 0.8
RECOVERED_SHARE = 0.99
RECOVERED_MS = 2000.0  # at the end of a run, in which that share must be served
_REFUSED = (503, 429, 408, 421)
_OK = 200


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken, and what shows it."""

    promise: str
    detail: str


@dataclass(frozen=True, slots=True)
class Checked:
    """How often a promise was put to the test, and where it was broken."""

    promise: str
    count: int
    violations: tuple[Violation, ...]


def check_journal(journal: Journal) -> tuple[Checked, ...]:
    """Check every promise."""
    return tuple(
        Checked(
            promise,
            len(found),
            tuple(Violation(promise, detail) for detail in found if detail),
        )
        for promise, check in PROMISES.items()
        for found in (list(check(journal)),)
    )


def check_refusals(journal: Journal) -> Iterable[str]:
    """Check that nothing of a refused request ran, then or later."""
    ran = {arrival.request_id for arrival in journal.arrivals if arrival.ran}
    for exchange in journal.exchanges:
        if exchange.status in _REFUSED:
            yield f"{exchange.request_id} was refused and ran" if exchange.request_id in ran else ""


def check_orders(journal: Journal) -> Iterable[str]:
    """Check that an order runs at most once."""
    runs = Counter(arrival.request_id for arrival in journal.arrivals if arrival.ran)
    for exchange in journal.exchanges:
        if exchange.route == "order":
            count = runs[exchange.request_id]
            yield f"{exchange.request_id} ran {count} times" if count > 1 else ""


def check_answers(journal: Journal) -> Iterable[str]:
    """Check that an answer is whole, the request's own, and of one version's shards."""
    shard_sets = [frozenset(table.shards) for table in journal.tables]
    for exchange in journal.exchanges:
        if exchange.status != _OK:
            continue
        if exchange.route == "find":
            yield _judge_parts(exchange, shard_sets)
        else:
            service = {"read": "shop", "order": "till"}[exchange.route]
            right = exchange.body == make_target_body(service, exchange.request_id)
            yield "" if right else f"{exchange.request_id} got another body"


def _judge_parts(exchange: Exchange, shard_sets: list[frozenset[str]]) -> str:
    name = exchange.request_id
    try:
        parts = [parse_digest(digest) for digest in exchange.digests]
    except ValueError:
        return f"{name} got malformed digests"
    services = tuple(part.service for part in parts)
    whole = [shards for shards in shard_sets if shards.issuperset(services)]
    if len(set(services)) < len(services) or not whole:
        return f"{name} got parts of {services}"
    if any(part.request_id != name for part in parts):
        return f"{name} got a part of another request"
    if len(whole[0]) != len(services) + exchange.missing:
        return f"{name} got {len(services)} parts and says {exchange.missing} are missing"
    if len(services) < math.ceil(MINIMUM_COVERAGE * len(whole[0]) - 1e-9):
        return f"{name} got only {len(services)} parts"
    if exchange.body != merge_expected_records(services, name, TOP_RECORDS):
        return f"{name} got other records than those of its parts"
    return ""


def check_time(journal: Journal) -> Iterable[str]:
    """Check that an instance that runs answers or refuses by the client's deadline."""
    for exchange in journal.exchanges:
        if _is_hindered(journal, exchange):
            continue
        took_ms = exchange.ended_at_ms - exchange.sent_at_ms
        late = exchange.failure == "late" or took_ms > LEFT_MS + LATE_MS
        yield f"{exchange.request_id} took {took_ms:.0f} ms" if late else ""


def check_configuration(journal: Journal) -> Iterable[str]:
    """Check that a configuration is in force in time, and none before it ever again."""
    versions: dict[frozenset[str], list[TableWritten]] = {}
    for table in journal.tables:
        versions.setdefault(frozenset(table.shards), []).append(table)
    newest: dict[tuple[int, int], list[tuple[float, int]]] = defaultdict(list)
    for exchange in sorted(journal.exchanges, key=lambda item: item.sent_at_ms):
        if exchange.route != "find" or exchange.status != _OK or not exchange.digests:
            continue
        services = {digest.partition(".")[0] for digest in exchange.digests}
        newest_possible = max(
            (
                table.version
                for shards, tables in versions.items()
                if shards.issuperset(services)
                for table in tables
                if table.sent_at_ms <= exchange.ended_at_ms
            ),
            default=0,
        )
        life = (exchange.instance, exchange.life)
        seen = [version for at_ms, version in newest[life] if at_ms < exchange.sent_at_ms]
        due = _version_due(journal, exchange)
        least = max(seen, default=0)
        if newest_possible < max(least, due):
            yield (
                f"{exchange.request_id} got version {newest_possible} or older, "
                f"seen {least}, due {due}"
            )
        else:
            oldest = _oldest_version(versions, services, least)
            newest[life].append((exchange.ended_at_ms, oldest))
            yield ""


def _oldest_version(
    versions: dict[frozenset[str], list[TableWritten]], services: set[str], least: int
) -> int:
    """Return the oldest version that an answer can come from, given what was seen before it."""
    fitting = [
        table.version
        for shards, tables in versions.items()
        if shards.issuperset(services)
        for table in tables
        if table.version >= least
    ]
    return min(fitting, default=least)


def _version_due(journal: Journal, exchange: Exchange) -> int:
    """Return the version that must be in force when a request is sent."""
    due = 0
    for table in journal.tables:
        since_ms = exchange.sent_at_ms - table.at_ms
        if since_ms <= APPLY_MS:
            continue
        from_ms = min(table.at_ms, exchange.sent_at_ms - CONTACT_MS)
        if not _had_trouble(journal, exchange.instance, from_ms, exchange.ended_at_ms):
            due = max(due, table.version)
    return due


def check_budget(journal: Journal) -> Iterable[str]:
    """Check that extra requests to a service stay within its budget in every window."""
    by_service: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in sorted(journal.arrivals, key=lambda item: item.at_ms):
        by_service[arrival.service].append(arrival)
    for service, arrivals in by_service.items():
        seen: set[str] = set()
        window: list[tuple[float, bool]] = []
        worst = 0.0
        for arrival in arrivals:
            window.append((arrival.at_ms, arrival.request_id in seen))
            seen.add(arrival.request_id)
            window = [item for item in window if item[0] > arrival.at_ms - BUDGET_WINDOW_MS]
            extra = sum(1 for _, is_extra in window if is_extra)
            allowed = BUDGET_RATIO * (len(window) - extra) + BUDGET_EXTRA
            worst = max(worst, extra - allowed)
        yield f"{service} got {worst:.0f} extra requests too many" if worst > 0.0 else ""


def check_connections(journal: Journal) -> Iterable[str]:
    """Check that no target gets more connections than it accepts."""
    for target, most in journal.most_connections.items():
        yield f"{target} had {most} connections" if most > CONNECTION_LIMIT else ""


def check_draining(journal: Journal) -> Iterable[str]:
    """Check that a target that leaves gets no new work after a while.

    The time counts from the last trouble that can keep an instance from reading the store.
    """
    for drain in journal.injected:
        if not isinstance(drain.fault, DriveTarget) or drain.fault.event != "drain":
            continue
        troubles = [
            item.from_ms + item.fault.for_ms
            for item in journal.injected
            if isinstance(item.fault, BreakStore | BreakLink | FreezeInstance)
            and item.from_ms < drain.to_ms
        ]
        from_ms = max([drain.from_ms, *troubles]) + DRAIN_MS
        if from_ms >= drain.to_ms:
            continue
        process, number = divmod(drain.fault.target, len(services()))
        name = f"{services()[number]}-{process}"
        late = [
            arrival.request_id
            for arrival in journal.arrivals
            if arrival.target == name and arrival.draining and from_ms < arrival.at_ms < drain.to_ms
        ]
        yield f"{late[0]} reached {name}, which is draining" if late else ""


def check_stops(journal: Journal) -> Iterable[str]:
    """Check that a planned stop cuts no request and ends in time."""
    for ended in journal.exits:
        if ended.asked_at_ms is None or ended.killed or not ended.was_ready:
            continue
        took_ms = ended.at_ms - ended.asked_at_ms
        if ended.code != 0 or took_ms > GRACE_MS:
            yield f"instance {ended.instance} ended with {ended.code} after {took_ms:.0f} ms"
        cut = [
            exchange.request_id
            for exchange in journal.exchanges
            if (exchange.instance, exchange.life) == (ended.instance, ended.life)
            and exchange.failure == "cut"
            and exchange.ended_at_ms - exchange.sent_at_ms > CROSSING_MS
        ]
        yield f"instance {ended.instance} cut {cut}" if cut else ""


def check_exits(journal: Journal) -> Iterable[str]:
    """Check that no instance ends by itself."""
    for ended in journal.exits:
        unasked = ended.asked_at_ms is None and not ended.killed
        yield f"instance {ended.instance} ended with {ended.code}" if unasked else ""


def check_recovery(journal: Journal) -> Iterable[str]:
    """Check that nearly everything is served some time after the last trouble."""
    since_ms = journal.ended_at_ms - RECOVERED_MS
    sent = [item for item in journal.exchanges if since_ms <= item.sent_at_ms < journal.ended_at_ms]
    served = sum(1 for item in sent if item.status == _OK)
    if sent:
        failed = [item.request_id for item in sent if item.status != _OK]
        recovered = served >= RECOVERED_SHARE * len(sent)
        yield "" if recovered else f"{served} of {len(sent)} were served, not {failed[:5]}"


def _is_hindered(journal: Journal, exchange: Exchange) -> bool:
    """Return whether the instance itself was stopped, frozen or killed meanwhile."""
    return any(
        isinstance(item.fault, KillInstance | StopInstance | FreezeInstance)
        and item.fault.instance == exchange.instance
        and item.from_ms <= exchange.ended_at_ms
        and item.to_ms >= exchange.sent_at_ms
        for item in journal.injected
    )


def _had_trouble(journal: Journal, instance: int, from_ms: float, to_ms: float) -> bool:
    """Return whether anything kept an instance from hearing of changes."""
    for item in journal.injected:
        if item.from_ms > to_ms or item.to_ms < from_ms:
            continue
        match item.fault:
            case BreakStore() | BreakLink():
                return True
            case KillInstance() | StopInstance() | FreezeInstance() as fault:
                if fault.instance == instance:
                    return True
    return False


PROMISES: dict[str, Callable[[Journal], Iterable[str]]] = {
    "refused means not run": check_refusals,
    "an order runs at most once": check_orders,
    "answers are whole and own": check_answers,
    "answered in time": check_time,
    "configuration in force, never back": check_configuration,
    "extra requests within the budget": check_budget,
    "connections within the limit": check_connections,
    "draining targets get no new work": check_draining,
    "planned stops cut nothing": check_stops,
    "no instance ends by itself": check_exits,
    "recovers after trouble": check_recovery,
}
