"""Entry point of ``zinniarampd``: builds the process from its settings and runs it."""

import asyncio
import gc
import resource
import secrets
import sys
from pathlib import Path

from result import Err, Ok
from tornado.httputil import split_host_and_port

from ..clock import Clock, monotonic_clock
from ..configuration import RevisionStore
from ..contracts import RevisionId
from ..declarations import Declarations, read_declarations
from ..endpoint import EndpointProcess
from ..entry import EntryProcess
from ..hosts import HostView
from ..intake import Kind
from ..links import Identity
from ..listeners import Intake, IntakeMetrics, serve_application
from ..observability import configure_logging, emit
from ..settings import Settings, read_settings
from .events import PROCESS_SETTLED, PROCESS_STARTED
from .followers import Followers
from .operators import make_application
from .shutdown import Shutdown
from .tasks import log_library_messages, log_uncaught_exceptions
from .view import ProcessView

__all__ = ["main"]

EXIT_USAGE = 2
"""Exit code for an invalid command line, or for invalid settings or declarations."""

INCARNATION_ID_BYTES = 6
"""Random bytes in an incarnation; they differ each time that a process starts."""

_PROCESS_CLASSES = {"entry": EntryProcess, "endpoint": EndpointProcess}


INTAKE_METRICS = IntakeMetrics(prefix="zinniaramp")
"""Metrics of the account of memory and descriptors."""

NO_REVISION = RevisionId(index=0, digest="")
"""Revision of a process until it accepts a published revision."""


def _read_initial_declarations(settings: Settings) -> Declarations:
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


def _make_identity(settings: Settings, revisions: RevisionStore) -> Identity:
    incarnation_id = secrets.token_hex(INCARNATION_ID_BYTES)
    return Identity(
        incarnation=f"{settings.process.name}/{incarnation_id}",
        role=settings.process.role,
        key=settings.fleet.key,
        revision=revisions.revision,
    )


def _make_intake(settings: Settings, clock: Clock) -> Intake:
    """Return the account of the process, with the limits of its settings."""
    descriptors = settings.limits.descriptors
    if not descriptors:
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return Intake(
        clock=clock,
        metrics=INTAKE_METRICS,
        memory_mb=settings.limits.memory,
        max_fds=None if descriptors == resource.RLIM_INFINITY else descriptors,
    )


def _listen(process, view: ProcessView, intake: Intake) -> None:
    """Open all listeners of the process; exit with a message if one fails to open."""
    operator = view.settings.listen.operator
    try:
        process.start()
        host, port = split_host_and_port(operator)
        serve_application(
            make_application(view),
            account=intake.account,
            kind=Kind.OPERATOR,
            port=port,
            ip=host,
        )
    except OSError as error:
        print(
            f"cannot listen: {error}; correct [listen] or stop the process that "
            f"uses the address (operator = {operator})",
            file=sys.stderr,
        )
        sys.exit(EXIT_USAGE)


async def run(settings: Settings) -> int:
    """Run the process until it has shut down, and return its exit code."""
    loop = asyncio.get_running_loop()
    log_uncaught_exceptions(loop)
    clock = monotonic_clock()
    revisions = RevisionStore(initial=_read_initial_declarations(settings), clock=clock)
    hosts = HostView()
    identity = _make_identity(settings, revisions)
    intake = _make_intake(settings, clock)
    process = _PROCESS_CLASSES[settings.process.role](
        settings=settings,
        identity=identity,
        revisions=revisions,
        hosts=hosts,
        clock=clock,
        account=intake.account,
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
    _listen(process, view, intake)
    intake.start()
    _freeze_startup_objects()
    emit(PROCESS_STARTED, role=identity.role, incarnation=identity.incarnation)
    newest_revision_task = asyncio.create_task(
        _wait_for_newest_revision(followers, revisions), name="newest revision"
    )
    code = await shutdown.drain(process, limit=settings.fleet.drain_limit)
    newest_revision_task.cancel()
    return code


def _freeze_startup_objects() -> None:
    """Exclude all objects created during start from garbage collection.

    Notes
    -----
    A full collection that traverses the modules and their schemas blocks the event
    loop for about 20 ms, and these objects are never garbage.
    """
    gc.collect()
    gc.freeze()


async def _wait_for_newest_revision(
    followers: Followers, revisions: RevisionStore
) -> None:
    await followers.wait_for_newest_revision()
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
