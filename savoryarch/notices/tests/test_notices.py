import random
from dataclasses import dataclass, field

import pytest
from immutables import Map

from savoryarch.model import (
    ClearNotice,
    LogEvent,
    Notice,
    RaiseNotice,
    Service,
    SetTimer,
    Started,
    Target,
)
from savoryarch.notices import (
    OBSERVE_TIMER,
    NoticesState,
    TierObserved,
    decide_notices,
    list_notices,
    observe_tier,
)
from savoryarch.quarantine import QuarantineSettings, make_quarantine_state
from savoryarch.quarantine._state import RequestRecord
from savoryarch.targets import TargetRecord, TargetsSettings, make_targets_state

OBSERVE_INTERVAL_MS = 5_000.0
MINUTE_MS = 60_000.0
HOUR_MS = 60 * MINUTE_MS
DAY_MS = 24 * HOUR_MS
SERVICES = tuple(f"balcao-{number:02d}" for number in range(1, 11))


@dataclass
class Day:
    """Feeds the observations of a day and records the notices that are opened and closed.

    A condition is a tuple of a field of `TierObserved`, a value in it, and the times in ms at which
    it starts and ends.
    """

    conditions: list
    state: NoticesState = field(default_factory=NoticesState)
    opened: list = field(default_factory=list)
    closed: list = field(default_factory=list)

    def run(self, until_ms):
        now_ms = 0.0
        while now_ms <= until_ms:
            active = {
                name: tuple(
                    sorted(
                        {
                            value
                            for kind, value, start_ms, end_ms in self.conditions
                            if kind == name and start_ms <= now_ms < end_ms
                        }
                    )
                )
                for name in {condition[0] for condition in self.conditions}
            }
            self.feed(TierObserved(declared_services=len(SERVICES), **active), now_ms)
            now_ms += OBSERVE_INTERVAL_MS

    def feed(self, event, now_ms):
        decided = decide_notices(self.state, event, now_ms)
        self.state = decided.state
        for effect in decided.effects:
            if isinstance(effect, LogEvent):
                notice_ids = {"notice_opened": self.opened, "notice_closed": self.closed}[
                    effect.name
                ]
                notice_ids.append(dict(effect.fields)["notice_id"])


def ordinary_day(seed):
    """Return the faults of an ordinary day: failures, replacements and short zone outages.

    The number of failures is that of a day at the size that the users expect within two years.
    """
    generator = random.Random(seed)
    conditions = []
    for _ in range(20):
        start_ms = generator.random() * DAY_MS
        duration_ms = generator.uniform(5_000.0, 8 * MINUTE_MS)
        conditions.append(
            ("services_down", generator.choice(SERVICES), start_ms, start_ms + duration_ms)
        )
    for _ in range(3):
        start_ms = generator.random() * DAY_MS
        duration_ms = generator.uniform(MINUTE_MS, 20 * MINUTE_MS)
        conditions.append(
            ("zones_cut", generator.choice(("zone-a", "zone-b")), start_ms, start_ms + duration_ms)
        )
        conditions += [("services_down", name, start_ms, start_ms + 30_000.0) for name in SERVICES]
    for number in range(5):
        start_ms = generator.random() * DAY_MS
        conditions.append(("quarantined", f"request-{number}", start_ms, start_ms + 10 * MINUTE_MS))
    start_ms = generator.random() * DAY_MS
    conditions.append(("services_without_connections", "notas", start_ms, start_ms + MINUTE_MS))
    return conditions


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_ordinary_day_opens_no_notice(seed):
    day = Day(ordinary_day(seed))
    day.run(DAY_MS)
    assert day.opened == []


@pytest.mark.parametrize(
    ("conditions", "notice_id"),
    [
        (
            [("services_down", "balcao-03", HOUR_MS, 2 * HOUR_MS)],
            "service-down/balcao-03",
        ),
        ([("services_down", name, HOUR_MS, 2 * HOUR_MS) for name in SERVICES], "services-down"),
        ([("zones_cut", "zone-b", HOUR_MS, 2 * HOUR_MS)], "zone-cut/zone-b"),
        (
            [("services_without_connections", "notas", HOUR_MS, 2 * HOUR_MS)],
            "connection-limit/notas",
        ),
        (
            [
                ("quarantined", "f1", number * HOUR_MS, number * HOUR_MS + 10 * MINUTE_MS)
                for number in range(5)
            ],
            "quarantine-recurs/f1",
        ),
    ],
)
def test_each_cause_opens_one_notice_and_closes_it(conditions, notice_id):
    day = Day(ordinary_day(4) + conditions)
    day.run(DAY_MS + 5 * HOUR_MS)
    assert day.opened == [notice_id]
    assert day.closed == [notice_id]


NOTICE = Notice("n1", "summary", "decision", ("a", "b"))


@pytest.mark.parametrize(
    ("events", "opened", "still_open"),
    [
        ([RaiseNotice(NOTICE)], ["n1"], ["n1"]),
        ([RaiseNotice(NOTICE), RaiseNotice(NOTICE)], ["n1"], ["n1"]),
        ([RaiseNotice(NOTICE), ClearNotice("n1")], ["n1"], []),
        ([ClearNotice("n1")], [], []),
        ([RaiseNotice(NOTICE), ClearNotice("n1"), RaiseNotice(NOTICE)], ["n1", "n1"], ["n1"]),
        (
            [RaiseNotice(Notice(f"n{number}", "", "", ())) for number in range(150)],
            [f"n{number}" for number in range(100)],
            None,
        ),
    ],
)
def test_raised_notices_are_opened_and_cleared(events, opened, still_open):
    day = Day([])
    for number, event in enumerate(events):
        day.feed(event, float(number))
    assert day.opened == opened
    if still_open is not None:
        assert [item.notice.notice_id for item in list_notices(day.state)] == still_open


def test_start_sets_the_observation_timer():
    assert decide_notices(NoticesState(), Started("entry-1", "zone-a", 1), 10.0).effects == (
        SetTimer(OBSERVE_TIMER, 10.0 + OBSERVE_INTERVAL_MS),
    )


@pytest.mark.parametrize(
    ("chart_states", "connections", "down", "without"),
    [
        (("live", "lost"), 3, (), ()),
        (("lost", "draining"), 3, ("balcao-01",), ()),
        (("live", "live"), 0, (), ("balcao",)),
    ],
)
def test_observation_has_services_down_and_without_connections(
    chart_states, connections, down, without
):
    targets = tuple(
        Target(f"t{number}", "balcao-01", "zone-a", "127.0.0.1", 7000 + number)
        for number in range(len(chart_states))
    )
    state = make_targets_state(TargetsSettings("zone-a"))
    records = {
        target.target_id: TargetRecord(target, 2, connections, chart_state)
        for target, chart_state in zip(targets, chart_states, strict=True)
    }
    service = Service("balcao-01", "balcao", 2, 25, targets)
    state = type(state)(
        settings=state.settings, records=Map(records), declared_services=Map({"balcao-01": service})
    )
    quarantine = make_quarantine_state(QuarantineSettings())
    quarantine = type(quarantine)(
        settings=quarantine.settings,
        records=Map({"f1": RequestRecord(quarantined_until_ms=50.0), "f2": RequestRecord()}),
    )
    assert observe_tier(state, quarantine, ("zone-b",), 10.0) == TierObserved(
        1, down, without, ("zone-b",), ("f1",)
    )
