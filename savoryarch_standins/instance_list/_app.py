"""HTTP interface of the instance list."""

from typing import Any

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.http import Request


class ListedRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A listed instance, in the format of ``docs/PLATFORM.md``."""

    instance_id: str
    role: str
    availability_zone: str
    host: str
    port: int
    state: str = "live"


class ListSwitches(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Switches that a test can set; fields that are None keep their value.

    Parameters
    ----------
    rows : tuple of ListedRow, optional
        Instances to list.
    lag_ms : float, optional
        Delay until a change of the rows is shown.
    stale : bool, optional
        Whether changes of the rows are never shown.
    empty : bool, optional
        Whether the list is shown without rows.
    outage : bool, optional
        Whether requests get status 503.
    frozen : bool, optional
        Whether requests get no reply.
    """

    rows: tuple[ListedRow, ...] | None = None
    lag_ms: float | None = None
    stale: bool | None = None
    empty: bool | None = None
    outage: bool | None = None
    frozen: bool | None = None


MS_PER_S = 1000.0


class InstanceList:
    """The instance list, with a delay and faults that tests switch on.

    Parameters
    ----------
    reactor : object
        Runs the delay until changes are shown.
    """

    app = Klein()

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._switches = ListSwitches((), 0.0, False, False, False, False)
        self._visible_rows: tuple[ListedRow, ...] = ()

    @app.route("/v1/instances", methods=["GET"])
    def list_instances(self, request: Request) -> bytes | Deferred:
        """Return the rows that are shown at present, subject to the faults."""
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
        """Set the switches that the body names; 422 if it is invalid."""
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
