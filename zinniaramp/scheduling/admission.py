"""Predicted waits and the decision at the door."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from ..contracts import RefusalReason
from .entries import Entry
from .fairness import FAIR_QUANTUM_TOKENS, FairQueue
from .floor import MIN_FLOOR
from .jobs import Admission
from .order import ClassState

__all__ = ["EngineView", "Newcomer", "admitted", "predict_wait", "refused"]

MIN_RETRY_S = 0.5
"""Shortest time in seconds after which a refused caller is asked to return."""

INFLOW_MEMORY_S = 30.0
"""Time constant in seconds with which a class's recent demand fades."""


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineView:
    """What is known of the engine.

    Parameters
    ----------
    width : int
        Slots.
    tokens_per_s : float
        Observed speed of one slot.
    first_token_s : float
        Observed time from start to first token.
    """

    width: int
    tokens_per_s: float
    first_token_s: float

    def service_s(self, jobs: float, tokens: float) -> float:
        """Return the slot-seconds that some jobs and their tokens need."""
        return jobs * self.first_token_s + tokens / self.tokens_per_s


@dataclass(slots=True, kw_only=True, frozen=True)
class Newcomer:
    """A job at the door.

    Parameters
    ----------
    tier : int
        Its tier.
    class_name, workspace : str
        Its class and workspace; empty for one of no class in particular.
    weight : float
        Its workspace's weight.
    tokens : float
        Tokens that it is predicted to generate.
    floor : float
        Its class's floor.
    """

    tier: int
    class_name: str = ""
    workspace: str = ""
    weight: float = 1.0
    tokens: float = 0.0
    floor: float = MIN_FLOOR


def predict_wait(
    newcomer: Newcomer,
    *,
    states: Iterable[ClassState],
    running: Iterable[Entry],
    engine: EngineView,
) -> float:
    """Return the predicted seconds until a job at the door would start.

    Notes
    -----
    Jobs of higher-numbered tiers count only if they hold a slot that they
    cannot be made to give up, so nothing that the newcomer goes before can be
    the cause of its refusal.
    """
    rivals = [state for state in states if state.tier <= newcomer.tier]
    blockers = [e for e in running if e.tier <= newcomer.tier or not e.is_pausable]
    queued = sum(state.queue.count for state in rivals)
    if len(blockers) + queued < engine.width:
        return 0.0
    ahead_s = sum(_ahead_s(state, newcomer, engine) for state in rivals)
    wait = (ahead_s + _mean_residual_s(blockers, engine)) / engine.width
    return wait / _available_share(newcomer, rivals, engine.width)


def _ahead_s(state: ClassState, newcomer: Newcomer, engine: EngineView) -> float:
    total_s = engine.service_s(state.queue.count, state.queue.tokens)
    if state.name != newcomer.class_name:
        return total_s
    return min(total_s, _fair_ahead_s(state.queue, newcomer, engine))


def _fair_ahead_s(queue: FairQueue, newcomer: Newcomer, engine: EngineView) -> float:
    """Return the work served first if every workspace takes its share."""
    own = queue.queued_of(newcomer.workspace)
    jobs = len(own.jobs) if own else 0
    tokens = own.tokens if own else 0.0
    others = queue.active_weight - (own.weight if own else 0.0)
    ratio = 1 + others / newcomer.weight
    tokens += newcomer.tokens + FAIR_QUANTUM_TOKENS
    return ratio * engine.service_s(jobs + 1, tokens)


def _mean_residual_s(blockers: list[Entry], engine: EngineView) -> float:
    if not blockers:
        return 0.0
    tokens = sum(_residual_tokens(entry) for entry in blockers)
    return engine.service_s(0, tokens) / len(blockers)


def _residual_tokens(entry: Entry) -> float:
    generated = entry.job.tokens
    if generated < entry.predicted_tokens:
        return entry.predicted_tokens - generated
    return float(max(1, generated))


def _available_share(newcomer: Newcomer, rivals: list[ClassState], width: int) -> float:
    """Return the share of slots that lower-numbered tiers leave, floor included."""
    inflow_s = sum(s.inflow_s for s in rivals if s.tier < newcomer.tier)
    used = inflow_s / INFLOW_MEMORY_S / width
    return max(newcomer.floor, 1 - used)


def admitted(wait: float) -> Admission:
    """Return the answer to a job that is taken."""
    return Admission(
        is_admitted=True,
        reason=None,
        wait=timedelta(seconds=wait),
        retry_after=timedelta(0),
    )


def refused(reason: RefusalReason, *, wait: float, limit: float) -> Admission:
    """Return the answer to a job that is not taken.

    Notes
    -----
    The predicted wait falls by one second in each second in which nothing is
    admitted, so it is down to the limit after the difference.
    """
    retry_s = max(MIN_RETRY_S, wait - limit)
    return Admission(
        is_admitted=False,
        reason=reason,
        wait=timedelta(seconds=wait),
        retry_after=timedelta(seconds=retry_s),
    )
