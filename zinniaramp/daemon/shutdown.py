"""Graceful shutdown on a signal or on an operator's request."""

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
"""Exit code when requests were still in flight after the drain limit."""

EXIT_FORCED = 4
"""Exit code after a second signal."""

DRAIN_MARGIN = timedelta(seconds=5)
"""Time after the drain limit at which a drain that has not returned is abandoned."""


class Shutdown:
    """State of the shutdown of a process: whether it was requested, and the cause.

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
        """Return whether a shutdown was requested; nothing new is then accepted."""
        return self.requested.is_set()

    def request(self, cause: str) -> None:
        """Start the shutdown; no effect if one was requested before."""
        if not self.cause:
            self.cause = cause
            self.requested.set()

    def handle_signal(self, number: signal.Signals) -> None:
        """Start the shutdown with the signal as its cause; exit on a second signal."""
        if self.cause.startswith("SIG"):
            emit(FORCED_EXIT, signal=number.name)
            sys.stderr.flush()
            os._exit(EXIT_FORCED)
        self.request(number.name)
        self.cause = number.name

    def listen(self, loop: asyncio.AbstractEventLoop) -> None:
        """Install the signal handlers that start the shutdown on SIGTERM or SIGINT."""
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.handle_signal, number)

    async def drain(self, process, *, limit: timedelta) -> int:
        """Wait for a shutdown request, drain the process and return the exit code.

        Parameters
        ----------
        process : EntryProcess or EndpointProcess
            Process to drain; it applies the limit itself and returns the number of
            requests that were still in flight.
        limit : timedelta
            Longest wait for the requests in flight.
        """
        await self.requested.wait()
        emit(SHUTDOWN_STARTED, cause=self.cause)
        started = self.clock()
        try:
            async with asyncio.timeout((limit + DRAIN_MARGIN).total_seconds()):
                left = await _drain(process) or 0
        except TimeoutError:
            left = None
        seconds = round((self.clock() - started).total_seconds(), 3)
        emit(SHUTDOWN_ENDED, seconds=seconds, left=left)
        return 0 if left == 0 else EXIT_DRAIN_LIMIT


async def _drain(process) -> int | None:
    drain = getattr(process, "drain", None)
    return await drain() if drain is not None else None
