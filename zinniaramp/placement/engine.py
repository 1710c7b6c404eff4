"""Model of one engine's prefill backlog, streams and KV cache."""

import math
from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

from .law import EngineTraits
from .learning import LawEstimator
from .prompts import Demand, PromptSegment

__all__ = ["EngineModel", "SentRequest"]

CACHED_SEGMENTS_SHARE = 0.7
"""Share of the KV cache that is assumed to be available for cached prompt segments.

Running requests occupy the rest.  The least recently used segments are evicted."""

MIN_CACHED_SHARE = 0.2
"""Smallest share of the KV cache that is assumed to be available for cached segments,
however many requests are running."""

MAX_PREFILL_PROGRESS = 0.9
"""Largest share of the first waiting prompt that is assumed to be prefilled before its
first event arrives."""

SURE_PREFILL_PROGRESS = 0.7
"""Share of the predicted prefill time in which the prefill has surely not ended."""

MILLISECOND = timedelta(milliseconds=1)
"""Unit of the law's times."""

LATE_HARM = 1.5
"""Harm of a late stream to its caller, in multiples of the route's latency target."""

SPEED_WEIGHT = 0.25
"""Weight of one request in the moving average of an engine's slowness."""

SPEED_LIFETIME = timedelta(seconds=5)
"""Time after the last first event in which an engine's slowness is forgotten; the
platform's disturbances last some seconds."""

MIN_SLOWNESS, MAX_SLOWNESS = 0.5, 10.0
"""Bounds of an engine's slowness, as a factor on the law's times."""

MIN_COMPARED_MS = 25.0
"""Shortest prefill from which the slowness is derived; the share of the network and of
other delays in a shorter one is too large."""

SLOW_ENGINE = 1.5
"""Slowness from which an engine counts as slow.  Its times are no samples of the law
then: the engine is slow, the law is not wrong."""


@dataclass(slots=True, kw_only=True, frozen=True)
class StreamTargets:
    """Targets of a stream in milliseconds; 0 if there is none."""

    first_ms: float
    gap_ms: float


@dataclass(slots=True, kw_only=True)
class SentRequest:
    """A request that was sent to an engine and has not ended.

    Parameters
    ----------
    demand : Demand
        Resource demand.
    targets : StreamTargets
        Targets of its stream.
    prefill_tokens : int
        Prompt tokens to prefill, which are those not cached when it was sent.
    prefill_ms : float
        Time to prefill them, by the law.
    sent_at : datetime
        When it was sent.
    is_alone : bool
        Whether no other prefill has run on the engine since it was sent.
    is_decoding : bool
        Whether its first event has arrived, so that its prefill is done.
    """

    demand: Demand
    targets: StreamTargets
    prefill_tokens: int
    prefill_ms: float
    sent_at: datetime
    is_alone: bool
    is_decoding: bool = False


class EngineModel:
    """Estimated state of one engine, derived from the requests sent to it.

    Parameters
    ----------
    traits : EngineTraits
        Published properties of the engine.
    estimator : LawEstimator
        Law of the service's engines.

    Attributes
    ----------
    sends : dict of SentRequest
        Requests in flight, in the order in which they were sent.
    waiting : dict of SentRequest
        Those before their first event.
    waiting_ms : float
        Sum of the prefill times of `waiting`.
    streams : Counter
        Number of requests in flight by their `StreamTargets`.
    own_tokens : int
        Tokens in flight that no other request shares.
    held : OrderedDict of int
        Tokens of each cached prompt segment by name, least recently used first.
    held_tokens : int
        Sum of the tokens in `held`.
    prefill_started_at : datetime or None
        Assumed start of the prefill of the first waiting prompt: when a send's first
        event last arrived, or when a request was sent while none was waiting.
    slowness : float
        Moving average of measured by predicted times to first event.
    measured_at : datetime or None
        When `slowness` changed last.
    """

    __slots__ = (
        "traits",
        "estimator",
        "sends",
        "waiting",
        "waiting_ms",
        "streams",
        "own_tokens",
        "held",
        "held_tokens",
        "prefill_started_at",
        "slowness",
        "measured_at",
    )

    def __init__(self, *, traits: EngineTraits, estimator: LawEstimator):
        self.traits = traits
        self.estimator = estimator
        self.sends: dict[object, SentRequest] = {}
        self.waiting: dict[object, SentRequest] = {}
        self.waiting_ms = 0.0
        self.streams: Counter[StreamTargets] = Counter()
        self.own_tokens = 0
        self.held: OrderedDict[str, int] = OrderedDict()
        self.held_tokens = 0
        self.prefill_started_at: datetime | None = None
        self.slowness = 1.0
        self.measured_at: datetime | None = None

    def backlog_ms(self, now: datetime) -> float:
        """Return the prefill time of the prompts that are waiting."""
        if not self.waiting:
            return 0.0
        first = next(iter(self.waiting.values()))
        elapsed_ms = 0.0
        if self.prefill_started_at is not None:
            elapsed_ms = (now - self.prefill_started_at) / MILLISECOND
        done_ms = min(MAX_PREFILL_PROGRESS * first.prefill_ms, elapsed_ms)
        return max(0.0, self.waiting_ms - done_ms) * self.current_slowness(now)

    def prefill_ms(self, demand: Demand, now: datetime) -> float:
        """Return the time to prefill what the engine has not cached of a prompt."""
        tokens = self.uncached_tokens(demand)
        law_ms = self.estimator.law.prefill_ms(tokens)
        return law_ms * self.current_slowness(now)

    def current_slowness(self, now: datetime) -> float:
        """Return the engine's slowness; 1 unless it was measured to be slow lately."""
        if self.measured_at is None or now > self.measured_at + SPEED_LIFETIME:
            return 1.0
        return self.slowness if self.slowness >= SLOW_ENGINE else 1.0

    def stall_harm_ms(
        self, demand: Demand, backlog_ms: float, prefill_ms: float
    ) -> float:
        """Return the harm to streams that exceed their gap target with a request.

        Parameters
        ----------
        demand : Demand
            Resource demand of the new request; its own stream counts as well.
        backlog_ms, prefill_ms : float
            Prefill times of the waiting prompts and of the new one.

        Returns
        -------
        float
            Sum over the streams that become late, `LATE_HARM` latency targets each.

        Notes
        -----
        Prefill chunks run in every step while prompts are waiting, and each delays the
        tokens of all streams on the engine.  Streams that exceed their target without
        the request are not counted.
        """
        after_ms = backlog_ms + prefill_ms
        harm_ms = 0.0
        for targets, count in self.streams.items():
            limit_ms = self._stall_limit(targets)
            if limit_ms is not None and backlog_ms <= limit_ms < after_ms:
                harm_ms += count * targets.first_ms
        own = stream_targets(demand)
        own_limit_ms = self._stall_limit(own)
        if own_limit_ms is not None and backlog_ms > own_limit_ms:
            harm_ms += own.first_ms
        return LATE_HARM * harm_ms

    def _stall_limit(self, targets: StreamTargets) -> float | None:
        law = self.estimator.law
        return law.stall_limit_ms(targets.gap_ms, self.traits.tokens_per_event)

    def uncached_tokens(self, demand: Demand) -> int:
        """Return the prompt tokens not in the KV cache; at least 1."""
        held = 0
        for segment in demand.parts:
            # A cached segment is usable only if all before it are cached too.
            if segment.name not in self.held:
                break
            held += segment.tokens
        return max(1, demand.prompt_tokens - held)

    def add(self, key: object, demand: Demand, now: datetime) -> SentRequest:
        """Record a request that was sent to the engine."""
        is_alone = not self.waiting
        if is_alone:
            self.prefill_started_at = now
        law = self.estimator.law
        prefill_tokens = self.uncached_tokens(demand)
        prefill_ms = law.prefill_ms(prefill_tokens)
        sent = SentRequest(
            demand=demand,
            targets=stream_targets(demand),
            prefill_tokens=prefill_tokens,
            prefill_ms=prefill_ms,
            sent_at=now,
            is_alone=is_alone,
        )
        for other in self.waiting.values():
            other.is_alone = False
        self.sends[key] = sent
        self.waiting[key] = sent
        self.waiting_ms += prefill_ms
        self.streams[sent.targets] += 1
        self.own_tokens += demand.own_tokens
        self.record_cached(demand.parts)
        return sent

    def record_cached(self, parts: Iterable[PromptSegment]) -> None:
        """Record cached prompt segments, in the order in which they were used."""
        for segment in parts:
            if segment.name in self.held:
                self.held.move_to_end(segment.name)
                continue
            self.held[segment.name] = segment.tokens
            self.held_tokens += segment.tokens
        self._evict_segments()

    def record_first_event(self, key: object, now: datetime) -> None:
        """Record the first event of a request; unknown keys are ignored."""
        sent = self.sends.get(key)
        if sent is None or sent.is_decoding:
            return
        sent.is_decoding = True
        self._remove_waiting(key)
        self.prefill_started_at = now
        self._measure(sent, (now - sent.sent_at) / MILLISECOND, now)

    def record_event(self, key: object, gap_ms: float, now: datetime) -> None:
        """Record a further event of a request and the time since the one before."""
        steps = self.traits.tokens_per_event
        sent = self.sends.get(key)
        if sent is None or not steps or self.current_slowness(now) > SLOW_ENGINE:
            return
        step_ms = gap_ms / steps
        started_at = self.prefill_started_at
        was_idle = started_at is None or (now - started_at) / MILLISECOND > gap_ms
        if not self.waiting and was_idle:
            self.estimator.record_step(streams=len(self.sends), ms=step_ms)
        elif self.waiting:
            self._measure_chunk(gap_ms, step_ms, now)

    def remove(self, key: object) -> None:
        """Remove a request that has ended; unknown keys are ignored."""
        sent = self.sends.pop(key, None)
        if sent is None:
            return
        self._remove_waiting(key)
        _decrement(self.streams, sent.targets)
        self.own_tokens -= sent.demand.own_tokens

    def _remove_waiting(self, key: object) -> None:
        sent = self.waiting.pop(key, None)
        if sent is not None:
            self.waiting_ms -= sent.prefill_ms
        if not self.waiting:
            self.waiting_ms = 0.0

    def _measure(self, sent: SentRequest, ms: float, now: datetime) -> None:
        """Compare the time to first event of a request that was alone."""
        if not sent.is_alone:
            return
        law = self.estimator.law
        if sent.prefill_ms >= MIN_COMPARED_MS and self.estimator.has_prefill_law:
            ratio = (ms - law.overhead_ms) / sent.prefill_ms
            ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio))
            is_recent = self.measured_at and now <= self.measured_at + SPEED_LIFETIME
            before = math.log(self.slowness) if is_recent else 0.0
            after = (1 - SPEED_WEIGHT) * before + SPEED_WEIGHT * math.log(ratio)
            self.slowness = math.exp(after)
            self.measured_at = now
        if self.current_slowness(now) < SLOW_ENGINE:
            self.estimator.record_prefill(tokens=sent.prefill_tokens, ms=ms)

    def _measure_chunk(self, gap_ms: float, step_ms: float, now: datetime) -> None:
        """Derive the size of a chunk from an event with a chunk in each of its steps.

        That is so if one long prompt has been prefilled since before the event's first
        step and is not yet done.
        """
        first = next(iter(self.waiting.values()))
        elapsed_ms = (now - self.prefill_started_at) / MILLISECOND
        if elapsed_ms < gap_ms or len(self.waiting) > 1:
            return
        if elapsed_ms > SURE_PREFILL_PROGRESS * first.prefill_ms:
            return
        self.estimator.record_chunk_step(ms=step_ms)

    def _evict_segments(self) -> None:
        capacity = self.traits.kv_capacity_tokens
        limit = min(
            CACHED_SEGMENTS_SHARE * capacity,
            max(MIN_CACHED_SHARE * capacity, capacity - self.own_tokens),
        )
        while self.held_tokens > limit and self.held:
            _, tokens = self.held.popitem(last=False)
            self.held_tokens -= tokens


def stream_targets(demand: Demand) -> StreamTargets:
    """Return the targets of a request's stream in milliseconds."""
    return StreamTargets(
        first_ms=demand.target / MILLISECOND, gap_ms=demand.gap_target / MILLISECOND
    )


def _decrement(counter: Counter, name: StreamTargets) -> None:
    """Decrement a count and remove it at 0."""
    counter[name] -= 1
    if not counter[name]:
        del counter[name]
