"""Settings of forwarded requests."""

from dataclasses import dataclass

from savoryarch.utils import Boolean, Number, setting


@dataclass(frozen=True, slots=True)
class ForwardingSettings:
    """Settings of forwarded requests."""

    enabled: bool = setting(Boolean(), "Whether this instance forwards requests.", False)
    extra_ratio: float = setting(
        Number(0.0, 10.0), "Extra attempts that a service may get per request for it.", 0.2
    )
    extra_requests: float = setting(
        Number(0.0, 100_000.0),
        "Extra attempts per window and service, of all instances together.",
        40.0,
    )
    extra_window_ms: float = setting(
        Number(100.0, 600_000.0), "Window over which extra attempts are counted.", 10_000.0
    )
    travel_ms: float = setting(
        Number(0.0, 10_000.0),
        "Time that a request and its answer need on the network to the client.",
        14.0,
    )
    deadline_margin_ms: float = setting(
        Number(0.0, 10_000.0),
        "Time before the client's deadline at which the request is answered.",
        10.0,
    )
    hedge_ratio: float = setting(
        Number(0.01, 1.0),
        "Share of the latency objective after which a sub-request is hedged at the latest.",
        0.35,
    )
    overload_ratio: float = setting(
        Number(0.5, 1000.0), "Maximum of requests in flight per slot of this instance's share.", 4.0
    )
    wait_ratio: float = setting(
        Number(0.01, 1.0),
        "Maximum share of the latency objective that a request waits for capacity.",
        0.25,
    )
