"""Detection of engine crashes by their closed and refused connections."""

import asyncio
from collections.abc import Callable
from datetime import datetime, timedelta

from result import Err

from ..clock import Clock
from ..registry import Endpoint
from ..sockets import open_stream

__all__ = ["CrashDetector"]

CHECK_TIMEOUT = timedelta(milliseconds=300)
"""Timeout of the connection attempt that tells a crash from a closed connection; a
host that answers does so within 2 ms, one in another region within 100 ms."""


class CrashDetector:
    """Checks whether an engine that has closed a connection still accepts others.

    A closed connection alone does not show a crash: endpoints also break off single
    answers, and connections are reset on their way.

    Parameters
    ----------
    clock : Clock
        The process's clock.
    is_expected : callable
        Returns whether an endpoint may end without having crashed.
    on_crash : callable
        Receives the engine's incarnation and the time of the closed connection.

    Attributes
    ----------
    checks : dict of asyncio.Task
        Checks in progress by the engine's incarnation.
    """

    __slots__ = ("clock", "is_expected", "on_crash", "checks")

    def __init__(
        self,
        *,
        clock: Clock,
        is_expected: Callable[[Endpoint], bool],
        on_crash: Callable[[str, datetime], None],
    ):
        self.clock = clock
        self.is_expected = is_expected
        self.on_crash = on_crash
        self.checks: dict[str, asyncio.Task] = {}

    def check(self, endpoint: Endpoint) -> None:
        """Start a check of an engine that has just closed a connection."""
        name = endpoint.incarnation
        if name in self.checks or self.is_expected(endpoint):
            return
        task = asyncio.create_task(self._connect(endpoint, self.clock()))
        self.checks[name] = task
        task.add_done_callback(lambda _: self.checks.pop(name, None))

    async def _connect(self, endpoint: Endpoint, closed_at: datetime) -> None:
        opened = await open_stream(endpoint.address, timeout=CHECK_TIMEOUT)
        if not isinstance(opened, Err):
            opened.ok_value.close()
        elif opened.err_value.is_refused and not self.is_expected(endpoint):
            self.on_crash(endpoint.incarnation, closed_at)
