"""Stand-in of the platform's store, after the section on it in PROTOCOL.md."""

import asyncio
import base64
import json
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from standins.http import Message, read_message

PAGE_ITEMS = 500


class Store:
    """Keys with revisions, watches and leases; linearizable, because it runs in one thread.

    Attributes
    ----------
    port : int
        Port on which the store listens first; `open_port` adds others.
    cut_watch : callable
        Called for each watch with the port on which it came; if it returns True, the connection is
        closed without an answer.
    """

    def __init__(self) -> None:
        self.port = 0
        self.cut_watch: Callable[[int], bool] = lambda port: False
        self._revision = 100
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._leases: dict[int, asyncio.TimerHandle] = {}
        self._lease_ttl_s: dict[int, float] = {}
        self._last_lease = 1000
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self.port = await self.open_port()

    async def open_port(self) -> int:
        """Listen on one more free loopback port, and return it."""
        self._servers.append(await asyncio.start_server(self._serve, "127.0.0.1", 0))
        return self._servers[-1].sockets[0].getsockname()[1]

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key, and return the revision."""
        self._revision += 1
        previous = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self._revision,
            "created": previous["created"] if previous else self._revision,
            "lease": lease,
        }
        self._items[key] = item
        self._announce(item)
        return self._revision

    def delete(self, key: str) -> None:
        """Remove a key."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._announce({"key": key, "revision": self._revision, "deleted": True})

    def _announce(self, event: dict) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        port = writer.get_extra_info("sockname")[1]
        try:
            while (request := await read_message(reader)) is not None:
                url = urlsplit(request.target)
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                if url.path == "/kv-watch" and self.cut_watch(port):
                    return
                status, body = await self._answer(request, url.path, query)
                data = json.dumps(body).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(data))
                    + data
                )
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message, path: str, query: dict) -> tuple[int, dict]:
        if path == "/kv-key":
            item = self._items.get(query["key"])
            found = item or {}
            return (200 if item else 404), {**found, "store-revision": self._revision}
        if path == "/kv-range":
            prefix, after = query.get("path-prefix", ""), query.get("after", "")
            keys = [key for key in sorted(self._items) if key.startswith(prefix) and key > after]
            items = [self._items[key] for key in keys[:PAGE_ITEMS]]
            more = len(keys) > PAGE_ITEMS
            return 200, {"items": items, "has-more": more, "store-revision": self._revision}
        if path == "/kv-watch":
            return 200, await self._watch(query)
        if path == "/kv-txn":
            return self._commit(json.loads(request.body))
        if path == "/kv-lease":
            return self._grant(float(json.loads(request.body)["ttl-ms"]))
        if path.startswith("/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            if lease not in self._leases:
                return 404, {}
            self._run_lease(lease)
            return 200, {"ttl-ms": self._lease_ttl_s[lease] * 1000}
        if path.startswith("/kv-lease-end/"):
            self._end_lease(int(path.rpartition("/")[2]))
            return 200, {}
        return 404, {}

    async def _watch(self, query: dict) -> dict:
        prefix, after = query.get("path-prefix", ""), int(query["after"])
        deadline = asyncio.get_running_loop().time() + int(query.get("wait-ms", "0")) / 1000
        while True:
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = deadline - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return {"events": events, "store-revision": self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass

    def _commit(self, transaction: dict) -> tuple[int, dict]:
        rows = transaction.get("expected-rev", [])
        current = {
            row["key"]: self._items.get(row["key"], {"key": row["key"], "revision": 0})
            for row in rows
        }
        if any(current[row["key"]]["revision"] != row["revision"] for row in rows):
            return 412, {"items": list(current.values())}
        puts = transaction.get("puts", [])
        if any(put.get("lease") and put["lease"] not in self._leases for put in puts):
            return 404, {}
        if any(put["key"].startswith(("op/", "servers/")) for put in puts):
            return 403, {}
        for put in puts:
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in transaction.get("remove", []):
            self.delete(key)
        return 200, {"revision": self._revision}

    def _grant(self, ttl_ms: float) -> tuple[int, dict]:
        self._last_lease += 1
        self._lease_ttl_s[self._last_lease] = max(1000.0, ttl_ms) / 1000
        self._run_lease(self._last_lease)
        return 200, {"lease": self._last_lease, "ttl-ms": max(1000.0, ttl_ms)}

    def _run_lease(self, lease: int) -> None:
        if lease in self._leases:
            self._leases[lease].cancel()
        loop = asyncio.get_running_loop()
        self._leases[lease] = loop.call_later(
            self._lease_ttl_s[lease], self._end_lease, lease
        )

    def _end_lease(self, lease: int) -> None:
        handle = self._leases.pop(lease, None)
        if handle is None:
            return
        handle.cancel()
        for key in [key for key, item in self._items.items() if item["lease"] == lease]:
            self.delete(key)
