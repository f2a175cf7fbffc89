"""A watch of the store is cut just after the entry of a back end has been removed."""

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
from standins.record import Record  # noqa: E402
from standins.store import Store  # noqa: E402

PREFIX, ORDERS_PREFIX = "/lines/", "/orders/"
WORK_S = 0.09
LEAVE_AT_S, EXIT_AFTER_S = 6.0, 3.5
END_AT_S = 13.0
PAUSE_S = 0.02
NODES = 4
READERS_PER_NODE, BUYERS_PER_NODE = 1, 3


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
    leaving = backends[0]
    for backend in backends:
        await backend.start()
    # A port of the store per process shows it which process a call is from.
    ports = [store.port, *[await store.open_port() for _ in range(NODES - 1)]]
    deployment = Deployment(ports, NODES, record)
    removed_at = float("inf")
    orders: dict[str, int | None] = {}
    cut_ports: set[int] = set()

    def cut_once(port: int) -> bool:
        """Cut the first watch of each process after the removal."""
        if time.monotonic() < removed_at or port in cut_ports:
            return False
        cut_ports.add(port)
        record.write("the store cuts a watch")
        return True

    try:
        await deployment.start()
        if has_trouble():
            store.cut_watch = cut_once
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

        async def play_plan() -> None:
            nonlocal removed_at
            await asyncio.sleep(started_at + LEAVE_AT_S - time.monotonic())
            leaving.remove_entry()
            removed_at = time.monotonic()
            record.write(f"the store has removed the entry of {leaving.instance_id}")
            await asyncio.sleep(EXIT_AFTER_S)
            record.write(f"{leaving.instance_id} exits")
            await leaving.stop()

        users = []
        for node in deployment.nodes:
            for number in range(READERS_PER_NODE):
                reader = Client(f"reader-{node.name}-{number}", node.front, record)
                users.append(use(reader, "GET", PREFIX))
            for number in range(BUYERS_PER_NODE):
                buyer = Client(f"buyer-{node.name}-{number}", node.front, record)
                users.append(use(buyer, "POST", ORDERS_PREFIX))
        await asyncio.gather(play_plan(), *users)
    finally:
        await deployment.end()
    due_at = removed_at + BOUNDS["drain-ms"] / 1000
    late = {request_id: at for at, request_id in leaving.runs if at > due_at}
    for request_id in late:
        if orders.get(request_id, 200) != 200:
            record.write(f"order {request_id} ran there late and was lost: {orders[request_id]}")
    return [
        f"DRAIN: request {request_id} reached {leaving.instance_id} "
        f"{at - removed_at:.3f} s after the store had removed its entry"
        for request_id, at in late.items()
    ]


run_case(FOLDER, play)
