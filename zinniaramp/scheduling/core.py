"""Scheduler of one engine; performs no input or output itself.

The endpoint process reports events to the scheduler and then carries out the
actions that `Scheduler.next_actions` returns.
"""

import math
from datetime import UTC, datetime, timedelta
from operator import attrgetter
from statistics import median

from sortedcontainers import SortedKeyList

from ..clock import Clock
from ..contracts import Load, RefusalReason
from ..declarations import ClassDeclaration, Declarations, resolve_class
from .admission import (
    DEMAND_TIME_CONSTANT_S,
    Candidate,
    EngineCapacity,
    admitted,
    predict_wait,
    refused,
)
from .entries import JobEntry
from .estimates import LengthEstimates, SpeedEstimate
from .floor import (
    MAX_QUANTUM_S,
    MIN_QUANTUM_S,
    floor_slots,
    next_floor_entry,
    update_floor_deficits,
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
from .order import ClassState, next_queued_entry
from .orders import DEFAULT_ADMISSION, DEFAULT_ORDER, ORDERS
from .preemption import CLOCK_RESOLUTION_S, choose_victim
from .prompts import earliest_block_end, start_predicate

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
"""Maximum number of waiting jobs, regardless of their predicted wait."""

OVERDUE_QUANTA = 2
"""Deficit of a class, in quanta, at which short prefills stop delaying its jobs."""

HIGHEST_TIER = 1
"""Tier with the highest priority."""


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
        Maximum number of jobs that wait for their first slot.  Paused jobs are
        not counted; a class never has more of them than the engine has slots.
    order : str
        Scheduling order: a name in `zinniaramp.scheduling.orders.ORDERS`.
    admission : str
        Admission policy: a name in `zinniaramp.scheduling.orders.ADMISSIONS`.
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
        self.entries: dict[str, JobEntry] = {}
        self.running: dict[str, JobEntry] = {}
        # Keyed by name and tier, as jobs of an earlier revision keep their tier.
        self.class_states: dict[tuple[str, int], ClassState] = {}
        # Jobs that wait for their first slot, by deadline.
        self.unstarted = SortedKeyList(key=attrgetter("job.deadline"))
        self.shed: list[ShedJob] = []
        self.lengths = LengthEstimates()
        self.speed = SpeedEstimate()
        self.advanced_at = clock().timestamp()
        self.offer_count = 0

    def update_declarations(self, declarations: Declarations) -> None:
        """Use a new revision for jobs that are offered from now on."""
        self.declarations = declarations
        adapted = map(self.order.adapt, declarations.classes.values())
        declared = {(item.name, item.tier) for item in adapted}
        self.class_states = {
            key: state
            for key, state in self.class_states.items()
            if not state.is_idle() or key in declared
        }

    def offer(self, job: Job) -> Admission:
        """Admit a job, which then waits for a slot, or refuse it.

        Notes
        -----
        A job that carries no declaration, and whose class is missing from the
        declarations in force, is refused with ``REVISION``.  Offering an attempt
        that is already admitted has no effect and returns an admission.
        """
        if job.attempt_id in self.entries:
            return admitted(0.0)
        declaration = job.declaration or self._class_of(job)
        if declaration is None:
            return refused(RefusalReason.REVISION, wait=0.0, limit=0.0)
        now = self._advance()
        entry = self._make_entry(job, self.order.adapt(declaration))
        admission = self._decide_admission(entry, now)
        if admission.is_admitted:
            self._enqueue(entry)
        return admission

    def next_actions(self) -> list[Action]:
        """Return the actions that are due and record them as carried out."""
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

    def next_wakeup(self) -> datetime | None:
        """Return when to call `next_actions` if no event occurs before, or None."""
        times = []
        if self.shed:
            times.append(self.clock())
        if self.unstarted:
            times.append(self.unstarted[0].job.deadline)
        next_entry = next_queued_entry(self.class_states.values())
        if next_entry is not None:
            times += self._protection_ends(next_entry)
            times += self._prefill_block_ends()
        return min(times, default=None)

    def record_tokens(self, attempt_id: str, count: int) -> None:
        """Record tokens that the engine has generated for a job."""
        entry = self.entries.get(attempt_id)
        if entry is None or count <= 0:
            return
        now = self.clock().timestamp()
        self.speed.advance(now)
        if entry.job.state is JobState.RUNNING and not entry.is_generating:
            self._record_first_token(entry, now)
        self.speed.add_tokens(count)
        entry.job.tokens += count
        prepaid = min(entry.prepaid_tokens, count)
        entry.prepaid_tokens -= prepaid
        if count > prepaid:
            self._state_of(entry).queue.charge(entry, count - prepaid)

    def remove(self, attempt_id: str, *, is_finished: bool = True) -> JobState | None:
        """Remove a job that ended or was cancelled and return its last state, or None.

        Parameters
        ----------
        attempt_id : str
            The attempt.
        is_finished : bool
            Whether the engine completed the answer.  Only then does its length
            count for the length estimates.
        """
        entry = self.entries.pop(attempt_id, None)
        if entry is None:
            return None
        self._advance()
        state = self._state_of(entry)
        if entry.job.state is JobState.RUNNING:
            self._release_slot(entry)
            if is_finished:
                self.lengths.add(
                    entry.job.class_name, entry.job.workspace, entry.job.tokens
                )
        else:
            self._dequeue(entry)
        if entry.prepaid_tokens:
            state.queue.charge(entry, -entry.prepaid_tokens)
        return entry.job.state

    def load(self) -> Load:
        """Return the load digest that is sent to entry processes."""
        self._advance()
        adapted = map(self.order.adapt, self.declarations.classes.values())
        lowest_tier = max((item.tier for item in adapted), default=HIGHEST_TIER)
        return Load(
            running=len(self.running),
            width=self.width,
            queued=len(self.entries) - len(self.running),
            queue_s=self._predict(Candidate(tier=lowest_tier)),
            urgent_s=self._predict(Candidate(tier=HIGHEST_TIER)),
            tokens_per_s=self.speed.tokens_per_s() * self.speed.generating,
        )

    def remaining_protection_s(self, attempt_id: str) -> float:
        """Return the seconds for which a floor quantum still keeps a job running."""
        entry = self.running.get(attempt_id)
        if entry is None:
            return 0.0
        return max(0.0, entry.protected_until - self.clock().timestamp())

    def _advance(self) -> float:
        """Update estimates, deficits and demand; return the current time in seconds."""
        now = self.clock().timestamp()
        elapsed_s = max(0.0, now - self.advanced_at)
        self.advanced_at = now
        self.speed.advance(now)
        states = self.class_states.values()
        running = self.running.values()
        update_floor_deficits(
            states, running, width=self.width, now=now, elapsed_s=elapsed_s
        )
        decay = math.exp(-elapsed_s / DEMAND_TIME_CONSTANT_S)
        for state in states:
            state.recent_demand_s *= decay
        return now

    def _class_of(self, job: Job) -> ClassDeclaration | None:
        if job.class_name not in self.declarations.classes:
            return None
        return resolve_class(self.declarations, job.class_name, job.workspace)

    def _make_entry(self, job: Job, declaration: ClassDeclaration) -> JobEntry:
        self.offer_count += 1
        workspace = self.declarations.workspaces.get(job.workspace)
        return JobEntry(
            job=job,
            declaration=declaration,
            key=self.order.key(job, declaration, self.offer_count),
            weight=workspace.weight if workspace else 1.0,
            predicted_tokens=self.lengths.remaining(job.class_name, job.workspace),
        )

    def _decide_admission(self, entry: JobEntry, now: float) -> Admission:
        wait = self._predict(self._candidate(entry))
        remaining_s = entry.job.deadline.timestamp() - now
        class_limit = entry.declaration.queue_limit
        limit = (class_limit or self.declarations.defaults.queue_limit).total_seconds()
        if self.refuses_early:
            if remaining_s <= wait:
                return refused(RefusalReason.DEADLINE, wait=wait, limit=limit)
            if wait > limit and not self._is_blocked_by_floor(entry, now):
                return refused(RefusalReason.OVERLOADED, wait=wait, limit=limit)
        if len(self.unstarted) >= self.max_queued and not self._shed_job_below(entry):
            return refused(RefusalReason.OVERLOADED, wait=wait, limit=limit)
        return admitted(wait)

    def _is_blocked_by_floor(self, entry: JobEntry, now: float) -> bool:
        """Return whether a floor quantum protects a running lower-priority job."""
        return any(
            other.tier > entry.tier
            and other.is_pausable
            and other.protected_until > now
            for other in self.running.values()
        )

    def _shed_job_below(self, entry: JobEntry) -> bool:
        """Shed a waiting job of a lower-priority tier; return whether there was one."""
        states = [
            state
            for state in self.class_states.values()
            if state.tier > entry.tier and state.waiting
        ]
        if not states:
            return False
        victim = max(states, key=attrgetter("tier")).waiting[-1]
        del self.entries[victim.job.attempt_id]
        self._dequeue(victim)
        self.shed.append(ShedJob(job=victim.job, retry_after=self._retry_after(victim)))
        return True

    def _retry_after(self, entry: JobEntry) -> timedelta:
        """Return the predicted wait of a removed job as its retry delay."""
        wait = self._predict(self._candidate(entry))
        return refused(RefusalReason.OVERLOADED, wait=wait, limit=0.0).retry_after

    def _enqueue(self, entry: JobEntry) -> None:
        declaration = entry.declaration
        key = (declaration.name, declaration.tier)
        floor = declaration.floor or self.declarations.defaults.floor
        if key not in self.class_states:
            self.class_states[key] = ClassState(
                name=declaration.name,
                tier=declaration.tier,
                floor=floor,
                is_fair=self.order.is_fair,
            )
        state = self.class_states[key]
        state.floor = floor
        state.recent_demand_s += self._engine_capacity().service_s(
            1, entry.predicted_tokens
        )
        entry.job.state = JobState.WAITING
        state.add(entry)
        self.unstarted.add(entry)
        self.entries[entry.job.attempt_id] = entry

    def _state_of(self, entry: JobEntry) -> ClassState:
        return self.class_states[entry.declaration.name, entry.declaration.tier]

    def _candidate(self, entry: JobEntry) -> Candidate:
        return Candidate(
            tier=entry.tier,
            class_name=entry.job.class_name if self.order.is_fair else "",
            workspace=entry.job.workspace,
            weight=entry.weight,
            tokens=entry.predicted_tokens,
            floor=entry.declaration.floor or self.declarations.defaults.floor,
        )

    def _predict(self, candidate: Candidate) -> float:
        return predict_wait(
            candidate,
            states=self.class_states.values(),
            running=self.running.values(),
            engine=self._engine_capacity(),
        )

    def _engine_capacity(self) -> EngineCapacity:
        first_token_waits = [
            0.0 if entry.is_generating else self.advanced_at - entry.started_at
            for entry in self.running.values()
        ]
        # A stalled engine raises the estimate although no first token arrives.
        silence = median(first_token_waits) if first_token_waits else 0.0
        return EngineCapacity(
            width=self.width,
            tokens_per_s=self.speed.tokens_per_s(),
            first_token_s=max(self.speed.first_token_s, silence),
        )

    def _expire(self) -> list[ExpireJob]:
        now = self.clock()
        expired = []
        while self.unstarted and self.unstarted[0].job.deadline <= now:
            entry = self.unstarted[0]
            del self.entries[entry.job.attempt_id]
            self._dequeue(entry)
            retry_after = self._retry_after(entry)
            expired.append(ExpireJob(job=entry.job, retry_after=retry_after))
        return expired

    def _next_entry(self, now: float) -> JobEntry | None:
        states = self.class_states.values()
        protected_count = sum(e.protected_until > now for e in self.running.values())
        has_free_slot = len(self.running) < self.width
        can_start = start_predicate(self.running.values(), now)
        has_floor_slot = has_free_slot and protected_count < floor_slots(self.width)
        if self.order.has_floor and has_floor_slot:
            floor_entry = next_floor_entry(states)
            if floor_entry is not None and self._can_start_for_floor(floor_entry, now):
                state = self._state_of(floor_entry)
                floor_entry.protected_until = now + state.grant_quantum(
                    now, MAX_QUANTUM_S
                )
                return floor_entry
        return next_queued_entry(states, can_start)

    def _can_start_for_floor(self, floor_entry: JobEntry, now: float) -> bool:
        is_overdue = (
            self._state_of(floor_entry).deficit_s >= OVERDUE_QUANTA * MIN_QUANTUM_S
        )
        check = start_predicate(self.running.values(), now, is_overdue=is_overdue)
        return check(floor_entry)

    def _start(self, entry: JobEntry, now: float) -> StartJob | ResumeJob:
        state = self._state_of(entry)
        is_first_start = entry.job.state is JobState.WAITING
        self._dequeue(entry)
        entry.job.state = JobState.RUNNING
        entry.started_at = now
        entry.is_generating = False
        self.running[entry.job.attempt_id] = entry
        state.running += 1
        if is_first_start:
            entry.prepaid_tokens = entry.predicted_tokens
            state.queue.charge(entry, entry.prepaid_tokens)
            return StartJob(job=entry.job)
        return ResumeJob(job=entry.job)

    def _pause(self, entry: JobEntry) -> PauseJob:
        self._release_slot(entry)
        entry.job.state = JobState.PAUSED
        self._state_of(entry).add(entry)
        return PauseJob(job=entry.job)

    def _dequeue(self, entry: JobEntry) -> None:
        self._state_of(entry).remove(entry)
        if entry.job.state is JobState.WAITING:
            self.unstarted.remove(entry)

    def _release_slot(self, entry: JobEntry) -> None:
        del self.running[entry.job.attempt_id]
        state = self._state_of(entry)
        state.running -= 1
        state.deficit_s += max(0.0, entry.protected_until - self.advanced_at)
        entry.protected_until = 0.0
        if entry.is_generating:
            self.speed.generating -= 1

    def _record_first_token(self, entry: JobEntry, now: float) -> None:
        entry.is_generating = True
        self.speed.generating += 1
        if entry.job.tokens == 0:
            self.speed.add_first_token(now - entry.started_at)

    def _prefill_block_ends(self) -> list[datetime]:
        """Return the time at which a prefill stops delaying jobs, if any, as a list."""
        end = earliest_block_end(self.running.values(), self.advanced_at)
        if end is None:
            return []
        step = timedelta(seconds=CLOCK_RESOLUTION_S)
        return [datetime.fromtimestamp(end, UTC) + step]

    def _protection_ends(self, next_entry: JobEntry) -> list[datetime]:
        """Return the ends of the floor quanta that delay preemption by `next_entry`."""
        return [
            datetime.fromtimestamp(entry.protected_until, UTC)
            + timedelta(seconds=CLOCK_RESOLUTION_S)
            for entry in self.running.values()
            if entry.tier > next_entry.tier
            and entry.is_pausable
            and entry.protected_until > self.advanced_at
        ]
