"""Settings of the store client."""

from dataclasses import dataclass

from savoryarch.utils import URL, Number, setting


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Settings of the store client.

    Parameters
    ----------
    url : str
        Base URL of the store.
    timeout_ms : float
        Time after which a call without a reply counts as failed. For a watch, the time for which
        the store may hold the reply back is added.
    connections : int
        Maximum number of idle connections that are kept open.
    """

    url: str = setting(URL, "Base URL of the platform's store.", "http://127.0.0.1:7000")
    timeout_ms: float = setting(
        Number(10.0, 60_000.0), "Time after which a call on the store counts as failed.", 1000.0
    )
    connections: int = setting(
        Number(1, 100, integer=True), "Idle connections to the store that are kept.", 8
    )
