"""Routing policies, endpoint ejection, retry budgets and backoff."""

from .backoff import backoff_delay, retry_after
from .budget import RetryBudget
from .core import DEFAULT_POLICY, POLICIES, Candidate, Policy, RoutingContext
from .ejection import Ejections
from .rendezvous import rank
from .subset import SubsetMember, choose_subset

__all__ = [
    "DEFAULT_POLICY",
    "POLICIES",
    "Candidate",
    "Ejections",
    "Policy",
    "RetryBudget",
    "RoutingContext",
    "SubsetMember",
    "backoff_delay",
    "choose_subset",
    "rank",
    "retry_after",
]
