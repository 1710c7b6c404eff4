"""Measurements of a process, its account, and the events and metrics about it."""

import asyncio
import ctypes
import resource
from collections import Counter
from datetime import datetime, timedelta
from pathlib import Path

from ..clock import Clock
from ..intake import Account, Kind, Phase, derive_limits
from ..intake.events import INTAKE_EVICTED, INTAKE_LIMITS
from ..observability import emit
from .metrics import IntakeMetrics

__all__ = ["Intake"]

MEASURE_INTERVAL = timedelta(milliseconds=200)
"""Interval between two measurements of the resident memory.  A host of 100 Mbit/s
receives 2.5 MB in this time."""

LOG_INTERVAL = timedelta(seconds=1)
"""Shortest time between two log events about evictions."""

MEBIBYTE = 1024 * 1024

M_MMAP_THRESHOLD = -3
"""Parameter of ``mallopt`` in glibc: size from which memory is mapped on its own."""

MAPPED_BYTES = 256 * 1024
"""Size from which memory returns to the host as soon as it is free.  glibc raises its
own threshold to the size of the first large body and then keeps the memory of all."""


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


class Intake:
    """The account of a process, its measurements, log events and metrics.

    Parameters
    ----------
    clock : Clock
        The process's clock.
    metrics : IntakeMetrics
        Metrics of the account.
    memory_mb, max_fds : float or None
        Limits of the host; None if it names none.
    """

    __slots__ = (
        "clock",
        "metrics",
        "memory_mb",
        "max_fds",
        "account",
        "evicted",
        "logged_at",
        "task",
        "idle_bytes",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: IntakeMetrics,
        memory_mb: float | None,
        max_fds: float | None,
    ):
        self.clock = clock
        self.metrics = metrics
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
        self.metrics.show(account)
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
        self.metrics.evictions.labels(kind.value, phase.value, cause).inc()
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
