"""Back ends send bodies without end, in small chunks."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.backend import Backend  # noqa: E402
from standins.case import ROUTE_HOST, encode_config, has_trouble, make_route, run_case  # noqa: E402
from standins.client import Client, retry_delay_s  # noqa: E402
from standins.deployment import MEMORY_MB, Deployment, Node  # noqa: E402
from standins.http import Message  # noqa: E402
from standins.record import Record  # noqa: E402
from standins.store import Store  # noqa: E402

PREFIX = "/orders/"
ENDLESS_ONE_IN = 20  # answers of a faulty back end: a share of 0.05
CHUNK = b"2\r\nxx\r\n"
BLOCK = CHUNK * 4096
# The disruption lasts as long as `garble` on the days of the site, and comes again.
TROUBLE_S, EVERY_S = 5.0, 8.0
END_AT_S = 62.0
# The rule counts machines whose processes end by themselves so often; it needs two of them.
MAX_ENDS, MAX_MACHINES = 3, 2
PAUSE_S = 0.1
NODES = 2
CLIENTS_PER_NODE = 16
CHECK_INTERVAL_S = 0.1


async def play(record: Record) -> list[str]:
    store = Store()
    await store.start()
    route = make_route("orders", PREFIX, "pedidos", idempotent=False)
    store.put("op/config", encode_config(7, [route]))
    backends = [
        Backend(f"i-{name}", "pedidos", zone, store, record, work_s=0.05)
        for name, zone in (("a", "sul-a"), ("b", "sul-b"), ("c", "sul-c"), ("d", "sul-a"))
    ]

    started_at = float("inf")

    def is_in_trouble() -> bool:
        """Return whether the disruption lasts now."""
        since_s = record.now_s() - started_at
        return since_s >= 0 and since_s % EVERY_S < TROUBLE_S

    def make_endless(backend: Backend) -> None:
        answered = 0

        async def answer(writer: asyncio.StreamWriter, request: Message) -> None:
            nonlocal answered
            answered += 1
            if answered % ENDLESS_ONE_IN or not is_in_trouble():
                await backend.write_success(writer, request)
                return
            request_id = request.headers["request-id"]
            record.write(f"{backend.instance_id} begins a body without end id={request_id}")
            head = backend.encode(
                "200 OK", request, {"Response-Stamp": backend.make_digest(request)}
            ).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
            writer.write(head)
            sent = 0
            try:
                while is_in_trouble() and not writer.transport.is_closing():
                    writer.write(BLOCK)
                    sent += len(BLOCK)
                    await writer.drain()
                    await asyncio.sleep(0)
            except ConnectionError:
                pass
            writer.transport.abort()
            record.write(f"{backend.instance_id} has sent {sent} bytes id={request_id}")

        backend.answer = answer

    if has_trouble():
        make_endless(backends[0])
        make_endless(backends[1])
    for backend in backends:
        await backend.start()
    deployment = Deployment([store.port], NODES, record)
    ends: dict[str, list[str]] = {node.name: [] for node in deployment.nodes}
    unanswered = 0
    try:
        await deployment.start()
        started_at = record.now_s()
        ends_at = time.monotonic() + END_AT_S

        async def order(client: Client) -> None:
            nonlocal unanswered
            number = 0
            while time.monotonic() < ends_at:
                number += 1
                path = f"{PREFIX}{client.name}/{number}"
                request_id, answer = await client.send("POST", ROUTE_HOST, path, 6000, b"order")
                unanswered += answer is None
                await asyncio.sleep(PAUSE_S + retry_delay_s(answer))

        async def watch_memory(node: Node) -> None:
            """Kill a process that exceeds the memory of its machine, as the platform does."""
            highest_mb = 0.0
            while time.monotonic() < ends_at:
                used_mb = node.memory_mb()
                if used_mb > highest_mb + 20:
                    highest_mb = used_mb
                    record.write(f"{node.name} uses {used_mb:.0f} MB")
                if used_mb > MEMORY_MB:
                    text = f"{node.name} used {used_mb:.0f} MB of {MEMORY_MB} MB and was killed"
                    ends[node.name].append(text)
                    record.write(text)
                    node.signal(signal.SIGKILL)
                    await node.wait()
                    await node.start()
                    await node.wait_ready()
                    highest_mb = 0.0
                await asyncio.sleep(CHECK_INTERVAL_S)

        users = [
            order(Client(f"client-{node.name}-{number}", node.front, record))
            for node in deployment.nodes
            for number in range(CLIENTS_PER_NODE)
        ]
        await asyncio.gather(*users, *(watch_memory(node) for node in deployment.nodes))
    finally:
        await deployment.end()
    record.write(f"{unanswered} requests were not answered")
    machines = [name for name, texts in ends.items() if len(texts) >= MAX_ENDS]
    if len(machines) < MAX_MACHINES:
        return []
    return [f"Fault: {text}" for name in machines for text in ends[name]]


run_case(FOLDER, play)
