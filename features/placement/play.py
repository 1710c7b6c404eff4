"""Simulation of gateways that place prompts on engines with a modelled step time."""

import heapq
from dataclasses import dataclass, field, replace
from datetime import UTC, datetime, timedelta
from itertools import count
from random import Random

from zinniaramp.placement import Demand, EngineCandidate, Placement, PromptSegment
from zinniaramp.placement.pauses import max_consecutive_chunks

START = datetime(2026, 1, 1, tzinfo=UTC)
CHUNK_TOKENS = 4096
KV_CAPACITY_TOKENS = 650_000
GATEWAY_COUNT = 5


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
    """

    rate_per_s: float
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    target_ms: float
    gap_ms: float
    prefixes: int
    priority: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Site:
    """Engines and load of one deployment.

    Parameters
    ----------
    engines : int
        Number of engines.
    decode_step_ms : float
        Time of a decode step on an idle engine.
    step_ms_per_request : float
        Additional time of a step for each running request.
    prefill_tokens_per_ms : float
        Prefill rate.
    tokens_per_event : int
        Tokens in each event of a stream.
    kinds : dict of RequestKind
        Kinds of requests by name.
    bursts : tuple
        For each burst, the kind, the factor on its arrival rate, and the start and
        end in seconds.
    """

    engines: int
    decode_step_ms: float
    step_ms_per_request: float
    prefill_tokens_per_ms: float
    tokens_per_event: int
    kinds: dict[str, RequestKind]
    bursts: tuple[tuple[str, float, float, float], ...]
    """Name of the kind, factor on its rate, start and end in seconds."""


KILOMETERWERK = Site(
    engines=5,
    decode_step_ms=5.61,
    step_ms_per_request=0.121,
    prefill_tokens_per_ms=54.6,
    tokens_per_event=3,
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
    decode_step_ms=3.7,
    step_ms_per_request=0.0193,
    prefill_tokens_per_ms=63.9,
    tokens_per_event=4,
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
SITES = {"kilometerwerk": KILOMETERWERK, "tsurugaya": TSURUGAYA}


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
    longest_gap_ms : float
        Longest gap between two events.
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
    longest_gap_ms: float = 0.0
    entry: int = 0

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
        Speeds of the engine.
    waiting : list of Request
        Requests before the end of their prefill, in the order of prefill.
    running : list of Request
        Requests that are being decoded.
    held : set of str
        Names of the cached prompt segments.
    """

    site: Site
    waiting: list = field(default_factory=list)
    running: list = field(default_factory=list)
    held: set = field(default_factory=set)

    def add(self, request):
        """Queue a request; cached prompt segments need no prefill."""
        request.prefill_tokens = request.demand.prompt_tokens
        for segment in request.demand.parts:
            if segment.name not in self.held:
                break
            request.prefill_tokens -= segment.tokens
        request.prefill_tokens = max(1, request.prefill_tokens)
        self.held.update(segment.name for segment in request.demand.parts)
        self.waiting.append(request)
        self.waiting.sort(key=lambda one: (one.kind.priority, one.number))

    def step(self, now_ms):
        """Run one step; return its end and the requests now prefilled or ended."""
        budget, finished = CHUNK_TOKENS, []
        while self.waiting and budget:
            taken = min(budget, self.waiting[0].prefill_tokens)
            self.waiting[0].prefill_tokens -= taken
            budget -= taken
            if not self.waiting[0].prefill_tokens:
                finished.append(self.waiting.pop(0))
        prefill_ms = (CHUNK_TOKENS - budget) / self.site.prefill_tokens_per_ms
        step_ms = (
            self.site.decode_step_ms
            + self.site.step_ms_per_request * len(self.running)
            + prefill_ms
        )
        end = now_ms + step_ms
        ended = [one for one in self.running if self._generate_token(one, end)]
        for one in finished:
            one.first_ms = one.last_event_ms = end
        self.running = [one for one in self.running if one not in ended] + finished
        return end, finished, ended

    def _generate_token(self, request, now_ms):
        request.generated_tokens += 1
        is_last = request.generated_tokens >= request.kind.output_tokens
        if request.generated_tokens % self.site.tokens_per_event == 0 or is_last:
            gap = now_ms - request.last_event_ms
            request.longest_gap_ms = max(request.longest_gap_ms, gap)
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
                    site.tokens_per_event,
                )
            )
    return sorted(requests, key=lambda one: one.sent_at_ms)


def _request(number, sent_at_ms, name, kind, random, tokens_per_event):
    prefix = random.randrange(kind.prefixes)
    parts = (
        PromptSegment(name=f"{name}-{prefix}", tokens=kind.shared_tokens),
        PromptSegment(name=f"own-{number}", tokens=kind.own_tokens),
    )
    demand = Demand(
        prompt_tokens=kind.shared_tokens + kind.own_tokens,
        output_limit=kind.output_tokens,
        output_estimate=kind.output_tokens,
        parts=parts,
        max_consecutive_chunks=max_consecutive_chunks(
            timedelta(milliseconds=kind.gap_ms), tokens_per_event
        ),
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
        if engines[item].waiting or engines[item].running:
            heapq.heappush(events, (end, next(numbers), item))
        else:
            busy.discard(item)
    return requests


class Gateways:
    """Gateways that choose engines by `Placement`.

    Parameters
    ----------
    shares_load_events : bool
        Whether the gateways send their load events to each other.
    has_chunk_limit : bool
        Whether the limit on consecutive prefill chunks is applied.
    """

    def __init__(self, *, shares_load_events, has_chunk_limit=True):
        self.shares_load_events = shares_load_events
        self.has_chunk_limit = has_chunk_limit
        self.placements = [Placement() for _ in range(GATEWAY_COUNT)]

    def receivers(self, request):
        """Return the placements that receive a request's load events."""
        own = [self.placements[request.entry]]
        return self.placements if self.shares_load_events else own

    def choose(self, request, names, now):
        """Return the name of the engine for a request."""
        candidates = [EngineCandidate(name=name, is_remote=False) for name in names]
        demand = request.demand
        if not self.has_chunk_limit:
            demand = replace(demand, max_consecutive_chunks=None)
        own = self.placements[request.entry]
        choice = own.choose(
            demand, candidates, kv_capacity_tokens=KV_CAPACITY_TOKENS, now=now
        )
        for placement in self.receivers(request):
            placement.add(
                request.number,
                choice.engine,
                demand,
                kv_capacity_tokens=KV_CAPACITY_TOKENS,
                now=now,
            )
        return choice.engine

    def record_first_event(self, request, now):
        """Record a request's first event."""
        for placement in self.receivers(request):
            placement.record_first_event(request.number, now)

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

    def record_end(self, request):
        """Decrement the engine's count of requests in flight."""
        self.in_flight[request.entry][self.engine_by_request[request.number]] -= 1


def share_on_time(requests, kind=None):
    """Return the share of requests, of all kinds or of one, that were on time."""
    chosen = [one for one in requests if kind is None or one.kind is kind]
    return sum(one.is_on_time() for one in chosen) / len(chosen)
