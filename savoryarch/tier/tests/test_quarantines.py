"""Tests that searches and forwarded requests count reported crashes separately."""

import pytest

from savoryarch.configuration import ConfigurationSettings
from savoryarch.forwarding import ForwardingSettings
from savoryarch.model import BroadcastToPeers, PeerMessageReceived
from savoryarch.quarantine import CrashReported, QuarantineDeclared
from savoryarch.resources import RECORD_CODEC
from savoryarch.targets import TargetsSettings
from savoryarch.tier import TierSettings, decide_tier, make_tier_state


def make_state(forwards):
    settings = TierSettings(
        "entry-1",
        "zone-a",
        1,
        TargetsSettings("zone-a"),
        forwarding=ForwardingSettings(enabled=forwards),
        configuration=ConfigurationSettings(),
    )
    return make_tier_state(settings, RECORD_CODEC)


@pytest.mark.parametrize(
    ("forwards", "counting", "other"),
    [(False, "search", "forwarding"), (True, "forwarding", "search")],
)
def test_crash_report_is_counted_by_the_component_that_sends_requests(forwards, counting, other):
    state = make_state(forwards)
    declared = 0
    for number in range(2):
        report = CrashReported("shard-1", f"target-{number}", ("fingerprint",))
        decided = decide_tier(state, PeerMessageReceived("entry-2", report), 1000.0 * number)
        state = decided.state
        declared += sum(
            isinstance(effect, BroadcastToPeers) and isinstance(effect.message, QuarantineDeclared)
            for effect in decided.effects
        )
    assert declared == 1
    assert "fingerprint" in getattr(state, counting).quarantine.records
    assert "fingerprint" not in getattr(state, other).quarantine.records
