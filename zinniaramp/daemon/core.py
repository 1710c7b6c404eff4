"""Entry point of the daemon."""

import asyncio
import secrets
import signal
import sys
from pathlib import Path

from result import Err, Ok
from tornado.httputil import split_host_and_port

from ..clock import monotonic_clock
from ..contracts import RevisionId
from ..endpoint import EndpointProcess
from ..entry import EntryProcess
from ..links import Identity
from ..observability import configure_logging, emit
from ..settings import Settings, read_settings
from .events import PROCESS_STARTED
from .operators import make_application

__all__ = ["main"]

EXIT_USAGE = 2
"""Exit code for a wrong command line or wrong settings."""

START_ID_BYTES = 6
"""Random bytes that tell one start of a process from another."""

_PROCESS_CLASSES = {"entry": EntryProcess, "endpoint": EndpointProcess}


def _identity(settings: Settings) -> Identity:
    start = secrets.token_hex(START_ID_BYTES)
    return Identity(
        incarnation=f"{settings.process.name}/{start}",
        role=settings.process.role,
        key=settings.fleet.key,
        revision=lambda: RevisionId(index=0, digest=""),
    )


async def run(settings: Settings) -> None:
    """Run the process until it is told to stop."""
    identity = _identity(settings)
    process_class = _PROCESS_CLASSES[settings.process.role]
    process = process_class(
        settings=settings, identity=identity, clock=monotonic_clock()
    )
    process.start()
    host, port = split_host_and_port(settings.listen.operator)
    make_application(process).listen(port, host)
    emit(PROCESS_STARTED, role=identity.role, incarnation=identity.incarnation)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await stop.wait()


def main() -> None:
    """Run ``zinniarampd SETTINGS.ini``."""
    if len(sys.argv) != 2:
        print("usage: zinniarampd SETTINGS.ini", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    match read_settings(Path(sys.argv[1])):
        case Err(problems):
            for problem in problems:
                print(problem, file=sys.stderr)
            sys.exit(EXIT_USAGE)
        case Ok(settings):
            configure_logging(level=settings.log.level, sink=settings.log.file or None)
            asyncio.run(run(settings))
