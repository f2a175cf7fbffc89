"""Each check finds the violation in the journal of a run that breaks its promise, and in no other.

Without these tests, a check that finds nothing would pass for a promise that holds.
"""

import signal
from dataclasses import replace

import pytest

from savoryarch_soak._checks import PROMISES, check_journal
from savoryarch_soak._faults import (
    AddInstance,
    BreakLink,
    BreakStore,
    DriveTarget,
    FreezeInstance,
    KillInstance,
)
from savoryarch_soak._journal import Exchange, InjectedFault, InstanceExit, Journal, TableWritten
from savoryarch_soak._plan import SHARD_SETS, count_links, draw_plan
from savoryarch_standins.forwarded import (
    Arrival,
    make_digest,
    make_target_body,
    merge_expected_records,
)

OLD, NEW = SHARD_SETS
TABLES = (TableWritten(0.0, 1, NEW, 0.0), TableWritten(10_000.0, 2, OLD, 9990.0))
# The reply to the write of version 3 was lost: it came into force before a read confirmed it.
CONFIRMED_LATE = (*TABLES, TableWritten(12_000.0, 3, NEW, 10_500.0))
STORE_DOWN = BreakStore(0.0, 1000.0, (("outage", True),))
DRAIN = DriveTarget(0.0, 9000.0, 0, "drain", "restore")


def make_exchange(number=1, route="read", sent_at_ms=1000.0, took_ms=20.0, status=200, **fields):
    request_id = f"r{number}"
    body = make_target_body({"read": "shop", "order": "till"}.get(route, ""), request_id)
    values = {"body": body if status == 200 else b""} | fields
    return Exchange(request_id, route, 0, 1, sent_at_ms, sent_at_ms + took_ms, status, **values)


# `part_request_id`, if given, is the request that the parts belong to instead.
def make_search_exchange(number=1, shards=NEW, missing=0, part_request_id=None, **fields):
    request_id = f"r{number}"
    digests = tuple(
        make_digest(
            shard,
            part_request_id or request_id,
            make_target_body(shard, part_request_id or request_id),
        )
        for shard in shards
    )
    values = {
        "digests": digests,
        "missing": missing,
        "body": merge_expected_records(tuple(shards), request_id, 10),
    } | fields
    return make_exchange(number, "find", **values)


def make_arrival(number=1, service="shop", at_ms=1001.0, ran=True, draining=False, **fields):
    return Arrival(at_ms, f"{service}-0", service, f"r{number}", ran, draining, **fields)


def make_told_journal(*sent_ms, injected=(), **arrival_fields):
    """Return a journal of reads that are sent at these times and reach one target."""
    exchanges = [make_exchange(n, sent_at_ms=at_ms) for n, at_ms in enumerate(sent_ms)]
    arrivals = [
        make_arrival(n, at_ms=at_ms + 1.0, **arrival_fields) for n, at_ms in enumerate(sent_ms)
    ]
    return make_journal(exchanges, arrivals, injected)


FROZEN = InjectedFault(FreezeInstance(1500.0, 0, 500.0), 1500.0, 2000.0)
OTHER_FROZEN = InjectedFault(FreezeInstance(1500.0, 1, 500.0), 1500.0, 2000.0)
LINK_RESET = InjectedFault(BreakLink(1500.0, 100.0, 0, "reset"), 1500.0, 1600.0)


def make_journal(exchanges=(), arrivals=(), injected=(), exits=(), **fields):
    values = {"tables": TABLES} | fields
    return Journal(
        0.0, 30_000.0, tuple(exchanges), tuple(arrivals), tuple(injected), tuple(exits), **values
    )


def make_exit(took_ms=1000.0, code=0, **fields):
    values = {"asked_at_ms": 5000.0, "killed": False} | fields
    return InstanceExit(0, 1, 5000.0 + took_ms, code, **values)


def by_signal(number):
    return {"code": None, "signal": number}


CUT = make_exchange(sent_at_ms=5000.0, took_ms=900.0, status=0, failure="cut")
# The request crossed the close of its idle connection, which is no cut.
CLOSED_ON_ARRIVAL = make_exchange(2, sent_at_ms=5000.0, took_ms=50.0, status=0, failure="cut")


@pytest.mark.parametrize(
    ("broken", "journal"),
    [
        ("", make_journal([make_exchange()], [make_arrival()])),
        ("refused means not run", make_journal([make_exchange(status=503)], [make_arrival()])),
        ("", make_journal([make_exchange(status=503)], [make_arrival(ran=False)])),
        (
            "an order runs at most once",
            make_journal([make_exchange(route="order")], [make_arrival()] * 2),
        ),
        # A read is idempotent and may run twice.
        ("", make_journal([make_exchange()], [make_arrival()] * 2)),
        ("answers are whole and own", make_journal([make_exchange(body=b"x")])),
        ("", make_told_journal(1000.0, 3900.0, leaving=True)),
        (
            "targets that say they leave get nothing more",
            make_told_journal(1000.0, 4100.0, leaving=True),
        ),
        ("", make_told_journal(1000.0, 4100.0, leaving=True, injected=[FROZEN])),
        (
            "targets that say they leave get nothing more",
            make_told_journal(1000.0, 4100.0, leaving=True, injected=[OTHER_FROZEN]),
        ),
        ("", make_told_journal(1000.0, 1400.0, 2450.0, 2460.0, hold_ms=1500.0)),
        (
            "targets that ask for a pause get it",
            make_told_journal(1000.0, 1600.0, 1700.0, 1800.0, hold_ms=1500.0),
        ),
        (
            "",
            make_told_journal(
                1000.0, 1600.0, 1700.0, 1800.0, hold_ms=1500.0, injected=[LINK_RESET]
            ),
        ),
        # The set NEW has 6 shards, of which the minimum coverage needs 5; missing ones are counted.
        ("", make_journal([make_search_exchange()])),
        ("", make_journal([make_search_exchange(shards=NEW[1:], missing=1)])),
        ("answers are whole and own", make_journal([make_search_exchange(shards=NEW[1:])])),
        (
            "answers are whole and own",
            make_journal([make_search_exchange(shards=NEW[2:], missing=2)]),
        ),
        (
            "answers are whole and own",
            make_journal([make_search_exchange(shards=(*NEW[1:], OLD[0]))]),
        ),
        (
            "answers are whole and own",
            make_journal([make_search_exchange(shards=(*NEW[1:], NEW[1]))]),
        ),
        ("answers are whole and own", make_journal([make_search_exchange(part_request_id="r2")])),
        ("answers are whole and own", make_journal([make_search_exchange(body=b"x")])),
        # An answer may take 2100 ms, unless the instance is frozen.
        ("answered in time", make_journal([make_exchange(took_ms=2200.0)])),
        ("answered in time", make_journal([make_exchange(status=0, failure="late")])),
        (
            "",
            make_journal(
                [make_exchange(took_ms=2200.0)],
                injected=[InjectedFault(FreezeInstance(0.0, 0, 1.0), 1100.0, 2000.0)],
            ),
        ),
        # Version 2 must be in force 3 s after its write at 10 s, unless the store was down in the
        # last 4 s; an instance that has answered with it must not go back to version 1.
        ("", make_journal([make_search_exchange(sent_at_ms=12_000.0)])),
        (
            "configuration in force, never back",
            make_journal([make_search_exchange(sent_at_ms=14_000.0)]),
        ),
        (
            "",
            make_journal(
                [make_search_exchange(sent_at_ms=14_000.0)],
                injected=[InjectedFault(STORE_DOWN, 9000.0, 11_000.0)],
            ),
        ),
        (
            "configuration in force, never back",
            make_journal(
                [
                    make_search_exchange(shards=OLD, sent_at_ms=11_000.0),
                    make_search_exchange(2, sent_at_ms=11_500.0),
                ],
                injected=[InjectedFault(STORE_DOWN, 9000.0, 11_000.0)],
            ),
        ),
        (
            "",
            make_journal(
                [
                    make_search_exchange(shards=OLD, sent_at_ms=10_400.0),
                    make_search_exchange(2, sent_at_ms=11_500.0),
                ],
                tables=CONFIRMED_LATE,
            ),
        ),
        (
            "",
            make_journal(
                [
                    make_search_exchange(shards=OLD, sent_at_ms=11_000.0),
                    replace(make_search_exchange(2, sent_at_ms=11_500.0), life=2),
                ],
                injected=[InjectedFault(KillInstance(0.0, 0, 1.0), 11_100.0, 12_000.0)],
            ),
        ),
        # One first request allows 40.2 extra ones, and 100 allow 60.
        (
            "extra requests within the budget",
            make_journal([make_exchange()], [make_arrival()] * 42),
        ),
        ("", make_journal([make_exchange()], [make_arrival()] * 41)),
        (
            "extra requests within the budget",
            make_journal(arrivals=[make_arrival(n % 100) for n in range(170)]),
        ),
        ("connections within the limit", make_journal(most_connections={"shop-0": 25})),
        ("", make_journal(most_connections={"shop-0": 24})),
        # The deadline is 3 s after the drain, or after the end of the outage of the store.
        (
            "draining targets get no new work",
            make_journal(
                arrivals=[make_arrival(at_ms=9000.0, draining=True)],
                injected=[InjectedFault(DRAIN, 5000.0, 14_000.0)],
            ),
        ),
        (
            "",
            make_journal(
                arrivals=[make_arrival(at_ms=7000.0, draining=True)],
                injected=[InjectedFault(DRAIN, 5000.0, 14_000.0)],
            ),
        ),
        (
            "",
            make_journal(
                arrivals=[make_arrival(at_ms=10_000.0, draining=True)],
                injected=[
                    InjectedFault(DRAIN, 5000.0, 14_000.0),
                    InjectedFault(STORE_DOWN, 7000.0, 8000.0),
                ],
            ),
        ),
        (
            "draining targets get no new work",
            make_journal(
                arrivals=[make_arrival(at_ms=12_000.0, draining=True)],
                injected=[
                    InjectedFault(DRAIN, 5000.0, 14_000.0),
                    InjectedFault(STORE_DOWN, 7000.0, 8000.0),
                ],
            ),
        ),
        ("", make_journal([CLOSED_ON_ARRIVAL], exits=[make_exit()])),
        ("planned stops cut nothing", make_journal([CUT], exits=[make_exit()])),
        ("planned stops cut nothing", make_journal(exits=[make_exit(code=1)])),
        ("planned stops cut nothing", make_journal(exits=[make_exit(took_ms=4100.0)])),
        ("", make_journal([CUT], exits=[make_exit(killed=True)])),
        ("planned stops cut nothing", make_journal(exits=[make_exit(**by_signal(signal.SIGTERM))])),
        ("", make_journal([CUT], exits=[make_exit(frozen=True, code=1)])),
        ("", make_journal(exits=[make_exit(was_ready=False)])),
        *(
            ("no instance ends by itself", make_journal(exits=[make_exit(**fields)]))
            for fields in (
                {"asked_at_ms": None},
                {"asked_at_ms": None, "code": 1},
                {"asked_at_ms": None, "frozen": True},
                {"code": 1, "was_ready": False},
                {"code": 2, "frozen": True},
                {"code": 120, "killed": True},
                {"was_ready": False} | by_signal(signal.SIGTERM),
                {"was_ready": False, "early_signals": (signal.SIGHUP,)} | by_signal(signal.SIGTERM),
                {"frozen": True} | by_signal(signal.SIGKILL),
                {"killed": True} | by_signal(signal.SIGSEGV),
                {"asked_at_ms": None} | by_signal(signal.SIGHUP),
            )
        ),
        *(
            ("", make_journal(exits=[make_exit(**fields)]))
            for fields in (
                {"asked_at_ms": None, "killed": True} | by_signal(signal.SIGKILL),
                {"asked_at_ms": None, "was_ready": False, "early_signals": (signal.SIGHUP,)}
                | by_signal(signal.SIGHUP),
            )
        ),
        (
            "recovers after trouble",
            make_journal([make_exchange(n, sent_at_ms=29_000.0, status=504) for n in range(2)]),
        ),
    ],
)
def test_only_the_broken_promise_is_reported(broken, journal):
    results = check_journal(journal)
    assert [result.promise for result in results if result.violations] == (
        [broken] if broken else []
    )
    assert [result.promise for result in results] == list(PROMISES)


@pytest.mark.parametrize("seed", range(20))
def test_a_seed_gives_one_plan_with_faults_that_end_in_time(seed):
    plan = draw_plan(seed, 30.0, 4, 60.0)
    assert plan == draw_plan(seed, 30.0, 4, 60.0)
    assert plan != draw_plan(seed + 1, 30.0, 4, 60.0)
    assert plan.faults
    for fault in plan.faults:
        assert fault.at_ms >= 1500.0  # the time without faults at the start
        # The load of 30 s ends with 8 s for the recovery, but a series may last into them by 0.5 s.
        drains_until_the_end = isinstance(fault, DriveTarget) and fault.event == "drain"
        assert fault.at_ms + fault.for_ms <= (30_000.0 if drains_until_the_end else 23_000.0)
        assert 0 <= getattr(fault, "link", 0) < count_links(4)
    added = [fault.instance for fault in plan.faults if isinstance(fault, AddInstance)]
    assert added == [4]
