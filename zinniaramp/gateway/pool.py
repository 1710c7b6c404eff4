"""What a process knows of its services and shares among its requests."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from itertools import count
from random import Random

from ..clock import Clock
from ..observability import emit
from ..peers import LoadEvent, SendBegun, SendEnded, SendStarted
from ..placement import Demand, EngineCandidate, Placement
from ..registry import Endpoint, Registry
from ..routing.budget import WindowRetryBudget
from ..routing.ejection import Ejections
from .events import ENDPOINT_LEFT_OUT
from .fates import Fate, SendResult
from .messages import RequestFacts, Wire
from .metrics import REPEATS

__all__ = ["Picked", "RetryLimits", "EndpointPool"]

RETRY_AFTER_SHORTEST = 0.3
"""Seconds; shorter than the targets of the sheets, so that a second try is in time."""

RETRY_AFTER_LONGEST = 0.9
"""Seconds; spreads returns over a time in which an engine reads some prompts."""


RETRY_AFTER_SHARE = 0.3
"""Share of the time left that a caller is asked to wait at most; callers honour a
third of it."""


@dataclass(slots=True, kw_only=True, frozen=True)
class RetryLimits:
    """Repeats that one process may make.

    Parameters
    ----------
    share : float
        Repeats that each request of a window allows.
    slack : float
        Repeats beside them in a window.
    window : timedelta
        Length of the window.
    """

    share: float
    slack: float
    window: timedelta


@dataclass(slots=True, kw_only=True, frozen=True)
class Picked:
    """The endpoint of one send, and what decided it."""

    endpoint: Endpoint
    number: int
    facts: RequestFacts
    ready: int
    wait: timedelta = timedelta()
    prefill_tokens: int = 0


def _tell_nobody(event: LoadEvent) -> None:
    """Drop an event where there are no peers."""


class EndpointPool:
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
        "started_at",
        "is_refusing",
        "tell",
        "peer_sends",
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
        self.budgets: dict[str, WindowRetryBudget] = {}
        self.in_flight: dict[str, int] = {}
        self.numbers = count()
        self.started_at = clock()
        self.is_refusing = False
        self.tell: Callable[[LoadEvent], None] = _tell_nobody
        self.peer_sends: dict[str, set] = {}

    def pick(
        self, *, service: str, facts: RequestFacts, tried: set[str]
    ) -> Picked | None:
        """Choose an endpoint for a send and count the send."""
        by_name = {one.incarnation: one for one in self.registry.ready(service)}
        usable = self.ejections.usable(list(by_name))
        names = [one for one in usable if one not in tried] or usable
        ready = [by_name[name] for name in names]
        if not ready:
            return None
        number = next(self.numbers)
        if facts.demand is not None and self.kv_capacity_tokens(service):
            picked = self._place(service, facts, ready, number)
        else:
            picked = self._least_loaded(facts, ready, number)
        name = picked.endpoint.incarnation
        self.in_flight[name] = self.in_flight.get(name, 0) + 1
        return picked

    def kv_capacity_tokens(self, service: str) -> int:
        """Return the tokens that an engine of a service holds; 0 for plain ones."""
        configuration = self.registry.configuration
        described = configuration and configuration.services.get(service)
        return described.kv_capacity_tokens if described else 0

    def _place(
        self, service: str, facts: RequestFacts, ready: list[Endpoint], number: int
    ) -> Picked:
        now = self.clock()
        memory = self.kv_capacity_tokens(service)
        candidates = [
            EngineCandidate(name=one.incarnation, is_remote=self._is_far(one))
            for one in ready
        ]
        choice = self.placement.choose(
            facts.demand, candidates, kv_capacity_tokens=memory, now=now
        )
        self.placement.add(
            number, choice.engine, facts.demand, kv_capacity_tokens=memory, now=now
        )
        self.tell(
            SendStarted(
                number=number,
                engine=choice.engine,
                prompt_tokens=facts.demand.prompt_tokens,
                output_estimate=facts.demand.output_estimate,
                parts=facts.demand.parts,
                max_consecutive_chunks=facts.demand.max_consecutive_chunks,
            )
        )
        return Picked(
            endpoint=self.registry.incarnations[choice.engine],
            number=number,
            facts=facts,
            ready=len(ready),
            wait=choice.predicted_ttft,
            prefill_tokens=choice.prefill_tokens,
        )

    def _least_loaded(
        self, facts: RequestFacts, ready: list[Endpoint], number: int
    ) -> Picked:
        def load(endpoint: Endpoint) -> float:
            in_flight = self.in_flight.get(endpoint.incarnation, 0)
            # Below 1, so that it decides among equals only.
            return in_flight + self._is_far(endpoint) + self.random.random() / 2

        endpoint = min(ready, key=load)
        return Picked(endpoint=endpoint, number=number, facts=facts, ready=len(ready))

    def _is_far(self, endpoint: Endpoint) -> bool:
        return endpoint.data_center != self.data_center

    def note_begun(self, picked: Picked) -> None:
        """Note that the first event of a send has come."""
        if picked.number in self.placement.engine_by_send:
            self.placement.record_first_event(picked.number, self.clock())
            self.tell(SendBegun(number=picked.number))

    def note_ended(self, picked: Picked) -> None:
        """Note that a send has ended, whichever way."""
        name = picked.endpoint.incarnation
        left = self.in_flight.get(name, 1) - 1
        if left:
            self.in_flight[name] = left
        else:
            self.in_flight.pop(name, None)
        if picked.number in self.placement.engine_by_send:
            self.placement.remove(picked.number)
            self.tell(SendEnded(number=picked.number))

    def note_peer(self, speaker: str, event: LoadEvent | None) -> None:
        """Take in what another entry sends; None forgets all that it had sent."""
        now = self.clock()
        match event:
            case None:
                for key in self.peer_sends.pop(speaker, set()):
                    self.placement.remove(key)
            case SendStarted():
                self._note_peer_send(speaker, event)
            case SendBegun(number=number):
                self.placement.record_first_event((speaker, number), now)
            case SendEnded(number=number):
                self.placement.remove((speaker, number))
                self.peer_sends.get(speaker, set()).discard((speaker, number))

    def _note_peer_send(self, speaker: str, event: SendStarted) -> None:
        endpoint = self.registry.by_incarnation(event.engine)
        if endpoint is None:
            return
        key = (speaker, event.number)
        demand = Demand(
            prompt_tokens=event.prompt_tokens,
            output_limit=event.output_estimate,
            output_estimate=event.output_estimate,
            parts=event.parts,
            max_consecutive_chunks=event.max_consecutive_chunks,
        )
        self.peer_sends.setdefault(speaker, set()).add(key)
        self.placement.add(
            key,
            event.engine,
            demand,
            kv_capacity_tokens=self.kv_capacity_tokens(endpoint.service),
            now=self.clock(),
        )

    def note_result(self, picked: Picked, result: SendResult) -> None:
        """Learn from a send whether its endpoint works."""
        name = picked.endpoint.incarnation
        if result.fate in (Fate.NOT_SENT, Fate.UNKNOWN):
            self._leave_out(name, result.problem)
        elif result.fate is Fate.ANSWERED:
            self.ejections.record_success(name)

    def _leave_out(self, name: str, problem: str) -> None:
        time = self.ejections.record_failure(name)
        if time is not None:
            seconds = time.total_seconds()
            emit(ENDPOINT_LEFT_OUT, endpoint=name, seconds=seconds, problem=problem)

    def note_request(self, service: str) -> None:
        """Count a request, which allows a share of a repeat."""
        self._budget(service).record_request(self.clock())

    def take_repeat(self, service: str) -> bool:
        """Whether one more repeat may be sent now; takes it from the budget."""
        limits = self.limits()
        is_allowed = self._budget(service).withdraw(
            share=limits.share, slack=limits.slack, now=self.clock()
        )
        REPEATS.labels("yes" if is_allowed else "no").inc()
        return is_allowed

    def retry_after(self, left: timedelta | None) -> float:
        """Return the seconds after which a refused caller may come back.

        Parameters
        ----------
        left : timedelta or None
            Time that the caller has left, if it is known.
        """
        wait = self.random.uniform(RETRY_AFTER_SHORTEST, RETRY_AFTER_LONGEST)
        if left is None:
            return wait
        return max(0.0, min(wait, left.total_seconds() * RETRY_AFTER_SHARE))

    def _budget(self, service: str) -> WindowRetryBudget:
        if service not in self.budgets:
            self.budgets[service] = WindowRetryBudget(
                window=self.limits().window, started_at=self.started_at
            )
        return self.budgets[service]
