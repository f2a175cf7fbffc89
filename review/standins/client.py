"""Stand-in of a client: one connection, one request at a time."""

import asyncio
from itertools import count

from standins.http import Message, read_message
from standins.record import Record

_NUMBERS = count(1)


def new_request_id() -> str:
    """Return an id for one client attempt."""
    return f"{next(_NUMBERS):016x}"


class Client:
    """A client with a kept connection to one node."""

    def __init__(self, name: str, address: tuple[str, int], record: Record) -> None:
        self.name = name
        self._address = address
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(
        self, method: str, host: str, path: str, deadline_ms: int, body: bytes = b""
    ) -> tuple[str, Message | None]:
        """Send a request; return its id and the answer, None if there is no complete one in time.

        The connection is kept, and opened again after an answer that ends it.
        """
        request_id = new_request_id()
        if method == "GET":
            body = b""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {host}",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {deadline_ms}",
        ]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self._record.write(f"{self.name} sent {method} {path} id={request_id}")
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(*self._address)
                assert self._reader is not None
                self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                answer = await read_message(self._reader)
        except (TimeoutError, OSError):
            answer = None
        if answer is None or answer.headers.get("connection", "").lower() == "close":
            self.close()
        shown = f"{answer.status}" if answer else "no answer"
        self._record.write(f"{self.name} got {shown} id={request_id}")
        return request_id, answer

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def retry_delay_s(answer: Message | None) -> float:
    """Return how long the client has to wait before its next request, by ``Retry-After``."""
    return float(answer.headers.get("retry-after", "0")) if answer else 0.0
