"""Last-resort handling of exceptions: they are logged, and failed tasks restarted."""

import asyncio
import logging
import traceback
from collections.abc import Awaitable, Callable

from ..observability import emit
from .events import LIBRARY_MESSAGE, TASK_FAILED

__all__ = ["log_library_messages", "log_uncaught_exceptions", "supervise"]

RESTART_SECONDS = 1
"""Delay before a failed task is restarted, in seconds."""


def _error_location(error: BaseException | None) -> str:
    frames = traceback.extract_tb(error.__traceback__) if error else []
    return f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""


async def supervise(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a coroutine function, and restart it whenever it raises an exception.

    Parameters
    ----------
    name : str
        Name of the task in the log.
    run : callable
        Coroutine function without parameters.
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
                where=_error_location(error),
                restart_s=RESTART_SECONDS,
            )
        await asyncio.sleep(RESTART_SECONDS)


def log_uncaught_exceptions(loop: asyncio.AbstractEventLoop) -> None:
    """Log each exception that reaches the event loop's exception handler."""

    def handle(_, details) -> None:
        error = details.get("exception")
        source = details.get("task") or details.get("future") or details.get("handle")
        name = source.get_name() if isinstance(source, asyncio.Task) else repr(source)
        emit(
            TASK_FAILED,
            task=name,
            error=repr(error) if error else details["message"],
            where=_error_location(error),
            restart_s=None,
        )

    loop.set_exception_handler(handle)


class LibraryLogHandler(logging.Handler):
    """Logging handler that emits the records of libraries as events."""

    def emit(self, record: logging.LogRecord) -> None:
        """Emit one record as an event."""
        error = record.exc_info[1] if record.exc_info else None
        emit(
            LIBRARY_MESSAGE,
            logger=record.name,
            text=record.getMessage(),
            error=f"{error!r} at {_error_location(error)}" if error else "",
        )


def log_library_messages() -> None:
    """Emit warnings and errors of libraries as events; drop Tornado's access log."""
    root_logger = logging.getLogger()
    root_logger.handlers = [LibraryLogHandler(level=logging.WARNING)]
    access_logger = logging.getLogger("tornado.access")
    access_logger.propagate = False
    access_logger.handlers = [logging.NullHandler()]
