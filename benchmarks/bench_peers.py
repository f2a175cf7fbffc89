"""CPU time of a message between peers, and threads, files and memory of the peer transport.

Run with ``python -m benchmarks.bench_peers [--messages N]``. Each measurement has its own reactor;
the peer that connections are opened to runs in a child process.
"""

import argparse
import json
import resource
import statistics
import subprocess
import sys
import time
from pathlib import Path

from twisted.internet.epollreactor import EPollReactor

from savoryarch import model
from savoryarch.codec import make_message_codec
from savoryarch.model import ComponentDigest, MemberStatus, MemberUpdate, Ping
from savoryarch.peers import PeerTransport

WINDOW_MESSAGES = 32  # in flight at the same time
MESSAGES_PER_S = 10.0  # control messages of all components that an instance sends and receives
MAX_CORE_SHARE = 0.015
MAX_CONTROL_MEMORY_KB = 32 * 1024
NEIGHBOURS = 10  # peers that an instance is connected to
CONNECT_POLL_S = 0.05
SENDER = MemberUpdate("entry-1", "zone-a", "127.0.0.1", 7000, 1790000000000, 1, MemberStatus.LIVE)
PING = Ping(1, SENDER, (SENDER,), (ComponentDigest("configuration", 7, "0123456789abcdef"),))

PEER_PROCESS = """
import sys
from benchmarks.bench_peers import make_transport
from twisted.internet.epollreactor import EPollReactor
reactor = EPollReactor()
transport = make_transport(reactor, "peer", lambda peer_id, message: None)
print(transport.port, flush=True)
reactor.run()
"""


def make_transport(reactor, instance_id, receive):
    codec = make_message_codec(model)
    return PeerTransport(
        reactor, "127.0.0.1", 0, instance_id, 1, receive, codec.encode_frame, codec.decode_frame
    )


def measure_message_us(messages, seed):
    """Return the CPU time per message in us: encode, send, receive and decode, in one process."""
    reactor = EPollReactor()
    received = []
    receiver = make_transport(reactor, f"first-{seed}", lambda peer_id, message: received.append(1))
    sender = make_transport(reactor, f"second-{seed}", lambda peer_id, message: None)
    sender.set_peer_address(f"first-{seed}", "127.0.0.1", receiver.port)
    sender.send(f"first-{seed}", PING)
    while not received:
        reactor.iterate(1.0)
    started_s = time.process_time()
    for _ in range(messages // WINDOW_MESSAGES):
        expected_count = len(received) + WINDOW_MESSAGES
        for _ in range(WINDOW_MESSAGES):
            sender.send(f"first-{seed}", PING)
        while len(received) < expected_count:
            reactor.iterate(1.0)
    cpu_s = time.process_time() - started_s
    receiver.close()
    sender.close()
    return cpu_s / messages * 1e6


def read_process_status():
    """Return the resident memory in KB, the threads and the open files of this process."""
    status = dict(line.split(":", 1) for line in Path("/proc/self/status").read_text().splitlines())
    files = len(list(Path("/proc/self/fd").iterdir()))
    return int(status["VmRSS"].split()[0]), int(status["Threads"]), files


def measure_first_transport():
    """Return the memory in KB, threads and files that the first transport of a process adds."""
    before = read_process_status()
    transport = make_transport(EPollReactor(), "first", lambda peer_id, message: None)
    after = read_process_status()
    transport.close()
    return tuple(new - old for new, old in zip(after, before, strict=True))


def measure_connections(counts):
    """Open connections to one peer process and measure at each of the counts.

    Returns
    -------
    list of (int, int, int, int)
        Connections, and the memory in KB, threads and files that this process has added by then.
    """
    child = subprocess.Popen([sys.executable, "-c", PEER_PROCESS], stdout=subprocess.PIPE)
    try:
        port = int(child.stdout.readline())
        reactor = EPollReactor()
        before = read_process_status()
        transport = make_transport(reactor, "first", lambda peer_id, message: None)
        rows = [(0, *(new - old for new, old in zip(read_process_status(), before, strict=True)))]
        opened = 0
        for count in counts:
            for number in range(opened, count):
                transport.set_peer_address(f"peer-{number}", "127.0.0.1", port)
                transport.send(f"peer-{number}", PING)
                reactor.iterate(0)
            opened = count
            # A socket has a pipe as soon as its connection is open.
            while not all(socket.pipes for socket in transport._sockets.values()):
                reactor.iterate(CONNECT_POLL_S)
            added = (new - old for new, old in zip(read_process_status(), before, strict=True))
            rows.append((count, *added))
        transport.close()
        return rows
    finally:
        child.kill()
        child.wait()
        child.stdout.close()


def make_goal(name, measured, bound, unit, baseline=None):
    return {
        "name": name,
        "measured": round(measured, 5),
        "bound": bound,
        "unit": unit,
        "holds": measured <= bound,
        "baseline": baseline,
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--messages", type=int, default=20_000)
    arguments = parser.parse_args()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    print(f"open files allowed: {soft} of {hard}")
    memory_kb, threads, _ = measure_first_transport()
    print(f"first transport of a process: {memory_kb} KB, {threads} threads of nng")
    costs = [measure_message_us(arguments.messages, seed) for seed in range(3)]
    print("CPU us per message, sent and received in one process:", [round(c, 1) for c in costs])
    rows = measure_connections((NEIGHBOURS, 100, 300))
    print("connections  memory KB  threads  files")
    for row in rows:
        print("{:11}  {:9}  {:7}  {:5}".format(*row))
    # From the 10 connections of row 1 to the 300 of the last row.
    per_connection_kb = (rows[-1][1] - rows[1][1]) / (rows[-1][0] - rows[1][0])
    print(f"memory per further connection: {per_connection_kb:.1f} KB")
    cost_us = statistics.median(costs)
    goals = [
        make_goal(
            "core share of 10 messages/s", cost_us * MESSAGES_PER_S / 1e6, MAX_CORE_SHARE, "cores"
        ),
        make_goal(
            "memory of the transport, 10 peers", memory_kb + rows[1][1], MAX_CONTROL_MEMORY_KB, "KB"
        ),
        make_goal("memory per connection", per_connection_kb, 50.0, "KB"),
    ]
    slopes = {
        "peer_us": round(cost_us, 1),
        "peer_connection_kb": round(per_connection_kb, 1),
        "transport_kb": memory_kb,
    }
    print(json.dumps({"goals": goals, "slopes": slopes}))


if __name__ == "__main__":
    main()
