"""Decisions on requests for engines: sent, held or refused."""

from collections.abc import Callable, Iterable, Set
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from random import Random

from ..placement import Demand, EngineLaw
from .queue import HeldRequest, HoldQueue
from .rates import Rate
from .shares import WorkspaceShares
from .usage import OTHERS_SLOTS, ServiceUsage
from .verdicts import Hold, Refuse, Send, Verdict

__all__ = ["Admission", "ServiceAdmission"]

MAX_HELD = 512
"""Largest number of held requests of a service in one gateway.  The largest gateways
get 100 requests a second, and a request rarely gains by waiting over 5 s."""

MAX_HELD_BYTES = 16 * 1024 * 1024
"""Largest sum of the bodies of the held requests of a service in one gateway.  It is a
tenth of the memory of the smallest hosts."""

SURE_SHARE = 0.6
"""Share of the predicted time below which a request surely can't be completed.  Engines
run at 0.7 of the nominal times in some deployments, and a refusal of a request that
could have been served is worse than a late answer."""

LONG_WAIT_SHARE = 0.06
"""Wait of a request, as a share of the time from its arrival to its deadline, from
which less urgent ones leave more room.  With a quarter, urgent requests got nothing
while larger, less urgent ones began (docs/design/admission.md)."""

DISPLACE_SHARE = 0.5
"""Share of its target latency that a request waits before it is sent to an engine that
has to preempt less urgent ones for it.  These lose what they have prefilled."""

PASSED_LIMIT = 8
"""Releases of other requests of its class after which the engine that a request waits
for is closed to those behind it, so that the largest ones find memory as well."""

MAX_TRIED = 8
"""Requests for which an engine is sought in one pass without success; it bounds the
processor time of a pass."""

RECONSIDER_TIME = timedelta(milliseconds=100)
"""Time after which an engine is chosen anew for a held request for which nothing has
changed.  A choice takes some 0.3 ms of processor time with 28 engines."""

RELEASE_LIFETIME = timedelta(seconds=2)
"""Time in which the rate of releases follows a change."""

MIN_RELEASES_PER_S = 0.5
"""Rate of releases below which the length of the queue predicts no wait."""

OWN_END_WAIT_S = (0.0, 0.002)
PEER_END_WAIT_S = (0.003, 0.02)
TIMER_WAIT_S = (0.02, 0.04)
"""Ranges of the random time until the queue is examined: after a send of this gateway
has ended, after one of another gateway, and otherwise.  The gateway whose send ended
goes first, and the others act after its load event has arrived, so that one slot isn't
given away several times."""

MILLISECOND = timedelta(milliseconds=1)
"""Unit of predictions."""


@dataclass(slots=True, kw_only=True)
class ServiceAdmission:
    """State of one service.

    Attributes
    ----------
    usage : ServiceUsage
        Slots and memory in use.
    shares : WorkspaceShares
        What each workspace has received.
    queue : HoldQueue
        Requests that wait in this gateway.
    releases : Rate
        Held requests of this gateway that were sent.
    """

    usage: ServiceUsage = field(default_factory=ServiceUsage)
    shares: WorkspaceShares = field(default_factory=WorkspaceShares)
    queue: HoldQueue | None = None
    releases: Rate = field(default_factory=lambda: Rate(lifetime=RELEASE_LIFETIME))

    def __post_init__(self):
        self.queue = HoldQueue(shares=self.shares)


class Admission:
    """Admits requests to the engines of all services in one gateway.

    Parameters
    ----------
    law : callable
        Returns the law of a service's engines.
    random : Random
        Source of the spread of wake-ups.

    Attributes
    ----------
    services : dict of ServiceAdmission
        State by service.
    service_by_send : dict of str
        Service of each send in flight, by the send's key.
    """

    __slots__ = ("law", "random", "services", "service_by_send")

    def __init__(self, *, law: Callable[[str], EngineLaw], random: Random):
        self.law = law
        self.random = random
        self.services: dict[str, ServiceAdmission] = {}
        self.service_by_send: dict[object, str] = {}

    def service(self, name: str) -> ServiceAdmission:
        """Return the state of a service."""
        if name not in self.services:
            self.services[name] = ServiceAdmission()
        return self.services[name]

    def record_start(
        self,
        key: object,
        service: str,
        engine: str,
        demand: Demand,
        now: datetime,
        prefill: timedelta = timedelta(),
    ) -> None:
        """Record a send by this or another gateway to an engine.

        Parameters
        ----------
        key : hashable
            Identity of the send, unique among those in flight.
        service, engine : str
            Where it was sent.
        demand : Demand
            Its tokens, workspace and urgency.
        now : datetime
            Current time.
        prefill : timedelta
            Predicted time of its prefill.
        """
        state = self.service(service)
        state.usage.add(key, engine, demand, now, prefill)
        state.shares.enter(demand.workspace)
        tokens = demand.prompt_tokens + demand.output_estimate
        state.shares.charge(demand.workspace, tokens, now)
        self.service_by_send[key] = service

    def record_end(self, key: object, now: datetime) -> str | None:
        """Record the end of a send.

        Returns
        -------
        str or None
            Its service if requests of this gateway wait there, for which there may be
            room now.
        """
        service = self.service_by_send.pop(key, None)
        if service is None:
            return None
        state = self.services[service]
        demand = state.usage.remove(key, now)
        if demand is not None:
            state.shares.leave(demand.workspace)
        return service if state.queue.count else None

    def keep(self, names: Iterable[str]) -> None:
        """Forget all engines except the named ones."""
        listed = set(names)
        for state in self.services.values():
            state.usage.keep(listed)

    def held_count(self) -> int:
        """Return the number of held requests of all services."""
        return sum(state.queue.count for state in self.services.values())

    def offer(self, request: HeldRequest, now: datetime) -> Verdict:
        """Decide on a new request.  One that is to be held is added to the queue.

        Parameters
        ----------
        request : HeldRequest
            The request.
        now : datetime
            Current time.

        Returns
        -------
        Verdict
            The caller refuses or sends the request at once, and records the send.
        """
        state = self.service(request.traits.service)
        names = request.engines()
        if not names:
            return Send(choice=None)
        verdict = self._place(state, request, names, now)
        is_passing = isinstance(verdict, Send) and self._is_passing(
            state, request, verdict.engine
        )
        if is_passing:
            verdict = Hold(engine=verdict.engine, reason="queue")
        if isinstance(verdict, Send):
            return verdict
        refusal = self._refusal(state, request, names, now)
        if refusal is not None:
            return refusal
        request.engine = verdict.engine
        state.queue.add(request)
        return verdict

    def drain(
        self, service: str, now: datetime
    ) -> tuple[HeldRequest, Send | Refuse] | None:
        """Release the first held request for which there is a decision.

        Call it again until it returns None: each send changes the room that is left.

        Parameters
        ----------
        service : str
            The service.
        now : datetime
            Current time.
        """
        state = self.services.get(service)
        if state is None or not state.queue.count:
            return None
        open_classes: dict[int, bool] = {}
        claimed: set[str] = set()
        tried = 0
        for request in state.queue.in_order():
            rank, closed = request.rank, frozenset(claimed)
            if request.passed >= PASSED_LIMIT:
                claimed.add(request.engine)
            if rank not in open_classes:
                open_classes[rank] = state.usage.is_any_open(
                    request.engines(),
                    request.demand,
                    request.traits,
                    now,
                    is_floor=state.queue.is_at_floor(rank),
                )
            whole = request.deadline - request.since
            if now - request.since > LONG_WAIT_SHARE * whole:
                state.usage.pressed_at[rank] = now
            if not self._is_due(state, request, open_classes[rank], now):
                continue
            verdict = self._reconsider(state, request, closed, now)
            if not isinstance(verdict, Hold):
                return self._release(state, request, verdict, now)
            request.engine = verdict.engine
            tried += 1
            if tried >= MAX_TRIED:
                break
        return None

    def remove(self, request: HeldRequest) -> bool:
        """Remove a held request, whose caller left or whose deadline passed.

        Returns
        -------
        bool
            Whether it was held.
        """
        return self.service(request.traits.service).queue.remove(request)

    def evict(self, service: str, now: datetime) -> tuple[HeldRequest, Refuse] | None:
        """Remove a request from a queue that is over its bounds, or return None."""
        state = self.service(service)
        queue = state.queue
        if queue.count <= MAX_HELD and queue.transfer_bytes <= MAX_HELD_BYTES:
            return None
        last = queue.last()
        queue.remove(last)
        return last, self._make_refusal(state, last, "queue-full", now)

    def wake_after_s(self, *, cause: str, service: str) -> float:
        """Return the time until the queue of a service is examined.

        Parameters
        ----------
        cause : str
            ``own`` or ``peer`` if a send of this or another gateway has ended, else
            ``timer``.
        service : str
            The service.
        """
        ranges = {"own": OWN_END_WAIT_S, "peer": PEER_END_WAIT_S}
        return self.random.uniform(*ranges.get(cause, TIMER_WAIT_S))

    def _reconsider(
        self,
        state: ServiceAdmission,
        request: HeldRequest,
        closed: Set[str],
        now: datetime,
    ) -> Verdict:
        """Decide anew on a held request; `closed` are engines that it may not get."""
        names = request.engines()
        if not names:
            # The sender handles a service without usable engines.
            return Send(choice=None)
        if self._can_not_be_met(state, request, names, now):
            return self._make_refusal(state, request, "deadline", now)
        free = [name for name in names if name not in closed]
        if not free:
            return Hold(engine=request.engine, reason="queue")
        return self._place(state, request, free, now)

    def _is_due(
        self,
        state: ServiceAdmission,
        request: HeldRequest,
        is_any_open: bool,
        now: datetime,
    ) -> bool:
        """Return whether a decision on a held request may differ from the last one."""
        if request.reconsider_at is None or now >= request.reconsider_at:
            return True
        left_ms = (request.deadline - now) / MILLISECOND
        if SURE_SHARE * request.needed_ms > left_ms:
            return True
        if request.waits_for_any:
            return is_any_open
        return not state.usage.lack(
            request.engine,
            request.demand,
            request.traits,
            now,
            is_floor=state.queue.is_at_floor(request.rank),
        )

    def _place(
        self,
        state: ServiceAdmission,
        request: HeldRequest,
        names: list[str],
        now: datetime,
    ) -> Send | Hold:
        """Return the engine that a request is sent to, or waits for."""
        usage, demand, traits = state.usage, request.demand, request.traits
        best = request.choose(names)
        self._predict(state, request, best.engine, best.predicted_ttft)
        is_over = self._is_over_share(state, request, best.engine, now)
        is_held = request in state.queue
        is_floor = is_held and state.queue.is_at_floor(request.rank)

        def find_lack(name: str) -> str:
            return usage.lack(
                name, demand, traits, now, is_over_share=is_over, is_floor=is_floor
            )

        lack = find_lack(best.engine)
        if not lack:
            return Send(choice=best)
        waited_ms = (now - request.since) / MILLISECOND
        open_names = [name for name in names if not find_lack(name)]
        request.waits_for_any = not open_names
        request.reconsider_at = now + RECONSIDER_TIME
        if open_names:
            other = request.choose(open_names)
            # Waiting costs no more than what it may save: the prefill elsewhere.
            left_ms = other.cost_ms - best.cost_ms - waited_ms
            if left_ms <= 0:
                return Send(choice=other)
            request.reconsider_at = now + min(RECONSIDER_TIME, left_ms * MILLISECOND)
            return Hold(engine=best.engine, reason=lack)
        target_ms = demand.target / MILLISECOND
        displace_ms = DISPLACE_SHARE * target_ms - waited_ms
        if target_ms and displace_ms <= 0:
            beside = [
                name
                for name in names
                if usage.may_displace(name, demand, traits)
                and self._has_less_urgent(state, name, demand.urgency)
            ]
            if beside:
                return Send(choice=request.choose(beside))
        elif target_ms:
            request.reconsider_at = now + min(
                RECONSIDER_TIME, displace_ms * MILLISECOND
            )
        return Hold(engine=best.engine, reason=lack)

    @staticmethod
    def _is_over_share(
        state: ServiceAdmission, request: HeldRequest, engine: str, now: datetime
    ) -> bool:
        """Return whether a request's workspace is over its share, if that matters."""
        slots, taken = request.traits.slots, state.usage.count(engine)
        is_short = taken + OTHERS_SLOTS >= slots or state.queue.count > 0
        return is_short and state.shares.is_over_share(request.demand.workspace, now)

    @staticmethod
    def _has_less_urgent(state: ServiceAdmission, engine: str, rank: int) -> bool:
        by_rank = state.usage.engines[engine].by_rank
        return any(n for one, n in by_rank.items() if one > rank)

    def _is_passing(
        self, state: ServiceAdmission, request: HeldRequest, engine: str
    ) -> bool:
        """Return whether a new request would pass one that waits for its engine."""
        for held in state.queue.in_order():
            if held.rank > request.rank:
                return False
            if held.engine == engine:
                return True
        return False

    def _predict(
        self,
        state: ServiceAdmission,
        request: HeldRequest,
        engine: str,
        ttft: timedelta,
    ) -> None:
        law = self.law(request.traits.service)
        step_ms = law.step_ms(state.usage.count(engine) + 1)
        decode_ms = request.demand.output_estimate * step_ms
        request.needed_ms = ttft / MILLISECOND + decode_ms

    def _refusal(
        self,
        state: ServiceAdmission,
        request: HeldRequest,
        names: list[str],
        now: datetime,
    ) -> Refuse | None:
        """Return why a new request is refused, or None if it is to be held."""
        if self._never_refuses(state, request, names):
            return None
        left_ms = (request.deadline - now) / MILLISECOND
        wait_ms = self._wait_ms(state, request, now) or 0.0
        if SURE_SHARE * (wait_ms + request.needed_ms) > left_ms:
            return self._make_refusal(state, request, "deadline", now)
        return None

    def _can_not_be_met(
        self,
        state: ServiceAdmission,
        request: HeldRequest,
        names: list[str],
        now: datetime,
    ) -> bool:
        if self._never_refuses(state, request, names):
            return False
        left_ms = (request.deadline - now) / MILLISECOND
        return SURE_SHARE * request.needed_ms > left_ms

    def _never_refuses(
        self, state: ServiceAdmission, request: HeldRequest, names: list[str]
    ) -> bool:
        """Return whether half of the slots are free and no other request is held."""
        others = state.queue.count - (request in state.queue)
        return not others and state.usage.is_calm(names, request.traits)

    def _wait_ms(
        self, state: ServiceAdmission, request: HeldRequest, now: datetime
    ) -> float | None:
        """Return the predicted wait of a new request; None if it is not known."""
        per_s = state.releases.per_s(now)
        if per_s < MIN_RELEASES_PER_S:
            return None
        return state.queue.ahead(request) / per_s * 1000

    def _make_refusal(
        self, state: ServiceAdmission, request: HeldRequest, reason: str, now: datetime
    ) -> Refuse:
        wait_ms = self._wait_ms(state, request, now)
        if wait_ms is None:
            wait_ms = state.usage.next_end_s(request.engine) * 1000
        return Refuse(reason=reason, wait_ms=wait_ms, needed_ms=request.needed_ms)

    @staticmethod
    def _release(
        state: ServiceAdmission,
        request: HeldRequest,
        verdict: Send | Refuse,
        now: datetime,
    ) -> tuple[HeldRequest, Send | Refuse]:
        state.queue.remove(request)
        if isinstance(verdict, Send):
            state.queue.record_release(request)
            state.releases.add(1, now)
        return request, verdict
