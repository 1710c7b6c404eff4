"""Carries out the scheduler's actions at the engine."""

import asyncio
from collections import Counter
from collections.abc import Callable
from datetime import datetime, timedelta

from result import Err, Ok, Result

from ..answers.retention import AnswerStore
from ..clock import Clock
from ..contracts import Head, Offer, Outcome, RefusalReason
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
from .engine import EngineCall, EngineClient, EngineError, EngineOrder, Transfer
from .events import (
    ATTEMPT_ENDED,
    ATTEMPT_SCHEDULED,
    ENGINE_ORDER_FAILED,
    ENGINE_SILENT,
)
from .metrics import PLACEMENTS, QUEUE_LENGTH, TOKENS_GENERATED, TOKENS_WASTED
from .pace import Pace
from .responses import ResponseReader, chat_call, plain_call

__all__ = ["Executor"]

COALESCE_SECONDS = 0.005
"""Time for which tokens are collected into one chunk, in seconds."""

LEAST_WAIT_SECONDS = 0.001
"""Least time between two looks at the scheduler if nothing happens, in seconds."""

NEVER_SENT_PAUSE = timedelta(seconds=1)
"""How long offers are refused after the engine could not be connected to."""

LONGEST_ANSWER = timedelta(days=1)
"""Longest time of one chat answer at the engine."""

CANCELLED_DETAIL = "cancelled"
"""Detail of the end of an attempt that was cancelled."""

SILENT_DETAIL = "engine-silent"
"""Detail of the end of an attempt whose engine fell silent."""


class Executor:
    """Runs attempts at one engine in the order that the scheduler decides.

    Parameters
    ----------
    engine : EngineClient
        Client of the engine.
    is_chat : bool
        Whether it is a model engine; a plain service otherwise.
    scheduler : Scheduler
        Decides; does no input or output.
    answers : AnswerStore
        Where answers are retained.
    pace : Pace
        Observed speed.
    resume_wait : timedelta
        How long an attempt waits for a stream to take its answer again.
    check_pause : callable
        Called before anything is started; holds waiting work if the process was
        paused.
    forgotten : Tombstones
        Attempts that ran, whose answers are not retained any more.
    withdraw : callable
        Makes sure that a ticket, by its serial, never runs; tells whether that is
        certain.
    clock : Clock
        The process's clock.
    """

    def __init__(
        self,
        *,
        engine: EngineClient,
        is_chat: bool,
        scheduler: Scheduler,
        answers: AnswerStore,
        pace: Pace,
        resume_wait: timedelta,
        check_pause: Callable[[], bool],
        forgotten: Tombstones,
        withdraw: Callable[[str], bool],
        clock: Clock,
    ):
        self.engine = engine
        self.is_chat = is_chat
        self.scheduler = scheduler
        self.answers = answers
        self.pace = pace
        self.resume_wait = resume_wait
        self.check_pause = check_pause
        self.forgotten = forgotten
        self.withdraw = withdraw
        self.clock = clock
        self.attempts: dict[str, Attempt] = {}
        self.aliases: dict[str, str] = {}
        self.held: set[str] = set()
        self.tasks: set[asyncio.Task] = set()
        self.changed = asyncio.Event()
        self.class_names: set[str] = set()
        self.forgot_until: datetime = clock()
        self.unavailable_until: datetime = clock()

    def spawn(self, coroutine) -> None:
        """Run a coroutine as a task that is kept until it ends."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self) -> None:
        """Carry out actions whenever something happened or is due."""
        while True:
            self.changed.clear()
            self.advance()
            await self.wait_for_change()

    async def wait_for_change(self) -> None:
        """Wait until something happened or the scheduler is due."""
        due = self.scheduler.next_wakeup()
        if due is None:
            await self.changed.wait()
            return
        wait_s = max(LEAST_WAIT_SECONDS, (due - self.clock()).total_seconds())
        try:
            async with asyncio.timeout(wait_s):
                await self.changed.wait()
        except TimeoutError:
            return

    def advance(self) -> None:
        """Carry out what the scheduler wants done now."""
        self.check_pause()
        for action in self.scheduler.next_actions():
            self.carry_out(action)
        self.count_queue()

    def carry_out(self, action) -> None:
        """Carry out one action."""
        attempt = self.attempts[action.job.attempt_id]
        match action:
            case StartJob():
                self.note_decision(attempt, "start")
                self.start(attempt)
            case PauseJob():
                self.note_decision(attempt, "pause")
                self.spawn(self.order(attempt, EngineOrder.PAUSE))
            case ResumeJob():
                self.note_decision(attempt, "resume")
                attempt.active_at = self.clock()
                self.spawn(self.order(attempt, EngineOrder.RESUME))
            case ExpireJob(retry_after=retry_after):
                self.note_decision(attempt, "expire")
                self.end_waiting(attempt, RefusalReason.DEADLINE, retry_after)
            case ShedJob(retry_after=retry_after):
                self.note_decision(attempt, "shed")
                self.end_waiting(attempt, RefusalReason.OVERLOADED, retry_after)

    def note_decision(self, attempt: Attempt, decision: str) -> None:
        """Log one decision of the scheduler with what was weighed."""
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

    def count_queue(self) -> None:
        """Bring the gauge of waiting attempts up to date."""
        for name, count in self.waiting_by_class().items():
            QUEUE_LENGTH.labels(name).set(count)

    def waiting_by_class(self) -> dict[str, int]:
        """Return the number of waiting attempts of each class seen so far."""
        waiting = Counter(
            one.job.class_name
            for one in self.live()
            if one.job.state is JobState.WAITING
        )
        self.class_names.update(waiting)
        return {name: waiting[name] for name in self.class_names}

    def live(self) -> list[Attempt]:
        """Return the attempts that have not ended."""
        names = self.answers.unfinished
        return [self.attempts[name] for name in names if name in self.attempts]

    def may_have_run(self, attempt_id: str) -> bool:
        """Tell whether an attempt that is not known any more may have run here."""
        return self.clock() < self.forgot_until or attempt_id in self.forgotten

    def is_available(self) -> bool:
        """Tell whether the engine could be connected to lately."""
        return self.clock() >= self.unavailable_until

    def find(self, attempt_id: str) -> Attempt | None:
        """Return the attempt that goes by an identity, its own or an alias."""
        return self.attempts.get(self.aliases.get(attempt_id, attempt_id))

    def admit(self, job: Job) -> Admission:
        """Ask the scheduler to take a job.

        Notes
        -----
        Before a job is refused, those that wait get the slots that they may take
        from lower classes, so that none of these holds one meanwhile.
        """
        admission = self.scheduler.offer(job)
        if admission.is_admitted:
            return admission
        self.advance()
        return self.scheduler.offer(job)

    def take(self, offer: Offer, job: Job, *, serial: str | None) -> Attempt:
        """Hold an attempt whose job the scheduler has taken.

        Parameters
        ----------
        offer : Offer
            The attempt.
        job : Job
            The attempt as the scheduler sees it.
        serial : str or None
            Serial of its ticket, if it may not be repeated.
        """
        attempt = Attempt(
            offer=offer,
            job=job,
            answer=self.answers.open(offer.attempt_id),
            serial=serial,
            active_at=self.clock(),
        )
        self.attempts[offer.attempt_id] = attempt
        self.changed.set()
        return attempt

    def start(self, attempt: Attempt) -> None:
        """Hand an attempt to the engine; this happens at most once."""
        match self.call_of(attempt):
            case Err(error):
                self.end(attempt, Outcome.NOT_RUN, str(error))
            case Ok(call):
                attempt.is_handed_over = True
                attempt.active_at = self.clock()
                attempt.transfer = self.engine.send(call)
                attempt.drop_body()
                self.spawn(self.run_attempt(attempt, attempt.transfer))

    def call_of(self, attempt: Attempt) -> Result[EngineCall, EngineError]:
        """Return the call that runs an attempt.

        Notes
        -----
        A chat answer that has begun is worth finishing after its deadline, so only
        the engine's silence, its caller or `LONGEST_ANSWER` ends it.
        """
        offer = attempt.offer
        if self.is_chat:
            entry = self.scheduler.entries.get(attempt.attempt_id)
            priority = entry.tier if entry else 0
            return chat_call(offer, priority=priority, timeout=LONGEST_ANSWER)
        timeout = attempt.job.deadline - self.clock()
        if not attempt.is_repeatable:
            timeout += self.answers.retention
        service = self.scheduler.declarations.services.get(offer.target)
        limit = service.timeout if service else timeout
        return plain_call(offer, timeout=min(timeout, limit))

    async def run_attempt(self, attempt: Attempt, transfer: Transfer) -> None:
        """Take the engine's answer until it ends."""
        reader = ResponseReader(is_chat=self.is_chat)
        while reader.end is None and not attempt.is_over():
            if not await self.wait_for_item(attempt, transfer):
                self.end_silent(attempt)
                return
            for item in transfer.take():
                reader.read(item)
            self.take_answer(attempt, reader)
        if attempt.is_over():
            return
        if reader.end.outcome is Outcome.NOT_RUN:
            self.unavailable_until = self.clock() + NEVER_SENT_PAUSE
        self.end(attempt, reader.end.outcome, reader.end.detail)

    async def wait_for_item(self, attempt: Attempt, transfer: Transfer) -> bool:
        """Wait until the engine gives something; return false if it is silent."""
        is_first = not attempt.answer.tokens
        while not transfer.items:
            bound = self.pace.silence_bound(is_first=is_first)
            rest = attempt.active_at + bound - self.clock()
            is_generating = self.is_chat and attempt.job.state is JobState.RUNNING
            if is_generating and rest <= timedelta(0) and not self.check_pause():
                return False
            await transfer.wait((rest if is_generating else bound).total_seconds())
        if not is_first:
            await asyncio.sleep(COALESCE_SECONDS)
        return True

    def take_answer(self, attempt: Attempt, reader: ResponseReader) -> None:
        """Retain what the engine has given, and send it on."""
        if attempt.is_over():
            return
        is_first = not attempt.answer.tokens
        self.note_pace(attempt)
        if reader.head is not None and attempt.answer.head is None:
            attempt.answer.head = Head(
                attempt_id=attempt.attempt_id,
                status=reader.head.status,
                headers=reader.head.headers,
            )
        for piece in reader.take_pieces():
            self.answers.append(attempt.answer, piece)
            if piece.tokens:
                self.scheduler.record_tokens(attempt.attempt_id, piece.tokens)
                TOKENS_GENERATED.labels(attempt.job.class_name).inc(piece.tokens)
        if is_first and attempt.answer.tokens:
            self.changed.set()
        if reader.end is None:
            attempt.deliver()

    def note_pace(self, attempt: Attempt) -> None:
        """Note a sign of life from the engine."""
        now = self.clock()
        if attempt.job.state is JobState.RUNNING:
            is_first = not attempt.answer.tokens
            self.pace.note(now - attempt.active_at, is_first=is_first)
        attempt.active_at = now

    def end_silent(self, attempt: Attempt) -> None:
        """End an attempt whose engine gives nothing any more."""
        if attempt.is_over():
            return
        bound = self.pace.silence_bound(is_first=not attempt.answer.tokens)
        emit(
            ENGINE_SILENT,
            attempt=attempt.attempt_id,
            bound_s=bound.total_seconds(),
            tokens=attempt.answer.tokens,
        )
        self.stop_engine(attempt)
        self.end(attempt, Outcome.UNKNOWN, SILENT_DETAIL)

    def stop_engine(self, attempt: Attempt) -> None:
        """End the transfer and tell the engine to stop."""
        attempt.transfer.abort()
        if self.is_chat:
            self.spawn(self.order(attempt, EngineOrder.CANCEL))

    def end_waiting(
        self, attempt: Attempt, reason: RefusalReason, retry_after: timedelta
    ) -> None:
        """End an attempt that waited and will not start."""
        self.end(attempt, Outcome.NOT_RUN, reason, retry_after=retry_after)

    def end(
        self,
        attempt: Attempt,
        outcome: Outcome,
        detail: str,
        *,
        retry_after: timedelta = timedelta(0),
    ) -> None:
        """Note the end of an attempt and send it on."""
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
        """Stop an attempt if it may be stopped; return whether it ever ran."""
        if attempt.is_over():
            return attempt.answer.ending.outcome is not Outcome.NOT_RUN
        if not attempt.is_handed_over:
            self.end(attempt, Outcome.NOT_RUN, CANCELLED_DETAIL)
            return False
        if attempt.is_repeatable:
            self.stop_engine(attempt)
            self.end(attempt, Outcome.UNKNOWN, CANCELLED_DETAIL)
        return True

    async def order(self, attempt: Attempt, order: str) -> None:
        """Give the engine an order; orders about one attempt keep their sequence."""
        async with attempt.order_lock:
            answer = await self.engine.order(attempt.attempt_id, order)
        match answer:
            case Ok(status) if status < 400:
                return
            case Ok(status):
                error = f"status {status}"
            case Err(found):
                error = str(found)
        emit(
            ENGINE_ORDER_FAILED,
            attempt=attempt.attempt_id,
            order=order,
            error=error,
        )

    def note_lost(self, connection: Connection) -> None:
        """Note that a stream has closed."""
        for attempt in self.attempts.values():
            is_lost = all(one.is_lost() for one in attempt.deliveries.values())
            if is_lost and attempt.lost_at is None:
                attempt.lost_at = self.clock()

    def hold_waiting(self) -> int:
        """Take back what was accepted and not started; return how much.

        Notes
        -----
        Time that this process slept through says nothing about the engine, so
        the wait for its next sign of life starts again.
        """
        for attempt in self.live():
            attempt.active_at = self.clock()
            if not attempt.is_handed_over:
                self.scheduler.remove(attempt.attempt_id)
                self.held.add(attempt.attempt_id)
        return len(self.held)

    def release(self, attempt: Attempt) -> None:
        """Let an attempt wait for its start again, as its entry still wants it."""
        attempt.lost_at = None
        if attempt.attempt_id not in self.held:
            return
        self.held.discard(attempt.attempt_id)
        admission = self.scheduler.offer(attempt.job)
        if not admission.is_admitted:
            self.end_waiting(attempt, admission.reason, admission.retry_after)
        self.changed.set()

    def forget_and_abandon(self) -> None:
        """End what nobody takes any more and forget what was retained long enough."""
        now = self.clock()
        for attempt in self.live():
            is_held = attempt.attempt_id in self.held
            is_lost = attempt.lost_at is not None
            is_abandoned = is_lost and now - attempt.lost_at > self.resume_wait
            if is_abandoned and (is_held or attempt.is_repeatable):
                self.cancel(attempt)
            elif is_held and now >= attempt.job.deadline:
                self.end(attempt, Outcome.NOT_RUN, RefusalReason.DEADLINE)
        for attempt_id in self.answers.forget_expired():
            attempt = self.attempts.pop(attempt_id)
            if attempt.is_handed_over and not self.forgotten.add(attempt_id):
                self.forgot_until = now + self.forgotten.retention
            for alias in attempt.deliveries:
                self.aliases.pop(alias, None)
