"""Reading of HTTP/1.1 messages from asyncio streams."""

import asyncio
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or a response.

    Parameters
    ----------
    start : str
        Request line or status line.
    headers : dict of str to str
        Values by names in lower case.
    body : bytes
        The body.
    """

    start: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message with a content length; None if the peer has closed the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(lines[0], headers, body)
