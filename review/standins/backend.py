"""Stand-in of a back end, after the section on back ends in PROTOCOL.md."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable

from standins.http import Message, read_message
from standins.record import Record
from standins.store import Store

HEARTBEAT_S = 1.2


class Backend:
    """One lifetime of a back end; it runs requests and writes its entry to the store.

    Parameters
    ----------
    instance_id : str
        Its id.
    service : str
        Its service.
    zone : str
        Its zone.
    store : Store
        The store that its entry is written to.
    record : Record
        Gets a line for each request that arrives and each one that runs.
    work_s : float
        Time that a request takes.
    slots : int
        Requests that it processes concurrently.

    Attributes
    ----------
    runs : list of (float, str)
        Time on the steady clock and id of each request that it began to run.
    answer : callable
        Called with the connection and a request that has run; writes the answer.
    refuse : callable
        Called with the connection and a request before it runs; returns True if it has answered
        it without running it.
    """

    def __init__(
        self,
        instance_id: str,
        service: str,
        zone: str,
        store: Store,
        record: Record,
        *,
        work_s: float = 0.01,
        slots: int = 4,
    ) -> None:
        self.instance_id = instance_id
        self.service = service
        self.port = 0
        self.runs: list[tuple[float, str]] = []
        self.answer: Callable[[asyncio.StreamWriter, Message], Awaitable[None]] = self.write_success
        self.refuse: Callable[[asyncio.StreamWriter, Message], Awaitable[bool]] = self._accept
        self.state = "ready"
        self._zone = zone
        self._store = store
        self._record = record
        self._work_s = work_s
        self._slots = slots
        self._free_slots = asyncio.Semaphore(slots)
        self._sequence = 0
        self._born_ms = int(time.time() * 1000)
        self._address = ""
        self._heartbeat: asyncio.Task | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str = "") -> None:
        """Listen on a free loopback port and register.

        Parameters
        ----------
        address : str
            Address to register, if callers reach the back end through a proxy.
        """
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._address = address or f"127.0.0.1:{self.port}"
        self._heartbeat = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def register(self) -> None:
        """Write the entry."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self._address,
            "zone": self._zone,
            "version": "v1",
            "slots": self._slots,
            "state": self.state,
            "cold-left-ms": 0,
            "sequence": self._sequence,
            "born": self._born_ms,
        }
        self._store.put(f"servers/{self.instance_id}", json.dumps(entry).encode())

    def start_draining(self) -> None:
        """Report that it drains."""
        self.state = "draining"
        self.register()

    def remove_entry(self) -> None:
        """Remove the entry without a report before, and go on serving."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        self._store.delete(f"servers/{self.instance_id}")

    async def stop(self) -> None:
        """Exit: the connections are closed."""
        self.remove_entry()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                await self._handle(writer, request)
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, writer: asyncio.StreamWriter, request: Message) -> None:
        request_id = request.headers.get("request-id", "")
        if request.headers.get("expect-instance", self.instance_id) != self.instance_id:
            await self._write(writer, "421 Misdirected Request", request, {"Not-Executed": "1"})
            return
        if await self.refuse(writer, request):
            return
        async with self._free_slots:
            self.runs.append((time.monotonic(), request_id))
            self._record.write(f"{self.instance_id} runs {request.start} id={request_id}")
            await asyncio.sleep(self._work_s)
        await self.answer(writer, request)

    async def _accept(self, writer: asyncio.StreamWriter, request: Message) -> bool:
        return False

    async def write_success(self, writer: asyncio.StreamWriter, request: Message) -> None:
        """Write a success with a digest."""
        await self._write(
            writer, "200 OK", request, {"Response-Stamp": self.make_digest(request)}, b"done\n"
        )

    async def write_failure(self, writer: asyncio.StreamWriter, request: Message) -> None:
        """Write the back end's own failure of a request that has run."""
        digest = self.make_digest(request)
        headers = {"Response-Stamp": digest}
        await self._write(writer, "500 Internal Server Error", request, headers, b"failed\n")

    async def write_refusal(self, writer: asyncio.StreamWriter, request: Message) -> None:
        """Write that the request was not run, because the back end is full."""
        await self._write(writer, "503 Service Unavailable", request, {"Not-Executed": "1"})

    def make_digest(self, request: Message) -> str:
        """Return the digest of the response to a request."""
        return f"{self.instance_id}.{request.headers.get('request-id', '')}"

    async def _write(
        self,
        writer: asyncio.StreamWriter,
        status: str,
        request: Message,
        headers: dict[str, str],
        body: bytes = b"",
    ) -> None:
        writer.write(self.encode(status, request, headers, body))
        await writer.drain()

    def encode(
        self, status: str, request: Message, headers: dict[str, str], body: bytes = b""
    ) -> bytes:
        """Return the bytes of an answer, with the request's id."""
        fields = {"Request-Id": request.headers.get("request-id", ""), **headers}
        fields["Content-Length"] = str(len(body))
        fields["Keep-Alive"] = "timeout=15"
        lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in fields.items())]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
