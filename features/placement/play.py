"""Simulation of gateways that place prompts on engines with a modelled step time."""

import heapq
from collections import OrderedDict
from dataclasses import dataclass, field, replace
from datetime import UTC, datetime, timedelta
from itertools import count
from random import Random

from zinniaramp.placement import (
    Demand,
    EndpointView,
    EngineLaw,
    EngineTraits,
    Placement,
    PromptSegment,
)
from zinniaramp.placement.law import DEFAULT_LAW
from zinniaramp.placement.learning import LawEstimator

START = datetime(2026, 1, 1, tzinfo=UTC)
GATEWAY_COUNT = 5
SERVICE = "model"
OUTPUT_TOKENS = 60
"""Tokens that each request to a drawn engine generates."""

NO_GAP_TARGET_MS = 1e6
"""Gap target that every stream meets."""

MAX_OWN_FACTOR = 8.0
"""Largest own prompt relative to the mean of its kind, as in the specification."""


@dataclass(slots=True, kw_only=True, frozen=True)
class RequestKind:
    """Load, size and targets of one kind of request, from the specification.

    Parameters
    ----------
    rate_per_s : float
        Mean arrival rate outside bursts.
    shared_tokens, own_tokens : int
        Tokens of the shared prompt segment and of the request's own segment.
    output_tokens : int
        Tokens to generate.
    target_ms : float
        Target for the time to the first event.
    gap_ms : float
        Target for the gap between two events.
    prefixes : int
        Number of distinct shared prompt segments.
    priority : int
        Prefill priority; 0 is the most urgent.
    spread : float
        Standard deviation of the logarithm of the own tokens.
    """

    rate_per_s: float
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    target_ms: float
    gap_ms: float
    prefixes: int
    priority: int
    spread: float = 0.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Site:
    """Engines and load of one deployment.

    Parameters
    ----------
    engines : int
        Number of engines.
    quadratic_ms : float
        Additional time for a million pairs of a prefilled token and one before it.
    law : EngineLaw
        True law of the engines, but for the quadratic term.
    traits : EngineTraits
        Published properties of the engines.
    kinds : dict of RequestKind
        Kinds of requests by name.
    bursts : tuple
        For each burst, the kind, the factor on its arrival rate, and the start and
        end in seconds.
    """

    engines: int
    quadratic_ms: float
    law: EngineLaw
    traits: EngineTraits
    kinds: dict[str, RequestKind]
    bursts: tuple[tuple[str, float, float, float], ...]


KILOMETERWERK = Site(
    engines=5,
    quadratic_ms=0.0,
    law=EngineLaw(
        prefill_tokens_per_ms=54.6,
        overhead_ms=0,
        decode_ms=5.61,
        decode_ms_per_stream=0.121,
        chunk_tokens=4096,
    ),
    traits=EngineTraits(
        service=SERVICE, kv_capacity_tokens=670_862, slots=64, tokens_per_event=3
    ),
    kinds={
        "summary": RequestKind(
            rate_per_s=6.2,
            shared_tokens=13300,
            own_tokens=3720,
            output_tokens=120,
            target_ms=2000,
            gap_ms=1000,
            prefixes=119,
            priority=2,
        ),
        "review": RequestKind(
            rate_per_s=4.5,
            shared_tokens=6300,
            own_tokens=2890,
            output_tokens=51,
            target_ms=800,
            gap_ms=400,
            prefixes=57,
            priority=1,
        ),
        "question": RequestKind(
            rate_per_s=6.3,
            shared_tokens=350,
            own_tokens=1110,
            output_tokens=171,
            target_ms=500,
            gap_ms=250,
            prefixes=81,
            priority=0,
        ),
    },
    bursts=(("summary", 2.2, 0.5, 9.5), ("question", 1.9, 11, 16)),
)
TSURUGAYA = Site(
    engines=6,
    quadratic_ms=0.0,
    law=EngineLaw(
        prefill_tokens_per_ms=63.9,
        overhead_ms=0,
        decode_ms=3.7,
        decode_ms_per_stream=0.0193,
        chunk_tokens=4096,
    ),
    traits=EngineTraits(
        service=SERVICE, kv_capacity_tokens=642_417, slots=64, tokens_per_event=4
    ),
    kinds={
        "dossier": RequestKind(
            rate_per_s=8.1,
            shared_tokens=13300,
            own_tokens=3720,
            output_tokens=120,
            target_ms=2000,
            gap_ms=1000,
            prefixes=156,
            priority=2,
        ),
        "caption": RequestKind(
            rate_per_s=6.4,
            shared_tokens=6300,
            own_tokens=2890,
            output_tokens=52,
            target_ms=600,
            gap_ms=400,
            prefixes=124,
            priority=1,
        ),
        "query": RequestKind(
            rate_per_s=13.9,
            shared_tokens=350,
            own_tokens=1110,
            output_tokens=172,
            target_ms=400,
            gap_ms=250,
            prefixes=178,
            priority=0,
        ),
    },
    bursts=(("dossier", 2.3, 0.5, 9.5), ("query", 2.0, 11, 16)),
)
SPLIT = Site(
    engines=8,
    quadratic_ms=0.324,
    law=EngineLaw(
        prefill_tokens_per_ms=61.2,
        overhead_ms=6,
        decode_ms=3.37,
        decode_ms_per_stream=0.0109,
        chunk_tokens=2048,
    ),
    traits=EngineTraits(
        service=SERVICE, kv_capacity_tokens=530_554, slots=32, tokens_per_event=6
    ),
    kinds={
        "dossier": RequestKind(
            rate_per_s=11.1,
            shared_tokens=5382,
            own_tokens=6610,
            output_tokens=384,
            target_ms=2000,
            gap_ms=1000,
            prefixes=104,
            priority=2,
            spread=1.4,
        ),
        "question": RequestKind(
            rate_per_s=22.6,
            shared_tokens=198,
            own_tokens=628,
            output_tokens=294,
            target_ms=300,
            gap_ms=250,
            prefixes=481,
            priority=0,
            spread=1.0,
        ),
        "summary": RequestKind(
            rate_per_s=18.0,
            shared_tokens=568,
            own_tokens=1800,
            output_tokens=24,
            target_ms=400,
            gap_ms=400,
            prefixes=255,
            priority=1,
            spread=1.3,
        ),
    },
    bursts=(
        ("dossier", 2.2, 0.5, 9.5),
        ("question", 1.9, 11, 16),
        ("dossier", 2.2, 11, 16),
    ),
)
SITES = {"kilometerwerk": KILOMETERWERK, "tsurugaya": TSURUGAYA, "split": SPLIT}


@dataclass(slots=True, kw_only=True)
class Request:
    """One request and the progress of its stream.

    Parameters
    ----------
    number : int
        Number of the request in the order of generation.
    sent_at_ms : float
        Time at which it is sent.
    kind : RequestKind
        Load, size and targets.
    demand : Demand
        Resource demand.
    prefill_tokens : int
        Prompt tokens that remain to be prefilled.
    generated_tokens : int
        Output tokens generated so far.
    first_ms : float or None
        Time of the first event; None before it.
    last_event_ms : float
        Time of the last event.
    gaps_ms : list of float
        Gaps between two events.
    entry : int
        Number of the gateway that receives the request.
    """

    number: int
    sent_at_ms: float
    kind: RequestKind
    demand: Demand
    prefill_tokens: int = 0
    generated_tokens: int = 0
    first_ms: float | None = None
    last_event_ms: float = 0.0
    gaps_ms: list = field(default_factory=list)
    entry: int = 0

    @property
    def longest_gap_ms(self):
        """Longest gap between two events."""
        return max(self.gaps_ms, default=0.0)

    def context_tokens(self):
        """Return the tokens of the prompt and of the output so far."""
        return self.demand.prompt_tokens + self.generated_tokens

    def is_on_time(self):
        """Return whether the stream is complete and met its latency and gap targets."""
        if self.first_ms is None or self.generated_tokens < self.kind.output_tokens:
            return False
        latency_ms = self.first_ms - self.sent_at_ms
        return (
            latency_ms <= self.kind.target_ms
            and self.longest_gap_ms <= self.kind.gap_ms
        )


@dataclass(slots=True, kw_only=True)
class Engine:
    """Simulated engine with chunked prefill, by priority and then by arrival.

    Parameters
    ----------
    site : Site
        Law and size of the engine.
    waiting : list of Request
        Requests before the end of their prefill, in the order of prefill.
    running : list of Request
        Requests that are being decoded.
    held : OrderedDict of int
        Tokens of the cached prompt segments, least recently used first.
    preemptions : int
        Requests that were removed from the batch because memory ran out.
    """

    site: Site
    waiting: list = field(default_factory=list)
    running: list = field(default_factory=list)
    held: OrderedDict = field(default_factory=OrderedDict)
    preemptions: int = 0

    def add(self, request):
        """Queue a request; cached prompt segments need no prefill."""
        request.prefill_tokens = request.demand.prompt_tokens
        for segment in request.demand.parts:
            if segment.name not in self.held:
                break
            request.prefill_tokens -= segment.tokens
        request.prefill_tokens = max(1, request.prefill_tokens)
        for segment in request.demand.parts:
            self.held[segment.name] = segment.tokens
            self.held.move_to_end(segment.name)
        self._queue(request)

    def _queue(self, request):
        self.waiting.append(request)
        self.waiting.sort(key=lambda one: (one.kind.priority, one.number))

    def used_tokens(self):
        """Return the tokens of running requests, and of the first waiting one."""
        admitted = self.running + self.waiting[:1]
        return sum(one.context_tokens() for one in admitted)

    def make_room(self):
        """Evict segments, then preempt the newest of the least urgent requests."""
        capacity = self.site.traits.kv_capacity_tokens
        free = capacity - self.used_tokens()
        while self.held and sum(self.held.values()) > max(0, free):
            self.held.popitem(last=False)
        while len(self.running) > 1 and self.used_tokens() > capacity:
            victim = max(self.running, key=lambda one: (one.kind.priority, one.number))
            self.running.remove(victim)
            victim.prefill_tokens = victim.context_tokens()
            self.preemptions += 1
            self._queue(victim)

    def step(self, now_ms):
        """Run one step; return its end and the requests now prefilled or ended."""
        self.make_room()
        law = self.site.law
        budget, finished, prefill_ms = law.chunk_tokens, [], 0.0
        slots = self.site.traits.slots - len(self.running)
        while self.waiting and budget and len(finished) < slots:
            first = self.waiting[0]
            taken = min(budget, first.prefill_tokens)
            done = first.context_tokens() - first.prefill_tokens
            pairs = taken * (done + taken / 2)
            prefill_ms += law.prefill_ms(taken) + self.site.quadratic_ms * pairs / 1e6
            first.prefill_tokens -= taken
            budget -= taken
            if not first.prefill_tokens:
                finished.append(self.waiting.pop(0))
        end = now_ms + law.step_ms(len(self.running)) + prefill_ms
        ended = [one for one in self.running if self._generate_token(one, end)]
        started = [one for one in finished if one.first_ms is None]
        for one in started:
            one.first_ms = one.last_event_ms = end + law.overhead_ms
        self.running = [one for one in self.running if one not in ended] + finished
        return end, started, ended

    def _generate_token(self, request, now_ms):
        request.generated_tokens += 1
        is_last = request.generated_tokens >= request.kind.output_tokens
        if request.generated_tokens % self.site.traits.tokens_per_event == 0 or is_last:
            gap = now_ms - request.last_event_ms
            request.gaps_ms.append(gap)
            request.last_event_ms = now_ms
        return is_last


def arrivals(site, *, seconds, seed):
    """Return the requests of a simulation in order of arrival.

    Parameters
    ----------
    site : Site
        Engines and load.
    seconds : float
        Simulated time.
    seed : int
        Seed of the arrivals.
    """
    random, numbers, requests = Random(seed), count(), []
    for name, kind in site.kinds.items():
        at_s = 0.0
        while at_s < seconds:
            factor = max(
                [
                    x
                    for burst_kind, x, start_s, end_s in site.bursts
                    if burst_kind == name and start_s <= at_s < end_s
                ],
                default=1.0,
            )
            at_s += random.expovariate(kind.rate_per_s * factor)
            requests.append(
                _request(
                    next(numbers),
                    at_s * 1000,
                    name,
                    kind,
                    random,
                )
            )
    return sorted(requests, key=lambda one: one.sent_at_ms)


def _request(number, sent_at_ms, name, kind, random):
    prefix = random.randrange(kind.prefixes)
    # The mean of the distribution is the kind's number of tokens.
    factor = random.lognormvariate(-(kind.spread**2) / 2, kind.spread)
    own_tokens = max(1, int(min(MAX_OWN_FACTOR, factor) * kind.own_tokens))
    parts = (
        PromptSegment(name=f"{name}-{prefix}", tokens=kind.shared_tokens),
        PromptSegment(name=f"own-{number}", tokens=own_tokens),
    )
    demand = Demand(
        prompt_tokens=kind.shared_tokens + own_tokens,
        output_limit=kind.output_tokens,
        output_estimate=kind.output_tokens,
        parts=parts,
        target=timedelta(milliseconds=kind.target_ms),
        gap_target=timedelta(milliseconds=kind.gap_ms),
    )
    entry = random.randrange(GATEWAY_COUNT)
    return Request(
        number=number, sent_at_ms=sent_at_ms, kind=kind, demand=demand, entry=entry
    )


def simulate(site, *, placer, seconds, seed):
    """Simulate a load and return its requests.

    Parameters
    ----------
    site : Site
        Engines and load.
    placer : Gateways or FewestInFlight
        Chooses the engine of each request.
    seconds : float
        Time during which requests arrive.
    seed : int
        Seed of the arrivals.
    """
    names = [f"engine-{number}" for number in range(site.engines)]
    engines = {name: Engine(site=site) for name in names}
    requests = arrivals(site, seconds=seconds, seed=seed)
    events = [(one.sent_at_ms, number, one) for number, one in enumerate(requests)]
    numbers = count(len(events))
    heapq.heapify(events)
    busy = set()
    while events:
        now_ms, _, item = heapq.heappop(events)
        now = START + timedelta(milliseconds=now_ms)
        if isinstance(item, Request):
            name = placer.choose(item, names, now)
            engines[name].add(item)
            if name not in busy:
                busy.add(name)
                heapq.heappush(events, (now_ms, next(numbers), name))
            continue
        end, started, ended = engines[item].step(now_ms)
        step_end = START + timedelta(milliseconds=end)
        for one in started:
            placer.record_first_event(one, step_end)
        for one in ended:
            placer.record_end(one)
        for one in engines[item].running:
            if one.gaps_ms and one.last_event_ms == end:
                placer.record_event(one, one.gaps_ms[-1], step_end)
        if engines[item].waiting or engines[item].running:
            heapq.heappush(events, (end, next(numbers), item))
        else:
            busy.discard(item)
    return requests


class KnownLaw(LawEstimator):
    """Law that is not estimated."""

    def update(self, now):
        """Keep the law."""


class Gateways:
    """Gateways that choose engines by `Placement`.

    Parameters
    ----------
    traits : EngineTraits
        Published properties of the engines.
    shares_load_events : bool
        Whether the gateways send their load events to each other.
    has_gap_targets : bool
        Whether the gateways know the routes' gap targets.
    law : EngineLaw or None
        Law that the gateways assume at the start; the default one if None.
    is_learning : bool
        Whether the gateways estimate the law.
    """

    def __init__(
        self,
        *,
        traits,
        shares_load_events=True,
        has_gap_targets=True,
        law=None,
        is_learning=True,
    ):
        self.traits = traits
        self.shares_load_events = shares_load_events
        self.has_gap_targets = has_gap_targets
        self.placements = [Placement() for _ in range(GATEWAY_COUNT)]
        for placement in self.placements:
            kind = LawEstimator if is_learning else KnownLaw
            placement.estimators[traits.service] = kind(
                service=traits.service, law=law or DEFAULT_LAW
            )

    def receivers(self, request):
        """Return the placements that receive a request's load events."""
        own = [self.placements[request.entry]]
        return self.placements if self.shares_load_events else own

    def choose(self, request, names, now):
        """Return the name of the engine for a request."""
        candidates = [EndpointView(name=name, is_remote=False) for name in names]
        demand = request.demand
        if not self.has_gap_targets:
            demand = replace(demand, gap_target=timedelta())
        own = self.placements[request.entry]
        choice = own.choose(demand, candidates, traits=self.traits, now=now)
        for placement in self.receivers(request):
            placement.add(
                request.number, choice.engine, demand, traits=self.traits, now=now
            )
        return choice.engine

    def record_first_event(self, request, now):
        """Record a request's first event."""
        for placement in self.receivers(request):
            placement.record_first_event(request.number, now)

    def record_event(self, request, gap_ms, now):
        """Record a further event of a request in its own gateway."""
        gap = timedelta(milliseconds=gap_ms)
        self.placements[request.entry].record_event(request.number, gap, now)

    def record_end(self, request):
        """Record the end of a request."""
        for placement in self.receivers(request):
            placement.remove(request.number)


class FewestInFlight:
    """Gateways that choose the engine with the fewest own requests in flight."""

    def __init__(self):
        self.in_flight = [{} for _ in range(GATEWAY_COUNT)]
        self.engine_by_request = {}

    def choose(self, request, names, now):
        """Return the name of the engine for a request."""
        own = self.in_flight[request.entry]
        name = min(names, key=lambda one: (own.get(one, 0), one))
        own[name] = own.get(name, 0) + 1
        self.engine_by_request[request.number] = name
        return name

    def record_first_event(self, request, now):
        """Do nothing."""

    def record_event(self, request, gap_ms, now):
        """Do nothing."""

    def record_end(self, request):
        """Decrement the engine's count of requests in flight."""
        self.in_flight[request.entry][self.engine_by_request[request.number]] -= 1


def drawn_site(*, law, slots, kv_capacity_tokens, tokens_per_event, utilization):
    """Return a site with engines of any law, and load and targets that fit them.

    Parameters
    ----------
    law : EngineLaw
        True law of the engines.
    slots, kv_capacity_tokens, tokens_per_event : int
        Published properties of the engines.
    utilization : float
        Share of the time in which the engines prefill, if half of the shared segments
        are cached.
    """
    long_ms, short_ms = law.prefill_ms(6_000), law.prefill_ms(1_200)
    engines = 6
    prefill_rate = utilization * engines * 1000 / (long_ms + 2 * short_ms)
    # Streams take twice as long beside as much prefill; a third of them is long.
    stream_s = 2 * OUTPUT_TOKENS * law.step_ms(slots // 2) / 1000
    slot_rate = engines * slots / 2 / stream_s / 3
    memory_rate = engines * kv_capacity_tokens / 2 / stream_s / 12_000
    rate_per_s = min(prefill_rate, slot_rate, memory_rate)
    return Site(
        engines=engines,
        quadratic_ms=0.0,
        law=law,
        traits=EngineTraits(
            service=SERVICE,
            kv_capacity_tokens=kv_capacity_tokens,
            slots=slots,
            tokens_per_event=tokens_per_event,
        ),
        kinds={
            "long": RequestKind(
                rate_per_s=rate_per_s,
                shared_tokens=6_000,
                own_tokens=3_000,
                output_tokens=OUTPUT_TOKENS,
                target_ms=10 * long_ms + 500,
                gap_ms=NO_GAP_TARGET_MS,
                prefixes=20,
                priority=1,
                spread=0.7,
            ),
            "short": RequestKind(
                rate_per_s=2 * rate_per_s,
                shared_tokens=200,
                own_tokens=1_000,
                output_tokens=OUTPUT_TOKENS,
                target_ms=2 * long_ms + 200,
                gap_ms=2 * long_ms + 20 * law.decode_ms,
                prefixes=40,
                priority=0,
                spread=0.5,
            ),
        },
        bursts=(),
    )


def share_on_time(requests, kind=None, *, since_ms=0.0):
    """Return the share of requests, of all kinds or of one, that were on time.

    Requests that were sent before `since_ms` are left out.
    """
    chosen = [
        one
        for one in requests
        if (kind is None or one.kind is kind) and one.sent_at_ms >= since_ms
    ]
    return sum(one.is_on_time() for one in chosen) / len(chosen)
