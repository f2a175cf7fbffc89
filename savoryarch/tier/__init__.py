"""The root decision of an entry instance, which routes each event to the components."""

from savoryarch.tier._decide import decide_tier
from savoryarch.tier._messages import COMPONENT_MESSAGES
from savoryarch.tier._state import TierSettings, TierState, make_tier_state

__all__ = ["COMPONENT_MESSAGES", "TierSettings", "TierState", "decide_tier", "make_tier_state"]
