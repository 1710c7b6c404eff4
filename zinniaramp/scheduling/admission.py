"""Predicted waits and admission results."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from ..contracts import RefusalReason
from .entries import JobEntry
from .fairness import FAIR_QUANTUM_TOKENS, FairQueue
from .floor import MIN_FLOOR
from .jobs import Admission
from .order import ClassState

__all__ = ["Candidate", "EngineCapacity", "admitted", "predict_wait", "refused"]

MIN_RETRY_S = 0.5
"""Minimum retry delay of a refused caller, in seconds."""

DEMAND_TIME_CONSTANT_S = 30.0
"""Time constant in seconds of the decay of a class's recent demand."""


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineCapacity:
    """Slots of the engine and their observed speed.

    Parameters
    ----------
    width : int
        Number of slots.
    tokens_per_s : float
        Observed decode speed of one slot.
    first_token_s : float
        Observed time from the start of a job to its first token.
    """

    width: int
    tokens_per_s: float
    first_token_s: float

    def service_s(self, jobs: float, tokens: float) -> float:
        """Return the slot-seconds that a number of jobs and tokens need."""
        return jobs * self.first_token_s + tokens / self.tokens_per_s


@dataclass(slots=True, kw_only=True, frozen=True)
class Candidate:
    """Properties of a job that is considered for admission.

    Parameters
    ----------
    tier : int
        Its service tier.
    class_name, workspace : str
        Its class and workspace; empty if the wait is predicted for a whole tier.
    weight : float
        Weight of its workspace.
    tokens : float
        Predicted output length in tokens.
    floor : float
        Floor of its class, as a share of the slots.
    """

    tier: int
    class_name: str = ""
    workspace: str = ""
    weight: float = 1.0
    tokens: float = 0.0
    floor: float = MIN_FLOOR


def predict_wait(
    candidate: Candidate,
    *,
    states: Iterable[ClassState],
    running: Iterable[JobEntry],
    engine: EngineCapacity,
) -> float:
    """Return the predicted seconds until a candidate would start.

    Notes
    -----
    Jobs of lower-priority tiers count only if they run and cannot be preempted.
    A job that the candidate would overtake or preempt therefore never causes its
    refusal.
    """
    competing = [state for state in states if state.tier <= candidate.tier]
    blocking = [e for e in running if e.tier <= candidate.tier or not e.is_pausable]
    queued = sum(state.queue.count for state in competing)
    if len(blocking) + queued < engine.width:
        return 0.0
    ahead_s = sum(_ahead_s(state, candidate, engine) for state in competing)
    wait = (ahead_s + _mean_residual_s(blocking, engine)) / engine.width
    return wait / _available_share(candidate, competing, engine.width)


def _ahead_s(state: ClassState, candidate: Candidate, engine: EngineCapacity) -> float:
    total_s = engine.service_s(state.queue.count, state.queue.tokens)
    if state.name != candidate.class_name:
        return total_s
    return min(total_s, _fair_ahead_s(state.queue, candidate, engine))


def _fair_ahead_s(
    queue: FairQueue, candidate: Candidate, engine: EngineCapacity
) -> float:
    """Return the slot-seconds that fair sharing serves until the candidate's turn.

    They cover the queued jobs of its workspace and the candidate itself, and the
    service that other workspaces get meanwhile in proportion to their weights.
    """
    own_queue = queue.nonempty_queue(candidate.workspace)
    jobs = len(own_queue.jobs) if own_queue else 0
    tokens = own_queue.tokens if own_queue else 0.0
    other_weight = queue.active_weight - (own_queue.weight if own_queue else 0.0)
    total_to_own_ratio = 1 + other_weight / candidate.weight
    tokens += candidate.tokens + FAIR_QUANTUM_TOKENS
    return total_to_own_ratio * engine.service_s(jobs + 1, tokens)


def _mean_residual_s(blocking: list[JobEntry], engine: EngineCapacity) -> float:
    if not blocking:
        return 0.0
    tokens = sum(_residual_tokens(entry) for entry in blocking)
    return engine.service_s(0, tokens) / len(blocking)


def _residual_tokens(entry: JobEntry) -> float:
    """Return the predicted remaining tokens; a longer answer is assumed to double."""
    generated = entry.job.tokens
    if generated < entry.predicted_tokens:
        return entry.predicted_tokens - generated
    return float(max(1, generated))


def _available_share(
    candidate: Candidate, competing: list[ClassState], width: int
) -> float:
    """Return the share of slots left by higher-priority tiers, at least the floor."""
    recent_demand_s = sum(
        s.recent_demand_s for s in competing if s.tier < candidate.tier
    )
    used_share = recent_demand_s / DEMAND_TIME_CONSTANT_S / width
    return max(candidate.floor, 1 - used_share)


def admitted(wait: float) -> Admission:
    """Return the result for an admitted job."""
    return Admission(
        is_admitted=True,
        reason=None,
        wait=timedelta(seconds=wait),
        retry_after=timedelta(0),
    )


def refused(reason: RefusalReason, *, wait: float, limit: float) -> Admission:
    """Return the result for a refused job.

    Parameters
    ----------
    reason : RefusalReason
        Why the job is refused.
    wait : float
        Predicted wait in seconds.
    limit : float
        Wait in seconds up to which the job would be admitted.

    Notes
    -----
    While nothing is admitted the predicted wait falls by one second per second,
    so it reaches the limit after ``wait - limit`` seconds.
    """
    retry_s = max(MIN_RETRY_S, wait - limit)
    return Admission(
        is_admitted=False,
        reason=reason,
        wait=timedelta(seconds=wait),
        retry_after=timedelta(seconds=retry_s),
    )
