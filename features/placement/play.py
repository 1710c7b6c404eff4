"""A play of the load: entries that place prompts on engines with a step law."""

import heapq
from dataclasses import dataclass, field, replace
from datetime import UTC, datetime, timedelta
from itertools import count
from random import Random

from zinniaramp.placement import Candidate, Demand, Placement, PromptPart
from zinniaramp.placement.pauses import most_chunks

START = datetime(2026, 1, 1, tzinfo=UTC)
CHUNK_TOKENS = 4096
MEMORY_TOKENS = 650_000
ENTRIES = 5


@dataclass(slots=True, kw_only=True, frozen=True)
class Kind:
    """One kind of request, as on the sheets; times in milliseconds."""

    per_s: float
    shared: int
    own: int
    output: int
    target_ms: float
    gap_ms: float
    things: int
    rank: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Site:
    """One deployment's engines and load."""

    engines: int
    step_ms: float
    slot_ms: float
    read_per_ms: float
    event_tokens: int
    kinds: dict[str, Kind]
    bursts: tuple[tuple[str, float, float, float], ...]
    """Kind, factor, and the seconds from and to which it holds."""


KILOMETERWERK = Site(
    engines=5,
    step_ms=5.61,
    slot_ms=0.121,
    read_per_ms=54.6,
    event_tokens=3,
    kinds={
        "summary": Kind(
            per_s=6.2,
            shared=13300,
            own=3720,
            output=120,
            target_ms=2000,
            gap_ms=1000,
            things=119,
            rank=2,
        ),
        "review": Kind(
            per_s=4.5,
            shared=6300,
            own=2890,
            output=51,
            target_ms=800,
            gap_ms=400,
            things=57,
            rank=1,
        ),
        "question": Kind(
            per_s=6.3,
            shared=350,
            own=1110,
            output=171,
            target_ms=500,
            gap_ms=250,
            things=81,
            rank=0,
        ),
    },
    bursts=(("summary", 2.2, 0.5, 9.5), ("question", 1.9, 11, 16)),
)
TSURUGAYA = Site(
    engines=6,
    step_ms=3.7,
    slot_ms=0.0193,
    read_per_ms=63.9,
    event_tokens=4,
    kinds={
        "dossier": Kind(
            per_s=8.1,
            shared=13300,
            own=3720,
            output=120,
            target_ms=2000,
            gap_ms=1000,
            things=156,
            rank=2,
        ),
        "caption": Kind(
            per_s=6.4,
            shared=6300,
            own=2890,
            output=52,
            target_ms=600,
            gap_ms=400,
            things=124,
            rank=1,
        ),
        "query": Kind(
            per_s=13.9,
            shared=350,
            own=1110,
            output=172,
            target_ms=400,
            gap_ms=250,
            things=178,
            rank=0,
        ),
    },
    bursts=(("dossier", 2.3, 0.5, 9.5), ("query", 2.0, 11, 16)),
)
SITES = {"kilometerwerk": KILOMETERWERK, "tsurugaya": TSURUGAYA}


@dataclass(slots=True, kw_only=True)
class Request:
    """One request and what its caller has got."""

    number: int
    at_ms: float
    kind: Kind
    demand: Demand
    to_read: int = 0
    made: int = 0
    first_ms: float | None = None
    last_event_ms: float = 0.0
    longest_gap_ms: float = 0.0
    entry: int = 0

    def is_on_time(self):
        """Whether the first event and all pauses were within the targets."""
        if self.first_ms is None or self.made < self.kind.output:
            return False
        waited = self.first_ms - self.at_ms
        return waited <= self.kind.target_ms and self.longest_gap_ms <= self.kind.gap_ms


@dataclass(slots=True, kw_only=True)
class Engine:
    """One engine: reads chunks by rank and arrival, and generates in steps."""

    site: Site
    unread: list = field(default_factory=list)
    running: list = field(default_factory=list)
    held: set = field(default_factory=set)

    def add(self, request):
        """Take a request; parts that are held are not read again."""
        request.to_read = request.demand.prompt_tokens
        for part in request.demand.parts:
            if part.name not in self.held:
                break
            request.to_read -= part.tokens
        request.to_read = max(1, request.to_read)
        self.held.update(part.name for part in request.demand.parts)
        self.unread.append(request)
        self.unread.sort(key=lambda one: (one.kind.rank, one.number))

    def step(self, now_ms):
        """Make one step; return its end and the requests that began or ended."""
        chunk, finished = CHUNK_TOKENS, []
        while self.unread and chunk:
            taken = min(chunk, self.unread[0].to_read)
            self.unread[0].to_read -= taken
            chunk -= taken
            if not self.unread[0].to_read:
                finished.append(self.unread.pop(0))
        reading = (CHUNK_TOKENS - chunk) / self.site.read_per_ms
        length = self.site.step_ms + self.site.slot_ms * len(self.running) + reading
        end = now_ms + length
        ended = [one for one in self.running if self._token(one, end)]
        for one in finished:
            one.first_ms = one.last_event_ms = end
        self.running = [one for one in self.running if one not in ended] + finished
        return end, finished, ended

    def _token(self, request, now_ms):
        request.made += 1
        is_last = request.made >= request.kind.output
        if request.made % self.site.event_tokens == 0 or is_last:
            gap = now_ms - request.last_event_ms
            request.longest_gap_ms = max(request.longest_gap_ms, gap)
            request.last_event_ms = now_ms
        return is_last


def arrivals(site, *, seconds, seed):
    """Return the requests of a play, in order."""
    random, numbers, requests = Random(seed), count(), []
    for name, kind in site.kinds.items():
        at = 0.0
        while at < seconds:
            factor = max(
                [
                    x
                    for who, x, since, to in site.bursts
                    if who == name and since <= at < to
                ],
                default=1.0,
            )
            at += random.expovariate(kind.per_s * factor)
            requests.append(
                _request(
                    next(numbers), at * 1000, name, kind, random, site.event_tokens
                )
            )
    return sorted(requests, key=lambda one: one.at_ms)


def _request(number, at_ms, name, kind, random, event_tokens):
    thing = random.randrange(kind.things)
    parts = (
        PromptPart(name=f"{name}-{thing}", tokens=kind.shared),
        PromptPart(name=f"own-{number}", tokens=kind.own),
    )
    demand = Demand(
        prompt_tokens=kind.shared + kind.own,
        output_limit=kind.output,
        output_guess=kind.output,
        parts=parts,
        most_chunks=most_chunks(timedelta(milliseconds=kind.gap_ms), event_tokens),
    )
    entry = random.randrange(ENTRIES)
    return Request(number=number, at_ms=at_ms, kind=kind, demand=demand, entry=entry)


def play(site, *, place, seconds, seed):
    """Play a load; `place` has the entries' decisions.  Return the requests."""
    names = [f"engine-{number}" for number in range(site.engines)]
    engines = {name: Engine(site=site) for name in names}
    requests = arrivals(site, seconds=seconds, seed=seed)
    events = [(one.at_ms, number, one) for number, one in enumerate(requests)]
    numbers = count(len(events))
    heapq.heapify(events)
    busy = set()
    while events:
        now_ms, _, what = heapq.heappop(events)
        now = START + timedelta(milliseconds=now_ms)
        if isinstance(what, Request):
            name = place.choose(what, names, now)
            engines[name].add(what)
            if name not in busy:
                busy.add(name)
                heapq.heappush(events, (now_ms, next(numbers), name))
            continue
        end, begun, ended = engines[what].step(now_ms)
        later = START + timedelta(milliseconds=end)
        for one in begun:
            place.note_begun(one, later)
        for one in ended:
            place.note_ended(one)
        if engines[what].unread or engines[what].running:
            heapq.heappush(events, (end, next(numbers), what))
        else:
            busy.discard(what)
    return requests


class Entries:
    """Entries that place by their models.

    They tell each other what they send, or do not; and know how much may be read
    beside a stream, or do not.
    """

    def __init__(self, *, is_shared, knows_pauses=True):
        self.is_shared = is_shared
        self.knows_pauses = knows_pauses
        self.placements = [Placement() for _ in range(ENTRIES)]

    def told(self, request):
        """Return the placements that hear of a request."""
        own = [self.placements[request.entry]]
        return self.placements if self.is_shared else own

    def choose(self, request, names, now):
        """Place a request."""
        candidates = [Candidate(name=name, is_far=False) for name in names]
        demand = request.demand
        if not self.knows_pauses:
            demand = replace(demand, most_chunks=None)
        own = self.placements[request.entry]
        choice = own.choose(demand, candidates, memory_tokens=MEMORY_TOKENS, now=now)
        for one in self.told(request):
            one.add(
                request.number,
                choice.engine,
                demand,
                memory_tokens=MEMORY_TOKENS,
                now=now,
            )
        return choice.engine

    def note_begun(self, request, now):
        """Tell that a request's first event has come."""
        for one in self.told(request):
            one.note_begun(request.number, now)

    def note_ended(self, request):
        """Tell that a request has ended."""
        for one in self.told(request):
            one.remove(request.number)


class FewestInFlight:
    """Each entry sends to the engine with the fewest of its own requests."""

    def __init__(self):
        self.in_flight = [{} for _ in range(ENTRIES)]
        self.engine_of = {}

    def choose(self, request, names, now):
        """Place a request."""
        own = self.in_flight[request.entry]
        name = min(names, key=lambda one: (own.get(one, 0), one))
        own[name] = own.get(name, 0) + 1
        self.engine_of[request.number] = name
        return name

    def note_begun(self, request, now):
        """Do nothing."""

    def note_ended(self, request):
        """Count a request that has ended."""
        self.in_flight[request.entry][self.engine_of[request.number]] -= 1


def on_time(requests, kind=None):
    """Return the share of requests that were on time."""
    chosen = [one for one in requests if kind is None or one.kind is kind]
    return sum(one.is_on_time() for one in chosen) / len(chosen)
