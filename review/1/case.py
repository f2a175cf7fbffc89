"""A back end sends the first bytes of a further answer after a complete one."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.backend import Backend  # noqa: E402
from standins.case import ROUTE_HOST, encode_config, has_trouble, make_route, run_case  # noqa: E402
from standins.client import Client, retry_delay_s  # noqa: E402
from standins.deployment import Deployment  # noqa: E402
from standins.http import Message  # noqa: E402
from standins.record import Record  # noqa: E402
from standins.store import Store  # noqa: E402

PREFIX = "/orders/"
SPOILED_ONE_IN = 25  # answers of the faulty back end: a share of 0.04
# The beginning of the answer that a full back end gives; it breaks off after the first header.
ADDITIONAL_BYTES = b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1"
TROUBLE_S = 5.0  # the longest time of `garble` on the days of the site
ROUNDS = 60
PAUSE_S = 0.1
NODES = 2
CLIENTS_PER_NODE = 3


async def play(record: Record) -> list[str]:
    store = Store()
    await store.start()
    route = make_route("orders", PREFIX, "pedidos", idempotent=False)
    store.put("op/config", encode_config(7, [route]))
    backends = [
        Backend(f"i-{name}", "pedidos", zone, store, record)
        for name, zone in (("a", "sul-a"), ("b", "sul-b"))
    ]
    faulty, answered, started_at = backends[0], 0, float("inf")

    async def answer_and_add(writer: asyncio.StreamWriter, request: Message) -> None:
        nonlocal answered
        answered += 1
        await faulty.write_success(writer, request)
        if answered % SPOILED_ONE_IN == 0 and record.now_s() < started_at + TROUBLE_S:
            record.write(f"{faulty.instance_id} adds {ADDITIONAL_BYTES!r} after its answer")
            writer.write(ADDITIONAL_BYTES)
            await writer.drain()

    if has_trouble():
        faulty.answer = answer_and_add
    for backend in backends:
        await backend.start()
    deployment = Deployment([store.port], NODES, record)
    answers: dict[str, Message | None] = {}
    try:
        await deployment.start()
        started_at = record.now_s()
        clients = [
            Client(f"client-{node.name}-{number}", node.front, record)
            for node in deployment.nodes
            for number in range(CLIENTS_PER_NODE)
        ]

        async def order(client: Client) -> None:
            for number in range(ROUNDS):
                path = f"{PREFIX}{client.name}/{number}"
                request_id, answer = await client.send("POST", ROUTE_HOST, path, 6000, b"order")
                answers[request_id] = answer
                await asyncio.sleep(PAUSE_S + retry_delay_s(answer))

        await asyncio.gather(*(order(client) for client in clients))
    finally:
        await deployment.end()
    runs = Counter(request_id for backend in backends for _, request_id in backend.runs)
    record.write(f"{len(answers)} requests sent, {sum(runs.values())} runs")
    return [
        f"TWICE: request {request_id} ran {count} times; its client got "
        f"{getattr(answers.get(request_id), 'status', 'no answer')}"
        for request_id, count in runs.items()
        if count > 1
    ]


run_case(FOLDER, play)
