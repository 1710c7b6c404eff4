"""Stand-in of a plain server, as PROTOCOL.md describes it."""

import asyncio

from .http import make_message, read_body, read_head

LOOPBACK = "127.0.0.1"


class Server:
    """A server that runs requests for some time and answers them.

    Parameters
    ----------
    id : str
        Its id.
    record : callable
        Receives a line for each request that arrives, runs and ends.
    work_s : float
        Time that a request takes.
    slots : int
        Requests that run at once; a few more wait.

    Attributes
    ----------
    runs : list
        Id and time of each request that began to run.
    """

    def __init__(self, id: str, record, *, work_s: float = 0.09, slots: int = 6):
        self.id = id
        self.record = record
        self.work_s = work_s
        self.slots = asyncio.Semaphore(slots)
        self.runs: list[tuple[str, float]] = []
        self.port = 0
        self.server = None
        self.is_leaving = False
        self.writers: set[asyncio.StreamWriter] = set()

    async def listen(self, port: int = 0) -> None:
        """Listen on a port of loopback; by default on a free one."""
        self.server = await asyncio.start_server(self._handle, LOOPBACK, port)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, service: str, state: str = "ready", sequence: int = 1) -> dict:
        """Return the entry of the server in the store."""
        return {
            "service": service,
            "address": f"{LOOPBACK}:{self.port}",
            "zone": "a",
            "version": "v1",
            "slots": 6,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": sequence,
            "born": 1700000000000,
        }

    def exit(self) -> None:
        """End the server: its listener and all its channels close."""
        self.server.close()
        for writer in tuple(self.writers):
            writer.close()

    async def _handle(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                writer.write(await self._answer(head, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, head, body: bytes) -> bytes:
        if head.line[1] == "/healthz":
            return make_message(
                "HTTP/1.1 200 OK", {"Zinniaramp-Instance-Id": self.id}, b"ok"
            )
        request = head.get("zinniaramp-request-id")
        own = {"Zinniaramp-Request-Id": request, "Zinniaramp-Instance-Id": self.id}
        if head.get("zinniaramp-expect-instance", self.id) != self.id:
            self.record(f"server {self.id} answers 421 to {request}")
            return make_message("HTTP/1.1 421 Misdirected Request", own)
        self.record(f"server {self.id} got {request}")
        async with self.slots:
            loop = asyncio.get_running_loop()
            self.runs.append((request, loop.time()))
            await asyncio.sleep(self.work_s)
            self.record(f"server {self.id} ran {request}")
        stamp = {"Zinniaramp-Server-Stamp": f"stamp.{self.id}.{request}"}
        if self.is_leaving:
            own["Connection"] = "close"
        return make_message("HTTP/1.1 200 OK", own | stamp, b"done " + request.encode())
