"""Policies that choose the endpoint of one attempt."""

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
"""Candidates that are compared; the gain from more is small (Mitzenmacher 2001)."""

AFFINITY_LOAD_BOUND = 1.25
"""Multiple of the mean load up to which affinity is followed."""

MIN_LATENCY_S = 0.001
"""Smallest latency that is weighed, in seconds."""

DEFAULT_POLICY = "two_choices"
"""Name of the policy that is used unless another is asked for."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Candidate:
    """What is known of one endpoint when an attempt is routed.

    Parameters
    ----------
    name : str
        Host of the endpoint.
    in_flight : int
        Attempts in flight from this process.
    reported : int
        Requests running and queued, by its latest load digest.
    unreported : int
        Offers sent to it since that digest.
    width : int
        Slots of its engine.
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
        """Requests that are believed to be there now."""
        return max(self.in_flight, self.reported + self.unreported)

    @property
    def cost(self) -> float:
        """Latency weighted by the occupancy that one more request makes."""
        occupancy = (self.pending + 1) / self.width
        return max(self.latency_s, MIN_LATENCY_S) * occupancy


@dataclass(slots=True, kw_only=True, frozen=True)
class RoutingContext:
    """What a policy may use besides the candidates.

    Parameters
    ----------
    affinity_key : bytes
        Workspace and first bytes of the prompt; empty for no affinity.
    number : int
        Running number of the decision in this process.
    random_source : random.Random
        Source of all randomness.
    """

    affinity_key: bytes
    number: int
    random_source: Random


Policy = Callable[[Sequence[Candidate], RoutingContext], Candidate]
"""Chooses one of a non-empty sequence of candidates."""


def choose_at_random(
    candidates: Sequence[Candidate], choice: RoutingContext
) -> Candidate:
    """Choose uniformly at random."""
    return choice.random_source.choice(candidates)


def choose_round_robin(
    candidates: Sequence[Candidate], choice: RoutingContext
) -> Candidate:
    """Choose each candidate in turn."""
    return candidates[choice.number % len(candidates)]


def choose_least_reported(
    candidates: Sequence[Candidate], choice: RoutingContext
) -> Candidate:
    """Choose the candidate with the least reported requests for each slot."""
    return min(candidates, key=lambda one: (one.reported / one.width, one.name))


def _affinity_capacity(candidate: Candidate, candidates: Sequence[Candidate]) -> int:
    pending = sum(one.pending for one in candidates) + 1
    width = sum(one.width for one in candidates)
    return math.ceil(AFFINITY_LOAD_BOUND * pending * candidate.width / width)


def choose_by_two_choices(
    candidates: Sequence[Candidate], choice: RoutingContext
) -> Candidate:
    """Follow prefix affinity while load is balanced, else the better of two.

    Parameters
    ----------
    candidates : sequence of Candidate
        Usable endpoints; not empty.
    choice : RoutingContext
        Affinity key and random source.

    Returns
    -------
    Candidate
        The one with the highest rendezvous rank for the affinity key if its
        pending requests stay within `AFFINITY_LOAD_BOUND` times its share of
        all; otherwise the cheaper of two drawn at random.

    References
    ----------
    Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded loads",
    SODA 2018.
    """
    if choice.affinity_key:
        by_name = {one.name: one for one in candidates}
        preferred = by_name[rank(choice.affinity_key, by_name)[0]]
        if preferred.pending + 1 <= _affinity_capacity(preferred, candidates):
            return preferred
    size = min(SAMPLE_SIZE, len(candidates))
    sample = choice.random_source.sample(list(candidates), size)
    return min(sample, key=lambda one: (one.cost, one.name))


POLICIES: dict[str, Policy] = {
    "two_choices": choose_by_two_choices,
    "random": choose_at_random,
    "round_robin": choose_round_robin,
    "least_reported": choose_least_reported,
}
"""Policies by name."""
