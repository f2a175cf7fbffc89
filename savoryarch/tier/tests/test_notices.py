import pytest

from savoryarch.configuration import apply_changes
from savoryarch.model import (
    Declarations,
    DeclarationsInForce,
    PutResource,
    Service,
    SetTimer,
    Started,
    Target,
    TargetEvidence,
    TargetEvidenceReceived,
    TimerFired,
)
from savoryarch.notices import OBSERVE_TIMER, list_notices
from savoryarch.resources import RECORD_CODEC
from savoryarch.settings import parse_settings
from savoryarch.tier import TierSettings, decide_tier, make_tier_state

SETTINGS_TEXT = "[instance]\ninstance_id = entry-1\navailability_zone = zone-a\n"
TARGET = Target("balcao-01-a", "balcao-01", "zone-a", "127.0.0.1", 7001)
SERVICE = Service("balcao-01", "balcao", 2, 25, (TARGET,))
HOUR_MS = 3_600_000.0


def make_state():
    parsed, _ = parse_settings(SETTINGS_TEXT, "instance.ini")
    settings = TierSettings(
        instance_id="entry-1",
        availability_zone="zone-a",
        incarnation=1,
        targets=parsed.targets,
        search=parsed.search,
        shutdown=parsed.shutdown,
    )
    return make_tier_state(settings, RECORD_CODEC)


@pytest.mark.parametrize(
    ("evidence", "notices"),
    [
        (TargetEvidence.CONNECTED, []),
        (TargetEvidence.CONNECTION_REFUSED, ["service-down/balcao-01"]),
    ],
)
def test_state_of_targets_opens_notices(evidence, notices):
    declarations = apply_changes(Declarations(generation=1), (PutResource(SERVICE),))
    events = [
        (0.0, Started("entry-1", "zone-a", 1)),
        (1.0, DeclarationsInForce(declarations)),
        (2.0, TargetEvidenceReceived(TARGET.target_id, evidence)),
        (5_000.0, TimerFired(OBSERVE_TIMER)),
        (HOUR_MS, TimerFired(OBSERVE_TIMER)),
    ]
    state = make_state()
    for at_ms, event in events:
        decided = decide_tier(state, event, at_ms)
        state = decided.state
    assert [item.notice.notice_id for item in list_notices(state.notices)] == notices
    assert SetTimer(OBSERVE_TIMER, HOUR_MS + 5_000.0) in decided.effects
