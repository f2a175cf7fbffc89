"""Settings of the quarantine."""

from dataclasses import dataclass

from savoryarch.utils import Number, setting


@dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """Settings of the quarantine."""

    crashes: int = setting(
        Number(1, 100, whole=True),
        "Crashes at one service, beyond replies, after which a request is refused.",
        2,
    )
    same_crash_ms: float = setting(
        Number(0, 60_000), "Losses of a target this close together are one crash.", 200.0
    )
    suspicion_ms: float = setting(
        Number(0, 86_400_000), "How long a request is remembered as a suspect.", 60_000.0
    )
    quarantine_ms: float = setting(
        Number(0, 86_400_000), "How long a request is refused.", 600_000.0
    )
    max_replied: int = setting(
        Number(1, 1_000_000, whole=True), "Requests remembered for having got a reply.", 2000
    )
    max_records: int = setting(
        Number(1, 1_000_000, whole=True), "Suspects and quarantined requests remembered.", 2000
    )
