"""What a process knows of its services and shares among its requests."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from itertools import count
from random import Random

from ..clock import Clock
from ..placement import EngineRequest, Placement
from ..registry import Endpoint, Registry
from ..routes import Route
from ..routing.budget import RetryBudget
from ..routing.ejection import Ejections
from .fates import Fate, SendResult
from .messages import RequestFacts, Wire

__all__ = ["Picked", "RetryLimits", "ServiceShelf"]

RETRY_AFTER_SHORTEST = 0.3
"""Seconds; shorter than the targets of the sheets, so that a second try is in time."""

RETRY_AFTER_LONGEST = 0.9
"""Seconds; spreads returns over a time in which an engine reads some prompts."""


@dataclass(slots=True, kw_only=True, frozen=True)
class RetryLimits:
    """Repeats that one process may make.

    Parameters
    ----------
    share : float
        Repeats that each request earns.
    most_at_once : float
        Repeats after a quiet time.
    """

    share: float
    most_at_once: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Picked:
    """The endpoint of one send, and what decided it."""

    endpoint: Endpoint
    send_name: str
    facts: RequestFacts
    ready: int
    wait: timedelta = timedelta()
    to_read: int = 0


class ServiceShelf:
    """Endpoints, their models and limits, as one process sees them.

    Parameters
    ----------
    registry : Registry
        Endpoints and configuration.
    wire : Wire
        The platform's headers.
    limits : callable
        Returns the limits of repeats in force.
    data_center : str
        The process's data centre.
    clock : Clock
        The process's clock.
    random : Random
        Source of jitter and of choices between equals.
    """

    __slots__ = (
        "registry",
        "wire",
        "limits",
        "data_center",
        "clock",
        "random",
        "placement",
        "ejections",
        "budgets",
        "in_flight",
        "numbers",
        "is_refusing",
    )

    def __init__(
        self,
        *,
        registry: Registry,
        wire: Wire,
        limits: Callable[[], RetryLimits],
        data_center: str,
        clock: Clock,
        random: Random,
    ):
        self.registry = registry
        self.wire = wire
        self.limits = limits
        self.data_center = data_center
        self.clock = clock
        self.random = random
        self.placement = Placement()
        self.ejections = Ejections(clock=clock, random_source=random)
        self.budgets: dict[str, RetryBudget] = {}
        self.in_flight: dict[str, int] = {}
        self.numbers = count()
        self.is_refusing = False

    def pick(
        self, *, service: str, route: Route, facts: RequestFacts, tried: set[str]
    ) -> Picked | None:
        """Choose an endpoint for a send and count the send."""
        ready = self.registry.ready(service)
        by_name = {one.incarnation: one for one in ready}
        usable = self.ejections.usable(list(by_name))
        names = [one for one in usable if one not in tried] or usable
        if not names:
            return None
        described = self.registry.configuration.services.get(service)
        if described is not None and described.is_engine and facts.demand is not None:
            picked = self._place(route, facts, names, by_name, described.memory_tokens)
        else:
            picked = self._least_loaded(facts, names, by_name)
        name = picked.endpoint.incarnation
        self.in_flight[name] = self.in_flight.get(name, 0) + 1
        return picked

    def _place(self, route, facts, names, by_name, memory_tokens) -> Picked:
        send_name = f"{facts.id}/{next(self.numbers)}"
        request = EngineRequest(id=send_name, demand=facts.demand, target=route.target)
        choice = self.placement.choose(request, names, memory_tokens)
        model = self.placement.model(choice.engine, memory_tokens)
        model.add(send_name, facts.demand)
        return Picked(
            endpoint=by_name[choice.engine],
            send_name=send_name,
            facts=facts,
            ready=len(names),
            wait=choice.wait,
            to_read=choice.to_read,
        )

    def _least_loaded(self, facts, names, by_name) -> Picked:
        def load(name: str):
            is_far = by_name[name].data_center != self.data_center
            return (self.in_flight.get(name, 0) + is_far, self.random.random())

        name = min(names, key=load)
        return Picked(
            endpoint=by_name[name],
            send_name=f"{facts.id}/{next(self.numbers)}",
            facts=facts,
            ready=len(names),
        )

    def note_begun(self, picked: Picked) -> None:
        """Note that the first event of a send has come."""
        model = self.placement.engines.get(picked.endpoint.incarnation)
        if model is not None and picked.facts.demand is not None:
            model.note_begun(picked.send_name, picked.facts.demand)

    def note_ended(self, picked: Picked) -> None:
        """Note that a send has ended, whichever way."""
        name = picked.endpoint.incarnation
        left = self.in_flight.get(name, 1) - 1
        if left:
            self.in_flight[name] = left
        else:
            self.in_flight.pop(name, None)
        model = self.placement.engines.get(name)
        if model is not None:
            model.remove(picked.send_name)

    def note_result(self, picked: Picked, result: SendResult) -> None:
        """Learn from a send whether its endpoint works."""
        name = picked.endpoint.incarnation
        if result.fate in (Fate.NOT_SENT, Fate.UNKNOWN):
            self.ejections.record_failure(name)
        elif result.fate is Fate.ANSWERED:
            self.ejections.record_success(name)

    def note_request(self, service: str) -> None:
        """Count a request, which earns a share of a repeat."""
        self._budget(service).deposit(self.limits().share)

    def take_repeat(self, service: str) -> bool:
        """Whether one more repeat may be sent now; takes it from the budget."""
        return self._budget(service).withdraw()

    def retry_after(self) -> float:
        """Return the seconds after which a refused caller may come back."""
        return self.random.uniform(RETRY_AFTER_SHORTEST, RETRY_AFTER_LONGEST)

    def _budget(self, service: str) -> RetryBudget:
        if service not in self.budgets:
            self.budgets[service] = RetryBudget(limit=self.limits().most_at_once)
        return self.budgets[service]
