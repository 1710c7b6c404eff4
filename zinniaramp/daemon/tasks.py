"""Exceptions that nothing else handles: logged, and the task run again."""

import asyncio
import logging
import traceback
from collections.abc import Awaitable, Callable

from ..observability import emit
from .events import LIBRARY_MESSAGE, TASK_FAILED

__all__ = ["log_library_messages", "log_uncaught", "supervise"]

RESTART_SECONDS = 1
"""Wait before a failed task is run again, in seconds."""


def _where(error: BaseException | None) -> str:
    frames = traceback.extract_tb(error.__traceback__) if error else []
    return f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""


async def supervise(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task's function again whenever it fails.

    Parameters
    ----------
    name : str
        Name for the log.
    run : callable
        Coroutine function.
    """
    while True:
        try:
            await run()
            return
        except Exception as error:
            emit(
                TASK_FAILED,
                task=name,
                error=repr(error),
                where=_where(error),
                restart_s=RESTART_SECONDS,
            )
        await asyncio.sleep(RESTART_SECONDS)


def log_uncaught(loop: asyncio.AbstractEventLoop) -> None:
    """Write an event for each exception that reaches the event loop."""

    def handle(_, details) -> None:
        error = details.get("exception")
        source = details.get("task") or details.get("future") or details.get("handle")
        name = source.get_name() if isinstance(source, asyncio.Task) else repr(source)
        emit(
            TASK_FAILED,
            task=name,
            error=repr(error) if error else details["message"],
            where=_where(error),
            restart_s=None,
        )

    loop.set_exception_handler(handle)


class EventHandler(logging.Handler):
    """Writes what libraries log as events."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one event."""
        error = record.exc_info[1] if record.exc_info else None
        emit(
            LIBRARY_MESSAGE,
            logger=record.name,
            text=record.getMessage(),
            error=f"{error!r} at {_where(error)}" if error else "",
        )


def log_library_messages() -> None:
    """Send libraries' warnings to the log; HTTP access lines are left out."""
    root = logging.getLogger()
    root.handlers = [EventHandler(level=logging.WARNING)]
    access = logging.getLogger("tornado.access")
    access.propagate = False
    access.handlers = [logging.NullHandler()]
