"""Simulation of gateways that admit requests to engines that are too few for them."""

import heapq
from collections import Counter
from dataclasses import dataclass, field, replace
from datetime import timedelta
from itertools import count
from random import Random

from features.placement.play import (
    SERVICE,
    START,
    Engine,
    KnownLaw,
    Request,
    RequestKind,
    Site,
)
from zinniaramp.admission import Admission, HeldRequest, Refuse, Send
from zinniaramp.placement import (
    Demand,
    EndpointView,
    EngineLaw,
    EngineTraits,
    Placement,
    PromptSegment,
)

GATEWAY_COUNT = 8
EVENT_DELAY_MS = 2.0
"""Time until the other gateways know of a load event."""

QUEUE_PLACES = 32
"""Requests that wait in an engine, as many as it has slots; it sheds others."""

LATE_VALUE = 0.3
"""Value of a late answer to its caller, relative to one on time."""

WINDOW_MS = 5_000
"""Time over which requests that get nothing are counted, from the specification."""

MAX_OWN_FACTOR = 8.0
MIN_RETRY_S, MAX_RETRY_S = 0.3, 0.9
MILLISECOND = timedelta(milliseconds=1)

FULL_SLOTS = Site(
    engines=28,
    quadratic_ms=0.324,
    law=EngineLaw(
        prefill_tokens_per_ms=61.2,
        overhead_ms=6,
        decode_ms=3.37,
        decode_ms_per_stream=0.0109,
        chunk_tokens=2048,
    ),
    traits=EngineTraits(
        service=SERVICE, kv_capacity_tokens=530_581, slots=32, tokens_per_event=8
    ),
    kinds={
        "dossier": RequestKind(
            rate_per_s=58.8,
            shared_tokens=5382,
            own_tokens=6610,
            output_tokens=384,
            target_ms=2000,
            gap_ms=1000,
            prefixes=104,
            priority=2,
            spread=1.4,
        ),
        "summary": RequestKind(
            rate_per_s=59.7,
            shared_tokens=568,
            own_tokens=1800,
            output_tokens=24,
            target_ms=400,
            gap_ms=400,
            prefixes=255,
            priority=1,
            spread=1.3,
        ),
        "question": RequestKind(
            rate_per_s=74.8,
            shared_tokens=198,
            own_tokens=628,
            output_tokens=288,
            target_ms=300,
            gap_ms=250,
            prefixes=481,
            priority=0,
            spread=1.0,
        ),
    },
    bursts=(),
)
"""The first test load of the specification."""

DEADLINES_MS = {"dossier": 12_000, "summary": 3_200, "question": 8_000}
"""Deadlines by kind; the specification has none for this load, these are those of the
competing callers in multiples of the target."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Load:
    """Requests and the engines that serve them.

    Parameters
    ----------
    site : Site
        Engines and kinds of requests.
    seconds : float
        Time during which requests arrive.
    engines_left : int
        Engines that remain between `away_s`; requests at the others are lost.
    away_s : tuple of float
        Start and end of the time in which engines are away.
    workspaces : int
        Workspaces that send equally much.
    heavy : float
        Factor on the rate of the first workspace in `heavy_s`.
    heavy_s : tuple of float
        Start and end of the time in which it sends more than usual.
    retries : int
        Times that the first workspace's callers come back at once when refused;
        others come back once after ``Retry-After``.
    scale : float
        Factor on all rates.
    """

    site: Site = FULL_SLOTS
    seconds: float = 12
    engines_left: int = 28
    away_s: tuple[float, float] = (0, 0)
    workspaces: int = 24
    heavy: float = 1.0
    heavy_s: tuple[float, float] = (0, 0)
    retries: int = 0
    scale: float = 1.0


@dataclass(slots=True, kw_only=True)
class Call(Request):
    """One request of a caller.

    Parameters
    ----------
    name : str
        Name of its kind.
    deadline_ms : float
        When its answer must be complete.
    tries_left : int
        Times that its caller comes back after a refusal.
    state : str
        How it ended: ``served``, ``refused``, ``shed``, ``cut`` or ``lost``.
    """

    name: str = ""
    deadline_ms: float = 0.0
    tries_left: int = 1
    state: str = ""
    began_at_ms: float | None = None
    preempted: int = 0
    offers: int = 0

    def value(self):
        """Return the value of the answer to the caller."""
        if self.state != "served":
            return 0.0
        return 1.0 if self.is_on_time() else LATE_VALUE


@dataclass(slots=True, kw_only=True)
class BusyEngine(Engine):
    """Engine that sheds beyond its queue and preempts for more urgent requests."""

    def is_full(self):
        """Return whether a further request is shed."""
        return len(self.waiting) >= QUEUE_PLACES

    def make_room(self):
        """Preempt for memory, and for more urgent requests without a slot."""
        before = list(self.running)
        Engine.make_room(self)
        slots = self.site.traits.slots
        while self.waiting and len(self.running) >= slots:
            victim = max(self.running, key=lambda one: (one.kind.priority, one.number))
            if victim.kind.priority <= self.waiting[0].kind.priority:
                break
            self.running.remove(victim)
            victim.prefill_tokens = victim.context_tokens()
            self.preemptions += 1
            self._queue(victim)
        for one in before:
            one.preempted += one not in self.running

    def drop(self, request):
        """Remove a request whose deadline has passed."""
        for requests in (self.waiting, self.running):
            if request in requests:
                requests.remove(request)


@dataclass(slots=True, kw_only=True)
class Door:
    """One gateway.

    Parameters
    ----------
    placement : Placement
        Its model of the engines.
    admission : Admission or None
        None sends every request at once.
    wake_at_ms : float or None
        When its queue is examined next.
    """

    placement: Placement
    admission: Admission | None
    wake_at_ms: float | None = None


def draw_calls(load, seed):
    """Return the requests of a load in order of arrival."""
    random, numbers, calls = Random(seed), count(), []
    for name, kind in load.site.kinds.items():
        rate = kind.rate_per_s * load.scale
        more = rate * (load.heavy - 1) / load.workspaces
        start_s, end_s = load.heavy_s
        times = [(at_s, None) for at_s in _times(random, rate, 0, load.seconds)]
        times += [(at_s, 0) for at_s in _times(random, more, start_s, end_s)]
        for at_s, chosen in times:
            workspace = chosen
            if workspace is None:
                workspace = random.randrange(load.workspaces)
            call = _draw_call(
                next(numbers), at_s * 1000, name, kind, f"workspace-{workspace}", random
            )
            if not workspace and load.retries:
                call.tries_left = load.retries
            calls.append(call)
    return sorted(calls, key=lambda one: one.sent_at_ms)


def _times(random, per_s, start_s, end_s):
    """Yield the times of independent arrivals."""
    at_s = start_s
    while per_s and (at_s := at_s + random.expovariate(per_s)) < end_s:
        yield at_s


def _draw_call(number, at_ms, name, kind, workspace, random):
    factor = random.lognormvariate(-(kind.spread**2) / 2, kind.spread)
    own = max(1, int(min(MAX_OWN_FACTOR, factor) * kind.own_tokens))
    parts = (
        PromptSegment(
            name=f"{name}-{random.randrange(kind.prefixes)}", tokens=kind.shared_tokens
        ),
        PromptSegment(name=f"own-{number}", tokens=own),
    )
    demand = Demand(
        prompt_tokens=kind.shared_tokens + own,
        output_limit=kind.output_tokens,
        output_estimate=kind.output_tokens,
        parts=parts,
        target=kind.target_ms * MILLISECOND,
        gap_target=kind.gap_ms * MILLISECOND,
        workspace=workspace,
        urgency=kind.priority,
        transfer_bytes=4 * (kind.shared_tokens + own),
    )
    return Call(
        number=number,
        sent_at_ms=at_ms,
        kind=kind,
        demand=demand,
        entry=random.randrange(GATEWAY_COUNT),
        name=name,
        deadline_ms=at_ms + DEADLINES_MS[name],
    )


class Play:
    """Simulates a load.

    Parameters
    ----------
    load : Load
        The load.
    seed : int
        Seed of arrivals and of the gateways' random decisions.
    is_admitting : bool
        Whether the gateways hold and refuse requests.
    """

    def __init__(self, load, *, seed, is_admitting):
        self.load, self.random = load, Random(seed)
        self.traits = load.site.traits
        names = [f"engine-{number}" for number in range(load.site.engines)]
        self.engines = {name: BusyEngine(site=load.site) for name in names}
        self.names = names
        self.busy, self.queue, self.numbers = set(), [], count()
        self.engine_of, self.held, self.holds = {}, {}, 0
        self.doors = [self._door(is_admitting) for _ in range(GATEWAY_COUNT)]
        self.calls = draw_calls(load, seed)
        self.now_ms = 0.0
        self.most_in_flight = 0

    def _door(self, is_admitting):
        placement = Placement()
        placement.estimators[SERVICE] = KnownLaw(
            service=SERVICE, law=self.load.site.law
        )
        admission = Admission(law=lambda _: self.load.site.law, random=self.random)
        return Door(placement=placement, admission=admission if is_admitting else None)

    @property
    def now(self):
        """Current time."""
        return START + self.now_ms * MILLISECOND

    def at(self, at_ms, action, *args):
        """Run an action at some time."""
        heapq.heappush(self.queue, (at_ms, next(self.numbers), action, args))

    def run(self):
        """Run until all requests have ended, and return them."""
        for call in self.calls:
            self.at(call.sent_at_ms, self._arrive, call)
            self.at(call.deadline_ms, self._cut, call)
        start_s, end_s = self.load.away_s
        if end_s:
            self.at(start_s * 1000, self._lose_engines)
            self.at(end_s * 1000, self._return_engines)
        while self.queue:
            self.now_ms, _, action, args = heapq.heappop(self.queue)
            action(*args)
        return self.calls

    def _lose_engines(self):
        for name in self.names[self.load.engines_left :]:
            engine = self.engines[name]
            for call in engine.waiting + engine.running:
                self._end(call, "lost")
            self.engines[name] = BusyEngine(site=self.load.site)
        self.names = self.names[: self.load.engines_left]
        for door in self.doors:
            door.placement.keep(self.names)

    def _return_engines(self):
        self.names = list(self.engines)

    def _choose(self, door, call, names):
        views = [EndpointView(name=name) for name in names]
        return door.placement.choose(
            call.demand, views, traits=self.traits, now=self.now
        )

    def _arrive(self, call):
        if call.state:
            return
        door = self.doors[call.entry]
        call.offers += 1
        if door.admission is None:
            self._send(door, call, self._choose(door, call, self.names).engine)
            return
        request = HeldRequest(
            demand=call.demand,
            traits=self.traits,
            deadline=START + call.deadline_ms * MILLISECOND,
            since=self.now,
            engines=lambda: self.names,
            choose=lambda names: self._choose(door, call, names),
            owner=call,
        )
        verdict = door.admission.offer(request, self.now)
        if self._apply(door, call, verdict):
            return
        self.holds += 1
        self.held[call.number] = request
        evicted = door.admission.evict(SERVICE, self.now)
        if evicted:
            self._apply(door, evicted[0].owner, evicted[1])
        self._wake(door, "timer")

    def _apply(self, door, call, verdict):
        match verdict:
            case Send():
                self._send(door, call, verdict.engine)
            case Refuse():
                self.held.pop(call.number, None)
                self._refuse(call, "refused", verdict.wait_ms / 1000)
            case _:
                return False
        return True

    def _refuse(self, call, state, wait_s):
        if call.tries_left <= 0:
            self._end(call, state)
            return
        call.tries_left -= 1
        left_s = (call.deadline_ms - self.now_ms) / 1000
        wait_s = max(wait_s, self.random.uniform(MIN_RETRY_S, MAX_RETRY_S))
        wait_s = min(wait_s * self.random.uniform(1, 1.3), left_s / 3)
        if self.load.retries and call.demand.workspace == "workspace-0":
            wait_s = 0.02
        self.at(self.now_ms + 1000 * wait_s, self._arrive, call)

    def _wake(self, door, cause):
        wait_ms = 1000 * door.admission.wake_after_s(cause=cause, service=SERVICE)
        at_ms = self.now_ms + wait_ms
        if door.wake_at_ms is None or at_ms < door.wake_at_ms:
            door.wake_at_ms = at_ms
            self.at(at_ms, self._drain, door, at_ms)

    def _drain(self, door, at_ms):
        if door.wake_at_ms != at_ms:
            return
        door.wake_at_ms = None
        while (released := door.admission.drain(SERVICE, self.now)) is not None:
            request, verdict = released
            self.held.pop(request.owner.number, None)
            self._apply(door, request.owner, verdict)
        if door.admission.held_count():
            self._wake(door, "timer")

    def _send(self, door, call, name):
        self.held.pop(call.number, None)
        engine = self.engines[name]
        self._record_start(door, call, name)
        for other in self.doors:
            if other is not door:
                self.at(
                    self.now_ms + EVENT_DELAY_MS, self._record_start, other, call, name
                )
        self.engine_of[call.number] = name
        if engine.is_full():
            self._tell_end(call)
            self._refuse(call, "shed", 0.0)
            return
        call.began_at_ms = self.now_ms
        engine.add(call)
        in_flight = len(engine.waiting) + len(engine.running)
        self.most_in_flight = max(self.most_in_flight, in_flight)
        if name not in self.busy:
            self.busy.add(name)
            self.at(self.now_ms, self._step, name)

    def _record_start(self, door, call, name):
        if call.state:
            return
        door.placement.add(
            call.number, name, call.demand, traits=self.traits, now=self.now
        )
        if door.admission is not None:
            door.admission.record_start(
                call.number, SERVICE, name, call.demand, self.now
            )

    def _step(self, name):
        engine = self.engines[name]
        end_ms, started, ended = engine.step(self.now_ms)
        for call in started:
            self.at(end_ms, self._tell_first, call)
        for call in ended:
            self.at(end_ms, self._end, call, "served")
        if engine.waiting or engine.running:
            self.at(end_ms, self._step, name)
        else:
            self.busy.discard(name)

    def _tell_first(self, call):
        for door in self.doors:
            door.placement.record_first_event(call.number, self.now)

    def _end(self, call, state):
        if call.state:
            return
        call.state = state
        self._tell_end(call)

    def _tell_end(self, call):
        if self.engine_of.pop(call.number, None) is None:
            return
        for number, door in enumerate(self.doors):
            is_own = number == call.entry
            delay_ms = 0.0 if is_own else EVENT_DELAY_MS
            cause = "own" if is_own else "peer"
            self.at(self.now_ms + delay_ms, self._record_end, door, call.number, cause)

    def _record_end(self, door, number, cause):
        door.placement.remove(number)
        if door.admission is None:
            return
        if door.admission.record_end(number, self.now) is not None:
            self._wake(door, cause)

    def _cut(self, call):
        if call.state:
            return
        request = self.held.pop(call.number, None)
        if request is not None:
            self.doors[call.entry].admission.remove(request)
            self._end(call, "refused")
            return
        name = self.engine_of.get(call.number)
        if name is not None:
            self.engines[name].drop(call)
        self._end(call, "cut" if name else "refused")


@dataclass(slots=True, kw_only=True)
class Figures:
    """What callers got in one simulation.

    Parameters
    ----------
    value, on_time, late : dict of float
        By kind and for all: mean value, and shares of the requests on time and late.
    states : Counter
        Requests by kind and state.
    preempted : int
        Preemptions.
    passed_over : dict of tuple
        Largest number and share of a kind's requests that got nothing within a window,
        while dossiers began.
    """

    value: dict
    on_time: dict
    late: dict
    states: Counter
    preempted: int
    passed_over: dict = field(default_factory=dict)


def measure(calls):
    """Return the figures of a simulation; lost requests aren't counted."""
    counted = [one for one in calls if one.state != "lost"]
    names = sorted({one.name for one in counted})

    def mean(get):
        groups = {name: [one for one in counted if one.name == name] for name in names}
        groups["all"] = counted
        return {
            name: sum(map(get, group)) / len(group) for name, group in groups.items()
        }

    on_time = mean(lambda one: one.state == "served" and one.is_on_time())
    served = mean(lambda one: one.state == "served")
    return Figures(
        value=mean(Call.value),
        on_time=on_time,
        late={name: served[name] - on_time[name] for name in served},
        states=Counter((one.name, one.state) for one in calls),
        preempted=sum(one.preempted for one in calls),
        passed_over={
            name: _passed_over(counted, name) for name in names if name != "dossier"
        },
    )


def _passed_over(calls, name):
    """Return the most requests of a kind that got nothing in a window, and their share.

    Windows in which fewer than ten dossiers began aren't counted.
    """
    worst = (0, 0.0)
    windows = {int(one.sent_at_ms // WINDOW_MS) for one in calls}
    for window in windows:
        arrived = [
            one
            for one in calls
            if one.name == name and one.sent_at_ms // WINDOW_MS == window
        ]
        began = [
            one
            for one in calls
            if one.name == "dossier"
            and one.began_at_ms is not None
            and one.began_at_ms // WINDOW_MS == window
        ]
        nothing = [one for one in arrived if one.state in ("refused", "shed", "cut")]
        nothing = [one for one in nothing if one.first_ms is None]
        if len(began) >= 10 and nothing:
            worst = max(worst, (len(nothing), len(nothing) / len(arrived)))
    return worst


def play(load, *, seed, is_admitting):
    """Simulate a load and return its figures and the simulation."""
    simulation = Play(load, seed=seed, is_admitting=is_admitting)
    return measure(simulation.run()), simulation


HALF = replace(Load(), engines_left=14, away_s=(3, 9))
"""Half of the engines are away for 6 s."""
