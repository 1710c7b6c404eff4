"""Use of the account of memory and descriptors by the listeners of the gateway."""

import asyncio
import ctypes
import resource
import socket
from collections import Counter, deque
from collections.abc import Callable
from datetime import datetime, timedelta
from pathlib import Path

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPMessageDelegate
from tornado.iostream import IOStream
from tornado.web import Application

from ..clock import Clock
from ..intake import Account, Holder, Kind, Phase, derive_limits
from ..intake.events import INTAKE_EVICTED, INTAKE_LIMITS
from ..observability import emit
from .metrics import BUDGET_BYTES, CONNECTIONS, EVICTIONS, HELD_BYTES

__all__ = ["BoundedServer", "Intake", "MeteredStream", "serve_application"]

MEASURE_INTERVAL = timedelta(milliseconds=200)
"""Interval between two measurements of the resident memory.  A host of 100 Mbit/s
receives 2.5 MB in this time."""

LOG_INTERVAL = timedelta(seconds=1)
"""Shortest time between two log events about evictions."""

MEBIBYTE = 1024 * 1024

READ_BYTES = 32 * 1024
"""Size of one read, and largest piece of a body.  The library holds up to three pieces
of a chunked body: 120 of them took 23 MB with pieces of 64 KB."""

MANY_FIELDS = 200
"""Header fields above which a block waits for its turn; ordinary ones have a dozen."""

FIELD_PAUSE_SECONDS = 20e-6
"""Pause for each field of such a block, about four times what its parsing takes."""

MAX_STREAM_BUFFER_BYTES = 256 * 1024
"""Limit on what a library may buffer of one connection; a header block has 64 KB.  A
caller that sends more while its header block waits for its turn is disconnected."""

M_MMAP_THRESHOLD = -3
"""Parameter of ``mallopt`` in glibc: size from which memory is mapped on its own."""

MAPPED_BYTES = 256 * 1024
"""Size from which memory returns to the host as soon as it is free.  glibc raises its
own threshold to the size of the first large body and then keeps the memory of all."""

CHECKER_TIMEOUT = timedelta(seconds=30)
"""Time after which an unused connection of a health checker or scraper is closed."""

CHECKER_HEADER_BYTES = 16 * 1024
"""Largest header block of a health check or of a request for metrics."""


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


class ParseQueue:
    """Spreads the parsing of header blocks with very many fields over time.

    The library parses a block in one step.  2,600 fields take 12 ms on a whole core,
    and 600 such blocks at once would stop the process for seconds.  One block is parsed
    at a time, and ordinary requests and peers are served in between.
    """

    __slots__ = ("waiting", "is_paused")

    def __init__(self):
        self.waiting: deque[tuple[MeteredStream, int]] = deque()
        self.is_paused = False

    def add(self, stream: "MeteredStream", lines: int) -> None:
        """Let a stream go on when it is its turn."""
        self.waiting.append((stream, lines))
        if not self.is_paused:
            self._go_on()

    def _go_on(self) -> None:
        self.is_paused = False
        while self.waiting and not self.is_paused:
            stream, lines = self.waiting.popleft()
            if not stream.closed():
                self.is_paused = True
                pause = lines * FIELD_PAUSE_SECONDS
                asyncio.get_running_loop().call_later(pause, self._go_on)
                stream.pass_block()


class MeteredStream(IOStream):
    """Connection whose received bytes are charged until they are used.

    Attributes
    ----------
    holder : Holder or None
        Account of the connection.
    reader : HTTPMessageDelegate or None
        Reader of the request that is awaited or in progress, if its owner sets it.
    parse_queue : ParseQueue
        Queue for header blocks with very many fields.
    delayed_bytes : int
        Length of such a block while it waits for its turn; else 0.
    """

    holder: Holder | None = None
    parse_queue: ParseQueue
    delayed_bytes = 0
    reader: HTTPMessageDelegate | None = None

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket, and charge what was read."""
        count = super().read_from_fd(buf)
        if count and self.holder is not None:
            self.holder.receive(count)
        return count

    def _read_from_buffer(self, pos: int) -> None:
        # Tornado calls this when a read can be completed with `pos` bytes; there is no
        # public place between the end of a header block and its parsing.  A future of
        # our own costs each request a step of the event loop, 0.2 ms.
        if self.delayed_bytes:
            return
        if pos > MANY_FIELDS and self._read_regex is not None:
            lines = self._read_buffer.count(b"\n", 0, pos)
            if lines > MANY_FIELDS:
                self.delayed_bytes = pos
                self.parse_queue.add(self, lines)
                return
        super()._read_from_buffer(pos)

    def pass_block(self) -> None:
        """Give a delayed header block to the library."""
        pos, self.delayed_bytes = self.delayed_bytes, 0
        super()._read_from_buffer(pos)

    @property
    def buffered(self) -> int:
        """Received bytes that were not used yet."""
        return self._read_buffer_size

    def settle(self) -> None:
        """Charge only the received bytes that are still buffered."""
        if self.holder is not None:
            self.holder.set_buffered(self.buffered)


class Intake:
    """The account of a process, its measurements, log events and metrics.

    Parameters
    ----------
    clock : Clock
        The process's clock.
    memory_mb, max_fds : float or None
        Limits of the host; None if it names none.
    """

    __slots__ = (
        "clock",
        "memory_mb",
        "max_fds",
        "account",
        "evicted",
        "logged_at",
        "task",
        "idle_bytes",
    )

    def __init__(self, *, clock: Clock, memory_mb: float | None, max_fds: float | None):
        self.clock = clock
        self.memory_mb = memory_mb
        self.max_fds = max_fds
        self.idle_bytes = resident_bytes()
        self.account = Account(
            limits=self._derive_limits(), clock=clock, on_evicted=self._record_eviction
        )
        self.evicted: Counter[str] = Counter()
        self.logged_at: datetime | None = None
        self.task: asyncio.Task | None = None

    def _derive_limits(self):
        return derive_limits(
            memory_mb=self.memory_mb,
            max_fds=self.max_fds,
            resident_bytes=self.idle_bytes,
        )

    def start(self) -> None:
        """Begin to measure the process; call this in the running event loop."""
        account = self.account
        loop = asyncio.get_running_loop()
        account.relief_due = lambda: loop.call_soon(account.relieve)
        _return_large_memory()
        self.idle_bytes = resident_bytes()
        account.set_limits(self._derive_limits())
        HELD_BYTES.set_function(lambda: account.held)
        BUDGET_BYTES.set_function(lambda: account.budget)
        for kind in Kind:
            gauge = CONNECTIONS.labels(kind.value)
            gauge.set_function(lambda kind=kind: account.counts[kind])
        limits = account.limits
        emit(
            INTAKE_LIMITS,
            budget_mb=None if self.memory_mb is None else limits.budget // MEBIBYTE,
            resident_mb=self.idle_bytes // MEBIBYTE,
            sockets=None if self.max_fds is None else limits.sockets,
        )
        self.task = asyncio.create_task(self._measure())

    def apply(self, *, memory_mb: float | None, max_fds: float | None) -> None:
        """Apply the limits of changed settings."""
        if (memory_mb, max_fds) != (self.memory_mb, self.max_fds):
            self.memory_mb = memory_mb
            self.max_fds = max_fds
            self.account.set_limits(self._derive_limits())

    def stop(self) -> None:
        """Stop measuring."""
        if self.task is not None:
            self.task.cancel()

    async def _measure(self) -> None:
        while True:
            await asyncio.sleep(MEASURE_INTERVAL.total_seconds())
            if self.memory_mb is not None:
                self.account.adjust(resident_bytes())
            self._log_evictions()

    def _record_eviction(self, kind: Kind, phase: Phase, cause: str) -> None:
        EVICTIONS.labels(kind.value, phase.value, cause).inc()
        self.evicted[f"{kind.value}/{phase.value}/{cause}"] += 1

    def _log_evictions(self) -> None:
        now = self.clock()
        is_recent = self.logged_at is not None and now - self.logged_at < LOG_INTERVAL
        if not self.evicted or is_recent:
            return
        self.logged_at = now
        account = self.account
        emit(
            INTAKE_EVICTED,
            evicted=dict(self.evicted),
            held_mb=account.held / MEBIBYTE,
            budget_mb=account.budget / MEBIBYTE,
            connections=account.connections,
        )
        self.evicted.clear()


def _return_large_memory() -> None:
    """Have glibc return the memory of large buffers when they are freed."""
    try:
        ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES)
    except (OSError, AttributeError):
        # Another C library; the measured memory limits the budget instead.
        return


class BoundedServer(HTTPServer):
    """HTTP server whose connections are admitted by the account.

    Use `make` to create one.

    Attributes
    ----------
    account : Account
        Account of the process.
    kind : Kind
        Kind of the listener.
    make_evict : callable
        Returns the function that closes a connection which is evicted.
    on_closed : callable
        Called with each connection that was closed.
    """

    account: Account
    kind: Kind

    @classmethod
    def make(cls, handler, *, account: Account, kind: Kind, **options):
        """Return a server for a delegate or application."""
        server = cls(handler, chunk_size=READ_BYTES, **options)
        server.account = account
        server.kind = kind
        server.parse_queue = ParseQueue()
        server.make_evict = _make_evict
        server.on_closed = lambda stream: None
        return server

    def _handle_connection(self, connection: socket.socket, address: tuple) -> None:
        stream = MeteredStream(
            connection,
            max_buffer_size=MAX_STREAM_BUFFER_BYTES,
            read_chunk_size=READ_BYTES,
        )
        stream.parse_queue = self.parse_queue
        stream.holder = self.account.open(self.kind, self.make_evict(stream))
        if stream.holder is None:
            stream.close()
            return
        self.handle_stream(stream, address)

    def on_close(self, server_conn) -> None:
        """Remove a closed connection from the account."""
        super().on_close(server_conn)
        server_conn.stream.holder.close()
        self.on_closed(server_conn.stream)


def _make_evict(stream: IOStream) -> Callable[[Phase], None]:
    def evict(phase: Phase) -> None:
        stream.close()

    return evict


def serve_application(
    application: Application, *, account: Account, kind: Kind, port: int, ip: str
) -> BoundedServer:
    """Serve requests without bodies, such as health checks, at an address."""
    server = BoundedServer.make(
        application,
        account=account,
        kind=kind,
        max_body_size=0,
        max_header_size=CHECKER_HEADER_BYTES,
        idle_connection_timeout=CHECKER_TIMEOUT.total_seconds(),
    )
    server.listen(port, ip)
    return server
