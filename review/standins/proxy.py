"""A loopback proxy that can cut the path to a back end without a reset."""

import asyncio
import socket


class Proxy:
    """Forwards connections to one port; while it is cut, nothing passes and nothing is accepted.

    Attributes
    ----------
    address : str
        The address on which it accepts connections.
    """

    def __init__(self) -> None:
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        self._listener.setblocking(False)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._open = asyncio.Event()
        self._open.set()
        self._fillers: list[socket.socket] = []
        self._target_port = 0
        self._tasks: set[asyncio.Task] = set()

    def start(self, target_port: int) -> None:
        """Accept connections for a port of the loopback address."""
        self._target_port = target_port
        asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def cut(self) -> None:
        """Stop passing bytes on, and let new connections hang as behind a partition.

        The queue of connections that are not accepted is filled, so that the kernel drops further
        ones.
        """
        asyncio.get_running_loop().remove_reader(self._listener)
        self._open.clear()
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._listener.getsockname())
            self._fillers.append(filler)

    def heal(self) -> None:
        """Pass bytes and connections on again."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._open.set()
        asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def close(self) -> None:
        """Close all connections."""
        for task in list(self._tasks):
            task.cancel()
        asyncio.get_running_loop().remove_reader(self._listener)
        self._listener.close()

    def _accept(self) -> None:
        try:
            accepted, _ = self._listener.accept()
        except OSError:
            return
        task = asyncio.create_task(self._forward(accepted))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        reader, writer = await asyncio.open_connection(sock=accepted)
        try:
            target = await asyncio.open_connection("127.0.0.1", self._target_port)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self._pipe(reader, target[1]), self._pipe(target[0], writer))

    async def _pipe(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                await self._open.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
