"""The endpoint process: its parts, its duties and its end."""

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
from ..links import Identity, Listener
from ..observability import emit
from ..scheduling import JobState, Scheduler
from ..settings import Settings
from ..tickets import TicketTable
from ..tickets.tombstones import Tombstones
from .attempts import Attempt
from .duties import PauseWatch, pause_bound
from .engine import EngineClient
from .events import DRAIN_ENDED, HOST_LEAVING, PAUSE_DETECTED
from .executor import Executor
from .pace import Pace
from .placement import Placement
from .status import EndpointStatus
from .streams import Streams

__all__ = ["EndpointProcess"]

RESUME_SILENCES = 5
"""Bound on the wait for a stream that takes an answer again, in silences."""

TOKEN_SILENCES = 2
"""Least time without a token that counts as silence, in silences of a stream."""

STREAM_SILENCES = 2
"""Time after which a silent stream is closed, in silences."""

UNPROVED_SILENCES = 3
"""Time after which an answer that nobody asked for again was received, in silences.

An entry process whose stream has gone silent asks again on a new one before that."""

CHECKS_PER_SILENCE = 4
"""Checks of streams and duties in the time that counts as silence."""

DRAIN_CHECK_SECONDS = 0.05
"""Time between two looks at what is still in flight, in seconds."""

LEAST_MEMORY = timedelta(minutes=10)
"""Least time for which it is remembered that an attempt ran."""

MAX_FORGOTTEN = 50_000
"""Attempts that ran and whose answers are forgotten, remembered at most."""


class EndpointProcess:
    """Sole door to one engine or plain service.

    Parameters
    ----------
    settings : Settings
        Settings of this process.
    identity : Identity
        Identity of this start.
    revisions : RevisionStore
        The declarations in force.
    hosts : HostView
        The platform's list of hosts.
    clock : Clock
        The process's clock.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        identity: Identity,
        revisions: RevisionStore,
        hosts: HostView,
        clock: Clock,
    ):
        self.settings = settings
        self.identity = identity
        self.revisions = revisions
        self.hosts = hosts
        self.clock = clock
        self.is_leaving = False
        self.silence = settings.fleet.silence
        self.watch = PauseWatch(clock=clock, bound=pause_bound(self.silence))
        self.tasks: list[asyncio.Task] = []
        self.make_parts(revisions.current())

    def make_parts(self, declarations: Declarations) -> None:
        """Make the parts of this process."""
        engine, defaults = self.settings.engine, declarations.defaults
        self.answers = AnswerStore(
            memory=defaults.answer_memory,
            retention=defaults.answer_retention,
            clock=self.clock,
        )
        self.tickets = TicketTable(
            incarnation=self.identity.incarnation,
            capacity=defaults.ticket_table,
            lifetime=defaults.ticket_lifetime,
            clock=self.clock,
        )
        self.forgotten = Tombstones(
            capacity=MAX_FORGOTTEN, retention=LEAST_MEMORY, clock=self.clock
        )
        self.executor = Executor(
            engine=EngineClient(url=engine.url, width=engine.width),
            is_chat=engine.kind == "engine",
            scheduler=Scheduler(
                width=engine.width,
                declarations=self.schedulable(declarations),
                clock=self.clock,
                order=self.settings.scheduling.order,
                admission=self.settings.scheduling.admission,
            ),
            answers=self.answers,
            pace=Pace(least=TOKEN_SILENCES * self.silence),
            resume_wait=RESUME_SILENCES * self.silence,
            check_pause=self.check_pause,
            forgotten=self.forgotten,
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
            silence=STREAM_SILENCES * self.silence,
            clock=self.clock,
        )
        self.listener = Listener(
            identity=self.identity,
            welcome=self.welcome,
            serve=self.streams.serve,
            clock=self.clock,
        )

    def start(self) -> None:
        """Listen for streams and take up the duties."""
        self.revisions.subscribe(self.use_declarations)
        self.hosts.subscribe(self.use_hosts)
        self.tasks = [
            asyncio.create_task(self.executor.run()),
            asyncio.create_task(self.keep_duties()),
        ]
        host, port = split_host_and_port(self.settings.listen.streams)
        self.listener.listen(port, host)

    def is_ready(self) -> bool:
        """Tell whether the process can take attempts."""
        has_failed = any(task.done() for task in self.tasks)
        return not self.is_leaving and not has_failed

    def load(self) -> Load:
        """Return the current load."""
        return self.executor.scheduler.load()

    def welcome(self) -> Welcome:
        """Return the greeting for a new stream."""
        return Welcome(
            incarnation=self.identity.incarnation,
            revision=self.identity.revision(),
            leaving=self.is_leaving,
            load=self.load(),
            serves=self.settings.engine.serves.split(),
        )

    def schedulable(self, declarations: Declarations) -> Declarations:
        """Return the declarations as the scheduler may use them.

        Notes
        -----
        A plain service cannot pause a call, so nothing there is preemptible,
        whatever an exception says.
        """
        if self.settings.engine.kind == "engine":
            return declarations
        classes = {
            name: replace(one, preemptible=False)
            for name, one in declarations.classes.items()
        }
        exceptions = {
            name: one
            for name, one in declarations.exceptions.items()
            if one.set_key != "preemptible"
        }
        return replace(
            declarations, classes=classes, exceptions=exceptions, resolved={}
        )

    def use_declarations(self, declarations: Declarations) -> None:
        """Take a new revision into use."""
        defaults = declarations.defaults
        self.executor.scheduler.update_declarations(self.schedulable(declarations))
        self.answers.memory = defaults.answer_memory
        self.answers.retention = defaults.answer_retention
        self.answers.bound_memory()
        self.tickets.capacity = defaults.ticket_table
        self.tickets.retention = defaults.ticket_lifetime
        self.tickets.lifetime = defaults.ticket_lifetime
        deadlines = [one.deadline or one.finish for one in class_variants(declarations)]
        longest = max(deadlines, default=timedelta(0))
        for remembered in (self.tickets.tombstones, self.forgotten):
            remembered.retention = max(remembered.retention, longest)
        self.executor.changed.set()
        self.streams.release_all_early()

    def use_hosts(self, hosts: dict[str, Host]) -> None:
        """Leave if the platform's list says that this host is leaving."""
        own = hosts.get(self.settings.process.name)
        if own is not None and own.state is HostState.LEAVING:
            self.leave()

    async def keep_duties(self) -> None:
        """Look after streams, retention and pauses for as long as the task lives."""
        interval_s = self.silence.total_seconds() / CHECKS_PER_SILENCE
        while True:
            await asyncio.sleep(min(interval_s, self.watch.bound.total_seconds() / 2))
            self.check_pause()
            self.streams.close_silent()
            self.executor.forget_and_abandon()

    def check_pause(self) -> bool:
        """Drop the streams and hold waiting work if this process was paused.

        Returns
        -------
        bool
            Whether it was.
        """
        gap = self.watch.gap()
        if gap is None:
            return False
        held = self.executor.hold_waiting()
        emit(
            PAUSE_DETECTED,
            gap_s=gap.total_seconds(),
            bound_s=self.watch.bound.total_seconds(),
            held=held,
        )
        self.streams.close_all(reason="process was paused")
        return True

    def leave(self) -> None:
        """Refuse offers from now on and say so on every stream."""
        if self.is_leaving:
            return
        self.is_leaving = True
        streams = len(self.streams.connections)
        emit(HOST_LEAVING, in_flight=len(self.executor.live()), streams=streams)
        self.streams.say_leaving(self.identity.incarnation)

    async def drain(self) -> int:
        """Leave, and wait until what is in flight has ended and was delivered.

        Returns
        -------
        int
            Attempts that were not finished within ``drain_limit``.
        """
        self.leave()
        until = self.clock() + self.settings.fleet.drain_limit
        while self.unfinished() and self.clock() < until:
            self.streams.ask_receipts()
            await asyncio.sleep(DRAIN_CHECK_SECONDS)
        unfinished = len(self.unfinished())
        emit(DRAIN_ENDED, unfinished=unfinished)
        return unfinished

    def unfinished(self) -> list[Attempt]:
        """Return the attempts that have not ended or whose answer is still awaited."""
        return [one for one in self.executor.attempts.values() if self.is_awaited(one)]

    def is_awaited(self, attempt: Attempt) -> bool:
        """Tell whether an attempt is to be waited for."""
        if not attempt.is_over():
            return True
        pending = [one for one in attempt.deliveries.values() if not one.is_received]
        if attempt.lost_at is not None:
            is_recent = self.clock() - attempt.lost_at < self.executor.resume_wait
            ended_before = attempt.lost_at - attempt.answer.ending.at
            is_open = ended_before < UNPROVED_SILENCES * self.silence
            return bool(pending) and is_recent and is_open
        return any(not delivery.is_lost() for delivery in pending)

    def status(self) -> EndpointStatus:
        """Return what operators are told of this process."""
        live = self.executor.live()
        states = [one.job.state for one in live]
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
            token_interval_s=self.executor.pace.interval_s,
        )

    def close(self) -> None:
        """Stop at once, without waiting for anything."""
        for task in [*self.tasks, *self.executor.tasks]:
            task.cancel()
        self.listener.stop()
        self.streams.close_all(reason="process ends")
