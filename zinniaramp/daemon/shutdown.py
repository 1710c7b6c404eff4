"""Graceful shutdown: on a signal or on an operator's word."""

import asyncio
import os
import signal
import sys
from datetime import timedelta

from ..clock import Clock
from ..observability import emit
from .events import FORCED_EXIT, SHUTDOWN_ENDED, SHUTDOWN_STARTED

__all__ = ["EXIT_DRAIN_LIMIT", "EXIT_FORCED", "Shutdown"]

EXIT_DRAIN_LIMIT = 3
"""Exit code when requests were still in flight after the limit."""

EXIT_FORCED = 4
"""Exit code after a second signal."""

LIMIT_MARGIN = timedelta(seconds=5)
"""Time beyond the limit after which a drain that does not return is left."""


class Shutdown:
    """Whether the process is to stop, and why.

    Parameters
    ----------
    clock : Clock
        The process's clock.
    """

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.cause = ""
        self.requested = asyncio.Event()

    def is_leaving(self) -> bool:
        """Tell whether the process takes nothing new."""
        return self.requested.is_set()

    def request(self, cause: str) -> None:
        """Start the shutdown."""
        if not self.cause:
            self.cause = cause
            self.requested.set()

    def handle_signal(self, number: signal.Signals) -> None:
        """Start the shutdown, or exit at once on a second signal."""
        if self.cause.startswith("SIG"):
            emit(FORCED_EXIT, signal=number.name)
            sys.stderr.flush()
            os._exit(EXIT_FORCED)
        self.request(number.name)
        self.cause = number.name

    def listen(self, loop: asyncio.AbstractEventLoop) -> None:
        """Handle SIGTERM and SIGINT."""
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.handle_signal, number)

    async def drain(self, process, *, limit: timedelta) -> int:
        """Wait for a request to stop, drain the process, return the exit code.

        Parameters
        ----------
        process : EntryProcess or EndpointProcess
            What is drained; it keeps to the limit itself and returns how many
            requests it left.
        limit : timedelta
            Longest wait for what is in flight.
        """
        await self.requested.wait()
        emit(SHUTDOWN_STARTED, cause=self.cause)
        started = self.clock()
        try:
            async with asyncio.timeout((limit + LIMIT_MARGIN).total_seconds()):
                left = await _drain(process) or 0
        except TimeoutError:
            left = None
        seconds = round((self.clock() - started).total_seconds(), 3)
        emit(SHUTDOWN_ENDED, seconds=seconds, left=left)
        return 0 if left == 0 else EXIT_DRAIN_LIMIT


async def _drain(process) -> int | None:
    drain = getattr(process, "drain", None)
    return await drain() if drain is not None else None
