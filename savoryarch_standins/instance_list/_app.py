"""The HTTP application of the instance list."""

from typing import Any

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.http import Request


class ListedRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One listed instance, as in ``docs/PLATFORM.md``."""

    instance_id: str
    role: str
    availability_zone: str
    host: str
    port: int
    state: str = "live"


class ListSwitches(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a test may switch; absent fields stay as they are.

    Parameters
    ----------
    rows : tuple of Row, optional
        The instances from now on.
    lag_ms : float, optional
        Time until a change of the rows is seen.
    stale : bool, optional
        Whether changes of the rows are never seen.
    empty : bool, optional
        Whether the list is empty.
    outage : bool, optional
        Whether the list replies 503.
    frozen : bool, optional
        Whether the list never replies.
    """

    rows: tuple[ListedRow, ...] | None = None
    lag_ms: float | None = None
    stale: bool | None = None
    empty: bool | None = None
    outage: bool | None = None
    frozen: bool | None = None


MS_PER_S = 1000.0


class InstanceList:
    """The list and its switches.

    Parameters
    ----------
    reactor : object
        Keeps the time of the lag.
    """

    app = Klein()

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._switches = ListSwitches((), 0.0, False, False, False, False)
        self._visible_rows: tuple[ListedRow, ...] = ()

    @app.route("/v1/instances", methods=["GET"])
    def list_instances(self, request: Request) -> bytes | Deferred:
        """Reply with the rows as far as they are seen."""
        if self._switches.frozen:
            return Deferred()
        if self._switches.outage:
            request.setResponseCode(503)
            return b'{"reason": "outage"}'
        request.setHeader("content-type", "application/json")
        rows = () if self._switches.empty else self._visible_rows
        return msgspec.json.encode({"instances": rows})

    @app.route("/switches", methods=["POST"])
    def set_switches(self, request: Any) -> bytes:
        """Set the switches that the body names."""
        try:
            requested = msgspec.json.decode(request.content.read(), type=ListSwitches)
        except msgspec.MsgspecError as error:
            request.setResponseCode(422)
            return msgspec.json.encode({"reason": str(error)})
        changes = {
            name: value
            for name, value in msgspec.structs.asdict(requested).items()
            if value is not None
        }
        self._switches = msgspec.structs.replace(self._switches, **changes)
        rows, lag_ms = self._switches.rows or (), self._switches.lag_ms or 0.0
        if lag_ms:
            self._reactor.callLater(lag_ms / MS_PER_S, self._make_visible, rows)
        else:
            self._make_visible(rows)
        return b"{}"

    def _make_visible(self, rows: tuple[ListedRow, ...]) -> None:
        if not self._switches.stale:
            self._visible_rows = rows
