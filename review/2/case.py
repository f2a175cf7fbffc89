"""A second copy of a refusal arrives late, when the same request has been sent again."""

import asyncio
import sys
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
REFUSED_ONE_IN = 25  # arrivals at the faulty back end: a share of 0.04
TROUBLE_S = 5.0  # the longest time of `garble` on the days of the site
ROUNDS = 50
PAUSE_S = 0.1
NODES = 4


async def play(record: Record) -> list[str]:
    store = Store()
    await store.start()
    route = make_route("orders", PREFIX, "pedidos", idempotent=False)
    store.put("op/config", encode_config(7, [route]))
    faulty = Backend("i-a", "pedidos", "sul-a", store, record)
    full = Backend("i-b", "pedidos", "sul-b", store, record)
    extra_answers: dict[asyncio.StreamWriter, bytes] = {}
    arrivals, started_at = 0, float("inf")

    async def refuse_as_full(writer: asyncio.StreamWriter, request: Message) -> bool:
        record.write(f"{full.instance_id} is full id={request.headers['request-id']}")
        await full.write_refusal(writer, request)
        return True

    async def refuse_some(writer: asyncio.StreamWriter, request: Message) -> bool:
        nonlocal arrivals
        arrivals += 1
        extra = extra_answers.pop(writer, b"")
        if extra:
            record.write(f"{faulty.instance_id} sends the second copy of its refusal")
            writer.write(extra)
            await writer.drain()
        if arrivals % REFUSED_ONE_IN:
            return False
        record.write(f"{faulty.instance_id} is full id={request.headers['request-id']}")
        await faulty.write_refusal(writer, request)
        if has_trouble() and record.now_s() < started_at + TROUBLE_S:
            extra_answers[writer] = faulty.encode(
                "503 Service Unavailable", request, {"Not-Executed": "1"}
            )
        return True

    faulty.refuse, full.refuse = refuse_some, refuse_as_full
    await faulty.start()
    await full.start()
    deployment = Deployment([store.port], NODES, record)
    answers: dict[str, Message | None] = {}
    try:
        await deployment.start()
        started_at = record.now_s()
        clients = [Client(f"client-{node.name}", node.front, record) for node in deployment.nodes]

        async def order(client: Client) -> None:
            for number in range(ROUNDS):
                path = f"{PREFIX}{client.name}/{number}"
                request_id, answer = await client.send("POST", ROUTE_HOST, path, 6000, b"order")
                answers[request_id] = answer
                await asyncio.sleep(PAUSE_S + retry_delay_s(answer))

        await asyncio.gather(*(order(client) for client in clients))
    finally:
        await deployment.end()
    ran = {request_id for backend in (faulty, full) for _, request_id in backend.runs}
    record.write(f"{len(answers)} requests sent, {len(ran)} ran")
    return [
        f"REFUSED: request {request_id} was answered {answer.status} and has run"
        for request_id, answer in answers.items()
        if answer is not None and answer.status in (408, 421, 429, 503) and request_id in ran
    ]


run_case(FOLDER, play)
