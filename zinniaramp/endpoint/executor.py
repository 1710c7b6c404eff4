"""Execution of the scheduler's actions at the engine."""

import asyncio
from collections import Counter
from collections.abc import Callable
from datetime import datetime, timedelta

from result import Err, Ok, Result

from ..answers.retention import AnswerStore
from ..clock import Clock
from ..contracts import Offer, Outcome, RefusalReason
from ..links import Connection
from ..observability import emit
from ..scheduling import (
    Admission,
    ExpireJob,
    Job,
    JobState,
    PauseJob,
    ResumeJob,
    Scheduler,
    ShedJob,
    StartJob,
)
from ..tickets.tombstones import Tombstones
from .attempts import Attempt
from .engine import EngineCall, EngineClient, EngineOrder
from .events import (
    ATTEMPT_ENDED,
    ATTEMPT_SCHEDULED,
)
from .metrics import PLACEMENTS, QUEUE_LENGTH, TOKENS_WASTED
from .orders import send_order
from .pace import IntervalEstimator
from .receiving import receive_response
from .responses import chat_call, plain_call
from .transfer import EngineError

__all__ = ["Executor"]

MIN_WAIT_SECONDS = 0.001
"""Shortest wait until the scheduler is run again for a due action, in seconds."""

MAX_ANSWER_TIME = timedelta(days=1)
"""Timeout of one chat request to the engine."""

CANCELLED_DETAIL = "cancelled"
"""Detail of the `End` of an attempt that was cancelled."""


class Executor:
    """Runs attempts at one engine in the order that the scheduler decides.

    Parameters
    ----------
    engine : EngineClient
        Client of the engine.
    is_chat : bool
        Whether the engine is a model engine; a plain service otherwise.
    scheduler : Scheduler
        Decides which attempts run; does no I/O.
    answers : AnswerStore
        Store of the retained answers.
    intervals : IntervalEstimator
        Observed intervals between tokens, for the silence timeout.
    resume_timeout : timedelta
        Time after which an attempt whose streams have all closed is cancelled if
        no stream resumes its answer.  Started attempts with a ticket continue.
    check_pause : callable
        Holds waiting attempts and returns true if the process was paused; called
        before attempts are started.
    expired_attempts : Tombstones
        Attempts that ran and whose answers are no longer retained.
    withdraw : callable
        Withdraws a ticket, by its serial, so that no attempt starts with it;
        returns whether that is certain.
    clock : Clock
        The process's clock.

    Attributes
    ----------
    attempts : dict of str to Attempt
        Accepted attempts by identifier, until the retention of their answers ends.
    aliases : dict of str to str
        Identifiers of attempts by those of later offers that joined them.
    held : set of str
        Accepted attempts that are not in the scheduler since this process was
        paused.
    tasks : set of asyncio.Task
        Running tasks.
    changed : asyncio.Event
        Set when the scheduler may have new actions.
    class_names : set of str
        Classes that have had waiting attempts.
    unrecorded_until : datetime
        Time until which `expired_attempts` may be incomplete because its limit was
        reached.
    unavailable_until : datetime
        Time until which the engine is considered unavailable.
    """

    def __init__(
        self,
        *,
        engine: EngineClient,
        is_chat: bool,
        scheduler: Scheduler,
        answers: AnswerStore,
        intervals: IntervalEstimator,
        resume_timeout: timedelta,
        check_pause: Callable[[], bool],
        expired_attempts: Tombstones,
        withdraw: Callable[[str], bool],
        clock: Clock,
    ):
        self.engine = engine
        self.is_chat = is_chat
        self.scheduler = scheduler
        self.answers = answers
        self.intervals = intervals
        self.resume_timeout = resume_timeout
        self.check_pause = check_pause
        self.expired_attempts = expired_attempts
        self.withdraw = withdraw
        self.clock = clock
        self.attempts: dict[str, Attempt] = {}
        self.aliases: dict[str, str] = {}
        self.held: set[str] = set()
        self.tasks: set[asyncio.Task] = set()
        self.changed = asyncio.Event()
        self.class_names: set[str] = set()
        self.unrecorded_until: datetime = clock()
        self.unavailable_until: datetime = clock()

    def spawn(self, coroutine) -> None:
        """Run a coroutine as a task and keep a reference until it ends."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self) -> None:
        """Execute the scheduler's actions whenever its state changes or one is due."""
        while True:
            self.changed.clear()
            self.run_due_actions()
            await self.wait_for_change()

    async def wait_for_change(self) -> None:
        """Wait until the state changes or a scheduler action is due."""
        due = self.scheduler.next_wakeup()
        if due is None:
            await self.changed.wait()
            return
        wait_s = max(MIN_WAIT_SECONDS, (due - self.clock()).total_seconds())
        try:
            async with asyncio.timeout(wait_s):
                await self.changed.wait()
        except TimeoutError:
            return

    def run_due_actions(self) -> None:
        """Execute all actions that the scheduler returns now."""
        self.check_pause()
        for action in self.scheduler.next_actions():
            self.execute(action)
        self.update_queue_metric()

    def execute(self, action) -> None:
        """Execute one action of the scheduler."""
        attempt = self.attempts[action.job.attempt_id]
        match action:
            case StartJob():
                self.log_decision(attempt, "start")
                self.start(attempt)
            case PauseJob():
                self.log_decision(attempt, "pause")
                self.spawn(send_order(self.engine, attempt, EngineOrder.PAUSE))
            case ResumeJob():
                self.log_decision(attempt, "resume")
                attempt.last_activity = self.clock()
                self.spawn(send_order(self.engine, attempt, EngineOrder.RESUME))
            case ExpireJob(retry_after=retry_after):
                self.log_decision(attempt, "expire")
                self.end_waiting(attempt, RefusalReason.DEADLINE, retry_after)
            case ShedJob(retry_after=retry_after):
                self.log_decision(attempt, "shed")
                self.end_waiting(attempt, RefusalReason.OVERLOADED, retry_after)

    def log_decision(self, attempt: Attempt, decision: str) -> None:
        """Log and count one decision of the scheduler with the job's state and load."""
        job, now, load = attempt.job, self.clock(), self.scheduler.load()
        PLACEMENTS.labels(job.class_name, decision, "").inc()
        emit(
            ATTEMPT_SCHEDULED,
            attempt=job.attempt_id,
            decision=decision,
            **{"class": job.class_name},
            workspace=job.workspace,
            tokens=job.tokens,
            waited_s=round((now - job.arrived).total_seconds(), 3),
            slack_s=round((job.deadline - now).total_seconds(), 3),
            floor_s=round(self.scheduler.remaining_protection_s(job.attempt_id), 3),
            running=load.running,
            width=load.width,
            queued=load.queued,
        )

    def update_queue_metric(self) -> None:
        """Update the gauge of waiting attempts."""
        for name, count in self.waiting_by_class().items():
            QUEUE_LENGTH.labels(name).set(count)

    def waiting_by_class(self) -> dict[str, int]:
        """Return the number of waiting attempts of each class seen so far."""
        waiting = Counter(
            attempt.job.class_name
            for attempt in self.live()
            if attempt.job.state is JobState.WAITING
        )
        self.class_names.update(waiting)
        return {name: waiting[name] for name in self.class_names}

    def live(self) -> list[Attempt]:
        """Return the attempts that have not ended."""
        names = self.answers.unfinished
        return [self.attempts[name] for name in names if name in self.attempts]

    def may_have_run(self, attempt_id: str) -> bool:
        """Return whether an attempt that has no record here may have run."""
        return (
            self.clock() < self.unrecorded_until or attempt_id in self.expired_attempts
        )

    def is_available(self) -> bool:
        """Return whether no connection to the engine has failed recently."""
        return self.clock() >= self.unavailable_until

    def find(self, attempt_id: str) -> Attempt | None:
        """Return the attempt with an identifier, which may be an alias."""
        return self.attempts.get(self.aliases.get(attempt_id, attempt_id))

    def admit(self, job: Job) -> Admission:
        """Offer a job to the scheduler.

        Notes
        -----
        If the scheduler refuses, its due actions are executed and the job is offered
        once more.  A job is thus refused only after waiting jobs have preempted the
        lower-priority jobs that they may preempt.
        """
        admission = self.scheduler.offer(job)
        if admission.is_admitted:
            return admission
        self.run_due_actions()
        return self.scheduler.offer(job)

    def register(self, offer: Offer, job: Job, *, serial: str | None) -> Attempt:
        """Register an attempt whose job the scheduler has admitted.

        Parameters
        ----------
        offer : Offer
            The offer that was accepted.
        job : Job
            The attempt's entry in the scheduler.
        serial : str or None
            Serial of its ticket; None if the attempt may be repeated.
        """
        attempt = Attempt(
            offer=offer,
            job=job,
            answer=self.answers.open(offer.attempt_id),
            serial=serial,
            last_activity=self.clock(),
        )
        self.attempts[offer.attempt_id] = attempt
        self.changed.set()
        return attempt

    def start(self, attempt: Attempt) -> None:
        """Send an attempt to the engine; called at most once for each attempt."""
        match self.build_call(attempt):
            case Err(error):
                self.end(attempt, Outcome.NOT_RUN, str(error))
            case Ok(call):
                attempt.is_dispatched = True
                attempt.last_activity = self.clock()
                attempt.transfer = self.engine.send(call)
                attempt.drop_body()
                self.spawn(receive_response(self, attempt, attempt.transfer))

    def build_call(self, attempt: Attempt) -> Result[EngineCall, EngineError]:
        """Return the HTTP call that runs an attempt.

        Notes
        -----
        A chat answer that has begun is still useful after its deadline.  It ends
        early only if the engine is silent, the caller cancels it or
        `MAX_ANSWER_TIME` has passed.
        """
        offer = attempt.offer
        if self.is_chat:
            entry = self.scheduler.entries.get(attempt.attempt_id)
            priority = entry.tier if entry else 0
            return chat_call(offer, priority=priority, timeout=MAX_ANSWER_TIME)
        timeout = attempt.job.deadline - self.clock()
        if not attempt.is_repeatable:
            timeout += self.answers.retention
        service = self.scheduler.declarations.services.get(offer.target)
        limit = service.timeout if service else timeout
        return plain_call(offer, timeout=min(timeout, limit))

    def cancel_at_engine(self, attempt: Attempt) -> None:
        """Abort the transfer and order the engine to cancel the request."""
        attempt.transfer.abort()
        if self.is_chat:
            self.spawn(send_order(self.engine, attempt, EngineOrder.CANCEL))

    def end_waiting(
        self, attempt: Attempt, reason: RefusalReason, retry_after: timedelta
    ) -> None:
        """End a waiting attempt as not run."""
        self.end(attempt, Outcome.NOT_RUN, reason, retry_after=retry_after)

    def end(
        self,
        attempt: Attempt,
        outcome: Outcome,
        detail: str,
        *,
        retry_after: timedelta = timedelta(0),
    ) -> None:
        """Record the end of an attempt and deliver it."""
        is_done = outcome is Outcome.DONE
        self.held.discard(attempt.attempt_id)
        self.scheduler.remove(attempt.attempt_id, is_finished=is_done)
        if outcome is Outcome.NOT_RUN and attempt.serial:
            outcome = outcome if self.withdraw(attempt.serial) else Outcome.UNKNOWN
        self.answers.finish(
            attempt.answer, outcome, str(detail), retry_after=retry_after
        )
        attempt.drop_body()
        wasted = 0 if is_done else attempt.answer.tokens
        TOKENS_WASTED.labels(attempt.job.class_name).inc(wasted)
        emit(
            ATTEMPT_ENDED,
            attempt=attempt.attempt_id,
            outcome=outcome.value,
            tokens=attempt.answer.tokens,
            wasted=wasted,
            detail=str(detail),
        )
        attempt.deliver()
        self.changed.set()

    def cancel(self, attempt: Attempt) -> bool:
        """Cancel an attempt if that is allowed; return whether it may have run.

        An attempt with a ticket is not cancelled once it has been sent to the engine.
        """
        if attempt.has_ended():
            return attempt.answer.ending.outcome is not Outcome.NOT_RUN
        if not attempt.is_dispatched:
            self.end(attempt, Outcome.NOT_RUN, CANCELLED_DETAIL)
            return False
        if attempt.is_repeatable:
            self.cancel_at_engine(attempt)
            self.end(attempt, Outcome.UNKNOWN, CANCELLED_DETAIL)
        return True

    def record_disconnects(self, connection: Connection) -> None:
        """Record the attempts that have lost their last stream."""
        for attempt in self.attempts.values():
            is_disconnected = all(
                delivery.is_disconnected() for delivery in attempt.deliveries.values()
            )
            if is_disconnected and attempt.disconnected_at is None:
                attempt.disconnected_at = self.clock()

    def requeue(self, attempt: Attempt) -> None:
        """Mark an attempt as connected; if held, offer it to the scheduler again."""
        attempt.disconnected_at = None
        if attempt.attempt_id not in self.held:
            return
        self.held.discard(attempt.attempt_id)
        admission = self.scheduler.offer(attempt.job)
        if not admission.is_admitted:
            self.end_waiting(attempt, admission.reason, admission.retry_after)
        self.changed.set()
