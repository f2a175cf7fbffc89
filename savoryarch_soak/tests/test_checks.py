"""Each promise is seen to be broken by the journal of a run that breaks it, and by no other."""

from dataclasses import replace

import pytest

from savoryarch_soak._checks import PROMISES, check_journal
from savoryarch_soak._faults import (
    BreakStore,
    DriveTarget,
    FreezeInstance,
    KillInstance,
)
from savoryarch_soak._journal import Exchange, InjectedFault, InstanceExit, Journal, TableWritten
from savoryarch_soak._plan import SHARD_SETS, count_links, draw_plan
from savoryarch_standins.forwarded import Arrival, expected_records, make_digest, target_body

OLD, NEW = SHARD_SETS
TABLES = (TableWritten(0.0, 1, NEW, 0.0), TableWritten(10_000.0, 2, OLD, 9990.0))
# The reply of the write of version 3 was lost; it was in force before that was settled.
SETTLED_LATE = (*TABLES, TableWritten(12_000.0, 3, NEW, 10_500.0))
STORE_DOWN = BreakStore(0.0, 1000.0, (("outage", True),))
DRAIN = DriveTarget(0.0, 9000.0, 0, "drain", "restore")


def exchange(number=1, route="read", sent_at_ms=1000.0, took_ms=20.0, status=200, **fields):
    name = f"r{number}"
    body = target_body({"read": "shop", "order": "till"}.get(route, ""), name)
    values = {"body": body if status == 200 else b""} | fields
    return Exchange(name, route, 0, 1, sent_at_ms, sent_at_ms + took_ms, status, **values)


def found(number=1, shards=NEW, missing=0, owner=None, **fields):
    name = f"r{number}"
    digests = tuple(
        make_digest(shard, owner or name, target_body(shard, owner or name)) for shard in shards
    )
    values = {
        "digests": digests,
        "missing": missing,
        "body": expected_records(tuple(shards), name, 10),
    } | fields
    return exchange(number, "find", **values)


def arrival(number=1, service="shop", at_ms=1001.0, ran=True, draining=False):
    return Arrival(at_ms, f"{service}-0", service, f"r{number}", ran, draining)


def journal(exchanges=(), arrivals=(), injected=(), exits=(), **fields):
    values = {"tables": TABLES} | fields
    return Journal(
        0.0, 30_000.0, tuple(exchanges), tuple(arrivals), tuple(injected), tuple(exits), **values
    )


def stopped(took_ms=1000.0, code=0, **fields):
    values = {"asked_at_ms": 5000.0, "killed": False} | fields
    return InstanceExit(0, 1, 5000.0 + took_ms, code, **values)


CUT = exchange(sent_at_ms=5000.0, took_ms=900.0, status=0, failure="cut")
BEGUN = exchange(2, sent_at_ms=5000.0, took_ms=50.0, status=0, failure="cut")


@pytest.mark.parametrize(
    ("broken", "seen"),
    [
        ("", journal([exchange()], [arrival()])),
        ("refused means not run", journal([exchange(status=503)], [arrival()])),
        ("", journal([exchange(status=503)], [arrival(ran=False)])),
        ("an order runs at most once", journal([exchange(route="order")], [arrival()] * 2)),
        ("", journal([exchange()], [arrival()] * 2)),
        ("answers are whole and own", journal([exchange(body=b"x")])),
        ("", journal([found()])),
        ("", journal([found(shards=NEW[1:], missing=1)])),
        ("answers are whole and own", journal([found(shards=NEW[1:])])),
        ("answers are whole and own", journal([found(shards=NEW[2:], missing=2)])),
        ("answers are whole and own", journal([found(shards=(*NEW[1:], OLD[0]))])),
        ("answers are whole and own", journal([found(shards=(*NEW[1:], NEW[1]))])),
        ("answers are whole and own", journal([found(owner="r2")])),
        ("answers are whole and own", journal([found(body=b"x")])),
        ("answered in time", journal([exchange(took_ms=2200.0)])),
        ("answered in time", journal([exchange(status=0, failure="late")])),
        (
            "",
            journal(
                [exchange(took_ms=2200.0)],
                injected=[InjectedFault(FreezeInstance(0.0, 0, 1.0), 1100.0, 2000.0)],
            ),
        ),
        ("", journal([found(sent_at_ms=12_000.0)])),
        ("configuration in force, never back", journal([found(sent_at_ms=14_000.0)])),
        (
            "",
            journal(
                [found(sent_at_ms=14_000.0)], injected=[InjectedFault(STORE_DOWN, 9000.0, 11_000.0)]
            ),
        ),
        (
            "configuration in force, never back",
            journal(
                [found(shards=OLD, sent_at_ms=11_000.0), found(2, sent_at_ms=11_500.0)],
                injected=[InjectedFault(STORE_DOWN, 9000.0, 11_000.0)],
            ),
        ),
        (
            "",
            journal(
                [found(shards=OLD, sent_at_ms=10_400.0), found(2, sent_at_ms=11_500.0)],
                tables=SETTLED_LATE,
            ),
        ),
        (
            "",
            journal(
                [
                    found(shards=OLD, sent_at_ms=11_000.0),
                    replace(found(2, sent_at_ms=11_500.0), life=2),
                ],
                injected=[InjectedFault(KillInstance(0.0, 0, 1.0), 11_100.0, 12_000.0)],
            ),
        ),
        ("extra requests within the budget", journal([exchange()], [arrival()] * 42)),
        ("", journal([exchange()], [arrival()] * 41)),
        (
            "extra requests within the budget",
            journal(arrivals=[arrival(n % 100) for n in range(170)]),
        ),
        ("connections within the limit", journal(most_connections={"shop-0": 25})),
        ("", journal(most_connections={"shop-0": 24})),
        (
            "draining targets get no new work",
            journal(
                arrivals=[arrival(at_ms=9000.0, draining=True)],
                injected=[InjectedFault(DRAIN, 5000.0, 14_000.0)],
            ),
        ),
        (
            "",
            journal(
                arrivals=[arrival(at_ms=7000.0, draining=True)],
                injected=[InjectedFault(DRAIN, 5000.0, 14_000.0)],
            ),
        ),
        (
            "",
            journal(
                arrivals=[arrival(at_ms=10_000.0, draining=True)],
                injected=[
                    InjectedFault(DRAIN, 5000.0, 14_000.0),
                    InjectedFault(STORE_DOWN, 7000.0, 8000.0),
                ],
            ),
        ),
        (
            "draining targets get no new work",
            journal(
                arrivals=[arrival(at_ms=12_000.0, draining=True)],
                injected=[
                    InjectedFault(DRAIN, 5000.0, 14_000.0),
                    InjectedFault(STORE_DOWN, 7000.0, 8000.0),
                ],
            ),
        ),
        ("", journal([BEGUN], exits=[stopped()])),
        ("planned stops cut nothing", journal([CUT], exits=[stopped()])),
        ("planned stops cut nothing", journal(exits=[stopped(code=1)])),
        ("planned stops cut nothing", journal(exits=[stopped(took_ms=4100.0)])),
        ("", journal([CUT], exits=[stopped(killed=True)])),
        ("", journal(exits=[stopped(code=None, was_ready=False)])),
        ("no instance ends by itself", journal(exits=[stopped(asked_at_ms=None)])),
        (
            "recovers after trouble",
            journal([exchange(n, sent_at_ms=29_000.0, status=504) for n in range(2)]),
        ),
    ],
)
def test_a_broken_promise_is_seen(broken, seen):
    rows = check_journal(seen)
    assert [row.promise for row in rows if row.violations] == ([broken] if broken else [])
    assert [row.promise for row in rows] == list(PROMISES)


@pytest.mark.parametrize("seed", range(20))
def test_a_seed_gives_one_plan_of_faults_that_end_in_time(seed):
    plan = draw_plan(seed, 30.0, 4, 60.0)
    assert plan == draw_plan(seed, 30.0, 4, 60.0)
    assert plan != draw_plan(seed + 1, 30.0, 4, 60.0)
    assert plan.faults
    for fault in plan.faults:
        assert fault.at_ms >= 1500.0
        until_the_end = isinstance(fault, DriveTarget) and fault.event == "drain"
        assert fault.at_ms + fault.for_ms <= (30_000.0 if until_the_end else 23_000.0)
        assert 0 <= getattr(fault, "link", 0) < count_links(4)
