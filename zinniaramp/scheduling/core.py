"""Decides what one engine runs; does no input or output itself.

The endpoint process tells the scheduler what happened and then carries out the
actions that `Scheduler.next_actions` returns.
"""

import math
from datetime import UTC, datetime, timedelta
from operator import attrgetter
from statistics import median

from sortedcontainers import SortedKeyList

from ..clock import Clock
from ..contracts import Load, RefusalReason
from ..declarations import ClassDeclaration, Declarations, class_for
from .admission import (
    INFLOW_MEMORY_S,
    EngineView,
    Newcomer,
    admitted,
    predict_wait,
    refused,
)
from .entries import Entry
from .estimates import LengthEstimates, SpeedEstimate
from .floor import (
    MAX_QUANTUM_S,
    QUANTUM_S,
    accrue_floors,
    due_entry,
    floor_slots,
)
from .jobs import (
    Action,
    Admission,
    ExpireJob,
    Job,
    JobState,
    PauseJob,
    ResumeJob,
    ShedJob,
    StartJob,
)
from .order import ClassState, first_entry
from .orders import DEFAULT_ADMISSION, DEFAULT_ORDER, ORDERS
from .preemption import CLOCK_STEP_S, choose_victim
from .prompts import hold_end, may_start

__all__ = [
    "Action",
    "Admission",
    "ExpireJob",
    "Job",
    "JobState",
    "PauseJob",
    "ResumeJob",
    "Scheduler",
    "ShedJob",
    "StartJob",
]

MAX_QUEUED = 5000
"""Waiting jobs that a scheduler holds at most, whatever their predicted wait."""

OVERDUE_QUANTA = 2
"""Quanta of its floor after which a class's long prompt waits for no short one."""

HIGHEST_TIER = 1
"""Tier that is served first."""


class Scheduler:
    """Decides the order in which one engine runs its jobs.

    Parameters
    ----------
    width : int
        Slots of the engine.
    declarations : Declarations
        Declarations in force.
    clock : Clock
        The process's clock.
    max_queued : int
        Jobs that wait for their first slot at most.  Paused jobs are not
        counted; a class never has more of them than the width.
    order : str
        Name in `zinniaramp.scheduling.orders.ORDERS`.
    admission : str
        Name in `zinniaramp.scheduling.orders.ADMISSIONS`.
    """

    def __init__(
        self,
        *,
        width: int,
        declarations: Declarations,
        clock: Clock,
        max_queued: int = MAX_QUEUED,
        order: str = DEFAULT_ORDER,
        admission: str = DEFAULT_ADMISSION,
    ):
        self.width = width
        self.declarations = declarations
        self.clock = clock
        self.max_queued = max_queued
        self.order = ORDERS[order]
        self.refuses_early = admission == DEFAULT_ADMISSION
        self.entries: dict[str, Entry] = {}
        self.running: dict[str, Entry] = {}
        self.states: dict[tuple[str, int], ClassState] = {}
        self.deadlines = SortedKeyList(key=attrgetter("job.deadline"))
        self.shed: list[ShedJob] = []
        self.lengths = LengthEstimates()
        self.speed = SpeedEstimate()
        self.accounted_at = clock().timestamp()
        self.offered = 0

    def use_declarations(self, declarations: Declarations) -> None:
        """Take a new revision into use for jobs offered from now on."""
        self.declarations = declarations
        seen = map(self.order.declare, declarations.classes.values())
        declared = {(item.name, item.tier) for item in seen}
        self.states = {
            key: state
            for key, state in self.states.items()
            if not state.is_idle() or key in declared
        }

    def offer(self, job: Job) -> Admission:
        """Decide whether to take a job; a taken job waits for a slot.

        Notes
        -----
        A job of a class that the declarations in force lack is refused with
        ``REVISION``.  An attempt that is already held is admitted once only.
        """
        if job.attempt_id in self.entries:
            return admitted(0.0)
        declaration = job.declaration or self._class_of(job)
        if declaration is None:
            return refused(RefusalReason.REVISION, wait=0.0, limit=0.0)
        now = self._advance()
        entry = self._new_entry(job, self.order.declare(declaration))
        admission = self._decide(entry, now)
        if admission.is_admitted:
            self._take(entry)
        return admission

    def next_actions(self) -> list[Action]:
        """Return what is to be done now and note it as done."""
        now = self._advance()
        actions: list[Action] = [*self.shed, *self._expire()]
        self.shed = []
        while (entry := self._next_entry(now)) is not None:
            if len(self.running) >= self.width:
                victim = choose_victim(self.running.values(), tier=entry.tier, now=now)
                if victim is None:
                    break
                actions.append(self._pause(victim))
            actions.append(self._start(entry, now))
        return actions

    def next_wake(self) -> datetime | None:
        """Return when `next_actions` is due even if nothing happens before."""
        times = []
        if self.shed:
            times.append(self.clock())
        if self.deadlines:
            times.append(self.deadlines[0].job.deadline)
        first = first_entry(self.states.values())
        if first is not None:
            times += self._protection_ends(first)
            times += self._hold_ends()
        return min(times, default=None)

    def note_tokens(self, attempt_id: str, count: int) -> None:
        """Note tokens that the engine has generated for a job."""
        entry = self.entries.get(attempt_id)
        if entry is None or count <= 0:
            return
        now = self.clock().timestamp()
        self.speed.advance(now)
        if entry.job.state is JobState.RUNNING and not entry.is_generating:
            self._note_first_token(entry, now)
        self.speed.add_tokens(count)
        entry.job.tokens += count
        covered = min(entry.prepaid_tokens, count)
        entry.prepaid_tokens -= covered
        if count > covered:
            self._state_of(entry).queue.charge(entry, count - covered)

    def remove(self, attempt_id: str, *, is_finished: bool = True) -> JobState | None:
        """Forget a job that ended or was cancelled; return where it was.

        Parameters
        ----------
        attempt_id : str
            The attempt.
        is_finished : bool
            Whether the engine ended its answer; only then is its length learnt.
        """
        entry = self.entries.pop(attempt_id, None)
        if entry is None:
            return None
        self._advance()
        state = self._state_of(entry)
        if entry.job.state is JobState.RUNNING:
            self._leave_slot(entry)
            if is_finished:
                self.lengths.add(
                    entry.job.class_name, entry.job.workspace, entry.job.tokens
                )
        else:
            self._leave_queue(entry)
        if entry.prepaid_tokens:
            state.queue.charge(entry, -entry.prepaid_tokens)
        return entry.job.state

    def load(self) -> Load:
        """Return the load digest to send to entries."""
        self._advance()
        seen = map(self.order.declare, self.declarations.classes.values())
        lowest = max((one.tier for one in seen), default=HIGHEST_TIER)
        return Load(
            running=len(self.running),
            width=self.width,
            queued=len(self.entries) - len(self.running),
            queue_s=self._predict(Newcomer(tier=lowest)),
            urgent_s=self._predict(Newcomer(tier=HIGHEST_TIER)),
            tokens_per_s=self.speed.tokens_per_s() * self.speed.generating,
        )

    def protection_s(self, attempt_id: str) -> float:
        """Return the seconds for which a job's slot is its class's floor."""
        entry = self.running.get(attempt_id)
        if entry is None:
            return 0.0
        return max(0.0, entry.protected_until - self.clock().timestamp())

    def _advance(self) -> float:
        """Account for the time since the last call; return the current time."""
        now = self.clock().timestamp()
        elapsed = max(0.0, now - self.accounted_at)
        self.accounted_at = now
        self.speed.advance(now)
        states = self.states.values()
        running = self.running.values()
        accrue_floors(states, running, width=self.width, now=now, elapsed=elapsed)
        kept = math.exp(-elapsed / INFLOW_MEMORY_S)
        for state in states:
            state.inflow_s *= kept
        return now

    def _class_of(self, job: Job) -> ClassDeclaration | None:
        if job.class_name not in self.declarations.classes:
            return None
        return class_for(self.declarations, job.class_name, job.workspace)

    def _new_entry(self, job: Job, declaration: ClassDeclaration) -> Entry:
        self.offered += 1
        workspace = self.declarations.workspaces.get(job.workspace)
        return Entry(
            job=job,
            declaration=declaration,
            key=self.order.key(job, declaration, self.offered),
            weight=workspace.weight if workspace else 1.0,
            predicted_tokens=self.lengths.remaining(job.class_name, job.workspace),
        )

    def _decide(self, entry: Entry, now: float) -> Admission:
        wait = self._predict(self._newcomer(entry))
        remaining = entry.job.deadline.timestamp() - now
        declared = entry.declaration.queue_limit
        limit = (declared or self.declarations.defaults.queue_limit).total_seconds()
        if self.refuses_early:
            if remaining <= wait:
                return refused(RefusalReason.DEADLINE, wait=wait, limit=limit)
            if wait > limit and not self._is_floor_in_the_way(entry, now):
                return refused(RefusalReason.OVERLOADED, wait=wait, limit=limit)
        if len(self.deadlines) >= self.max_queued and not self._shed_for(entry):
            return refused(RefusalReason.OVERLOADED, wait=wait, limit=limit)
        return admitted(wait)

    def _is_floor_in_the_way(self, entry: Entry, now: float) -> bool:
        """Tell whether a higher-numbered tier holds a slot for its quantum."""
        return any(
            other.tier > entry.tier
            and other.is_pausable
            and other.protected_until > now
            for other in self.running.values()
        )

    def _shed_for(self, entry: Entry) -> bool:
        """Shed a waiting job of a higher-numbered tier; tell whether there was one."""
        states = [
            state
            for state in self.states.values()
            if state.tier > entry.tier and state.waiting
        ]
        if not states:
            return False
        victim = max(states, key=attrgetter("tier")).waiting[-1]
        del self.entries[victim.job.attempt_id]
        self._leave_queue(victim)
        self.shed.append(ShedJob(job=victim.job, retry_after=self._retry_after(victim)))
        return True

    def _retry_after(self, entry: Entry) -> timedelta:
        """Return when a job that was taken out of the queue would start at once."""
        wait = self._predict(self._newcomer(entry))
        return refused(RefusalReason.OVERLOADED, wait=wait, limit=0.0).retry_after

    def _take(self, entry: Entry) -> None:
        declaration = entry.declaration
        key = (declaration.name, declaration.tier)
        floor = declaration.floor or self.declarations.defaults.floor
        if key not in self.states:
            self.states[key] = ClassState(
                name=declaration.name,
                tier=declaration.tier,
                floor=floor,
                is_fair=self.order.is_fair,
            )
        state = self.states[key]
        state.floor = floor
        state.inflow_s += self._engine().service_s(1, entry.predicted_tokens)
        entry.job.state = JobState.WAITING
        state.add(entry)
        self.deadlines.add(entry)
        self.entries[entry.job.attempt_id] = entry

    def _state_of(self, entry: Entry) -> ClassState:
        return self.states[entry.declaration.name, entry.declaration.tier]

    def _newcomer(self, entry: Entry) -> Newcomer:
        return Newcomer(
            tier=entry.tier,
            class_name=entry.job.class_name if self.order.is_fair else "",
            workspace=entry.job.workspace,
            weight=entry.weight,
            tokens=entry.predicted_tokens,
            floor=entry.declaration.floor or self.declarations.defaults.floor,
        )

    def _predict(self, newcomer: Newcomer) -> float:
        return predict_wait(
            newcomer,
            states=self.states.values(),
            running=self.running.values(),
            engine=self._engine(),
        )

    def _engine(self) -> EngineView:
        silences = [
            0.0 if entry.is_generating else self.accounted_at - entry.started_at
            for entry in self.running.values()
        ]
        silence = median(silences) if silences else 0.0
        return EngineView(
            width=self.width,
            tokens_per_s=self.speed.tokens_per_s(),
            first_token_s=max(self.speed.first_token_s, silence),
        )

    def _expire(self) -> list[ExpireJob]:
        now = self.clock()
        expired = []
        while self.deadlines and self.deadlines[0].job.deadline <= now:
            entry = self.deadlines[0]
            del self.entries[entry.job.attempt_id]
            self._leave_queue(entry)
            retry_after = self._retry_after(entry)
            expired.append(ExpireJob(job=entry.job, retry_after=retry_after))
        return expired

    def _next_entry(self, now: float) -> Entry | None:
        states = self.states.values()
        protected = sum(e.protected_until > now for e in self.running.values())
        is_free = len(self.running) < self.width
        is_startable = may_start(self.running.values(), now)
        has_room = is_free and protected < floor_slots(self.width)
        if self.order.has_floor and has_room:
            due = due_entry(states)
            if due is not None and self._may_start_due(due, now):
                state = self._state_of(due)
                due.protected_until = now + state.grant_quantum(now, MAX_QUANTUM_S)
                return due
        return first_entry(states, is_startable)

    def _may_start_due(self, due: Entry, now: float) -> bool:
        is_overdue = self._state_of(due).deficit_s >= OVERDUE_QUANTA * QUANTUM_S
        check = may_start(self.running.values(), now, is_overdue=is_overdue)
        return check(due)

    def _start(self, entry: Entry, now: float) -> StartJob | ResumeJob:
        state = self._state_of(entry)
        is_new = entry.job.state is JobState.WAITING
        self._leave_queue(entry)
        entry.job.state = JobState.RUNNING
        entry.started_at = now
        entry.is_generating = False
        self.running[entry.job.attempt_id] = entry
        state.running += 1
        if is_new:
            entry.prepaid_tokens = entry.predicted_tokens
            state.queue.charge(entry, entry.prepaid_tokens)
            return StartJob(job=entry.job)
        return ResumeJob(job=entry.job)

    def _pause(self, entry: Entry) -> PauseJob:
        self._leave_slot(entry)
        entry.job.state = JobState.PAUSED
        self._state_of(entry).add(entry)
        return PauseJob(job=entry.job)

    def _leave_queue(self, entry: Entry) -> None:
        self._state_of(entry).remove(entry)
        if entry.job.state is JobState.WAITING:
            self.deadlines.remove(entry)

    def _leave_slot(self, entry: Entry) -> None:
        del self.running[entry.job.attempt_id]
        state = self._state_of(entry)
        state.running -= 1
        state.deficit_s += max(0.0, entry.protected_until - self.accounted_at)
        entry.protected_until = 0.0
        if entry.is_generating:
            self.speed.generating -= 1

    def _note_first_token(self, entry: Entry, now: float) -> None:
        entry.is_generating = True
        self.speed.generating += 1
        if entry.job.tokens == 0:
            self.speed.add_first_token(now - entry.started_at)

    def _hold_ends(self) -> list[datetime]:
        end = hold_end(self.running.values(), self.accounted_at)
        if end is None:
            return []
        step = timedelta(seconds=CLOCK_STEP_S)
        return [datetime.fromtimestamp(end, UTC) + step]

    def _protection_ends(self, first: Entry) -> list[datetime]:
        return [
            datetime.fromtimestamp(entry.protected_until, UTC)
            + timedelta(seconds=CLOCK_STEP_S)
            for entry in self.running.values()
            if entry.tier > first.tier
            and entry.is_pausable
            and entry.protected_until > self.accounted_at
        ]
