"""Guards against a request that crashes more than two targets, and refusals of harmless requests.

Harmless requests are in flight on a target when another request crashes it, the connections of one
crash are lost one after another, and each peer observes only some of the crashes and replies.
"""

from dataclasses import replace

import pytest
from hypothesis import Phase, example, given, settings
from hypothesis import strategies as st

from savoryarch.model import BroadcastToPeers, Count
from savoryarch.quarantine import (
    Allowed,
    CrashReported,
    MustWait,
    Quarantined,
    QuarantineDeclared,
    QuarantineSettings,
    ReplyReported,
    active_quarantines,
    check_attempt,
    check_request,
    fingerprint_request,
    handle_quarantine_message,
    make_quarantine_state,
    record_attempt_ended,
    record_attempt_started,
    record_crash,
)

SETTINGS = QuarantineSettings(quarantine_ms=1000.0, suspicion_ms=500.0)


def apply_steps(steps, state=None, effects=None):
    """Apply steps such as ``100 start a/1 s t1 P``, ``105 crash t1`` or ``105 reply a/1 t1``.

    Each step is a time in milliseconds, a kind and its arguments. Services are ``s`` and ``r``,
    targets ``t1`` or ``u1``, and requests ``P`` (which crashes targets), ``Q`` and ``F1``. An
    attempt that is ``lost`` ends without a reply. A ``report`` of a crash, a reply that has
    ``cleared`` a request and a quarantine to ``declare`` are messages of a peer.
    """
    state = state or make_quarantine_state(SETTINGS)
    effects = [] if effects is None else effects
    for step in steps:
        at_ms, kind, *words = step.split()
        match kind:
            case "start":
                state = record_attempt_started(state, *words)
            case "reply" | "lost":
                decided = record_attempt_ended(state, *words, replied=kind == "reply")
                state = decided.state
                effects += decided.effects
            case "crash":
                decided = record_crash(state, *words, float(at_ms))
                state = decided.state
                effects += decided.effects
            case "report":
                message = CrashReported(words[0], words[1], tuple(words[2:]))
                state = handle_quarantine_message(state, message, float(at_ms)).state
            case "cleared":
                state = handle_quarantine_message(state, ReplyReported(*words), float(at_ms)).state
            case "declare":
                message = QuarantineDeclared(words[0], float(words[1]))
                state = handle_quarantine_message(state, message, float(at_ms)).state
    return state


CRASH_1 = ["0 start 1 s t1 P", "5 crash t1", "5 lost 1 t1"]
CRASH_2 = ["10 start 2 s t2 P", "15 crash t2", "15 lost 2 t2"]


@pytest.mark.parametrize(
    ("steps", "verdict"),
    [
        ([], Allowed()),
        (CRASH_1, MustWait()),
        ([*CRASH_1, *CRASH_2], Quarantined(1000.0)),
        # The same target crashes again after its restart.
        ([*CRASH_1, "300 start 2 s t1 P", "310 crash t1"], Quarantined(1000.0)),
        # One crash closes several connections.
        ([*CRASH_1, "6 start 2 s t1 P", "6 crash t1"], MustWait()),
        # A crash at another service counts separately.
        ([*CRASH_1, "10 start 2 r u1 P", "15 crash u1"], MustWait()),
        # A reply after the crash clears the request. After the next crash, it is a suspect again.
        ([*CRASH_1, "6 start 2 s t2 P", "9 reply 2 t2"], Allowed()),
        (
            [*CRASH_1, "6 start 2 s t2 P", "9 reply 2 t2", "9 start 3 s t3 P", "9 crash t3"],
            MustWait(),
        ),
        # A refusal or a timeout does not clear the request.
        ([*CRASH_1, "6 start 2 s t2 P", "9 lost 2 t2"], MustWait()),
        # Crashes, replies and quarantines that peers report count as well.
        (["5 report s t1 P", "15 report s t2 P"], Quarantined(1000.0)),
        (["5 report s t1 P", "15 report s t1 P"], MustWait()),
        (["5 report s t1 P", "9 cleared P s", "15 report s t2 P"], MustWait()),
        ([*CRASH_1, "15 report s t2 P"], Quarantined(1000.0)),
        (["20 declare P 300"], Quarantined(300.0)),
        (["20 declare P 90000"], Quarantined(1000.0)),
    ],
)
def test_crashes_and_replies_lead_to_the_verdict(steps, verdict):
    state = apply_steps(steps)
    now_ms = float(steps[-1].split()[0]) if steps else 0.0
    if isinstance(verdict, Quarantined):
        assert check_request(state, "P", now_ms) == verdict
    state = record_attempt_started(state, "z", "s", "t9", "P")
    assert check_attempt(state, "P", "s", "t9", now_ms) == verdict


@pytest.mark.parametrize(
    ("steps", "service", "target_id", "verdict"),
    [
        ([], "s", "t2", Allowed()),
        (["9 start 8 s t3 P"], "s", "t2", MustWait()),
        (["9 start 8 s t2 Q"], "s", "t2", MustWait()),
        (["9 start 8 s t3 Q"], "s", "t2", Allowed()),
        ([], "r", "u1", MustWait()),
    ],
)
def test_a_suspect_runs_alone_and_first_where_it_is_suspected(steps, service, target_id, verdict):
    state = apply_steps([*CRASH_1, *steps])
    assert check_attempt(state, "P", service, target_id, 10.0) == verdict


REPLY = ["0 start 0 s t9 P", "1 reply 0 t9"]


@pytest.mark.parametrize(
    ("steps", "verdict"),
    [
        ([*REPLY, *CRASH_1], Allowed()),
        ([*REPLY, *CRASH_1, *CRASH_2], MustWait()),
        ([*REPLY, *CRASH_1, *CRASH_2, "20 start 3 s t3 P", "25 crash t3"], Quarantined(1000.0)),
        # If a request that never got a reply is in flight too, only that one is blamed.
        ([*REPLY, "2 start 7 s t1 Q", *CRASH_1, "9 start 8 s t2 Q", *CRASH_2], Allowed()),
        # A reply from another service does not count.
        (["0 start 0 r u1 P", "1 reply 0 u1", *CRASH_1], MustWait()),
        # Connections that a target loses shortly after each other are one crash.
        (
            [*CRASH_1, "150 start 2 s t1 P", "150 crash t1", "150 lost 2 t1"]
            + ["300 start 3 s t1 P", "300 crash t1", "300 lost 3 t1"],
            MustWait(),
        ),
    ],
)
def test_replies_before_the_crash_and_repeated_losses(steps, verdict):
    state = apply_steps(steps)
    now_ms = float(steps[-1].split()[0])
    assert (
        check_attempt(record_attempt_started(state, "z", "s", "t9", "P"), "P", "s", "t9", now_ms)
        == verdict
    )


def test_recent_replies_are_bounded():
    state = make_quarantine_state(replace(SETTINGS, max_replied=5))
    for number in range(20):
        state = apply_steps([f"0 start 1 s t1 F{number}", "1 reply 1 t1"], state)
    assert sorted(state.recent_replies) == [(f"F{number}", "s") for number in range(15, 20)]
    assert len(state.recent_reply_order) == 5


@pytest.mark.parametrize(
    ("now_ms", "verdict"),
    [(1014.0, Quarantined(1.0)), (1015.0, Allowed()), (1600.0, Allowed())],
)
def test_a_quarantine_expires(now_ms, verdict):
    state = apply_steps([*CRASH_1, *CRASH_2])
    assert check_request(state, "P", now_ms) == verdict


def test_after_a_quarantine_one_crash_quarantines_the_request_again():
    state = apply_steps([*CRASH_1, *CRASH_2, "1100 start 3 s t3 P", "1105 crash t3"])
    assert check_request(state, "P", 1105.0) == Quarantined(1000.0)


def test_crashes_and_quarantine_are_reported_to_peers_once():
    effects = []
    state = apply_steps([*CRASH_1, *CRASH_2], effects=effects)
    assert effects[:2] == [
        BroadcastToPeers(CrashReported("s", "t1", ("P",))),
        Count("quarantine", "suspected"),
    ]
    assert effects[2] == BroadcastToPeers(CrashReported("s", "t2", ("P",)))
    assert effects[3] == BroadcastToPeers(QuarantineDeclared("P", 1000.0))
    assert active_quarantines(state, 20.0) == (QuarantineDeclared("P", 995.0),)


def test_only_the_suspect_is_blamed_for_a_crash():
    crash_of_both = ["10 start 3 s t2 Q", "10 start 2 s t2 P", "15 crash t2"]
    state = apply_steps([*CRASH_1, *crash_of_both])
    assert isinstance(check_request(state, "P", 16.0), Quarantined)
    assert "Q" not in state.records


def test_records_are_bounded_and_expire():
    state = make_quarantine_state(replace(SETTINGS, max_records=10))
    state = apply_steps([f"{n} report s t{n} F{n}" for n in range(100)], state)
    assert sorted(state.records) == [f"F{n}" for n in range(90, 100)]
    state = apply_steps(["5000 report s t F"], state)
    assert list(state.records) == ["F"]


@pytest.mark.parametrize(
    ("one", "other", "same"),
    [
        (("a", b"x"), ("a", b"x"), True),
        (("a", b"x"), ("b", b"x"), False),
        (("a", b"x"), ("a", b""), False),
    ],
)
def test_fingerprints_are_equal_only_for_the_same_name_and_body(one, other, same):
    assert (fingerprint_request(*one) == fingerprint_request(*other)) is same


LONG_QUARANTINE = QuarantineSettings(quarantine_ms=1e6, suspicion_ms=1e6)
HARMLESS = ("hot", "cold")  # requests that do not crash targets
NO_SHRINKING = (Phase.explicit, Phase.generate)  # Shrinking long histories takes minutes.
SENDS = st.lists(
    st.tuples(st.sampled_from(["P", *HARMLESS, "replies"]), st.integers(0, 1), st.integers(0, 2)),
    min_size=10,
    max_size=60,
)


def crash(states, target_id, now_ms):
    """Crash a target: each instance loses its attempts there and retries the harmless ones."""
    lost = [
        (instance, attempt.fingerprint)
        for instance in (0, 1)
        for attempt in states[instance].in_flight.get(target_id, {}).values()
    ]
    for instance in (0, 1):
        apply_decided(states, instance, record_crash(states[instance], target_id, now_ms), now_ms)
        end_all(states, instance, target_id, replied=False)
    for instance, name in lost:
        if name in HARMLESS:
            retry_target_id = "t9"
            states[instance] = record_attempt_started(
                states[instance], "retry", "s", retry_target_id, name
            )
            end_all(states, instance, retry_target_id, replied=True)


def apply_decided(states, instance, decided, now_ms):
    """Put a decided state in place, and deliver its messages to the other instance."""
    states[instance], peer = decided.state, 1 - instance
    for effect in decided.effects:
        if isinstance(effect, BroadcastToPeers):
            states[peer] = handle_quarantine_message(states[peer], effect.message, now_ms).state


def end_all(states, instance, target_id, *, replied):
    for attempt_id in sorted(states[instance].in_flight.get(target_id, {})):
        decided = record_attempt_ended(states[instance], attempt_id, target_id, replied=replied)
        apply_decided(states, instance, decided, 0.0)


def run_sends(sends):
    """Return the final states of two instances and the number of crashes.

    Each send is a request (or ``replies``, which ends all attempts of the instance with replies),
    an instance and a target. Only the request ``P`` crashes its target.
    """
    states, crashes = [make_quarantine_state(LONG_QUARANTINE)] * 2, 0
    for number, (name, instance, target) in enumerate(sends):
        now_ms, target_id = number * 300.0, f"t{target}"
        if name == "replies":
            for other in ("t0", "t1", "t2"):
                end_all(states, instance, other, replied=True)
        elif check_attempt(states[instance], name, "s", target_id, now_ms) == Allowed():
            states[instance] = record_attempt_started(
                states[instance], str(number), "s", target_id, name
            )
            if name == "P":
                crashes += 1
                crash(states, target_id, now_ms)
    return states, crashes


@given(SENDS)
@example([("hot", 1, 2), ("hot", 0, 1), ("P", 0, 1), ("P", 0, 2)])
@settings(derandomize=True, max_examples=400, deadline=None, phases=NO_SHRINKING)
def test_at_most_two_targets_crash_and_no_harmless_request_is_quarantined(sends):
    states, crashes = run_sends(sends)
    assert crashes <= 2
    verdicts = [check_request(state, name, 0.0) for state in states for name in HARMLESS]
    assert verdicts == [Allowed()] * 4
