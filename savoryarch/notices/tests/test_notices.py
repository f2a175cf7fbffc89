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
    observe,
)
from savoryarch.quarantine import QuarantineSettings, make_quarantine_state
from savoryarch.quarantine._state import RequestRecord
from savoryarch.targets import TargetRecord, TargetsSettings, make_targets_state

LOOK_MS = 5_000.0
MINUTE_MS = 60_000.0
HOUR_MS = 60 * MINUTE_MS
DAY_MS = 24 * HOUR_MS
SERVICES = tuple(f"balcao-{number:02d}" for number in range(1, 11))


@dataclass
class Day:
    """Looks at facts every few seconds; a fact is a name, a value and a span of time."""

    facts: list
    state: NoticesState = field(default_factory=NoticesState)
    opened: list = field(default_factory=list)
    closed: list = field(default_factory=list)

    def run(self, until_ms):
        now_ms = 0.0
        while now_ms <= until_ms:
            held = {
                name: tuple(
                    sorted({v for n, v, a, b in self.facts if n == name and a <= now_ms < b})
                )
                for name in {fact[0] for fact in self.facts}
            }
            self.give(TierObserved(declared_services=len(SERVICES), **held), now_ms)
            now_ms += LOOK_MS

    def give(self, event, now_ms):
        decided = decide_notices(self.state, event, now_ms)
        self.state = decided.state
        for effect in decided.effects:
            if isinstance(effect, LogEvent):
                told = {"notice_opened": self.opened, "notice_closed": self.closed}[effect.name]
                told.append(dict(effect.fields)["notice_id"])


def ordinary_day(seed):
    """Return the faults of a day at the size of letter 1: failures, replacements, short cuts."""
    chance = random.Random(seed)
    facts = []
    for _ in range(20):
        start = chance.random() * DAY_MS
        lasts = chance.uniform(5_000.0, 8 * MINUTE_MS)
        facts.append(("services_down", chance.choice(SERVICES), start, start + lasts))
    for _ in range(3):
        start = chance.random() * DAY_MS
        lasts = chance.uniform(MINUTE_MS, 20 * MINUTE_MS)
        facts.append(("zones_cut", chance.choice(("zone-a", "zone-b")), start, start + lasts))
        facts += [("services_down", name, start, start + 30_000.0) for name in SERVICES]
    for number in range(5):
        start = chance.random() * DAY_MS
        facts.append(("quarantined", f"request-{number}", start, start + 10 * MINUTE_MS))
    start = chance.random() * DAY_MS
    facts.append(("services_without_connections", "notas", start, start + MINUTE_MS))
    return facts


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_ordinary_day_opens_no_notice(seed):
    day = Day(ordinary_day(seed))
    day.run(DAY_MS)
    assert day.opened == []


@pytest.mark.parametrize(
    ("facts", "notice_id"),
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
def test_each_cause_opens_one_notice_and_closes_it(facts, notice_id):
    day = Day(ordinary_day(4) + facts)
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
def test_raised_notices(events, opened, still_open):
    day = Day([])
    for number, event in enumerate(events):
        day.give(event, float(number))
    assert day.opened == opened
    if still_open is not None:
        assert [item.notice.notice_id for item in list_notices(day.state)] == still_open


def test_looks_are_timed():
    assert decide_notices(NoticesState(), Started("entry-1", "zone-a", 1), 10.0).effects == (
        SetTimer(OBSERVE_TIMER, 10.0 + LOOK_MS),
    )


@pytest.mark.parametrize(
    ("lives", "connections", "down", "without"),
    [
        (("live", "lost"), 3, (), ()),
        (("lost", "draining"), 3, ("balcao-01",), ()),
        (("live", "live"), 0, (), ("balcao",)),
    ],
)
def test_observe(lives, connections, down, without):
    targets = tuple(
        Target(f"t{number}", "balcao-01", "zone-a", "127.0.0.1", 7000 + number)
        for number in range(len(lives))
    )
    state = make_targets_state(TargetsSettings("zone-a"))
    records = {
        target.target_id: TargetRecord(target, 2, connections, life)
        for target, life in zip(targets, lives, strict=True)
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
    assert observe(state, quarantine, ("zone-b",), 10.0) == TierObserved(
        1, down, without, ("zone-b",), ("f1",)
    )
