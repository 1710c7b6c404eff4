"""Slots and memory of a service's engines that the sends in flight occupy."""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from ..placement import Demand, EngineTraits
from .rates import Rate

__all__ = ["FLOOR_RANK", "OTHERS_SLOTS", "EngineUsage", "ServiceUsage"]

RATE_LIFETIME = timedelta(seconds=2)
"""Time in which arrivals are forgotten.  Bursts of a class last 3 to 9 s, so that room
is kept for a burst soon after its start and given up soon after its end."""

FLOOR_RANK = -1
"""Urgency for which no room is kept: that of a request whose class is served because it
has waited for long."""

EVENT_DELAY_S = 0.05
"""Time in which a decision may miss sends of other gateways: their load events are on
their way, or wait for the processor of a busy host."""

MAX_RESERVED_SHARE = 0.25
"""Largest share of an engine's slots and memory that is kept free for more urgent
classes, so that a burst of these doesn't stop the others."""

MAX_DISPLACED_SHARE = 0.125
"""Requests beyond an engine's slots, as a share of these, while it is to preempt less
urgent ones.  With more, an engine's queue fills and it sheds urgent requests itself."""

OTHERS_SLOTS = 2
"""Slots of an engine that a workspace over its share leaves to others.  With one, two
gateways that act at the same time would leave none."""

PREFILL_SHARE = 0.9
"""Largest share of an engine's time that prefill may take.

While prefill runs without a pause, a stream advances by one token a chunk: with 85 ms a
chunk, 175 tokens take 15 s and miss a deadline of 8 s.  Decode steps in a tenth of the
time shorten this to 6 s."""

PREFILL_TARGET_SHARE = 0.5
"""Longest prefill queue of an engine that a request is sent to, as a share of the
request's target latency.  The other half is for its own prefill and for what others
send meanwhile."""

MIN_RESERVED_ARRIVALS = 0.05
"""Expected arrivals below which nothing is kept free: fewer than one in 20 times the
room would be used before the next request ends."""

PRESSED_TIME = timedelta(seconds=1)
"""Time after a long wait of a more urgent request in which less urgent ones leave the
largest room.  Other gateways have the same classes and probably hold such requests too,
which they don't report."""

DURATION_WEIGHT = 0.05
"""Weight of one request in the moving average of the time from send to end."""

DEFAULT_DURATION_S = 1.0
"""Time from send to end that is assumed before a request has ended."""

SIZE_WEIGHT = 0.05
"""Weight of one request in the moving average of a class's tokens."""


@dataclass(slots=True, kw_only=True)
class EngineUsage:
    """Sends in flight at one engine.

    Attributes
    ----------
    by_rank : Counter
        Number of sends by urgency.
    own_tokens : Counter
        Tokens that no other request shares, by urgency.
    count, own_total : int
        Sums of the two.
    segments : Counter
        Number of sends that use each shared segment.
    shared_tokens : int
        Tokens of the segments in use.
    arrivals : dict of Rate
        Sends that started, by urgency.
    prefill_until : dict of datetime
        When the prefill of a class and of more urgent ones will be done if it takes
        `PREFILL_SHARE` of the time, by urgency.
    """

    by_rank: Counter = field(default_factory=Counter)
    own_tokens: Counter = field(default_factory=Counter)
    count: int = 0
    own_total: int = 0
    segments: Counter = field(default_factory=Counter)
    shared_tokens: int = 0
    arrivals: dict[int, Rate] = field(default_factory=dict)
    prefill_until: dict[int, datetime] = field(default_factory=dict)

    def new_tokens(self, demand: Demand) -> int:
        """Return the memory that a request needs beyond the segments in use."""
        shared = sum(
            one.tokens
            for one in demand.shared_prefix
            if not self.segments.get(one.name)
        )
        return demand.own_tokens + shared

    def add(self, demand: Demand, prefill: timedelta, now: datetime) -> None:
        """Add a send whose prefill takes some time."""
        rank = demand.urgency
        self._queue_prefill(rank, prefill, now)
        self.by_rank[rank] += 1
        self.own_tokens[rank] += demand.own_tokens
        self.count += 1
        self.own_total += demand.own_tokens
        for one in demand.shared_prefix:
            if not self.segments[one.name]:
                self.shared_tokens += one.tokens
            self.segments[one.name] += 1
        if rank not in self.arrivals:
            self.arrivals[rank] = Rate(lifetime=RATE_LIFETIME)
        self.arrivals[rank].add(1, now)

    def prefill_queue(self, rank: int, now: datetime) -> timedelta:
        """Return the time until the prefill that a class waits for is done."""
        until = [at for one, at in self.prefill_until.items() if one <= rank]
        return max(max(until, default=now) - now, timedelta())

    def _queue_prefill(self, rank: int, prefill: timedelta, now: datetime) -> None:
        # Engines prefill more urgent prompts first, so less urgent ones wait longer.
        self.prefill_until.setdefault(rank, now + self.prefill_queue(rank, now))
        for one, until in self.prefill_until.items():
            if one >= rank:
                self.prefill_until[one] = max(until, now) + prefill / PREFILL_SHARE

    def remove(self, demand: Demand) -> None:
        """Remove a send that has ended."""
        rank = demand.urgency
        self.by_rank[rank] -= 1
        self.own_tokens[rank] -= demand.own_tokens
        self.count -= 1
        self.own_total -= demand.own_tokens
        for one in demand.shared_prefix:
            self.segments[one.name] -= 1
            if not self.segments[one.name]:
                del self.segments[one.name]
                self.shared_tokens -= one.tokens


class ServiceUsage:
    """Sends in flight at the engines of one service, by all gateways.

    Attributes
    ----------
    engines : dict of EngineUsage
        Engines by name; those without a send in flight may be missing.
    sends : dict
        Engine, demand and start of each send by key.
    duration_s : float
        Moving average of the time from send to end.
    tokens : dict of float
        Moving average of a request's own tokens, by urgency.
    pressed_at : dict of datetime
        When a request of this gateway had last waited long, by urgency.
    """

    __slots__ = ("engines", "sends", "duration_s", "tokens", "pressed_at")

    def __init__(self):
        self.engines: dict[str, EngineUsage] = {}
        self.sends: dict[object, tuple[str, Demand, datetime]] = {}
        self.duration_s = DEFAULT_DURATION_S
        self.tokens: dict[int, float] = {}
        self.pressed_at: dict[int, datetime] = {}

    def add(
        self,
        key: object,
        engine: str,
        demand: Demand,
        now: datetime,
        prefill: timedelta = timedelta(),
    ) -> None:
        """Add a send whose prefill takes some time."""
        self.engines.setdefault(engine, EngineUsage()).add(demand, prefill, now)
        self.sends[key] = engine, demand, now
        mean = self.tokens.get(demand.urgency, demand.own_tokens)
        self.tokens[demand.urgency] = mean + SIZE_WEIGHT * (demand.own_tokens - mean)

    def remove(self, key: object, now: datetime) -> Demand | None:
        """Remove a send and return its demand; None for an unknown key."""
        engine, demand, started = self.sends.pop(key, (None, None, None))
        if demand is None:
            return None
        usage = self.engines.get(engine)
        if usage is not None:
            usage.remove(demand)
        took_s = (now - started).total_seconds()
        self.duration_s += DURATION_WEIGHT * (took_s - self.duration_s)
        return demand

    def keep(self, names: Iterable[str]) -> None:
        """Forget the rates of all engines except the named ones.

        The sends in flight at the others stay until they end.
        """
        listed = set(names)
        for name, usage in list(self.engines.items()):
            if name not in listed and not usage.count:
                del self.engines[name]

    def count(self, engine: str) -> int:
        """Return the number of sends in flight at an engine."""
        usage = self.engines.get(engine)
        return usage.count if usage else 0

    def is_calm(self, names: Iterable[str], traits: EngineTraits) -> bool:
        """Return whether under half of the engines' slots are taken.

        It is so as well if the number of slots is unknown.
        """
        counts = [self.count(name) for name in names]
        return not traits.slots or 2 * sum(counts) < traits.slots * len(counts)

    def is_any_open(
        self,
        names: Iterable[str],
        demand: Demand,
        traits: EngineTraits,
        now: datetime,
        *,
        is_floor: bool = False,
    ) -> bool:
        """Return whether an engine has room for a request, whatever its memory.

        The parameters are those of `lack`.
        """
        rank = FLOOR_RANK if is_floor else demand.urgency
        for name in names:
            usage = self.engines.get(name)
            if usage is None or not usage.count:
                return True
            is_delayed = not is_floor and self._lacks_prefill(usage, demand, now)
            if not is_delayed and not self._lacks_slot(usage, rank, traits, now):
                return True
        return False

    def next_end_s(self, engine: str) -> float:
        """Return the expected time until a send at an engine ends."""
        return self.duration_s / max(1, self.count(engine))

    def lack(
        self,
        engine: str,
        demand: Demand,
        traits: EngineTraits,
        now: datetime,
        *,
        is_over_share: bool = False,
        is_floor: bool = False,
    ) -> str:
        """Return what an engine lacks for a request.

        Parameters
        ----------
        engine : str
            The engine.
        demand : Demand
            Demand of the request.
        traits : EngineTraits
            Properties of the engine.
        now : datetime
            Current time.
        is_over_share : bool
            Whether its workspace leaves the last slots to others.
        is_floor : bool
            Whether no room is kept for more urgent classes.

        Returns
        -------
        str
            ``slots``, ``prefill``, ``memory``, or nothing if it has room.  What more
            urgent classes will need until the next request ends counts as taken.  An
            engine without requests has room for any.
        """
        usage = self.engines.get(engine)
        if usage is None or not usage.count:
            return ""
        others = OTHERS_SLOTS if is_over_share else 0
        rank = FLOOR_RANK if is_floor else demand.urgency
        if self._lacks_slot(usage, rank, traits, now, others):
            return "slots"
        if not is_floor and self._lacks_prefill(usage, demand, now):
            return "prefill"
        if traits.kv_capacity_tokens:
            reserved = self._reserved(usage, rank, traits, now)
            kept = min(
                reserved * self._urgent_tokens(demand.urgency),
                MAX_RESERVED_SHARE * traits.kv_capacity_tokens,
            )
            taken = usage.own_total + usage.shared_tokens + usage.new_tokens(demand)
            if taken + kept > traits.kv_capacity_tokens:
                return "memory"
        return ""

    def may_displace(self, engine: str, demand: Demand, traits: EngineTraits) -> bool:
        """Return whether an engine has room but for requests of less urgent classes.

        It preempts one of these for the request, if it has to.
        """
        usage = self.engines.get(engine)
        if usage is None:
            return True
        rank = demand.urgency
        before = sum(n for one, n in usage.by_rank.items() if one <= rank)
        tokens = sum(n for one, n in usage.own_tokens.items() if one <= rank)
        most = traits.slots * (1 + MAX_DISPLACED_SHARE)
        has_slot = not traits.slots or (before < traits.slots and usage.count < most)
        capacity = traits.kv_capacity_tokens
        return has_slot and (not capacity or tokens + demand.own_tokens <= capacity)

    def _lacks_slot(
        self,
        usage: EngineUsage,
        rank: int,
        traits: EngineTraits,
        now: datetime,
        others: int = 0,
    ) -> bool:
        if not traits.slots or not usage.count:
            return False
        if usage.count >= traits.slots:
            return True
        most = int(MAX_RESERVED_SHARE * traits.slots)
        if usage.count + 1 + most <= traits.slots:
            return False
        kept = min(self._reserved(usage, rank, traits, now) + others, most)
        return usage.count + 1 + kept > traits.slots

    @staticmethod
    def _lacks_prefill(usage: EngineUsage, demand: Demand, now: datetime) -> bool:
        """Return whether the prefill queue threatens a request's target latency."""
        longest = PREFILL_TARGET_SHARE * demand.target
        return bool(longest) and usage.prefill_queue(demand.urgency, now) > longest

    def _reserved(
        self, usage: EngineUsage, rank: int, traits: EngineTraits, now: datetime
    ) -> int:
        """Return for how many more urgent requests an engine's room is kept.

        It is the number that arrives before the next send ends and is exceeded in one
        of 40 cases if the arrivals are independent.
        """
        if rank == FLOOR_RANK:
            return 0
        if any(
            one < rank and now - at < PRESSED_TIME
            for one, at in self.pressed_at.items()
        ):
            return traits.slots
        per_s = sum(
            rate.per_s(now) for one, rate in usage.arrivals.items() if one < rank
        )
        window_s = self.duration_s / max(1, usage.count) + EVENT_DELAY_S
        expected = per_s * window_s
        if expected < MIN_RESERVED_ARRIVALS:
            return 0
        return math.ceil(expected + 2 * math.sqrt(expected))

    def _urgent_tokens(self, rank: int) -> float:
        """Return the largest mean size of the more urgent classes, in tokens."""
        return max((n for one, n in self.tokens.items() if one < rank), default=0.0)
