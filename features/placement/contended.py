"""Simulation of the contended deployments, with delayed load events and deadlines."""

import heapq
from collections import deque
from dataclasses import dataclass, field, replace
from datetime import timedelta
from itertools import count
from random import Random

from features.placement.play import (
    GATEWAY_COUNT,
    SERVICE,
    START,
    Engine,
    Request,
    RequestKind,
    Site,
    arrivals,
)
from zinniaramp.placement import EndpointView, EngineLaw, EngineTraits, Placement

EVENT_DELAY_MS = 10.0
"""Time in which a load event reaches the other gateways."""

UNEVEN_FACTORS = (0.7, 0.7, 1.7)
"""Step times of the engines relative to the law, in turn."""

RESTART_MS = 1_000.0
"""Time in which an engine is replaced."""

UNEVEN = Site(
    engines=13,
    quadratic_ms=0.0,
    law=EngineLaw(
        prefill_tokens_per_ms=48.2,
        overhead_ms=0,
        decode_ms=2.6,
        decode_ms_per_stream=0.05,
        chunk_tokens=4096,
    ),
    traits=EngineTraits(
        service=SERVICE, kv_capacity_tokens=493_601, slots=64, tokens_per_event=7
    ),
    kinds={
        "digest": RequestKind(
            rate_per_s=16.6,
            shared_tokens=13_300,
            own_tokens=3_720,
            output_tokens=119,
            target_ms=2_563,
            gap_ms=2_500,
            prefixes=150,
            priority=2,
            deadline_ms=8_200,
            skew=0.8,
        ),
        "brief": RequestKind(
            rate_per_s=9.2,
            shared_tokens=6_300,
            own_tokens=2_890,
            output_tokens=49,
            target_ms=1_545,
            gap_ms=1_000,
            prefixes=75,
            priority=1,
            deadline_ms=5_100,
            skew=0.8,
        ),
        "query": RequestKind(
            rate_per_s=15.4,
            shared_tokens=350,
            own_tokens=1_110,
            output_tokens=175,
            target_ms=1_526,
            gap_ms=600,
            prefixes=150,
            priority=0,
            deadline_ms=8_100,
            skew=0.8,
        ),
    },
    bursts=(("digest", 1.8, 0.5, 6.5), ("query", 2.6, 7, 11)),
)
COMPETING = Site(
    engines=12,
    quadratic_ms=0.0,
    law=EngineLaw(
        prefill_tokens_per_ms=50.7,
        overhead_ms=0,
        decode_ms=5.95,
        decode_ms_per_stream=0.1,
        chunk_tokens=4096,
    ),
    traits=EngineTraits(
        service=SERVICE, kv_capacity_tokens=470_609, slots=64, tokens_per_event=4
    ),
    kinds={
        "digest": RequestKind(
            rate_per_s=13.75,
            shared_tokens=13_300,
            own_tokens=3_720,
            output_tokens=120,
            target_ms=2_063,
            gap_ms=600,
            prefixes=150,
            priority=2,
            deadline_ms=12_400,
            skew=0.8,
        ),
        "reply": RequestKind(
            rate_per_s=8.05,
            shared_tokens=6_300,
            own_tokens=2_890,
            output_tokens=52,
            target_ms=645,
            gap_ms=250,
            prefixes=75,
            priority=1,
            deadline_ms=6_400,
            skew=0.8,
        ),
        "check": RequestKind(
            rate_per_s=14.85,
            shared_tokens=350,
            own_tokens=1_110,
            output_tokens=172,
            target_ms=326,
            gap_ms=150,
            prefixes=150,
            priority=0,
            deadline_ms=16_300,
            skew=0.8,
        ),
    },
    bursts=(("digest", 1.4, 0.5, 5), ("check", 2.6, 6, 11)),
)
CONTENDED_SITES = {"uneven": UNEVEN, "competing": COMPETING}


@dataclass(slots=True, kw_only=True)
class Disturbances:
    """Speed of the engines over time, drawn from a seed.

    Parameters
    ----------
    factors : tuple of float
        Lasting factors on the engines' times, in turn.
    periods : dict of list
        For each engine, factors with their start and end in milliseconds.
    """

    factors: tuple = (1.0,)
    periods: dict = field(default_factory=dict)

    def factor(self, engine, now_ms):
        """Return the factor on an engine's times."""
        factor = self.factors[engine % len(self.factors)]
        for value, start_ms, end_ms in self.periods.get(engine, ()):
            if start_ms <= now_ms < end_ms:
                factor *= value
        return factor


def draw_disturbances(site, *, seconds, seed, factors=(1.0,), slowdowns=0.0, noise=0.0):
    """Return disturbances.

    Parameters
    ----------
    site : Site
        Engines.
    seconds : float
        Simulated time.
    seed : int
        Seed of the disturbances.
    factors : tuple of float
        Lasting factors on the engines' times, in turn.
    slowdowns, noise : float
        Mean number per second and engine of slowdowns by 2 to 8 times for 2 to 5 s, and
        of those by 1.5 to 4 times for 0.1 to 0.6 s.
    """
    random, periods = Random(seed), {}
    kinds = ((slowdowns, (2, 8), (2, 5)), (noise, (1.5, 4), (0.1, 0.6)))
    for engine in range(site.engines):
        found = periods.setdefault(engine, [])
        for rate, values, lengths in kinds:
            at_s = random.expovariate(rate) if rate else seconds
            while at_s < seconds:
                end_s = at_s + random.uniform(*lengths)
                found.append((random.uniform(*values), at_s * 1000, end_s * 1000))
                at_s = end_s + random.expovariate(rate)
    return Disturbances(factors=factors, periods=periods)


class DelayedGateways:
    """Gateways that exchange load events with a delay.

    Parameters
    ----------
    traits : EngineTraits
        Published properties of the engines.
    make : callable
        Returns the placement of a gateway.
    delay_ms : float
        Time in which a load event reaches the other gateways.
    """

    def __init__(self, *, traits, make=Placement, delay_ms=EVENT_DELAY_MS):
        self.traits = traits
        self.make = make
        self.delay_ms = delay_ms
        self.events = deque()
        self.restart()

    def restart(self):
        """Restart all gateways, which then know nothing."""
        self.placements = [self.make() for _ in range(GATEWAY_COUNT)]
        self.events.clear()

    def _deliver(self, now_ms):
        while self.events and self.events[0][0] <= now_ms:
            at_ms, entry, apply = self.events.popleft()
            at = _time(at_ms)
            for number, placement in enumerate(self.placements):
                if number != entry:
                    apply(placement, at)

    def _publish(self, entry, now_ms, apply):
        self._deliver(now_ms)
        apply(self.placements[entry], _time(now_ms))
        self.events.append((now_ms + self.delay_ms, entry, apply))

    def choose(self, request, key, names, now_ms):
        """Return the name of the engine for a request."""
        self._deliver(now_ms)
        own = self.placements[request.entry]
        candidates = [EndpointView(name=name) for name in names]
        choice = own.choose(
            request.demand, candidates, traits=self.traits, now=_time(now_ms)
        )

        def apply(placement, now):
            placement.add(
                key, choice.engine, request.demand, traits=self.traits, now=now
            )

        self._publish(request.entry, now_ms, apply)
        return choice.engine

    def record_first_event(self, request, key, now_ms):
        """Record a request's first event."""
        self._publish(
            request.entry, now_ms, lambda one, now: one.record_first_event(key, now)
        )

    def record_event(self, request, key, gap_ms, now_ms):
        """Record a further event of a request in its own gateway."""
        own = self.placements[request.entry]
        own.record_event(key, timedelta(milliseconds=gap_ms), _time(now_ms))

    def record_end(self, request, key, now_ms):
        """Record the end of a request."""
        self._publish(request.entry, now_ms, lambda one, now: one.remove(key))

    def keep(self, names):
        """Remove the models of engines that are no longer there."""
        for placement in self.placements:
            placement.keep(names)


def _time(now_ms):
    return START + timedelta(milliseconds=now_ms)


@dataclass(slots=True, kw_only=True)
class Outcome:
    """What the callers of a simulation received.

    Parameters
    ----------
    requests : list of Request
        All requests.
    prefilled_again : int
        Tokens of shared segments that an engine prefilled although one had before.
    work_ms : dict of float
        Time that each engine was busy, by the place of the engine.
    prefilled_again : int
        Tokens of shared segments that an engine prefilled although one had before.
    tokens : dict of int
        Tokens that each engine was given to prefill.
    """

    requests: list
    prefilled_again: int = 0
    tokens: dict = field(default_factory=dict)

    def on_time(self, site, name=None):
        """Return the share of requests on time, of one kind or of all."""
        kind = site.kinds.get(name)
        chosen = [one for one in self.requests if kind is None or one.kind is kind]
        return sum(map(_is_in_time, chosen)) / len(chosen)

    @property
    def failed(self):
        """Number of requests that were cut off at their deadline."""
        return sum(not _is_complete(one) for one in self.requests)

    @property
    def late(self):
        """Number of complete requests that missed a target."""
        return sum(_is_complete(one) and not _is_in_time(one) for one in self.requests)

    @property
    def busiest(self):
        """Tokens that the busiest engine was given, over the mean."""
        values = list(self.tokens.values())
        return max(values) * len(values) / sum(values)


def _is_complete(request):
    return (
        request.generated_tokens >= request.kind.output_tokens
        and request.last_event_ms - request.sent_at_ms <= request.kind.deadline_ms
    )


def _is_in_time(request):
    return _is_complete(request) and request.is_on_time()


def simulate_contended(
    site, *, placer, seconds, seed, disturbances=None, restarts=(), power_off_s=None
):
    """Simulate a load and return what callers received.

    Parameters
    ----------
    site : Site
        Engines and load.
    placer : DelayedGateways
        Chooses the engine of each request.
    seconds : float
        Time during which requests arrive.
    seed : int
        Seed of the arrivals.
    disturbances : Disturbances or None
        Speed of the engines.
    restarts : sequence of tuple
        Second and number of each engine that is replaced by one with an empty cache.
        Its requests are sent again.
    power_off_s : float or None
        Second at which all gateways restart; the requests in flight are cut off.
    """
    return _Simulation(site, placer, disturbances or Disturbances()).run(
        arrivals(site, seconds=seconds, seed=seed), restarts, power_off_s
    )


class _Simulation:
    def __init__(self, site, placer, disturbances):
        self.site = site
        self.placer = placer
        self.disturbances = disturbances
        self.engines = {f"engine-{n}.0": Engine(site=site) for n in range(site.engines)}
        self.busy = set()
        self.events = []
        self.numbers = count()
        self.keys = {}
        self.seen = set()

    def push(self, at_ms, kind, *values):
        heapq.heappush(self.events, (at_ms, next(self.numbers), kind, values))

    def run(self, requests, restarts, power_off_s):
        """Run the simulation."""
        self.outcome = Outcome(
            requests=requests,
            tokens=dict.fromkeys(range(self.site.engines), 0),
        )
        for request in requests:
            self.push(request.sent_at_ms, self.send, request)
        for at_s, number in restarts:
            self.push(at_s * 1000, self.stop, number)
        if power_off_s is not None:
            self.push(power_off_s * 1000, self.power_off)
        while self.events:
            now_ms, _, kind, values = heapq.heappop(self.events)
            kind(now_ms, *values)
        return self.outcome

    def send(self, now_ms, request):
        deadline_ms = request.sent_at_ms + request.kind.deadline_ms
        if not self.engines:
            self.push(now_ms + 50, self.send, request)
            return
        key = (request.number, next(self.numbers))
        name = self.placer.choose(request, key, list(self.engines), now_ms)
        self.keys[request.number] = (key, name)
        segment = request.demand.parts[0]
        engine = self.engines[name]
        if segment.name not in engine.held:
            if segment.name in self.seen:
                self.outcome.prefilled_again += segment.tokens
            self.seen.add(segment.name)
        engine.add(request)
        self.outcome.tokens[_place(name)] += request.prefill_tokens
        if deadline_ms < float("inf"):
            self.push(deadline_ms, self.cut, request, key)
        self.start(now_ms, name)

    def start(self, now_ms, name):
        engine = self.engines.get(name)
        if engine is None or name in self.busy:
            return
        if not engine.waiting and not engine.running:
            return
        self.busy.add(name)
        factor = self.disturbances.factor(_place(name), now_ms)
        end_ms, started, ended = engine.step(now_ms, factor)
        gaps = [
            (one, one.gaps_ms[-1])
            for one in engine.running
            if one.gaps_ms and one.last_event_ms == end_ms
        ]
        self.push(end_ms, self.finish_step, name, started, ended, gaps)

    def finish_step(self, now_ms, name, started, ended, gaps):
        self.busy.discard(name)
        for request in started:
            if self.is_at(request, name):
                key = self.keys[request.number][0]
                self.placer.record_first_event(request, key, now_ms)
        for request, gap_ms in gaps:
            if self.is_at(request, name):
                key = self.keys[request.number][0]
                self.placer.record_event(request, key, gap_ms, now_ms)
        for request in ended:
            if self.is_at(request, name):
                key = self.keys.pop(request.number)[0]
                self.placer.record_end(request, key, now_ms)
        self.start(now_ms, name)

    def is_at(self, request, name):
        return self.keys.get(request.number, (None, None))[1] == name

    def cut(self, now_ms, request, key):
        if self.keys.get(request.number, (None, None))[0] != key:
            return
        self.remove(request)
        self.placer.record_end(request, key, now_ms)

    def remove(self, request):
        _, name = self.keys.pop(request.number)
        engine = self.engines.get(name)
        if engine is None:
            return
        engine.waiting = [one for one in engine.waiting if one is not request]
        engine.running = [one for one in engine.running if one is not request]

    def stop(self, now_ms, number):
        name = next(one for one in self.engines if _place(one) == number)
        engine = self.engines.pop(name)
        self.busy.discard(name)
        self.placer.keep(self.engines)
        for request in (*engine.waiting, *engine.running):
            if self.is_at(request, name):
                key = self.keys.pop(request.number)[0]
                self.placer.record_end(request, key, now_ms)
                request.first_ms, request.generated_tokens = None, 0
                request.gaps_ms = []
                self.send(now_ms, request)
        revision = int(name.partition(".")[2]) + 1
        self.push(now_ms + RESTART_MS, self.begin, f"engine-{number}.{revision}")

    def begin(self, now_ms, name):
        self.engines[name] = Engine(site=self.site)

    def power_off(self, now_ms):
        for engine in self.engines.values():
            engine.waiting.clear()
            engine.running.clear()
        self.keys.clear()
        self.placer.restart()


def _place(name):
    return int(name.removeprefix("engine-").partition(".")[0])


def report(site, outcome):
    """Return the figures of an outcome in one line."""
    shares = " ".join(
        f"{name} {outcome.on_time(site, name):.3f}" for name in site.kinds
    )
    return (
        f"on time {outcome.on_time(site):.3f} ({shares}) late {outcome.late} "
        f"failed {outcome.failed} again {outcome.prefilled_again / 1e6:.2f}M "
        f"busiest {outcome.busiest:.2f}"
    )


def scaled(site, factor):
    """Return a site with a multiple of its load."""
    kinds = {
        name: replace(kind, rate_per_s=factor * kind.rate_per_s)
        for name, kind in site.kinds.items()
    }
    return replace(site, kinds=kinds)


__all__ = [
    "CONTENDED_SITES",
    "DelayedGateways",
    "Request",
    "draw_disturbances",
    "report",
    "scaled",
    "simulate_contended",
]
