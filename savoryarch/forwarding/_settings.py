"""Settings of forwarded requests."""

from dataclasses import dataclass

from savoryarch.utils import Number, Switch, setting


@dataclass(frozen=True, slots=True)
class ForwardingSettings:
    """Settings of forwarded requests."""

    enabled: bool = setting(Switch(), "Whether this instance forwards requests.", False)
    extra_ratio: float = setting(
        Number(0.0, 10.0), "Extra requests that a service may get per request for it.", 0.2
    )
    extra_requests: float = setting(
        Number(0.0, 100_000.0), "Extra requests per window and service, of all instances.", 40.0
    )
    extra_window_ms: float = setting(
        Number(100.0, 600_000.0), "Window over which extra requests are counted.", 10_000.0
    )
    travel_ms: float = setting(
        Number(0.0, 10_000.0), "Time that a request and its answer travel to the client.", 14.0
    )
    deadline_margin_ms: float = setting(
        Number(0.0, 10_000.0), "Time before a client's deadline at which it is answered.", 10.0
    )
    hedge_ratio: float = setting(
        Number(0.01, 1.0),
        "Share of the objective after which a piece is hedged at the latest.",
        0.35,
    )
    overload_ratio: float = setting(
        Number(0.5, 1000.0), "Requests in flight per slot of this instance's share, at most.", 4.0
    )
    wait_ratio: float = setting(
        Number(0.01, 1.0), "Share of the objective that a request waits for room at most.", 0.25
    )
