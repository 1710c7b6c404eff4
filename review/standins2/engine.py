"""Stand-in of a sound server.

A model server prefills one prompt after the other; an application answers lookups at
once.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from .wire import Message, format_head, read_message

__all__ = ["Engine", "Run"]

LOOPBACK = "127.0.0.1"

STEP_SECONDS = 0.006
"""Time of a step, at whose end time limits are checked; the pages name 5.61 ms."""

MAX_WAITING = 198
"""Requests that a server takes: its slots and its queue."""

EVENTS = 30
"""Events of an answer."""


@dataclass(slots=True, kw_only=True, eq=False)
class Run:
    """One request at the server.

    Parameters
    ----------
    id : str
        Id of the request.
    limit : float
        Time at which the server stops work on it, on the loop's clock.
    ready : asyncio.Event
        Set when its prompt is prefilled or it is dropped.
    is_dropped : bool
        Whether its time limit passed, or its caller left, before that.
    """

    id: str
    limit: float
    ready: asyncio.Event
    is_dropped: bool = False


class Engine:
    """A model server: it queues prompts, prefills them in turn and streams answers.

    Parameters
    ----------
    id : str
        Id of the instance.
    prefill_seconds : float
        Time in which it prefills one prompt.
    record : callable
        Called with a line for each request that arrives, and for each end.
    """

    def __init__(
        self, *, id: str, prefill_seconds: float, record: Callable[[str], None]
    ):
        self.id = id
        self.prefill_seconds = prefill_seconds
        self.record = record
        self.waiting: deque[Run] = deque()
        self.arrived: set[str] = set()
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port of loopback, and begin to work."""
        server = await asyncio.start_server(self._serve, LOOPBACK, 0, backlog=1024)
        self.port = server.sockets[0].getsockname()[1]
        self.worker = asyncio.create_task(self._work())

    async def _work(self) -> None:
        """Prefill the oldest prompt, and drop those whose time is over."""
        loop = asyncio.get_running_loop()
        done_at = loop.time()
        while True:
            await asyncio.sleep(STEP_SECONDS)
            now = loop.time()
            for run in [one for one in self.waiting if one.limit <= now]:
                self.waiting.remove(run)
                run.is_dropped = True
                run.ready.set()
            if not self.waiting:
                done_at = now + self.prefill_seconds
            elif now >= done_at:
                self.waiting.popleft().ready.set()
                done_at = now + self.prefill_seconds

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                await self._answer(request, reader, writer)
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        name = request.headers.get("zinniaramp-request-id", "")
        if request.start[1] == "/kv-list":
            await self._write(
                writer, "200 OK", {}, b'{"epoch": 1, "next": 1, "held": []}'
            )
            return
        headers = {"Zinniaramp-Request-Id": name}
        expected = request.headers.get("zinniaramp-expect-instance", self.id)
        if expected != self.id:
            await self._write(writer, "421 Misdirected Request", headers, b"")
            return
        self.arrived.add(name)
        self.record(f"server {self.id}: {name} arrives")
        if request.start[1].startswith("/look/"):
            headers["Zinniaramp-Server-Stamp"] = f"stamp.{self.id}"
            await self._write(writer, "200 OK", headers, b"looked up\n")
            return
        not_run = headers | {"Zinniaramp-Not-Executed": "1"}
        if len(self.waiting) >= MAX_WAITING:
            await self._write(writer, "503 Service Unavailable", not_run, b"")
            return
        milliseconds = int(request.headers["zinniaramp-deadline-ms"])
        limit = asyncio.get_running_loop().time() + milliseconds / 1000
        run = Run(id=name, limit=limit, ready=asyncio.Event())
        self.waiting.append(run)
        if not await self._is_begun(run, reader):
            return
        if run.is_dropped:
            await self._write(writer, "503 Service Unavailable", not_run, b"")
            return
        headers["Zinniaramp-Server-Stamp"] = f"stamp.{self.id}"
        headers["Content-Type"] = "text/event-stream"
        numbers = range(1, EVENTS + 1)
        body = b"".join(b"id: %d\ndata: token\n\n" % number for number in numbers)
        self.record(f"server {self.id}: {name} runs and is answered")
        await self._write(writer, "200 OK", headers, body)

    async def _is_begun(self, run: Run, reader: asyncio.StreamReader) -> bool:
        """Wait for a run; False if its caller leaves before it begins."""
        ready = asyncio.create_task(run.ready.wait())
        left = asyncio.create_task(reader.read(1))
        await asyncio.wait([ready, left], return_when=asyncio.FIRST_COMPLETED)
        if ready.done():
            left.cancel()
            await asyncio.wait([left])
            return True
        ready.cancel()
        if run in self.waiting:
            self.waiting.remove(run)
        self.record(f"server {self.id}: {run.id} is dropped, its caller left")
        return False

    @staticmethod
    async def _write(
        writer: asyncio.StreamWriter, status: str, headers: dict[str, str], body: bytes
    ) -> None:
        framed = headers | {"Content-Length": str(len(body))}
        writer.write(format_head(f"HTTP/1.1 {status}", framed) + body)
        await writer.drain()
