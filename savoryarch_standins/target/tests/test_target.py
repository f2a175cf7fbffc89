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

MAPS = Map({1: ("a-01", "a-02"), 2: ("a-01", "a-02", "a-03")})
SPEC = TargetSpec("a-01-1", "a-01", slots=2, shard_maps=MAPS)
PART = SearchWork("1.2", b"{}")
ORDER = RouteWork("pedidos", "key-1", b"{}")


def ask(exchange, work=PART, deadline_at_ms=1000.0):
    return RequestReceived(exchange, f"id-{exchange}", deadline_at_ms, work)


def run(behaviour, events, until_ms=500.0):
    """Feed (at_ms, event) pairs and every wake-up; return the state, replies and drops."""
    step = make_target(SPEC, behaviour, seed=1, now_ms=0.0)
    due = [(at_ms, number, event) for number, (at_ms, event) in enumerate(events, start=100)]
    state, seen, number = step.state, [], 1000
    effects = list(step.effects)
    while due or effects:
        for effect in effects:
            match effect:
                case ScheduleEvent(at_ms=at_ms, event=event):
                    number += 1
                    due.append((at_ms, number, event))
                case Reply() | DropConnections():
                    seen.append(effect)
        if not due:
            break
        due.sort(key=lambda item: item[:2])
        now_ms, _, event = due.pop(0)
        if now_ms > until_ms:
            break
        step = decide_target(state, event, now_ms)
        state, effects = step.state, list(step.effects)
    return state, seen


@pytest.mark.parametrize(
    ("changes", "events", "statuses", "reasons"),
    [
        ({}, [(1, ask(1))], [200], [None]),
        ({}, [(1, ask(1)), (1, ask(2)), (1, ask(3))], [503, 200, 200], ["shed", None, None]),
        ({}, [(1, ask(1, SearchWork("1.3", b"")))], [409], ["snapshot"]),
        ({}, [(1, ask(1, deadline_at_ms=1))], [504], ["deadline"]),
        ({}, [(1, ask(1, deadline_at_ms=2))], [504], ["deadline"]),
        ({}, [(1, ask(1)), (2, CancelRequested("id-1"))], [499], ["cancelled"]),
        ({}, [(1, ask(1)), (2, CancelRequested("id-9"))], [200], [None]),
        (
            {},
            [(1, ask(1)), (2, ChartEventTriggered("drain")), (3, ask(2))],
            [503, 200],
            ["draining", None],
        ),
        (
            {},
            [(1, ChartEventTriggered("drain")), (2, ChartEventTriggered("restore")), (3, ask(2))],
            [200],
            [None],
        ),
        ({}, [(1, ChartEventTriggered("freeze")), (2, ask(1))], [], []),
        (
            {},
            [(1, ask(1)), (2, ChartEventTriggered("freeze")), (90, ChartEventTriggered("thaw"))],
            [200],
            [None],
        ),
        ({"shed_share": 1.0}, [(1, ask(1))], [503], ["shed"]),
        ({"failure_share": 1.0}, [(1, ask(1))], [500], ["failure"]),
    ],
)
def test_replies(changes, events, statuses, reasons):
    _, seen = run(Behaviour(**changes), events)
    assert [reply.status for reply in seen] == statuses
    assert [decode(reply.body).get("reason") for reply in seen] == reasons
    assert [reply.request_id for reply in seen] == [f"id-{reply.exchange_id}" for reply in seen]


@pytest.mark.parametrize(
    ("changes", "work", "ids", "snapshot", "complete"),
    [
        ({"record_count": 6}, PART, ["r0", "r2", "r4"], "1.2", True),
        ({"record_count": 6}, SearchWork("2.7", b""), ["r0", "r3"], "2.7", True),
        ({"record_count": 6, "answers_from": "1.1"}, PART, ["r0", "r2", "r4"], "1.1", True),
        ({"record_count": 6, "cut_short_share": 1.0}, PART, ["r0"], "1.2", False),
    ],
)
def test_part(changes, work, ids, snapshot, complete):
    _, (reply,) = run(Behaviour(snapshots="1.2,2.7", **changes), [(1, ask(1, work))])
    body = decode(reply.body)
    assert [record["id"] for record in body["records"]] == ids
    assert (body["snapshot"], body["complete"]) == (snapshot, complete)


def test_every_record_is_on_exactly_one_shard():
    seen = []
    for service in MAPS[2]:
        state = make_target(
            replace(SPEC, service=service), Behaviour(snapshots="2.1"), 1, 0.0
        ).state
        step = decide_target(state, ask(1, SearchWork("2.1", b"")), 1.0)
        reply = decide_target(step.state, step.effects[0].event, 50.0).effects[0]
        seen += [record["id"] for record in decode(reply.body)["records"]]
    assert sorted(seen) == sorted(f"r{n}" for n in range(60))


def test_runs_of_a_key_are_counted():
    state, seen = run(Behaviour(), [(1, ask(1, ORDER)), (60, ask(2, ORDER))])
    assert state.counts.runs_per_key["key-1"] == 2
    assert [decode(reply.body)["run"] for reply in seen] == [1, 2]


def test_crash_takes_the_requests_in_flight_and_restarts_cold():
    poison = ask(2, SearchWork("1.2", b'"poison"'))
    behaviour = Behaviour(crash_word="poison", service_sigma=0.0, cold_start_ms=100)
    events = [(150, poison), (151, ask(1)), (170, ask(3)), (400, ask(4))]
    state, seen = run(behaviour, events, until_ms=420)
    assert seen == [DropConnections(exits_process=False)]
    assert (state.chart_state, state.counts.crashes) == ("cold", 1)
    state, seen = run(behaviour, events)
    assert (state.chart_state, seen[-1].request_id) == ("live", "id-4")


def test_crossed_reply_is_that_of_the_run_before():
    _, seen = run(Behaviour(crosses_replies=True), [(1, ask(1)), (90, ask(2))])
    assert [(reply.exchange_id, reply.request_id) for reply in seen] == [(1, "id-1"), (2, "id-1")]


@pytest.mark.parametrize(
    ("changes", "health", "load"),
    [
        ({}, "live", "0.500"),
        ({"health": HealthReport.COLD, "load": LoadReport.FULL}, "cold", "1.0"),
        ({"health": HealthReport.FAILURE, "load": LoadReport.ABSENT}, "", ""),
        ({"load": LoadReport.NEGATIVE}, "live", "-1.0"),
    ],
)
def test_reports(changes, health, load):
    state, _ = run(Behaviour(**changes), [(1, ask(1))], until_ms=2)
    assert report_health(state, 2.0).value == health
    assert report_load(state, 2.0).value == load


def test_reports_lag():
    state = make_target(SPEC, Behaviour(load_lag_ms=50), 1, 0.0).state
    state = report_load(state, 0.0).state
    state = decide_target(state, ask(1), 1.0).state
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
def test_read_switches(body, events, finding):
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
def test_make_specs(group, first, zones):
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
def test_read_settings(text, count, findings):
    read = read_settings(text, "s.ini")
    assert len(read.settings.specs) == (count if not findings else 0)
    for finding in findings:
        assert finding in str(read.findings)


def test_a_later_shard_map_reaches_the_services_it_concerns():
    text = "[group a]\nservices = 2\n[group b]\n[shard_map 2]\nservices = a-01 a-03"
    specs = read_settings(text, "s.ini").settings.specs
    assert {spec.service: sorted(spec.shard_maps) for spec in specs} == {
        "a-01": [1, 2],
        "a-02": [1, 2],
        "b": [1],
    }
