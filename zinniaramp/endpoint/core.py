"""The endpoint process: its components, periodic tasks and shutdown."""

import asyncio
from dataclasses import replace
from datetime import timedelta

from tornado.httputil import split_host_and_port

from ..answers.retention import AnswerStore
from ..clock import Clock
from ..configuration import RevisionStore
from ..contracts import Load, Welcome
from ..declarations import Declarations, class_variants
from ..hosts import Host, HostState, HostView
from ..intake import Account, unlimited_account
from ..links import Identity, Listener
from ..observability import emit
from ..scheduling import JobState, Scheduler
from ..settings import Settings
from ..sockets import bind_listeners
from ..tickets import TicketTable
from ..tickets.tombstones import Tombstones
from .attempts import Attempt
from .duties import PauseDetector, pause_threshold
from .engine import EngineClient
from .events import DRAIN_ENDED, HOST_LEAVING, PAUSE_DETECTED
from .executor import Executor
from .pace import IntervalEstimator
from .placement import Placement
from .status import EndpointStatus
from .streams import Streams
from .upkeep import clean_up_attempts, hold_waiting

__all__ = ["EndpointProcess"]

RESUME_TIMEOUT_FACTOR = 5
"""Longest wait for a stream that resumes an answer, in multiples of `fleet.silence`."""

TOKEN_TIMEOUT_FACTOR = 2
"""Lower bound of the timeout for a token, in multiples of `fleet.silence`."""

STREAM_TIMEOUT_FACTOR = 2
"""Time after which a silent stream is closed, in multiples of `fleet.silence`."""

UNACKNOWLEDGED_FACTOR = 3
"""Time after which an ended answer counts as received, in multiples of `fleet.silence`.

If the stream stays open this long after the end of the answer, the entry process has
the answer: otherwise it would have resumed the answer on a new stream by then."""

CHECKS_PER_TIMEOUT = 4
"""Number of maintenance runs per `fleet.silence`."""

DRAIN_POLL_SECONDS = 0.05
"""Interval at which a drain checks for unfinished attempts, in seconds."""

MIN_EXPIRED_RETENTION = timedelta(minutes=10)
"""Minimum time for which an attempt's identifier is kept after its answer expires."""

MAX_EXPIRED_ATTEMPTS = 50_000
"""Maximum number of identifiers of attempts that ran and whose answers expired."""


class EndpointProcess:
    """Schedules all attempts at one engine or plain service and serves their answers.

    Parameters
    ----------
    settings : Settings
        Settings of this process.
    identity : Identity
        Identity of this process in its connections to peers.
    revisions : RevisionStore
        The revision in force and its declarations.
    hosts : HostView
        The platform's list of hosts.
    clock : Clock
        The process's clock.
    account : Account, optional
        Memory and descriptors that connections may hold; unlimited by default.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        identity: Identity,
        revisions: RevisionStore,
        hosts: HostView,
        clock: Clock,
        account: Account | None = None,
    ):
        self.account = account or unlimited_account(clock)
        self.settings = settings
        self.identity = identity
        self.revisions = revisions
        self.hosts = hosts
        self.clock = clock
        self.is_leaving = False
        self.silence = settings.fleet.silence
        self.pause_detector = PauseDetector(
            clock=clock, threshold=pause_threshold(self.silence)
        )
        self.tasks: list[asyncio.Task] = []
        self.make_components(revisions.current())

    def make_components(self, declarations: Declarations) -> None:
        """Create the components of this process."""
        engine, defaults = self.settings.engine, declarations.defaults
        self.answers = AnswerStore(
            memory_limit=defaults.answer_memory,
            retention=defaults.answer_retention,
            clock=self.clock,
        )
        self.tickets = TicketTable(
            incarnation=self.identity.incarnation,
            capacity=defaults.ticket_table,
            lifetime=defaults.ticket_lifetime,
            clock=self.clock,
        )
        self.expired_attempts = Tombstones(
            capacity=MAX_EXPIRED_ATTEMPTS,
            retention=MIN_EXPIRED_RETENTION,
            clock=self.clock,
        )
        self.executor = Executor(
            engine=EngineClient(url=engine.url, width=engine.width),
            is_chat=engine.kind == "engine",
            scheduler=Scheduler(
                width=engine.width,
                declarations=self.adapt_declarations(declarations),
                clock=self.clock,
                order=self.settings.scheduling.order,
                admission=self.settings.scheduling.admission,
            ),
            answers=self.answers,
            intervals=IntervalEstimator(minimum=TOKEN_TIMEOUT_FACTOR * self.silence),
            resume_timeout=RESUME_TIMEOUT_FACTOR * self.silence,
            check_pause=self.check_pause,
            expired_attempts=self.expired_attempts,
            withdraw=self.tickets.withdraw,
            clock=self.clock,
        )
        self.placement = Placement(
            executor=self.executor,
            tickets=self.tickets,
            serves=engine.serves.split(),
            key=self.settings.fleet.key,
            declarations=self.revisions.at,
            is_pausable=engine.kind == "engine",
            is_leaving=lambda: self.is_leaving,
            clock=self.clock,
        )
        self.streams = Streams(
            executor=self.executor,
            placement=self.placement,
            revisions=self.revisions,
            silence=STREAM_TIMEOUT_FACTOR * self.silence,
            clock=self.clock,
        )
        self.listener = Listener(
            identity=self.identity,
            welcome=self.welcome,
            serve=self.streams.serve,
            clock=self.clock,
            account=self.account,
        )

    def start(self) -> None:
        """Subscribe to changes, start the background tasks and listen for streams."""
        self.revisions.subscribe(self.update_declarations)
        self.hosts.subscribe(self.update_hosts)
        self.tasks = [
            asyncio.create_task(self.executor.run()),
            asyncio.create_task(self.run_maintenance()),
        ]
        host, port = split_host_and_port(self.settings.listen.streams)
        self.listener.add_sockets(bind_listeners(port, host))

    def is_ready(self) -> bool:
        """Return whether the process can accept attempts."""
        has_failed = any(task.done() for task in self.tasks)
        return not self.is_leaving and not has_failed

    def load(self) -> Load:
        """Return the current load."""
        return self.executor.scheduler.load()

    def welcome(self) -> Welcome:
        """Return the first message for a new stream."""
        return Welcome(
            incarnation=self.identity.incarnation,
            revision=self.identity.revision(),
            leaving=self.is_leaving,
            load=self.load(),
            serves=self.settings.engine.serves.split(),
        )

    def adapt_declarations(self, declarations: Declarations) -> Declarations:
        """Return the declarations with preemption removed if the engine cannot pause.

        Notes
        -----
        A plain service cannot pause a call.  No class is preemptible there, even
        if an exception declares one to be.
        """
        if self.settings.engine.kind == "engine":
            return declarations
        classes = {
            name: replace(declaration, preemptible=False)
            for name, declaration in declarations.classes.items()
        }
        exceptions = {
            name: declaration
            for name, declaration in declarations.exceptions.items()
            if declaration.set_key != "preemptible"
        }
        return replace(
            declarations, classes=classes, exceptions=exceptions, resolved={}
        )

    def update_declarations(self, declarations: Declarations) -> None:
        """Apply a new revision of the declarations."""
        defaults = declarations.defaults
        self.executor.scheduler.update_declarations(
            self.adapt_declarations(declarations)
        )
        self.answers.memory_limit = defaults.answer_memory
        self.answers.retention = defaults.answer_retention
        self.answers.enforce_memory_limit()
        self.tickets.capacity = defaults.ticket_table
        self.tickets.retention = defaults.ticket_lifetime
        self.tickets.lifetime = defaults.ticket_lifetime
        deadlines = [
            variant.deadline or variant.finish
            for variant in class_variants(declarations)
        ]
        longest = max(deadlines, default=timedelta(0))
        for tombstones in (self.tickets.tombstones, self.expired_attempts):
            tombstones.retention = max(tombstones.retention, longest)
        self.executor.changed.set()
        self.streams.place_all_deferred()

    def update_hosts(self, hosts: dict[str, Host]) -> None:
        """Stop accepting offers if the list of hosts marks this host as leaving."""
        own_host = hosts.get(self.settings.process.name)
        if own_host is not None and own_host.state is HostState.LEAVING:
            self.leave()

    async def run_maintenance(self) -> None:
        """Check for pauses, silent streams and expired answers periodically."""
        interval_s = self.silence.total_seconds() / CHECKS_PER_TIMEOUT
        while True:
            await asyncio.sleep(
                min(interval_s, self.pause_detector.threshold.total_seconds() / 2)
            )
            self.check_pause()
            self.streams.close_silent()
            clean_up_attempts(self.executor)

    def check_pause(self) -> bool:
        """Close all streams and hold waiting attempts if this process was paused.

        Returns
        -------
        bool
            Whether the process was paused since the last check.
        """
        gap = self.pause_detector.gap()
        if gap is None:
            return False
        held = hold_waiting(self.executor)
        emit(
            PAUSE_DETECTED,
            gap_s=gap.total_seconds(),
            bound_s=self.pause_detector.threshold.total_seconds(),
            held=held,
        )
        self.streams.close_all(reason="process was paused")
        return True

    def leave(self) -> None:
        """Stop accepting offers and notify every peer."""
        if self.is_leaving:
            return
        self.is_leaving = True
        streams = len(self.streams.connections)
        emit(HOST_LEAVING, in_flight=len(self.executor.live()), streams=streams)
        self.streams.announce_leaving(self.identity.incarnation)

    async def drain(self) -> int:
        """Stop accepting offers and wait until all attempts are finished and delivered.

        Returns
        -------
        int
            Number of attempts not finished and delivered within ``drain_limit``.
        """
        self.leave()
        until = self.clock() + self.settings.fleet.drain_limit
        while self.unfinished() and self.clock() < until:
            self.streams.request_acknowledgements()
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        unfinished = len(self.unfinished())
        emit(DRAIN_ENDED, unfinished=unfinished)
        return unfinished

    def unfinished(self) -> list[Attempt]:
        """Return the attempts that have not ended or whose answer is undelivered."""
        return [
            attempt
            for attempt in self.executor.attempts.values()
            if self.blocks_drain(attempt)
        ]

    def blocks_drain(self, attempt: Attempt) -> bool:
        """Return whether a drain waits for an attempt to end or to be delivered."""
        if not attempt.has_ended():
            return True
        pending = [
            receiver
            for receiver in attempt.deliveries.values()
            if not receiver.is_acknowledged
        ]
        if attempt.disconnected_at is not None:
            is_recent = (
                self.clock() - attempt.disconnected_at < self.executor.resume_timeout
            )
            time_since_end = attempt.disconnected_at - attempt.answer.ending.ended_at
            may_be_resumed = time_since_end < UNACKNOWLEDGED_FACTOR * self.silence
            return bool(pending) and is_recent and may_be_resumed
        return any(not delivery.is_disconnected() for delivery in pending)

    def status(self) -> EndpointStatus:
        """Return the state of this process for operators."""
        live = self.executor.live()
        states = [attempt.job.state for attempt in live]
        return EndpointStatus(
            incarnation=self.identity.incarnation,
            is_leaving=self.is_leaving,
            running=states.count(JobState.RUNNING),
            paused=states.count(JobState.PAUSED),
            waiting=self.executor.waiting_by_class(),
            held=len(self.executor.held),
            answers=len(self.executor.attempts),
            retained_bytes=self.answers.size,
            tickets=len(self.tickets.records),
            tombstones=len(self.tickets.tombstones.expiries),
            revision_index=self.revisions.revision().index,
            streams=len(self.streams.connections),
            tokens_per_s=self.load().tokens_per_s,
            token_interval_s=self.executor.intervals.interval_s,
        )

    def close(self) -> None:
        """Stop immediately, without waiting for tasks or attempts."""
        for task in [*self.tasks, *self.executor.tasks]:
            task.cancel()
        self.listener.stop()
        self.streams.close_all(reason="process ends")
