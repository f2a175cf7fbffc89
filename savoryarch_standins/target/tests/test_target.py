"""Decisions, reports, switches and settings of the target stand-in, in virtual time."""

from dataclasses import replace

import pytest
from immutables import Map
from msgspec.json import decode

from savoryarch_standins.target import (
    Behaviour,
    BehaviourChanged,
    CancelRequested,
    ChartEventTriggered,
    DropConnections,
    GroupSettings,
    HealthReport,
    LoadReport,
    Reply,
    RequestReceived,
    RouteWork,
    ScheduleEvent,
    SearchWork,
    TargetSpec,
    decide_target,
    make_target,
    make_target_specs,
    read_settings,
    read_switches,
    report_health,
    report_load,
)

SHARD_MAPS = Map({1: ("a-01", "a-02"), 2: ("a-01", "a-02", "a-03")})
SPEC = TargetSpec("a-01-1", "a-01", slots=2, shard_maps=SHARD_MAPS)
SEARCH = SearchWork("1.2", b"{}")
ROUTE_REQUEST = RouteWork("pedidos", "key-1", b"{}")


def make_request(exchange_id, work=SEARCH, deadline_at_ms=1000.0):
    return RequestReceived(exchange_id, f"id-{exchange_id}", deadline_at_ms, work)


def run_events(behaviour, events, until_ms=500.0):
    """Feed pairs of time and event, and all events that the target schedules, in virtual time.

    Return the state at `until_ms`, and the replies and connection drops in their order.
    """
    step = make_target(SPEC, behaviour, seed=1, now_ms=0.0)
    scheduled = [(at_ms, number, event) for number, (at_ms, event) in enumerate(events, start=100)]
    state, replies_and_drops, number = step.state, [], 1000
    effects = list(step.effects)
    while scheduled or effects:
        for effect in effects:
            match effect:
                case ScheduleEvent(at_ms=at_ms, event=event):
                    number += 1
                    scheduled.append((at_ms, number, event))
                case Reply() | DropConnections():
                    replies_and_drops.append(effect)
        if not scheduled:
            break
        scheduled.sort(key=lambda item: item[:2])
        now_ms, _, event = scheduled.pop(0)
        if now_ms > until_ms:
            break
        step = decide_target(state, event, now_ms)
        state, effects = step.state, list(step.effects)
    return state, replies_and_drops


@pytest.mark.parametrize(
    ("changes", "events", "statuses", "reasons"),
    [
        ({}, [(1, make_request(1))], [200], [None]),
        (
            {},
            [(1, make_request(1)), (1, make_request(2)), (1, make_request(3))],
            [503, 200, 200],
            ["shed", None, None],
        ),
        ({}, [(1, make_request(1, SearchWork("1.3", b"")))], [409], ["snapshot"]),
        ({}, [(1, make_request(1, deadline_at_ms=1))], [504], ["deadline"]),
        ({}, [(1, make_request(1, deadline_at_ms=2))], [504], ["deadline"]),
        ({}, [(1, make_request(1)), (2, CancelRequested("id-1"))], [499], ["cancelled"]),
        ({}, [(1, make_request(1)), (2, CancelRequested("id-9"))], [200], [None]),
        (
            {},
            [(1, make_request(1)), (2, ChartEventTriggered("drain")), (3, make_request(2))],
            [503, 200],
            ["draining", None],
        ),
        (
            {},
            [
                (1, ChartEventTriggered("drain")),
                (2, ChartEventTriggered("restore")),
                (3, make_request(2)),
            ],
            [200],
            [None],
        ),
        ({}, [(1, ChartEventTriggered("freeze")), (2, make_request(1))], [], []),
        (
            {},
            [
                (1, make_request(1)),
                (2, ChartEventTriggered("freeze")),
                (90, ChartEventTriggered("thaw")),
            ],
            [200],
            [None],
        ),
        ({"shed_share": 1.0}, [(1, make_request(1))], [503], ["shed"]),
        ({"failure_share": 1.0}, [(1, make_request(1))], [500], ["failure"]),
    ],
)
def test_requests_get_their_status_and_reason(changes, events, statuses, reasons):
    _, replies = run_events(Behaviour(**changes), events)
    assert [reply.status for reply in replies] == statuses
    assert [decode(reply.body).get("reason") for reply in replies] == reasons
    assert [reply.request_id for reply in replies] == [
        f"id-{reply.exchange_id}" for reply in replies
    ]


@pytest.mark.parametrize(
    ("changes", "work", "record_ids", "snapshot", "complete"),
    [
        ({"record_count": 6}, SEARCH, ["r0", "r2", "r4"], "1.2", True),
        ({"record_count": 6}, SearchWork("2.7", b""), ["r0", "r3"], "2.7", True),
        ({"record_count": 6, "answers_from": "1.1"}, SEARCH, ["r0", "r2", "r4"], "1.1", True),
        ({"record_count": 6, "cut_short_share": 1.0}, SEARCH, ["r0"], "1.2", False),
    ],
)
def test_search_returns_the_records_of_its_shard(changes, work, record_ids, snapshot, complete):
    _, (reply,) = run_events(
        Behaviour(snapshots="1.2,2.7", **changes), [(1, make_request(1, work))]
    )
    body = decode(reply.body)
    assert [record["id"] for record in body["records"]] == record_ids
    assert (body["snapshot"], body["complete"]) == (snapshot, complete)


def test_every_record_is_on_exactly_one_shard():
    record_ids = []
    for service in SHARD_MAPS[2]:
        state = make_target(
            replace(SPEC, service=service), Behaviour(snapshots="2.1"), 1, 0.0
        ).state
        step = decide_target(state, make_request(1, SearchWork("2.1", b"")), 1.0)
        reply = decide_target(step.state, step.effects[0].event, 50.0).effects[0]
        record_ids += [record["id"] for record in decode(reply.body)["records"]]
    assert sorted(record_ids) == sorted(f"r{n}" for n in range(60))


def test_runs_of_a_key_are_counted():
    state, replies = run_events(
        Behaviour(), [(1, make_request(1, ROUTE_REQUEST)), (60, make_request(2, ROUTE_REQUEST))]
    )
    assert state.counts.runs_per_key["key-1"] == 2
    assert [decode(reply.body)["run"] for reply in replies] == [1, 2]


def test_crash_loses_the_requests_in_flight_and_restarts_cold():
    crashing_request = make_request(2, SearchWork("1.2", b'"poison"'))
    behaviour = Behaviour(crash_word="poison", service_sigma=0.0, cold_start_ms=100)
    events = [
        (150, crashing_request),
        (151, make_request(1)),
        (170, make_request(3)),
        (400, make_request(4)),
    ]
    state, replies = run_events(behaviour, events, until_ms=420)
    assert replies == [DropConnections(exits_process=False)]
    assert (state.chart_state, state.counts.crashes) == ("cold", 1)
    state, replies = run_events(behaviour, events)
    assert (state.chart_state, replies[-1].request_id) == ("live", "id-4")


def test_crossed_reply_is_that_of_the_previous_run():
    _, replies = run_events(
        Behaviour(crosses_replies=True), [(1, make_request(1)), (90, make_request(2))]
    )
    assert [(reply.exchange_id, reply.request_id) for reply in replies] == [
        (1, "id-1"),
        (2, "id-1"),
    ]


@pytest.mark.parametrize(
    ("changes", "health", "load"),
    [
        ({}, "live", "0.500"),
        ({"health": HealthReport.COLD, "load": LoadReport.FULL}, "cold", "1.0"),
        ({"health": HealthReport.FAILURE, "load": LoadReport.ABSENT}, "", ""),
        ({"load": LoadReport.NEGATIVE}, "live", "-1.0"),
    ],
)
def test_reports_health_and_load(changes, health, load):
    state, _ = run_events(Behaviour(**changes), [(1, make_request(1))], until_ms=2)
    assert report_health(state, 2.0).value == health
    assert report_load(state, 2.0).value == load


def test_reported_load_lags():
    state = make_target(SPEC, Behaviour(load_lag_ms=50), 1, 0.0).state
    state = report_load(state, 0.0).state
    state = decide_target(state, make_request(1), 1.0).state
    assert [report_load(state, at_ms).value for at_ms in (49.0, 50.0)] == ["0.000", "0.500"]


@pytest.mark.parametrize(
    ("body", "events", "finding"),
    [
        (b"{}", (), ""),
        (b'{"drive": "drain"}', (ChartEventTriggered("drain"),), ""),
        (b'{"slow_factor": 4}', (BehaviourChanged(Behaviour(slow_factor=4.0)),), ""),
        (b'{"load": "full"}', (BehaviourChanged(Behaviour(load=LoadReport.FULL)),), ""),
        (b'{"advance_index": 2}', (BehaviourChanged(Behaviour(snapshots="1.3,1.4")),), ""),
        (b'{"drive": "jump"}', (), "'jump'"),
        (b'{"slow": 4}', (), "slow"),
        (b'{"slow_factor": "x"}', (), "Expected `float`"),
        (b"[]", (), "Expected `object`"),
    ],
)
def test_switches_give_events_or_a_finding(body, events, finding):
    switches = read_switches(body, Behaviour())
    assert switches.events == events
    assert finding in str(switches.findings)


@pytest.mark.parametrize(
    ("group", "first", "zones"),
    [
        (GroupSettings(services=2, targets=3), "b-01-1", ["zone-a", "zone-b", "zone-c"] * 2),
        (GroupSettings(services=1, targets=2), "b-1", ["zone-a", "zone-b"]),
    ],
)
def test_targets_of_a_group_are_named_and_placed_in_zones(group, first, zones):
    specs = make_target_specs("b", group)
    assert specs[0].target_id == first
    assert [spec.availability_zone for spec in specs] == zones


@pytest.mark.parametrize(
    ("text", "count", "findings"),
    [
        ("[group a]\nservices = 2\n[shard_map 2]\nservices = a-01 a-03", 6, []),
        ("[group a]\nsevices = 2\n[grup b]", 3, ["'services'", "expected [standin]"]),
    ],
)
def test_settings_give_targets_or_findings(text, count, findings):
    read = read_settings(text, "s.ini")
    assert len(read.settings.specs) == (count if not findings else 0)
    for finding in findings:
        assert finding in str(read.findings)


def test_a_later_shard_map_applies_to_the_services_it_concerns():
    text = "[group a]\nservices = 2\n[group b]\n[shard_map 2]\nservices = a-01 a-03"
    specs = read_settings(text, "s.ini").settings.specs
    assert {spec.service: sorted(spec.shard_maps) for spec in specs} == {
        "a-01": [1, 2],
        "a-02": [1, 2],
        "b": [1],
    }
