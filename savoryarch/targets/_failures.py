"""The share of recent attempts that a target refused or failed."""

from savoryarch.targets._settings import TargetsSettings
from savoryarch.targets._state import TargetUsage
from savoryarch.utils import replace

FAILURE_WEIGHT = 0.15  # weight of one attempt in the moving share of failed attempts
FAILURE_COST_RATIO = 8.0  # cost of a certain failure, in median latencies


def recent_failure_share(usage: TargetUsage, settings: TargetsSettings, now_ms: float) -> float:
    """Return the share of recent attempts that failed; it decays by its half-life."""
    if usage.failure_share == 0.0:
        return 0.0
    age_ms = max(0.0, now_ms - usage.last_failed_at_ms)
    return float(usage.failure_share * 0.5 ** (age_ms / settings.failing_half_life_ms))


def add_failure(usage: TargetUsage, settings: TargetsSettings, now_ms: float) -> TargetUsage:
    """Return the usage after one more attempt that the target refused or failed."""
    share = recent_failure_share(usage, settings, now_ms)
    share += FAILURE_WEIGHT * (1.0 - share)
    return replace(usage, failure_share=share, last_failed_at_ms=now_ms)
