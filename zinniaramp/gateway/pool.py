"""Endpoint selection, load, ejection and retry budgets, shared by all requests."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from itertools import count
from random import Random

from ..clock import Clock
from ..locality import Locality
from ..observability import emit
from ..peers import LoadEvent, SendEnded, SendFirstEvent, SendStarted
from ..placement import (
    Demand,
    EndpointView,
    EngineChoice,
    EngineTraits,
    Placement,
)
from ..quarantine import Quarantine
from ..registry import Endpoint, Registry
from ..routing.budget import WindowRetryBudget
from ..routing.ejection import Ejections
from ..warmup import ColdBounds
from .crashes import CrashWatch
from .events import ENDPOINT_LEFT_OUT
from .gone import GoneWatch
from .holding import RequestHolder
from .matching import MatchedRequest
from .messages import AnswerMetadata, HeaderCodec, RequestMetadata
from .metrics import RETRIES
from .outcomes import SendOutcome, SendResult
from .restrictions import EndpointRestrictions
from .resumption import StreamResumption

__all__ = ["Selection", "RetryLimits", "EndpointPool"]

MIN_RETRY_AFTER = 0.3
"""Shortest ``Retry-After``, in seconds.  It is below the latency targets in the
platform's specification, so that a retried request can still meet them."""

MAX_RETRY_AFTER = 0.9
"""Longest ``Retry-After``, in seconds.  The range spreads the retries over a time in
which an engine prefills several prompts."""

MAX_RETRY_AFTER_SHARE = 0.3
"""Largest ``Retry-After`` as a share of the caller's remaining time.  Callers honour
values up to a third of that time."""

COOLDOWN_SPREAD = 0.3
"""Share by which the ``Retry-After`` of callers is spread beyond the end of the first
endpoint's cooldown, so that they don't all return at that moment."""

COLD_RETURN_SECONDS = 0.5
"""Shortest ``Retry-After`` of callers that have no time to wait until an endpoint is
warm: half of the time in which each gateway that may send to a cold one does so."""


@dataclass(slots=True, kw_only=True, frozen=True)
class RetryLimits:
    """Retry budget of one process.

    Parameters
    ----------
    share : float
        Retries allowed per request, within one window.
    slack : float
        Additional retries allowed in each window.
    window : timedelta
        Length of the window.
    """

    share: float
    slack: float
    window: timedelta


@dataclass(slots=True, kw_only=True, frozen=True)
class Selection:
    """The endpoint selected for one send.

    Parameters
    ----------
    endpoint : Endpoint
        The endpoint.
    number : int
        Number of the send, unique in this process.
    metadata : RequestMetadata
        The request's headers, parsed.
    ready : int
        Number of endpoints that could be selected.
    predicted_ttft : timedelta
        Predicted time to first token; 0 if there is no prediction.
    prefill_tokens : int
        Predicted prompt tokens to prefill; 0 if there is no prediction.
    """

    endpoint: Endpoint
    number: int
    metadata: RequestMetadata
    ready: int
    predicted_ttft: timedelta = timedelta()
    prefill_tokens: int = 0


def _discard_event(event: LoadEvent) -> None:
    """Discard an event; used until a peer mesh is connected."""


class EndpointPool:
    """Selects endpoints and tracks their load and failures for one process.

    Parameters
    ----------
    registry : Registry
        Known endpoints and configuration.
    codec : HeaderCodec
        Functions that read and write the platform's headers.
    limits : callable
        Returns the retry budget in force.
    visible_share : callable
        Returns the share of the gateways whose load events arrive here.
    data_center : str
        The process's data centre; its endpoints are preferred.
    own_address : str
        Address at which peers know this process.
    members : callable
        Returns the addresses of the known gateways; None if too few may be known.
    cold_bounds : callable
        Returns the bounds on the requests to a cold endpoint.
    regions : callable
        Returns the region of each data centre.
    transfer_price : callable
        Returns the price of 1,000 bytes between data centres, in milliseconds of
        waiting.
    holds_prompts : callable
        Returns whether prompts wait in the gateway while engines lack room for them.
    clock : Clock
        The process's clock.
    random : Random
        Source of jitter and tie-breaking.

    Attributes
    ----------
    placement : Placement
        Model of the engines' load and KV caches, which places prompts.
    locality : Locality
        Cost of leaving the data centre, and selection among plain endpoints.
    ejections : Ejections
        Outlier ejection of endpoints whose sends fail.
    restrictions : EndpointRestrictions
        Cooldowns and request rates that endpoints have asked for.
    budgets : dict of WindowRetryBudget
        Retry budget by service.
    in_flight : dict of int
        This process's sends in flight by endpoint incarnation.
    started_at : datetime
        When the process started.
    is_refusing : bool
        Whether new requests are refused, because the process is about to exit.
    broadcast : callable
        Sends a load event of this process to the other gateway processes.
    crash_watch : CrashWatch
        Crashes of endpoints, and the prompt segments and requests that cause them.
    resumption : StreamResumption
        Origins of the streams that callers resume; set before the first request.
    holder : RequestHolder
        Prompts that wait for room at an engine.
    gone_watch : GoneWatch
        Endpoints that are gone while requests wait for the first part of an answer.
    """

    __slots__ = (
        "registry",
        "codec",
        "limits",
        "data_center",
        "regions",
        "clock",
        "random",
        "placement",
        "locality",
        "ejections",
        "restrictions",
        "budgets",
        "in_flight",
        "send_numbers",
        "started_at",
        "is_refusing",
        "broadcast",
        "crash_watch",
        "resumption",
        "holder",
        "gone_watch",
    )

    def __init__(
        self,
        *,
        registry: Registry,
        codec: HeaderCodec,
        limits: Callable[[], RetryLimits],
        visible_share: Callable[[], float],
        data_center: str,
        own_address: str,
        members: Callable[[], frozenset[str] | None],
        cold_bounds: Callable[[], ColdBounds],
        regions: Callable[[], Mapping[str, str]],
        transfer_price: Callable[[], float],
        holds_prompts: Callable[[], bool],
        clock: Clock,
        random: Random,
    ):
        self.registry = registry
        self.codec = codec
        self.limits = limits
        self.data_center = data_center
        self.regions = regions
        self.clock = clock
        self.random = random
        self.locality = Locality(
            data_center=data_center, price=transfer_price, random=random
        )
        self.placement = Placement(cost_terms=(self.locality.cost_ms,))
        self.ejections = Ejections(clock=clock, random_source=random)
        self.restrictions = EndpointRestrictions(
            registry=registry,
            clock=clock,
            random=random,
            visible_share=visible_share,
            broadcast=self._broadcast,
            own_address=own_address,
            members=members,
            cold_bounds=cold_bounds,
        )
        self.crash_watch = CrashWatch(
            registry=registry, clock=clock, broadcast=self._broadcast
        )
        self.budgets: dict[str, WindowRetryBudget] = {}
        self.in_flight: dict[str, int] = {}
        self.send_numbers = count()
        self.started_at = clock()
        self.is_refusing = False
        self.broadcast: Callable[[LoadEvent], None] = _discard_event
        self.resumption: StreamResumption
        self.holder = RequestHolder(pool=self, random=random, is_enabled=holds_prompts)
        self.gone_watch = GoneWatch(registry=registry)

    def _broadcast(self, event: LoadEvent) -> None:
        self.broadcast(event)

    def select(
        self, matched: MatchedRequest, tried: set[str], version: str | None
    ) -> Selection | None:
        """Select an endpoint for a send and count the send as in flight.

        Parameters
        ----------
        matched : MatchedRequest
            The request.
        tried : set of str
            Incarnations that are selected only if no other is usable.
        version : str or None
            Software version that the endpoint must have; None if any will do.

        Returns
        -------
        Selection or None
            None if no endpoint is ready, or none of them takes a request now.
        """
        service, metadata = matched.service, matched.metadata
        ready = self.candidates(matched, tried, version)
        if not ready:
            return None
        traits = self.engine_traits(service)
        if metadata.demand is not None and traits is not None:
            choice = self.choose_engine(traits, metadata.demand, ready)
            return self.select_chosen(matched, traits, choice, len(ready))
        selection = self._select_plain(matched, ready)
        return self._record_selection(matched, selection, is_prompt=False)

    def candidates(
        self, matched: MatchedRequest, tried: set[str], version: str | None
    ) -> list[Endpoint]:
        """Return the endpoints that a request may be sent to now; see `select`."""
        usable = self._usable_endpoints(matched, version)
        untried = [one for one in usable if one.incarnation not in tried] or usable
        return self._without_needless_cold(matched, untried)

    def select_chosen(
        self,
        matched: MatchedRequest,
        traits: EngineTraits,
        choice: EngineChoice,
        ready: int,
    ) -> Selection:
        """Count a send to a chosen engine as in flight.

        Parameters
        ----------
        matched : MatchedRequest
            The request.
        traits : EngineTraits
            Properties of the engines of its service.
        choice : EngineChoice
            The engine.
        ready : int
            Number of engines that could be selected.
        """
        selection = self._start_send(traits, matched.metadata, choice, ready)
        (view,) = self._views([selection.endpoint])
        sent_bytes = matched.metadata.demand.transfer_bytes
        self.locality.finish(traits.service, view, sent_bytes, self.clock())
        return self._record_selection(matched, selection, is_prompt=True)

    def withdraw(self, selection: Selection | None) -> None:
        """Undo a selection for which nothing was sent."""
        if selection is not None:
            self.crash_watch.quarantine.discard(selection.number)
            self.record_end(selection)

    def _record_selection(
        self, matched: MatchedRequest, selection: Selection, *, is_prompt: bool
    ) -> Selection:
        metadata = matched.metadata
        name = selection.endpoint.incarnation
        segments = metadata.demand.shared_names if is_prompt else ()
        self.crash_watch.quarantine.add(
            selection.number, name, segments, matched.fingerprint
        )
        self.restrictions.record_send(selection.number, name, is_announced=is_prompt)
        self.in_flight[name] = self.in_flight.get(name, 0) + 1
        return selection

    def may_send(self, matched: MatchedRequest, version: str | None) -> bool:
        """Return whether a request may be sent to an endpoint now.

        The parameters are those of `select`.
        """
        if self.find_quarantine(matched) is not None:
            return False
        return bool(self._usable_endpoints(matched, version))

    def _usable_endpoints(
        self, matched: MatchedRequest, version: str | None
    ) -> list[Endpoint]:
        by_name = {
            one.incarnation: one
            for one in self._permitted_endpoints(matched)
            if version is None or one.version == version
        }
        usable = self.restrictions.usable(list(by_name))
        cold = [name for name in usable if self.restrictions.cold_time(name)]
        if cold:
            # Endpoints that may be replaced by cold ones are not left out in greater
            # number than without these.
            warm = [name for name in usable if name not in cold]
            usable = self.ejections.usable(warm) + self.ejections.usable(cold)
        else:
            usable = self.ejections.usable(usable)
        return [by_name[name] for name in usable]

    def _permitted_endpoints(self, matched: MatchedRequest) -> list[Endpoint]:
        """Return the endpoints in the regions that a route and a workspace allow.

        An endpoint whose region is not known is in none.
        """
        ready = self.registry.ready(matched.service)
        bindings = [
            owner.allowed_regions
            for owner in (matched.route, matched.workspace)
            if owner is not None and owner.allowed_regions is not None
        ]
        if not bindings:
            return ready
        regions, allowed = self.regions(), frozenset.intersection(*bindings)
        return [one for one in ready if regions.get(one.data_center) in allowed]

    def _without_needless_cold(
        self, matched: MatchedRequest, usable: list[Endpoint]
    ) -> list[Endpoint]:
        """Leave out the cold endpoints if there are warm ones.

        A prompt that others take precedence over may also use a cold one, whose
        capacity is idle; the most urgent prompts leave it to those.
        """
        time = self.restrictions.cold_time
        warm = [one for one in usable if not time(one.incarnation)]
        may_use_cold = matched.metadata.demand is not None and matched.urgency > 0
        return usable if may_use_cold or not warm else warm

    def apply_hints(
        self, endpoint: Endpoint, metadata: AnswerMetadata, request_id: str
    ) -> None:
        """Apply what an endpoint reports of itself in the headers of an answer."""
        name = endpoint.incarnation
        if metadata.reports_leaving:
            self.registry.mark_leaving(name)
        self.restrictions.apply_answer(name, metadata, request_id=request_id)

    def engine_traits(self, service: str) -> EngineTraits | None:
        """Return the properties of a service's engines; None if it has no engines."""
        configuration = self.registry.configuration
        definition = configuration and configuration.services.get(service)
        if not definition or not definition.is_engine:
            return None
        return EngineTraits(
            service=service,
            kv_capacity_tokens=definition.kv_capacity_tokens,
            slots=definition.slots,
            tokens_per_event=definition.tokens_per_event,
        )

    def choose_engine(
        self, traits: EngineTraits, demand: Demand, ready: list[Endpoint]
    ) -> EngineChoice:
        """Return the engine with the lowest cost for a prompt, among some."""
        now = self.clock()
        self.locality.begin(traits.service, demand, now)
        return self.placement.choose(demand, self._views(ready), traits=traits, now=now)

    def _views(self, endpoints: list[Endpoint]) -> list[EndpointView]:
        return [
            EndpointView(
                name=one.incarnation,
                data_center=one.data_center,
                is_remote=self._is_remote(one),
                is_cold=bool(self.restrictions.cold_time(one.incarnation)),
            )
            for one in endpoints
        ]

    def _start_send(
        self,
        traits: EngineTraits,
        metadata: RequestMetadata,
        choice: EngineChoice,
        ready: int,
    ) -> Selection:
        demand = metadata.demand
        number, now = next(self.send_numbers), self.clock()
        prefill = self.placement.add(
            number, choice.engine, demand, traits=traits, now=now
        )
        self.holder.record_start(number, traits.service, choice.engine, demand, prefill)
        self.broadcast(
            SendStarted(
                number=number,
                engine=choice.engine,
                prompt_tokens=demand.prompt_tokens,
                output_estimate=demand.output_estimate,
                parts=demand.parts,
                target=demand.target,
                gap_target=demand.gap_target,
                workspace=demand.workspace,
                urgency=demand.urgency,
            )
        )
        return Selection(
            endpoint=self.registry.incarnations[choice.engine],
            number=number,
            metadata=metadata,
            ready=ready,
            predicted_ttft=choice.predicted_ttft,
            prefill_tokens=choice.prefill_tokens,
        )

    def add_send(
        self, key: object, engine: str, demand: Demand, *, traits: EngineTraits
    ) -> None:
        """Record a send by another gateway process to an engine.

        The parameters are those of `Placement.add`.
        """
        now = self.clock()
        prefill = self.placement.add(key, engine, demand, traits=traits, now=now)
        self.holder.record_start(key, traits.service, engine, demand, prefill)
        self.crash_watch.quarantine.add(key, engine, demand.shared_names)

    def record_first_event_of(self, key: object) -> None:
        """Record the first event of a send to an engine; unknown keys are ignored."""
        self.placement.record_first_event(key, self.clock())
        self.crash_watch.quarantine.record_first_event(key)

    def remove_send(self, key: object, *, is_own: bool = False) -> None:
        """Record the end of a send; unknown keys are ignored."""
        self.placement.remove(key)
        self.holder.record_end(key, is_own=is_own)
        self.crash_watch.quarantine.record_end(key)

    def _select_plain(
        self, matched: MatchedRequest, ready: list[Endpoint]
    ) -> Selection:
        number, now = next(self.send_numbers), self.clock()
        selected = self.locality.choose_plain(
            matched.service,
            self._views(ready),
            slots={one.incarnation: one.slots for one in ready},
            target=matched.route.target,
            sent_bytes=matched.body_bytes,
            now=now,
        )
        responses = self.locality.service(matched.service).responses
        responses.record_start(selected.name, number, now)
        return Selection(
            endpoint=self.registry.incarnations[selected.name],
            number=number,
            metadata=matched.metadata,
            ready=len(ready),
        )

    def _is_remote(self, endpoint: Endpoint) -> bool:
        return endpoint.data_center != self.data_center

    def record_connect(self, endpoint: Endpoint, took: timedelta) -> None:
        """Record how long a connection attempt took, or after what time it failed."""
        self.locality.paths.record(
            endpoint.data_center, took / timedelta(milliseconds=1), self.clock()
        )

    def record_head(self, selection: Selection) -> None:
        """Record that the headers of a successful answer were received."""
        endpoint = selection.endpoint
        responses = self.locality.service(endpoint.service).responses
        responses.record_response(endpoint.incarnation, selection.number, self.clock())

    def record_first_event(self, selection: Selection) -> None:
        """Record that a send's first event was received."""
        if selection.number in self.placement.engine_by_send:
            self.record_first_event_of(selection.number)
            self.broadcast(SendFirstEvent(number=selection.number))

    def record_event(self, selection: Selection, gap: timedelta) -> None:
        """Record a further event of a send and the time since the one before."""
        self.placement.record_event(selection.number, gap, self.clock())

    def record_written(self, selection: Selection) -> None:
        """Record that a send was written to its connection, or could not be."""
        self.restrictions.cold_allowance.finish(selection.number)

    def record_end(self, selection: Selection) -> None:
        """Record that a send has ended, with any outcome."""
        self.record_written(selection)
        name = selection.endpoint.incarnation
        left = self.in_flight.get(name, 1) - 1
        if left:
            self.in_flight[name] = left
        else:
            self.in_flight.pop(name, None)
        is_prompt = selection.number in self.placement.engine_by_send
        responses = self.locality.service(selection.endpoint.service).responses
        responses.record_end(name, selection.number)
        self.remove_send(selection.number, is_own=True)
        if is_prompt:
            self.broadcast(SendEnded(number=selection.number))

    def record_result(self, selection: Selection, result: SendResult) -> None:
        """Update outlier ejection and crash detection with the result of a send."""
        name = selection.endpoint.incarnation
        quarantine = self.crash_watch.quarantine
        if result.outcome in (SendOutcome.NOT_SENT, SendOutcome.NOT_RUN):
            quarantine.discard(selection.number)
        elif result.outcome is not SendOutcome.UNKNOWN and not result.is_closed:
            quarantine.record_answer(selection.number)
        if result.outcome is SendOutcome.NOT_SENT:
            self.gone_watch.check(selection.endpoint)
        in_cooldown = self.restrictions.cooldowns.is_active(name)
        if result.is_closed and not in_cooldown:
            self.restrictions.record_probe(name)
            self.crash_watch.check(selection.endpoint)
        if result.outcome in (SendOutcome.NOT_SENT, SendOutcome.UNKNOWN):
            self._eject(name, result.problem)
        elif result.outcome is SendOutcome.ANSWERED:
            self.ejections.record_success(name)
        self._record_traffic(selection, result)

    def _record_traffic(self, selection: Selection, result: SendResult) -> None:
        """Update what is known of the traffic between data centres."""
        endpoint, demand = selection.endpoint, selection.metadata.demand
        has_engine = self.engine_traits(endpoint.service) is not None
        is_prompt = demand is not None and has_engine
        if result.outcome is SendOutcome.ANSWERED:
            # A request without token counts says nothing of an engine's answers.
            plain_tokens = None if has_engine else 1
            self.locality.record_answer_size(
                endpoint.service,
                result.answer_bytes,
                is_remote=self._is_remote(endpoint),
                output_tokens=demand.output_estimate if is_prompt else plain_tokens,
            )
        elif result.outcome is not SendOutcome.FAILED and not is_prompt:
            self.locality.record_rejection(
                endpoint.service, endpoint.incarnation, self.clock()
            )

    def _eject(self, name: str, problem: str) -> None:
        time = self.ejections.record_failure(name)
        if time is not None:
            seconds = time.total_seconds()
            emit(ENDPOINT_LEFT_OUT, endpoint=name, seconds=seconds, problem=problem)

    def find_quarantine(self, matched: MatchedRequest) -> Quarantine | None:
        """Return the quarantine that forbids a request to be sent, or None."""
        demand = matched.metadata.demand
        segments = demand.shared_names if demand else ()
        return self.crash_watch.quarantine.find((matched.fingerprint, *segments))

    def record_request(self, service: str) -> None:
        """Count a request, which adds a share of a retry to its service's budget."""
        self._budget(service).record_request(self.clock())

    def withdraw_retry(self, service: str) -> bool:
        """Return whether the budget allows a retry now; withdraw it if so."""
        limits = self.limits()
        is_allowed = self._budget(service).withdraw(
            share=limits.share, slack=limits.slack, now=self.clock()
        )
        RETRIES.labels("yes" if is_allowed else "no").inc()
        return is_allowed

    def retry_after(
        self, matched: MatchedRequest | None, left: timedelta | None
    ) -> float:
        """Return the ``Retry-After`` of a refused request, in seconds.

        Parameters
        ----------
        matched : MatchedRequest or None
            The request.  If none of its endpoints takes a request now, the caller
            learns when the first one does, whatever time the caller has left.
        left : timedelta or None
            Time until the request's deadline; None if it is not known.
        """
        permitted = self._permitted_endpoints(matched) if matched else []
        ready = [one.incarnation for one in permitted]
        closed = self.restrictions.time_closed(ready)
        cold_times = [self.restrictions.cold_time(name) for name in ready]
        warm_in = min(cold_times, default=timedelta()).total_seconds()
        if warm_in:
            return self._cold_retry_after(warm_in, left)
        if closed:
            spread = self.random.uniform(1, 1 + COOLDOWN_SPREAD)
            return closed.total_seconds() * spread
        wait = self.random.uniform(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
        if left is None:
            return wait
        return max(0.0, min(wait, left.total_seconds() * MAX_RETRY_AFTER_SHARE))

    def _cold_retry_after(self, warm_in: float, left: timedelta | None) -> float:
        """Return the ``Retry-After`` if only cold endpoints are left, in seconds.

        Callers that can wait for a warm one come back then, a little apart.  The others
        try again within the time that they honour: the allowance opens every second.
        """
        latest = warm_in * (1 + COOLDOWN_SPREAD)
        if left is None:
            return self.random.uniform(warm_in, latest)
        reach = max(0.0, left.total_seconds() * MAX_RETRY_AFTER_SHARE)
        if warm_in <= reach:
            return self.random.uniform(warm_in, min(latest, reach))
        return self.random.uniform(min(COLD_RETURN_SECONDS, reach), reach)

    def _budget(self, service: str) -> WindowRetryBudget:
        if service not in self.budgets:
            self.budgets[service] = WindowRetryBudget(
                window=self.limits().window, started_at=self.started_at
            )
        return self.budgets[service]
