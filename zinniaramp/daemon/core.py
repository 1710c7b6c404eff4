"""Entry point of the daemon."""

import asyncio
import gc
import secrets
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
from .events import PROCESS_SETTLED, PROCESS_STARTED
from .followers import Followers
from .operators import make_application
from .shutdown import Shutdown
from .tasks import log_library_messages, log_uncaught
from .view import ProcessView

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
    try:
        text = Path(path).read_text() if path else ""
    except (OSError, UnicodeDecodeError) as error:
        print(f"[platform] declarations = {path}: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
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


def _listen(process, view: ProcessView) -> None:
    """Open the process's listeners, or exit with what is wrong."""
    operator = view.settings.listen.operator
    try:
        process.start()
        host, port = split_host_and_port(operator)
        make_application(view).listen(port, host)
    except OSError as error:
        print(
            f"cannot listen: {error}; correct [listen] or end the process that has "
            f"the address (operator = {operator})",
            file=sys.stderr,
        )
        sys.exit(EXIT_USAGE)


async def run(settings: Settings) -> int:
    """Run the process until it is told to stop, and return its exit code."""
    loop = asyncio.get_running_loop()
    log_uncaught(loop)
    clock = monotonic_clock()
    revisions = RevisionStore(initial=_initial_declarations(settings), clock=clock)
    hosts = HostView()
    identity = _identity(settings, revisions)
    process = _PROCESS_CLASSES[settings.process.role](
        settings=settings,
        identity=identity,
        revisions=revisions,
        hosts=hosts,
        clock=clock,
    )
    followers = Followers(
        settings=settings, revisions=revisions, hosts=hosts, clock=clock
    )
    shutdown = Shutdown(clock=clock)
    shutdown.listen(loop)
    view = ProcessView(
        settings=settings,
        process=process,
        identity=identity,
        followers=followers,
        shutdown=shutdown,
    )
    followers.start()
    _listen(process, view)
    _exempt_from_collection()
    emit(PROCESS_STARTED, role=identity.role, incarnation=identity.incarnation)
    settling = asyncio.create_task(_settle(followers, revisions), name="settling")
    code = await shutdown.drain(process, limit=settings.fleet.drain_limit)
    settling.cancel()
    return code


def _exempt_from_collection() -> None:
    """Keep what was loaded at start out of the garbage collector's passes.

    Notes
    -----
    A full pass over the modules and their schemas stops the event loop for some
    20 ms, and nothing of them is ever garbage.
    """
    gc.collect()
    gc.freeze()


async def _settle(followers: Followers, revisions: RevisionStore) -> None:
    await followers.settle()
    revision = revisions.revision()
    emit(PROCESS_SETTLED, index=revision.index, digest=revision.digest)


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
            log_library_messages()
            sys.exit(asyncio.run(run(settings)))
