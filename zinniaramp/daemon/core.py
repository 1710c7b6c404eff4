"""Entry point of the daemon."""

import asyncio
import secrets
import signal
import sys
from pathlib import Path

from result import Err, Ok
from tornado.httputil import split_host_and_port

from ..clock import monotonic_clock
from ..configuration import RevisionStore
from ..contracts import RevisionId
from ..declarations import Declarations, read_declarations
from ..endpoint import EndpointProcess
from ..entry import EntryProcess
from ..hosts import HostView
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


NO_REVISION = RevisionId(index=0, digest="")
"""Revision of a process that has not read any declarations."""


def _initial_declarations(settings: Settings) -> Declarations:
    path = settings.platform.declarations
    text = Path(path).read_text() if path else ""
    match read_declarations(text, file=path, revision=NO_REVISION):
        case Ok(declarations):
            return declarations
        case Err(problems):
            for problem in problems:
                print(problem, file=sys.stderr)
            sys.exit(EXIT_USAGE)


def _identity(settings: Settings, revisions: RevisionStore) -> Identity:
    start = secrets.token_hex(START_ID_BYTES)
    return Identity(
        incarnation=f"{settings.process.name}/{start}",
        role=settings.process.role,
        key=settings.fleet.key,
        revision=revisions.revision,
    )


async def run(settings: Settings) -> None:
    """Run the process until it is told to stop."""
    revisions = RevisionStore(initial=_initial_declarations(settings))
    identity = _identity(settings, revisions)
    process_class = _PROCESS_CLASSES[settings.process.role]
    process = process_class(
        settings=settings,
        identity=identity,
        revisions=revisions,
        hosts=HostView(),
        clock=monotonic_clock(),
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
