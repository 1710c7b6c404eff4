"""Orders of service and rules of admission, by name."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from ..declarations import ClassDeclaration
from .entries import OrderKey, order_key
from .jobs import Job

__all__ = ["ADMISSIONS", "DEFAULT_ADMISSION", "DEFAULT_ORDER", "ORDERS", "Order"]

DEFAULT_ORDER = "priority_with_preemption"
"""Name of the order that is used unless another is asked for."""

DEFAULT_ADMISSION = "predicted_wait"
"""Name of the rule of admission that is used unless another is asked for."""

ONLY_TIER = 1
"""Tier of every class in an order without tiers."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Order:
    """How an endpoint orders its jobs.

    Parameters
    ----------
    declare : callable
        Returns a class's declaration as this order sees it.
    key : callable
        Returns a job's place among jobs of its tier.
    is_fair : bool
        Whether the least served workspace of a class goes first.
    has_floor : bool
        Whether classes that wait behind others are owed a share of the slots.
    """

    declare: Callable[[ClassDeclaration], ClassDeclaration]
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
        declare=_as_declared, key=order_key, is_fair=True, has_floor=True
    ),
    "strict_priority_without_preemption": Order(
        declare=_without_preemption, key=_arrival_key, is_fair=False, has_floor=False
    ),
    "first_come_first_served": Order(
        declare=_without_tiers, key=_arrival_key, is_fair=False, has_floor=False
    ),
}
"""Orders by name; all but the first are baselines to measure it against."""

ADMISSIONS = ("predicted_wait", "places")
"""Rules of admission: by predicted wait and places, or by places alone."""
