"""Answers that a client does not read at once do not keep their connection from ending."""

import pytest
from twisted.internet.abstract import FileDescriptor

from savoryarch.front._byte_sender import ByteSender


class StubReactor:
    """A reactor that records who waits to write."""

    def __init__(self):
        self.writers = set()
        self.addWriter, self.removeWriter = self.writers.add, self.writers.discard

    def removeReader(self, reader):
        pass


class Transport(FileDescriptor):
    """Sends `send_bytes` in each iteration of the loop."""

    def __init__(self, send_bytes):
        super().__init__(StubReactor())
        self.connected = True
        self.sent = b""
        self.ended = ""
        self._send_bytes = send_bytes

    def writeSomeData(self, data):
        self.sent += data[: self._send_bytes]
        return min(len(data), self._send_bytes)

    def _closeWriteConnection(self):
        self.ended = "half-closed"

    def _postLoseConnection(self):
        self.ended = "closed"

    def run(self):
        while not self.ended and self.reactor.writers:
            self.doWrite()


@pytest.mark.parametrize(
    ("end", "ended"), [("loseWriteConnection", "half-closed"), ("loseConnection", "closed")]
)
@pytest.mark.parametrize("send_bytes", [7, 1000, 100_000])
def test_a_connection_ends_when_its_answers_are_sent(end, ended, send_bytes):
    transport = Transport(send_bytes)
    sender = ByteSender(transport, lambda: None)
    sender.send(b"a" * 20_000)
    sender.send(b"b" * 20_000)
    getattr(transport, end)()
    transport.run()
    assert transport.ended == ended
    assert transport.sent == b"a" * 20_000 + b"b" * 20_000
    assert sender.unsent_bytes == 0
