"""Scheduling orders and admission policies, by name."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from ..declarations import ClassDeclaration
from .entries import OrderKey, order_key
from .jobs import Job

__all__ = ["ADMISSIONS", "DEFAULT_ADMISSION", "DEFAULT_ORDER", "ORDERS", "Order"]

DEFAULT_ORDER = "priority_with_preemption"
"""Name of the default order."""

DEFAULT_ADMISSION = "predicted_wait"
"""Name of the default admission policy."""

ONLY_TIER = 1
"""Tier of every class in an order without tiers."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Order:
    """Policy by which an endpoint orders its jobs.

    Parameters
    ----------
    adapt : callable
        Returns a class's declaration with the features removed that this order
        ignores, such as tiers.
    key : callable
        Returns a job's sort key among the jobs of its tier.
    is_fair : bool
        Whether the workspaces of a class share its slots by weight.
    has_floor : bool
        Whether classes that wait behind others get a minimum share of the slots.
    """

    adapt: Callable[[ClassDeclaration], ClassDeclaration]
    key: Callable[[Job, ClassDeclaration, int], OrderKey]
    is_fair: bool
    has_floor: bool


def _as_declared(declaration: ClassDeclaration) -> ClassDeclaration:
    return declaration


def _without_preemption(declaration: ClassDeclaration) -> ClassDeclaration:
    return replace(declaration, preemptible=False)


def _without_tiers(declaration: ClassDeclaration) -> ClassDeclaration:
    return replace(declaration, preemptible=False, tier=ONLY_TIER)


def _arrival_key(job: Job, declaration: ClassDeclaration, number: int) -> OrderKey:
    return (0.0, 0.0, number)


ORDERS: dict[str, Order] = {
    "priority_with_preemption": Order(
        adapt=_as_declared, key=order_key, is_fair=True, has_floor=True
    ),
    "strict_priority_without_preemption": Order(
        adapt=_without_preemption, key=_arrival_key, is_fair=False, has_floor=False
    ),
    "first_come_first_served": Order(
        adapt=_without_tiers, key=_arrival_key, is_fair=False, has_floor=False
    ),
}
"""Orders by name; all but the first are baselines for comparison."""

ADMISSIONS = ("predicted_wait", "places")
"""Admission policies: predicted wait and queue length, or queue length alone."""
