"""A back end drains while the machines cannot reach it, and is reachable again afterwards."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.backend import Backend  # noqa: E402
from standins.case import ROUTE_HOST, encode_config, has_trouble, make_route, run_case  # noqa: E402
from standins.client import Client, retry_delay_s  # noqa: E402
from standins.deployment import BOUNDS, Deployment  # noqa: E402
from standins.proxy import Proxy  # noqa: E402
from standins.record import Record  # noqa: E402
from standins.store import Store  # noqa: E402

PREFIX, ORDERS_PREFIX = "/lines/", "/orders/"
WORK_S = 0.09
CUT_AT_S, DRAIN_AT_S, HEAL_AT_S, EXIT_AT_S = 3.0, 13.0, 15.0, 25.0
END_AT_S = 26.0
PAUSE_S = 0.02
NODES = 4
READERS_PER_NODE, BUYERS_PER_NODE = 6, 2


async def play(record: Record) -> list[str]:
    store = Store()
    await store.start()
    routes = [
        make_route("lines", PREFIX, "pedidos", idempotent=True),
        make_route("orders", ORDERS_PREFIX, "pedidos", idempotent=False),
    ]
    store.put("op/config", encode_config(7, routes))
    backends = [
        Backend(f"i-{name}", "pedidos", zone, store, record, work_s=WORK_S)
        for name, zone in (("a", "sul-a"), ("b", "sul-b"), ("c", "sul-c"))
    ]
    leaving, proxy = backends[0], Proxy()
    await leaving.start(proxy.address)
    proxy.start(leaving.port)
    for backend in backends[1:]:
        await backend.start()
    deployment = Deployment([store.port], NODES, record)
    drained_at = healed_at = float("inf")
    orders: dict[str, int | None] = {}
    try:
        await deployment.start()
        started_at = time.monotonic()

        async def use(client: Client, method: str, prefix: str) -> None:
            number = 0
            while time.monotonic() < started_at + END_AT_S:
                number += 1
                path = f"{prefix}{client.name}/{number}"
                request_id, answer = await client.send(method, ROUTE_HOST, path, 6000, b"order")
                if method == "POST":
                    orders[request_id] = answer.status if answer else None
                await asyncio.sleep(PAUSE_S + retry_delay_s(answer))

        users = []
        for node in deployment.nodes:
            for number in range(READERS_PER_NODE):
                reader = Client(f"reader-{node.name}-{number}", node.front, record)
                users.append(use(reader, "GET", PREFIX))
            for number in range(BUYERS_PER_NODE):
                buyer = Client(f"buyer-{node.name}-{number}", node.front, record)
                users.append(use(buyer, "POST", ORDERS_PREFIX))

        async def sleep_until(at_s: float) -> None:
            await asyncio.sleep(started_at + at_s - time.monotonic())

        async def play_plan() -> None:
            nonlocal drained_at, healed_at
            await sleep_until(CUT_AT_S)
            if has_trouble():
                proxy.cut()
                record.write(f"the machines are cut off from {leaving.instance_id}")
            await sleep_until(DRAIN_AT_S)
            leaving.start_draining()
            drained_at = time.monotonic()
            record.write(f"the store has accepted that {leaving.instance_id} drains")
            await sleep_until(HEAL_AT_S)
            if has_trouble():
                proxy.heal()
                healed_at = time.monotonic()
                record.write("the cut has ended")
            await sleep_until(EXIT_AT_S)
            record.write(f"{leaving.instance_id} exits")
            await leaving.stop()

        await asyncio.gather(play_plan(), *users)
    finally:
        await deployment.end()
        proxy.close()
    # A request does not count if the path was cut in the last contact-ms before it.
    due_at = drained_at + BOUNDS["drain-ms"] / 1000
    if has_trouble():
        due_at = max(due_at, healed_at + BOUNDS["contact-ms"] / 1000)
    for at, request_id in leaving.runs:
        if at > due_at and request_id in orders and orders[request_id] != 200:
            record.write(f"order {request_id} ran there late and was lost: {orders[request_id]}")
    return [
        f"DRAIN: request {request_id} reached {leaving.instance_id} "
        f"{at - drained_at:.3f} s after the store had accepted that it drains"
        for at, request_id in leaving.runs
        if at > due_at
    ]


run_case(FOLDER, play)
