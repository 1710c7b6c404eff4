"""Simulation of gateways in three data centres that share engines or plain endpoints.

It runs in virtual time and has no network.  An endpoint serves `slots` requests at a
time, in the order of arrival; an engine has one slot, for the prefill.
"""

import heapq
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from itertools import count
from math import pi, sin
from random import Random

from zinniaramp.locality import DEFAULT_PRICE, Locality
from zinniaramp.placement import (
    Demand,
    EndpointView,
    EngineTraits,
    Placement,
    PromptSegment,
)

START = datetime(2026, 1, 1, tzinfo=UTC)
DATA_CENTERS = ("dc-0", "dc-1", "dc-2")
SERVICE = "service"
FLAT_COST_MS = 40.0
"""Cost of a remote engine before the model of locality."""

PREFILL_TOKENS_PER_MS = 50.0
DECODE_MS = 300.0
EVENT_BYTES = 1_000
HOP_MS = 1.4
CONNECT_TIMEOUT_MS = 300.0
RETRANSMISSION_MS = 200.0
EJECTION_MS = 1_000.0
TRAITS = EngineTraits(
    service=SERVICE, kv_capacity_tokens=470_609, slots=64, tokens_per_event=4
)


@dataclass(slots=True, kw_only=True, frozen=True)
class Kind:
    """Requests of one class; `work_ms` bounds the work at a plain endpoint."""

    rate_per_s: float
    target_ms: float
    body_bytes: int
    shared_tokens: int = 0
    own_tokens: int = 0
    prefixes: int = 1
    work_ms: tuple = (45.0, 90.0)


ENGINE_KINDS = {
    "digest": Kind(
        rate_per_s=27.5,
        target_ms=2063,
        body_bytes=17_000,
        shared_tokens=13_300,
        own_tokens=3_720,
        prefixes=119,
    ),
    "reply": Kind(
        rate_per_s=16.1,
        target_ms=645,
        body_bytes=9_200,
        shared_tokens=6_300,
        own_tokens=2_890,
        prefixes=57,
    ),
    "check": Kind(
        rate_per_s=29.7,
        target_ms=326,
        body_bytes=1_500,
        shared_tokens=350,
        own_tokens=1_110,
        prefixes=81,
    ),
}
PLAIN_KINDS = {
    "commit": Kind(rate_per_s=18.7, target_ms=223, body_bytes=1_000),
    "status": Kind(rate_per_s=7.5, target_ms=424, body_bytes=1_000),
}


@dataclass(slots=True, kw_only=True, frozen=True)
class Load:
    """A load and its disturbances.

    Parameters
    ----------
    has_engines : bool
        Whether the endpoints are engines.
    endpoints : tuple of int
        Number of endpoints in each data centre.
    factor : float
        Factor on the rates of all kinds.
    rush : tuple of float
        Factor on the demand of the first data centre, start and end in seconds.
    swing : float
        Share by which the demand of data centres swings over 17 s.
    dark_s : tuple of float
        Start and end of the time in which the first data centre's endpoints are dark.
    loss : float
        Share of packets that the links of the first data centre lose.
    slots : int
        Slots of each endpoint.
    """

    has_engines: bool
    endpoints: tuple = (8, 8, 8)
    factor: float = 1.0
    rush: tuple = (1.0, 0.0, 0.0)
    swing: float = 0.0
    dark_s: tuple = (0.0, 0.0)
    loss: float = 0.0
    slots: int = 1

    @property
    def kinds(self):
        """Kinds of requests."""
        return ENGINE_KINDS if self.has_engines else PLAIN_KINDS

    def demand_factor(self, center, at_s):
        """Return the factor on the demand of a data centre at a time."""
        rush, begin_s, end_s = self.rush
        phase = 2 * pi * (at_s / 17 + center / len(DATA_CENTERS))
        is_rush = center == 0 and begin_s <= at_s < end_s
        return self.factor * (1 + self.swing * sin(phase)) * (rush if is_rush else 1)


@dataclass(slots=True, kw_only=True)
class Result:
    """What callers got, and what went between data centres.

    Parameters
    ----------
    on_time, late : int
        Requests whose first event or answer met its target, and the others.
    remote : int
        Sends to another data centre.
    sent_bytes : int
        Bytes between data centres, of bodies and answers.
    moments : list of tuple
        Time in ms and whether the request left, for each send.
    """

    on_time: int = 0
    late: int = 0
    remote: int = 0
    sent_bytes: int = 0
    moments: list = field(default_factory=list)

    def __str__(self):
        return (
            f"on time {self.on_time}, late {self.late}, left {self.remote}, "
            f"KB {self.sent_bytes // 1000}"
        )


@dataclass(slots=True, kw_only=True)
class Endpoint:
    """A simulated endpoint: its queue, requests in progress and cached segments."""

    view_by_center: dict
    center: str
    slots: int
    running: int = 0
    waiting: list = field(default_factory=list)
    held: set = field(default_factory=set)


class Gateway:
    """A gateway that chooses endpoints by `Locality` or as before it."""

    def __init__(self, *, center, is_local_aware, random):
        self.center = center
        self.random = random
        self.in_flight = {}
        self.ejected_until = {}
        self.locality = None
        terms = (lambda demand, view, *_: FLAT_COST_MS * view.is_remote,)
        if is_local_aware:
            self.locality = Locality(
                data_center=center, price=lambda: DEFAULT_PRICE, random=random
            )
            terms = (self.locality.cost_ms,)
        self.placement = Placement(cost_terms=terms)

    def choose(self, request, views, slots, now):
        """Return the view of the endpoint for a request."""
        kind = request.kind
        if request.demand is not None:
            return self._choose_engine(request, views, now)
        if self.locality is None:
            return min(
                views,
                key=lambda view: (
                    self.in_flight.get(view.name, 0)
                    + view.is_remote
                    + self.random.random() / 2
                ),
            )
        return self.locality.choose_plain(
            SERVICE,
            views,
            slots={view.name: slots for view in views},
            target=timedelta(milliseconds=kind.target_ms),
            sent_bytes=kind.body_bytes,
            now=now,
        )

    def _choose_engine(self, request, views, now):
        if self.locality:
            self.locality.begin(SERVICE, request.demand, now)
        choice = self.placement.choose(request.demand, views, traits=TRAITS, now=now)
        view = next(one for one in views if one.name == choice.engine)
        if self.locality:
            self.locality.finish(SERVICE, view, request.kind.body_bytes, now)
        return view

    @property
    def responses(self):
        """Response times of the plain endpoints; None without `Locality`."""
        return self.locality and self.locality.service(SERVICE).responses


@dataclass(slots=True, kw_only=True)
class Request:
    """A request of a simulation."""

    number: int
    kind: Kind
    at_ms: float
    gateway: Gateway
    work_ms: float
    demand: Demand | None = None


class Play:
    """One run of a load.

    Parameters
    ----------
    load : Load
        The load.
    gateways : int
        Number of gateways, which are spread over the data centres.
    is_local_aware : bool
        Whether the gateways use `Locality`; else the flat cost before it.
    delay_ms : float
        Time until the other gateways know of a send.
    seed : int
        Seed of the arrivals and decisions.
    seconds : float
        Time in which requests arrive.
    """

    def __init__(
        self,
        load,
        *,
        gateways=26,
        is_local_aware=True,
        delay_ms=100,
        seed=1,
        seconds=17,
    ):
        self.load = load
        self.delay_ms = delay_ms
        self.random = Random(seed)
        self.result = Result()
        self.actions, self.order = [], count()
        self.endpoints = {}
        for center, number in zip(DATA_CENTERS, load.endpoints, strict=True):
            for index in range(number):
                self._add_endpoint(f"{center}-{index}", center)
        self.gateways = [
            Gateway(
                center=DATA_CENTERS[number % len(DATA_CENTERS)],
                is_local_aware=is_local_aware,
                random=Random(f"{seed}-{number}"),
            )
            for number in range(gateways)
        ]
        self._add_arrivals(Random(seed + 1000), seconds)

    def _add_endpoint(self, name, center):
        views = {
            home: EndpointView(name=name, data_center=center, is_remote=home != center)
            for home in DATA_CENTERS
        }
        self.endpoints[name] = Endpoint(
            view_by_center=views, center=center, slots=self.load.slots
        )

    def _add_arrivals(self, random, seconds):
        numbers = count()
        for name, kind in self.load.kinds.items():
            for center, data_center in enumerate(DATA_CENTERS):
                own = [one for one in self.gateways if one.center == data_center]
                at_s = 0.0
                while own and at_s < seconds:
                    factor = self.load.demand_factor(center, at_s)
                    at_s += random.expovariate(kind.rate_per_s * factor / 3)
                    request = Request(
                        number=next(numbers),
                        kind=kind,
                        at_ms=at_s * 1000,
                        gateway=random.choice(own),
                        work_ms=random.uniform(*kind.work_ms),
                        demand=self._demand(name, kind, random),
                    )
                    self.at(request.at_ms, self.send, request)

    def _demand(self, name, kind, random):
        if not self.load.has_engines:
            return None
        own = PromptSegment(name=f"own-{random.random()}", tokens=kind.own_tokens)
        shared = f"{name}-{random.randrange(kind.prefixes)}"
        parts = (PromptSegment(name=shared, tokens=kind.shared_tokens), own)
        return Demand(
            prompt_tokens=kind.shared_tokens + kind.own_tokens,
            output_limit=60,
            output_estimate=60,
            parts=parts,
            target=timedelta(milliseconds=kind.target_ms),
            transfer_bytes=kind.body_bytes,
        )

    def at(self, ms, action, *arguments):
        """Schedule an action."""
        heapq.heappush(self.actions, (ms, next(self.order), action, arguments))

    def run(self):
        """Run until nothing is left to do, and return the result."""
        while self.actions:
            self.ms, _, action, arguments = heapq.heappop(self.actions)
            action(*arguments)
        return self.result

    @property
    def now(self):
        """Current time of the simulation."""
        return START + timedelta(milliseconds=self.ms)

    def is_dark(self, endpoint):
        """Return whether an endpoint is dark."""
        begin_s, end_s = self.load.dark_s
        is_first = endpoint.center == DATA_CENTERS[0]
        return is_first and begin_s * 1000 <= self.ms < end_s * 1000

    def send(self, request):
        """Choose an endpoint and try to connect to it."""
        gateway = request.gateway
        views = [one.view_by_center[gateway.center] for one in self.endpoints.values()]
        usable = [
            view for view in views if gateway.ejected_until.get(view.name, 0) <= self.ms
        ]
        view = gateway.choose(request, usable or views, self.load.slots, self.now)
        endpoint = self.endpoints[view.name]
        crosses = view.is_remote and DATA_CENTERS[0] in (
            gateway.center,
            endpoint.center,
        )
        loss = self.load.loss if crosses else 0.0
        is_lost = self.random.random() < 2 * loss or self.is_dark(endpoint)
        hop_ms = HOP_MS * view.is_remote
        if gateway.locality:
            took_ms = CONNECT_TIMEOUT_MS if is_lost else hop_ms
            self.at(self.ms + took_ms, self._connected, gateway, endpoint, took_ms)
        self.result.moments.append((self.ms, gateway.center, view.is_remote))
        if is_lost:
            self.at(self.ms + CONNECT_TIMEOUT_MS, self._fail, request, endpoint, view)
            return
        if view.is_remote:
            self.result.remote += 1
            self.result.sent_bytes += request.kind.body_bytes + EVENT_BYTES
        if self.random.random() < loss * request.kind.body_bytes / 1460:
            hop_ms += RETRANSMISSION_MS
        gateway.in_flight[view.name] = gateway.in_flight.get(view.name, 0) + 1
        self._announce(request, view.name)
        if gateway.responses:
            gateway.responses.record_start(view.name, request.number, self.now)
        self.at(self.ms + hop_ms, self._arrive, request, endpoint, view)

    def _connected(self, gateway, endpoint, took_ms):
        gateway.locality.paths.record(endpoint.center, took_ms, self.now)

    def _fail(self, request, endpoint, view):
        request.gateway.ejected_until[view.name] = self.ms + EJECTION_MS
        if request.gateway.locality and request.demand is None:
            request.gateway.locality.record_rejection(SERVICE, view.name, self.now)
        if self.is_dark(endpoint):
            endpoint.held.clear()
            for gateway in self.gateways:
                gateway.placement.engines.pop(view.name, None)
        self.send(request)

    def _tell(self, request, method, *arguments):
        """Call a method of each gateway's placement; others are told after a delay."""
        for gateway in self.gateways:
            delay = 0.0 if gateway is request.gateway else self.delay_ms
            if delay:
                self.at(self.ms + delay, self._apply, gateway, method, arguments)
            else:
                self._apply(gateway, method, arguments)

    def _apply(self, gateway, method, arguments):
        getattr(self, method)(gateway, *arguments)

    def _announce(self, request, name):
        if request.demand is not None:
            self._tell(request, "_add_load", request, name)

    def _add_load(self, gateway, request, name):
        gateway.placement.add(
            request.number, name, request.demand, traits=TRAITS, now=self.now
        )

    def _add_first(self, gateway, request):
        gateway.placement.record_first_event(request.number, self.now)

    def _drop_load(self, gateway, request):
        gateway.placement.remove(request.number)

    def _arrive(self, request, endpoint, view):
        endpoint.waiting.append((request, view))
        self._start(endpoint)

    def _start(self, endpoint):
        while endpoint.waiting and endpoint.running < endpoint.slots:
            request, view = endpoint.waiting.pop(0)
            endpoint.running += 1
            work_ms = request.work_ms
            if request.demand is not None:
                shared = request.demand.shared_prefix[0]
                tokens = request.demand.prompt_tokens
                tokens -= shared.tokens if shared.name in endpoint.held else 0
                endpoint.held.add(shared.name)
                work_ms = tokens / PREFILL_TOKENS_PER_MS
            self.at(self.ms + work_ms, self._answer, request, endpoint, view)

    def _answer(self, request, endpoint, view):
        endpoint.running -= 1
        self._start(endpoint)
        took_ms = self.ms + HOP_MS * view.is_remote - request.at_ms
        if took_ms <= request.kind.target_ms:
            self.result.on_time += 1
        else:
            self.result.late += 1
        gateway = request.gateway
        gateway.in_flight[view.name] -= 1
        if gateway.responses:
            gateway.responses.record_response(view.name, request.number, self.now)
            gateway.responses.record_end(view.name, request.number)
        if request.demand is not None:
            self._tell(request, "_add_first", request)
            self.at(self.ms + DECODE_MS, self._tell, request, "_drop_load", request)


LOADS = {
    "engines, calm": Load(has_engines=True),
    "engines, rush": Load(has_engines=True, factor=1.5, rush=(3.5, 5.0, 11.0)),
    "engines, swing": Load(has_engines=True, factor=2.4, swing=0.55),
    "engines, dark": Load(has_engines=True, factor=2.0, dark_s=(5.0, 10.0)),
    "engines, none at home": Load(has_engines=True, endpoints=(0, 8, 8)),
    "engines, lossy rush": Load(
        has_engines=True, factor=1.5, rush=(3.5, 5.0, 11.0), loss=0.025
    ),
    "plain, calm": Load(has_engines=False, endpoints=(1, 1, 1), slots=6),
    "plain, rush": Load(
        has_engines=False, endpoints=(1, 1, 1), slots=6, rush=(14.0, 5.0, 11.0)
    ),
    "plain, swing": Load(
        has_engines=False, endpoints=(1, 1, 1), slots=6, factor=7.5, swing=0.55
    ),
    "plain, dark": Load(
        has_engines=False, endpoints=(1, 1, 1), slots=6, factor=2, dark_s=(5.0, 10.0)
    ),
    "plain, none at home": Load(has_engines=False, endpoints=(0, 1, 1), slots=6),
    "plain, lossy rush": Load(
        has_engines=False,
        endpoints=(1, 1, 1),
        slots=6,
        rush=(14.0, 5.0, 11.0),
        loss=0.025,
    ),
}
"""Loads by name; the rates are those of the second deployment in the specification."""
