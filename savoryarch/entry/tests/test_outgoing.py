"""The local address of an outgoing connection stays free for processes that listen on it."""

import os
import socket
import subprocess
import sys
from contextlib import closing
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[3]
# An address of this process alone: several connections may have the same local port.
HOST = f"127.{os.getpid() // 256 % 200 + 10}.{os.getpid() % 256}.2"
# Connects, writes its local port, and closes the connection when a byte arrives.
PROGRAM = """
import sys
from twisted.internet import reactor
from twisted.internet.protocol import ClientFactory, Protocol
from savoryarch.entry._outgoing import share_local_addresses

class Connection(Protocol):
    def connectionMade(self):
        print(self.transport.getHost().port, flush=True)

    def dataReceived(self, data):
        self.transport.loseConnection()

    def connectionLost(self, reason):
        print("closed", flush=True)

share_local_addresses(reactor)
reactor.connectTCP(
    sys.argv[1],
    int(sys.argv[2]),
    ClientFactory.forProtocol(Connection),
    bindAddress=(sys.argv[1], 0),
)
reactor.callLater(20.0, reactor.stop)
reactor.run()
"""


@pytest.mark.parametrize("closed_first", [False, True])
def test_the_local_address_of_a_connection_can_be_listened_on(closed_first):
    """Guards against an instance that cannot open its address for as long as a connection lasts.

    The end that closes a connection first keeps its address for a minute after it.
    """
    with closing(socket.create_server((HOST, 0))) as server:
        command = [sys.executable, "-c", PROGRAM, HOST, str(server.getsockname()[1])]
        process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
        try:
            connection, _ = server.accept()
            port = int(process.stdout.readline())
            if closed_first:
                connection.sendall(b"x")
                assert connection.recv(1) == b""
                connection.close()
                assert process.stdout.readline().strip() == "closed"
            with closing(socket.create_server((HOST, port))) as listener:
                assert listener.getsockname()[1] == port
            connection.close()
        finally:
            process.kill()
            process.wait()
            process.stdout.close()


# Connects by way of Twisted's HTTP client, and writes the number of threads.
THREADS_PROGRAM = """
import os, sys
from twisted.internet import reactor
from twisted.web.client import Agent
from savoryarch.entry._outgoing import resolve_literals_directly

resolve_literals_directly(reactor)

def finish(_):
    print(len(os.listdir("/proc/self/task")))
    reactor.stop()

Agent(reactor).request(b"GET", sys.argv[1].encode()).addBoth(finish)
reactor.callLater(20.0, reactor.stop)
reactor.run()
"""


@pytest.mark.parametrize(("host", "has_threads"), [("127.0.0.1", False), ("localhost", True)])
def test_a_connection_to_an_address_starts_no_thread(host, has_threads):
    """Guards against threads that run Python code beside the event loop; names need them."""
    command = [sys.executable, "-c", THREADS_PROGRAM, f"http://{host}:1/"]
    process = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=30.0)
    assert process.returncode == 0, process.stderr
    assert (int(process.stdout) > 1) == has_threads
