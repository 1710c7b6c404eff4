"""Load-balancing policies, which choose the endpoint of an attempt."""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from .rendezvous import rank

__all__ = [
    "DEFAULT_POLICY",
    "POLICIES",
    "Candidate",
    "Policy",
    "RoutingContext",
    "choose_at_random",
    "choose_by_two_choices",
    "choose_least_reported",
    "choose_round_robin",
]

SAMPLE_SIZE = 2
"""Candidates sampled by two choices; more add little (Mitzenmacher 2001)."""

AFFINITY_LOAD_BOUND = 1.25
"""Load bound of the endpoint preferred by affinity, as a multiple of its fair share."""

MIN_LATENCY_S = 0.001
"""Lower bound of the latency used in costs, in seconds."""

DEFAULT_POLICY = "two_choices"
"""Name of the policy used if none is configured."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Candidate:
    """Load and latency of one endpoint at the time of a routing decision.

    Parameters
    ----------
    name : str
        Name of the endpoint's host.
    in_flight : int
        Attempts in flight from this process.
    reported : int
        Running and queued requests in its latest load report.
    unreported : int
        Attempts offered to it since that report.
    width : int
        Number of slots of its engine.
    latency_s : float
        Moving average of the time to the first token, in seconds.
    """

    name: str
    in_flight: int = 0
    reported: int = 0
    unreported: int = 0
    width: int = 1
    latency_s: float = MIN_LATENCY_S

    @property
    def pending(self) -> int:
        """Estimated number of running and queued requests."""
        return max(self.in_flight, self.reported + self.unreported)

    @property
    def cost(self) -> float:
        """Latency in seconds times the occupancy including one more request."""
        occupancy = (self.pending + 1) / self.width
        return max(self.latency_s, MIN_LATENCY_S) * occupancy


@dataclass(slots=True, kw_only=True, frozen=True)
class RoutingContext:
    """Input of a policy in addition to the candidates.

    Parameters
    ----------
    affinity_key : bytes
        Workspace and first bytes of the prompt; empty to disable affinity.
    number : int
        Sequence number of the decision in this process.
    random_source : random.Random
        Source of all randomness.
    """

    affinity_key: bytes
    number: int
    random_source: Random


Policy = Callable[[Sequence[Candidate], RoutingContext], Candidate]
"""Function that chooses one of a non-empty sequence of candidates."""


def choose_at_random(
    candidates: Sequence[Candidate], context: RoutingContext
) -> Candidate:
    """Choose a candidate uniformly at random."""
    return context.random_source.choice(candidates)


def choose_round_robin(
    candidates: Sequence[Candidate], context: RoutingContext
) -> Candidate:
    """Choose the candidates in turn, by the number of the decision."""
    return candidates[context.number % len(candidates)]


def choose_least_reported(
    candidates: Sequence[Candidate], context: RoutingContext
) -> Candidate:
    """Choose the candidate with the fewest reported requests per slot."""
    return min(candidates, key=lambda one: (one.reported / one.width, one.name))


def _affinity_capacity(candidate: Candidate, candidates: Sequence[Candidate]) -> int:
    pending = sum(one.pending for one in candidates) + 1
    width = sum(one.width for one in candidates)
    return math.ceil(AFFINITY_LOAD_BOUND * pending * candidate.width / width)


def choose_by_two_choices(
    candidates: Sequence[Candidate], context: RoutingContext
) -> Candidate:
    """Choose by prefix affinity while load is balanced, else by two random choices.

    Parameters
    ----------
    candidates : sequence of Candidate
        Usable endpoints; must not be empty.
    context : RoutingContext
        Affinity key and random source.

    Returns
    -------
    Candidate
        The candidate ranked first by rendezvous hashing of the affinity key, if
        its pending requests stay within `AFFINITY_LOAD_BOUND` times its fair
        share; otherwise the one with the lower cost of two drawn at random.

    References
    ----------
    Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded loads",
    SODA 2018.
    """
    if context.affinity_key:
        by_name = {one.name: one for one in candidates}
        preferred = by_name[rank(context.affinity_key, by_name)[0]]
        if preferred.pending + 1 <= _affinity_capacity(preferred, candidates):
            return preferred
    size = min(SAMPLE_SIZE, len(candidates))
    sample = context.random_source.sample(list(candidates), size)
    return min(sample, key=lambda one: (one.cost, one.name))


POLICIES: dict[str, Policy] = {
    "two_choices": choose_by_two_choices,
    "random": choose_at_random,
    "round_robin": choose_round_robin,
    "least_reported": choose_least_reported,
}
"""Policies by their name in the settings."""
