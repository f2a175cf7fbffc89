"""Guards against targets that are lost, kept or used wrongly while the store or a writer fails.

That comes about when entries lapse during an outage, when a malformed or older entry replaces a
valid one, or when changes or the instance's own registration are lost.
"""

import pytest

from savoryarch.discovery import DiscoverySettings, MalformedEntry, StoreEntryCodec, UnrelatedEntry
from savoryarch.discovery._decide import (
    CHANGES_CALL,
    GRANT_CALL,
    KEEP_CALL,
    LAPSE_TIMER,
    LEASE_TIMER,
    LIST_CALL,
    POLL_TIMER,
    PUT_CALL,
    decide_discovery,
    make_discovery_state,
)
from savoryarch.discovery._entries import DRAIN_MEMORY_MS
from savoryarch.model import (
    Count,
    DeclarationsInForce,
    GrantLease,
    InstancesListed,
    KeepLease,
    KeyChange,
    KeyRead,
    KeysChanged,
    KeysListed,
    LeaseEnded,
    LeaseGranted,
    ListKeys,
    LogEvent,
    PublishEvent,
    PutLeased,
    SetTimer,
    Started,
    StoreLimited,
    StoreReplied,
    StoreUnreachable,
    Swapped,
    Target,
    TargetEvidence,
    TargetEvidenceReceived,
    TimerFired,
    WatchCompacted,
    WatchKeys,
)
from savoryarch.model.forwarding import (
    ForwardingTable,
    RegisteredInstance,
    RegisteredTarget,
    TableInForce,
    TargetsDiscovered,
)

LOST = StoreUnreachable("connection lost")
GRACE_MS = DiscoverySettings().lapse_grace_ms


def decode(key, value):
    """Decode test entries such as b'live', b'draining', b'draining 7' and b'7'."""
    text, _, sequence = value.decode().partition(" ")
    if key == "table":
        return ForwardingTable(int(text), ()) if text.isdigit() else MalformedEntry("no version")
    if key.startswith("t/"):
        if text not in ("live", "draining"):
            return MalformedEntry(f"got state {text!r}")
        target = Target(key, "shop", "zone-a", "127.0.0.1", 1)
        return RegisteredTarget(target, key, 2, text == "draining", int(sequence or 0))
    if key.startswith("i/"):
        return RegisteredInstance(key, "zone-a", "127.0.0.1", 2)
    return UnrelatedEntry()


class Driver:
    """The discovery state of one instance and the effects of its decisions."""

    def __init__(self, **settings):
        codec = StoreEntryCodec(decode, lambda instance: instance.instance_id.encode())
        self.state = make_discovery_state(DiscoverySettings(enabled=True, **settings), codec)
        self.now_ms = 0.0
        self.effects = []

    def feed(self, event):
        decided = decide_discovery(self.state, event, self.now_ms)
        self.state = decided.state
        self.effects += decided.effects
        return decided.effects

    def start(self, **entries):
        self.feed(Started("me", "zone-a", 1))
        return self.list(**entries)

    def list(self, **entries):
        """Feed a list of entries as the reply of the store; ``_`` in a name stands for ``/``."""
        rows = tuple(
            KeyRead(key.replace("_", "/"), value, 1) for key, value in sorted(entries.items())
        )
        return self.feed(StoreReplied(LIST_CALL, KeysListed(rows, 10)))

    def change(self, *changes, revision=11):
        """Poll, and feed changes as the reply of the store."""
        self.feed(TimerFired(POLL_TIMER))
        rows = tuple(KeyChange(key, value, revision) for key, value in changes)
        return self.feed(StoreReplied(CHANGES_CALL, KeysChanged(rows, revision)))

    def fail(self):
        """Poll, and feed a lost connection as the reply of the store."""
        self.feed(TimerFired(POLL_TIMER))
        return self.feed(StoreReplied(CHANGES_CALL, LOST))

    def targets(self):
        """Return the ids of the targets in the last declarations that were published."""
        declared = [
            item.event.declarations
            for item in self.effects
            if isinstance(item, PublishEvent) and isinstance(item.event, DeclarationsInForce)
        ]
        services = declared[-1].services.values() if declared else ()
        return sorted(target.target_id for service in services for target in service.targets)

    def published(self, kind):
        return [
            item.event
            for item in self.effects
            if isinstance(item, PublishEvent) and isinstance(item.event, kind)
        ]


@pytest.mark.parametrize(
    ("entries", "targets", "discovered"),
    [
        ({"table": b"1", "t_a": b"live"}, ["t/a"], True),
        ({"table": b"1"}, [], False),
        ({"t_a": b"live"}, ["t/a"], False),
        ({"table": b"1", "t_a": b"live", "t_b": b"?", "other": b"x"}, ["t/a"], True),
        ({"table": b"x", "t_a": b"live"}, ["t/a"], False),
    ],
)
def test_a_list_declares_the_valid_targets(entries, targets, discovered):
    driver = Driver()
    driver.start(**entries)
    assert driver.targets() == targets
    assert bool(driver.published(TargetsDiscovered)) == discovered


@pytest.mark.parametrize(
    ("lists", "found"),
    [
        ([{}], 0),
        ([{"i_you": b"1"}], 0),
        ([{"i_me": b"1"}], 1),
        ([{"i_me": b"1"}, {"i_me": b"1"}], 1),
        ([{}, {"i_me": b"1"}], 0),  # its own
    ],
)
def test_a_registration_that_a_predecessor_left_is_reported_once(lists, found):
    driver = Driver(instances_prefix="i/")
    driver.start(**lists[0])
    for entries in lists[1:]:
        driver.feed(TimerFired(POLL_TIMER))
        driver.feed(StoreReplied(CHANGES_CALL, WatchCompacted(40)))
        driver.list(**entries)
    counted = Count("restarts", "registration_found")
    logged = LogEvent("registration_found", (("key", "i/me"), ("revision", "1")))
    assert [driver.effects.count(counted), driver.effects.count(logged)] == [found, found]


@pytest.mark.parametrize(
    ("changes", "targets"),
    [
        ([("t/b", b"live")], ["t/a", "t/b"]),
        ([("t/b", b"broken")], ["t/a"]),
        ([("t/a", b"broken")], []),
        ([("t/a", None)], []),
        ([("t/a", None), ("t/a", b"live")], ["t/a"]),
        ([("t/a", b"draining")], ["t/a"]),
    ],
)
def test_changes_are_applied_in_their_order(changes, targets):
    driver = Driver()
    driver.start(table=b"1", t_a=b"live")
    driver.change(*changes)
    assert driver.targets() == targets


def test_a_draining_target_is_published_once():
    driver = Driver()
    driver.start(table=b"1", t_a=b"live")
    driver.change(("t/a", b"draining"))
    driver.change(("t/a", b"draining"), revision=12)
    assert driver.published(TargetEvidenceReceived) == [
        TargetEvidenceReceived("t/a", TargetEvidence.LISTED_LEAVING)
    ]


def test_a_target_that_stops_draining_is_published():
    """Without the evidence, the target would get no requests after its draining has ended."""
    driver = Driver()
    driver.start(table=b"1", t_a=b"draining")
    driver.change(("t/a", b"live"))
    evidence = [event.evidence for event in driver.published(TargetEvidenceReceived)]
    assert evidence == [TargetEvidence.LISTED_LEAVING, TargetEvidence.REGISTERED]


@pytest.mark.parametrize(
    ("entries", "last_evidence", "refused_count"),
    [
        ([b"draining 5", b"live 6"], TargetEvidence.REGISTERED, 0),
        ([b"draining 5", b"live 4"], TargetEvidence.LISTED_LEAVING, 1),
        ([b"draining 5", b"live 4", b"live 4"], TargetEvidence.LISTED_LEAVING, 2),
        ([b"draining 5", b"live 4", b"draining 6"], TargetEvidence.LISTED_LEAVING, 1),
        ([b"draining 5", b"draining 7", b"live 6"], TargetEvidence.REGISTERED, 0),
        ([b"draining 5", b"live 6", b"live 4"], TargetEvidence.REGISTERED, 0),
        # The entry is removed in between, and a report is remembered without it.
        ([b"draining 5", None, b"live 4"], TargetEvidence.LISTED_LEAVING, 1),
        ([b"live 3", None, b"live 2"], None, 0),
        # Without numbers, the order of the store decides.
        ([b"draining", b"live"], TargetEvidence.REGISTERED, 0),
    ],
)
def test_an_older_registration_does_not_end_the_draining(entries, last_evidence, refused_count):
    """Guards against new requests to a draining target after the store executes a write late."""
    driver = Driver()
    driver.start(table=b"1", t_a=b"live 1")
    for number, entry in enumerate(entries):
        driver.change(("t/a", entry), revision=11 + number)
    evidence = [event.evidence for event in driver.published(TargetEvidenceReceived)]
    assert evidence[-1:] == ([last_evidence] if last_evidence else [])
    outdated = Count("store_entries_refused", "outdated")
    assert sum(effect == outdated for effect in driver.effects) == refused_count
    log = LogEvent("entry_outdated", (("key", "t/a"), ("sequence", "4")))
    assert (log in driver.effects) == (refused_count > 0)


def test_an_old_report_of_draining_is_forgotten():
    driver = Driver()
    driver.start(table=b"1", t_a=b"draining 5", t_b=b"live 1")
    driver.now_ms += DRAIN_MEMORY_MS
    driver.change(("t/b", b"draining 2"))
    assert set(driver.state.drained) == {"t/b"}


@pytest.mark.parametrize(
    ("versions", "applied"),
    [([b"2", b"1"], [1, 2]), ([b"3", b"x", b"4"], [1, 3, 4]), ([b"1"], [1])],
)
def test_a_table_is_only_replaced_by_a_newer_one(versions, applied):
    """An older or malformed table must not replace the one in force."""
    driver = Driver()
    driver.start(table=b"1", t_a=b"live")
    for number, version in enumerate(versions):
        driver.change(("table", version), revision=11 + number)
    assert [event.table.version for event in driver.published(TableInForce)] == applied


@pytest.mark.parametrize(
    ("outage", "wait_ms", "targets"),
    [
        (False, 0.0, []),
        (True, 0.0, ["t/a"]),
        (True, GRACE_MS - 1.0, ["t/a"]),
        (True, GRACE_MS + 1.0, []),
    ],
)
def test_a_target_that_lapsed_during_an_outage_has_a_grace_period(outage, wait_ms, targets):
    """During an outage, running targets cannot renew their leases, so that their entries lapse."""
    driver = Driver()
    driver.start(table=b"1", t_a=b"live")
    if outage:
        driver.fail()
    driver.change(("t/a", None))
    driver.now_ms += wait_ms
    driver.change(revision=12)
    assert driver.targets() == targets


@pytest.mark.parametrize("deletion", ["change", "list"])
@pytest.mark.parametrize("polled_after_ms", [None, GRACE_MS - 1.0])
def test_the_grace_period_ends_at_its_time(deletion, polled_after_ms):
    """Guards against requests to a removed target: it was kept until the next poll or longer.

    That poll may come a poll interval later, or fail.
    """
    driver = Driver()
    driver.start(table=b"1", t_a=b"live", t_b=b"live")
    driver.fail()
    if deletion == "change":
        driver.change(("t/a", None))
    else:
        driver.feed(TimerFired(POLL_TIMER))
        driver.feed(StoreReplied(CHANGES_CALL, WatchCompacted(40)))
        driver.list(table=b"1", t_b=b"live")
    timers = [item for item in driver.effects if isinstance(item, SetTimer)]
    assert SetTimer(LAPSE_TIMER, driver.now_ms + GRACE_MS) in timers
    if polled_after_ms is not None:
        driver.now_ms += polled_after_ms
        driver.fail()
    driver.now_ms = GRACE_MS
    assert driver.targets() == ["t/a", "t/b"]
    driver.feed(TimerFired(LAPSE_TIMER))
    assert driver.targets() == ["t/b"]


@pytest.mark.parametrize(("failed_ms", "targets"), [(100.0, []), (1199.0, []), (1201.0, ["t/a"])])
def test_a_short_failure_is_no_outage_in_which_entries_lapse(failed_ms, targets):
    """Guards against requests to a removed target: one failed call counted as an outage."""
    driver = Driver(lapse_outage_ms=1200.0)
    driver.start(table=b"1", t_a=b"live")
    driver.fail()
    driver.now_ms += failed_ms
    driver.change(("t/a", None))
    assert driver.targets() == targets


@pytest.mark.parametrize("is_missing_first", [False, True])
def test_a_malformed_entry_has_no_grace_period(is_missing_first):
    """Guards against requests to a target whose entry names none: it is there and did not lapse."""
    driver = Driver()
    driver.start(table=b"1", t_a=b"live")
    driver.fail()
    changes = [("t/a", None)] if is_missing_first else []
    driver.change(*changes, ("t/a", b"broken"))
    assert driver.targets() == []


def test_a_lapsed_target_that_registers_again_is_retained():
    driver = Driver()
    driver.start(table=b"1", t_a=b"live")
    driver.fail()
    driver.change(("t/a", None))
    driver.change(("t/a", b"live"), revision=12)
    driver.now_ms += 2 * GRACE_MS
    driver.change(revision=13)
    assert driver.targets() == ["t/a"]


def test_a_compacted_history_leads_to_a_new_list():
    """A deletion may be among the changes that the store no longer has."""
    driver = Driver()
    driver.start(table=b"1", t_a=b"live", t_b=b"live")
    driver.feed(TimerFired(POLL_TIMER))
    effects = driver.feed(StoreReplied(CHANGES_CALL, WatchCompacted(40)))
    assert effects == (ListKeys(LIST_CALL, ""),)
    driver.list(table=b"1", t_b=b"live")
    assert driver.targets() == ["t/b"]


@pytest.mark.parametrize("failures", [1, 4])
def test_an_outage_of_the_store_is_logged_once_and_backs_off(failures):
    driver = Driver()
    driver.start(table=b"1", t_a=b"live")
    delays_ms = []
    for _ in range(failures):
        (timer,) = [item for item in driver.fail() if isinstance(item, SetTimer)]
        delays_ms.append(timer.at_ms - driver.now_ms)
    driver.change()
    names = [item.name for item in driver.effects if isinstance(item, LogEvent)]
    assert names.count("store_lost") == names.count("store_regained") == 1
    assert delays_ms == [100.0, 200.0, 400.0, 800.0][:failures]


def test_polls_read_changes_after_the_applied_revision():
    driver = Driver()
    driver.start(table=b"1", t_a=b"live")
    assert driver.feed(TimerFired(POLL_TIMER)) == (WatchKeys(CHANGES_CALL, "", 10, 1.0),)


@pytest.mark.parametrize(
    ("events", "last"),
    [
        ([], GrantLease),
        ([(GRANT_CALL, LeaseGranted(7, 1.0))], PutLeased),
        ([(GRANT_CALL, LeaseGranted(7, 1.0)), (PUT_CALL, Swapped("k", 1))], SetTimer),
        ([(GRANT_CALL, LeaseGranted(7, 1.0)), (PUT_CALL, LeaseEnded())], GrantLease),
        ([(GRANT_CALL, LeaseGranted(7, 1.0)), (KEEP_CALL, LeaseEnded())], GrantLease),
        ([(GRANT_CALL, StoreLimited())], SetTimer),
        ([(GRANT_CALL, LOST)], SetTimer),
    ],
)
def test_an_instance_keeps_itself_registered(events, last):
    driver = Driver()
    effects = driver.feed(RegisteredInstance("me", "zone-a", "127.0.0.1", 2))
    for call_id, reply in events:
        effects = driver.feed(StoreReplied(call_id, reply))
    assert isinstance(effects[0], last)


@pytest.mark.parametrize(
    ("replies", "renewal"),
    [
        ([LeaseGranted(7, 1.0), Swapped("k", 1)], KeepLease(KEEP_CALL, 7)),
        ([LeaseGranted(7, 1.0), LOST], GrantLease(GRANT_CALL, 10_000.0)),
    ],
)
def test_a_registration_is_renewed_or_repeated(replies, renewal):
    driver = Driver()
    driver.feed(RegisteredInstance("me", "zone-a", "127.0.0.1", 2))
    for reply in replies:
        driver.feed(StoreReplied(GRANT_CALL, reply))
    assert driver.feed(TimerFired(LEASE_TIMER)) == (renewal,)


def test_registered_instances_are_published():
    driver = Driver()
    driver.start(table=b"1", i_b=b"x")
    (listed,) = driver.published(InstancesListed)
    assert [row.instance_id for row in listed.instances] == ["i/b"]
