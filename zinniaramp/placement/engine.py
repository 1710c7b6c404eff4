"""Model of one engine's prefill backlog, streams and KV cache."""

import math
from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

from .law import EngineTraits
from .learning import LawEstimator
from .prompts import Demand, PromptSegment
from .speed import NOISE_TIME, EngineSpeed, ServiceSpeed
from .split import STALL

__all__ = ["EngineModel", "SentRequest"]

MILLISECOND = timedelta(milliseconds=1)
"""Unit of the law's times."""

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

LATE_HARM = 1.5
"""Harm of a late stream to its caller, in multiples of the route's latency target."""

TIMING_MS = 40.0
"""Standard deviation of a measured time: network, and the rest of the step in which a
prompt ends."""

MAX_COMPARED_TIME = timedelta(seconds=1)
"""Longest time over which short prefills are added up to one sample."""

MIN_COMPARED_MS = 75.0
"""Shortest sum of prefills from which the speed is derived; the share of the network
and of other delays in a shorter one is too large."""

MIN_COMPARED_STEPS_MS = 200.0
"""Shortest sum of decode steps from which the speed is derived."""

OVERDUE_MS = NOISE_TIME / MILLISECOND
"""Time by which a first event is overdue when noise doesn't explain it any more."""


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


@dataclass(slots=True, kw_only=True)
class PrefillSum:
    """Prefills that aren't yet a sample of the speed.

    Parameters
    ----------
    began_at : datetime
        Start of the first one.
    count : int
        Number of comparisons.
    measured_ms, predicted_ms : float
        Their time, measured and by the law.
    may_be_cached : bool
        Whether the engine may have had some of it cached.
    """

    began_at: datetime
    count: int = 0
    measured_ms: float = 0.0
    predicted_ms: float = 0.0
    may_be_cached: bool = False


class EngineModel:
    """Estimated state of one engine, derived from the requests sent to it.

    Parameters
    ----------
    traits : EngineTraits
        Published properties of the engine.
    estimator : LawEstimator
        Law of the service's engines.
    speed : EngineSpeed
        Factor on the law's times of this engine.

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
    output_tokens : int
        Tokens to generate of all requests in flight.
    held : OrderedDict of int
        Tokens of each cached prompt segment by name, least recently used first.
    held_tokens : int
        Sum of the tokens in `held`.
    prefill_started_at : datetime or None
        Assumed start of the prefill of the first waiting prompt: when a send's first
        event last arrived, or when a request was sent while none was waiting.
    compared_at : datetime or None
        Start of the time that is compared with the prefill that it took; None while
        it isn't known what the engine has prefilled.
    compared_tokens : int
        Tokens prefilled since then.
    compared_ms : float
        Part of the time since then that isn't prefill.
    may_be_cached : bool
        Whether the engine may have had cached some of `compared_tokens`.
    sample : PrefillSum
        Comparisons that aren't yet a sample of the speed.
    steps_ms, law_steps_ms : float
        Decode steps that aren't yet a sample of the speed: measured, and by the law.
    """

    __slots__ = (
        "traits",
        "estimator",
        "sends",
        "waiting",
        "waiting_ms",
        "streams",
        "own_tokens",
        "output_tokens",
        "held",
        "held_tokens",
        "prefill_started_at",
        "speed",
        "compared_at",
        "compared_tokens",
        "compared_ms",
        "may_be_cached",
        "sample",
        "steps_ms",
        "law_steps_ms",
    )

    def __init__(
        self,
        *,
        traits: EngineTraits,
        estimator: LawEstimator,
        speed: EngineSpeed | None = None,
    ):
        self.traits = traits
        self.estimator = estimator
        self.speed = speed or EngineSpeed(name="", service=ServiceSpeed())
        self.sends: dict[object, SentRequest] = {}
        self.waiting: dict[object, SentRequest] = {}
        self.waiting_ms = 0.0
        self.streams: Counter[StreamTargets] = Counter()
        self.own_tokens = 0
        self.output_tokens = 0
        self.held: OrderedDict[str, int] = OrderedDict()
        self.held_tokens = 0
        self.prefill_started_at: datetime | None = None
        self.compared_at: datetime | None = None
        self.compared_tokens = 0
        self.compared_ms = 0.0
        self.may_be_cached = False
        self.sample = PrefillSum(began_at=datetime.min.replace(tzinfo=UTC))
        self.steps_ms = 0.0
        self.law_steps_ms = 0.0

    def backlog_ms(self, now: datetime, factor: float = 1.0) -> float:
        """Return the time until the prompts that are waiting are prefilled.

        Parameters
        ----------
        now : datetime
            Current time.
        factor : float
            The engine's present factor on the law's times.

        Notes
        -----
        An engine whose first event is overdue by more than noise explains is expected
        to stall for as long again.
        """
        if not self.waiting:
            return 0.0
        first = next(iter(self.waiting.values()))
        elapsed_ms = 0.0
        if self.prefill_started_at is not None:
            elapsed_ms = (now - self.prefill_started_at) / MILLISECOND
        first_ms = factor * first.prefill_ms
        done_ms = min(MAX_PREFILL_PROGRESS * first_ms, elapsed_ms)
        overdue_ms = elapsed_ms - first_ms
        if overdue_ms > OVERDUE_MS:
            done_ms -= overdue_ms
        return max(0.0, factor * self.waiting_ms - done_ms)

    def batch_wait_ms(self, demand: Demand, factor: float) -> float:
        """Return the time until the batch has a slot and memory for a request.

        Parameters
        ----------
        demand : Demand
            Resource demand of the request.
        factor : float
            The engine's present factor on the law's times.

        Notes
        -----
        In the time of a mean stream all slots become free once, and all memory.
        """
        requests, slots = len(self.sends), self.traits.slots
        if not requests:
            return 0.0
        missing = (requests + 1 - slots) / slots if slots else 0.0
        capacity = self.traits.kv_capacity_tokens
        lacking = (self.own_tokens + demand.own_tokens - capacity) / capacity
        share = max(missing, lacking)
        if share <= 0:
            return 0.0
        steps = STALL * self.output_tokens / requests
        return share * factor * steps * self.estimator.law.step_ms(requests)

    def stall_harm_ms(
        self,
        demand: Demand,
        backlog_ms: float,
        prefill_ms: float,
        factor: float = 1.0,
    ) -> float:
        """Return the harm to streams that exceed their gap target with a request.

        Parameters
        ----------
        demand : Demand
            Resource demand of the new request; its own stream counts as well.
        backlog_ms, prefill_ms : float
            Prefill times of the waiting prompts and of the new one.
        factor : float
            The engine's present factor on the law's times.

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
            limit_ms = self._stall_limit(targets, factor)
            if limit_ms is not None and backlog_ms <= limit_ms < after_ms:
                harm_ms += count * targets.first_ms
        own = stream_targets(demand)
        own_limit_ms = self._stall_limit(own, factor)
        if own_limit_ms is not None and backlog_ms > own_limit_ms:
            harm_ms += own.first_ms
        elif own.gap_ms:
            step_ms = factor * self.estimator.law.step_ms(len(self.sends) + 1)
            if self.traits.tokens_per_event * step_ms > own.gap_ms:
                harm_ms += own.first_ms
        return LATE_HARM * harm_ms

    def _stall_limit(self, targets: StreamTargets, factor: float) -> float | None:
        law = self.estimator.law
        return law.stall_limit_ms(targets.gap_ms, self.traits.tokens_per_event, factor)

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
            self._start_comparison(now, self.estimator.law.overhead_ms)
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
        self.output_tokens += demand.output_estimate
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
        is_first = next(iter(self.waiting.values())) is sent
        self._remove_waiting(key)
        self.prefill_started_at = now
        is_usual = self._compare(sent, is_first, now)
        if sent.is_alone and is_usual and not self.speed.is_disturbed(now):
            overhead_ms = self.estimator.law.overhead_ms
            ms = (now - sent.sent_at) / MILLISECOND - overhead_ms
            self.estimator.record_prefill(
                tokens=sent.prefill_tokens,
                ms=overhead_ms + ms / self.speed.lasting_factor(),
            )

    def _start_comparison(self, now: datetime, other_ms: float) -> None:
        self.compared_at = now
        self.compared_tokens = 0
        self.compared_ms = other_ms
        self.may_be_cached = False

    def _compare(self, sent: SentRequest, is_first: bool, now: datetime) -> bool:
        """Compare the time with the work when the first waiting prompt is prefilled.

        Returns
        -------
        bool
            False if the engine was unusually slow or fast.

        Notes
        -----
        More urgent prompts may overtake it, but when it is done no other one is partly
        prefilled: those that remain came later and aren't more urgent.
        """
        self.compared_tokens += sent.prefill_tokens
        demand = sent.demand
        own_tokens = demand.own_tokens - demand.output_estimate
        self.may_be_cached |= sent.prefill_tokens > own_tokens + 1
        if not is_first:
            return True
        slots = self.traits.slots
        if self.compared_at is None or (slots and len(self.sends) > slots):
            # Requests that wait for a slot tell nothing of the speed.
            self._start_comparison(now, 0.0)
            return True
        is_usual = True
        measured_ms = (now - self.compared_at) / MILLISECOND - self.compared_ms
        if self.sample.began_at < now - MAX_COMPARED_TIME:
            self.sample = PrefillSum(began_at=self.compared_at)
        total = self.sample
        total.count += 1
        total.measured_ms += measured_ms
        total.predicted_ms += self.estimator.law.prefill_ms(self.compared_tokens)
        total.may_be_cached |= self.may_be_cached
        if total.predicted_ms >= MIN_COMPARED_MS:
            is_usual = self.speed.record(
                "prefill",
                math.log(max(1.0, total.measured_ms) / total.predicted_ms)
                + self.estimator.prefill_level,
                deviation=TIMING_MS * total.count / total.predicted_ms,
                began_at=total.began_at,
                now=now,
                may_be_cached=total.may_be_cached,
            )
            self.sample = PrefillSum(began_at=now)
        self._start_comparison(now, 0.0)
        return is_usual

    def record_event(self, key: object, gap_ms: float, now: datetime) -> None:
        """Record a further event of a request and the time since the one before."""
        steps = self.traits.tokens_per_event
        sent = self.sends.get(key)
        if sent is None or not steps:
            return
        step_ms = gap_ms / steps
        started_at = self.prefill_started_at
        was_idle = started_at is None or (now - started_at) / MILLISECOND > gap_ms
        if not self.waiting and was_idle:
            self._compare_steps(gap_ms, steps, now)
            if not self.speed.is_disturbed(now):
                step_ms /= self.speed.lasting_factor()
                self.estimator.record_step(streams=len(self.sends), ms=step_ms)
        elif self.waiting and not self.speed.is_disturbed(now):
            self._measure_chunk(gap_ms, step_ms / self.speed.lasting_factor(), now)

    def _compare_steps(self, gap_ms: float, steps: int, now: datetime) -> None:
        """Compare the time of decode steps without prefill with the law."""
        estimator = self.estimator
        if not estimator.has_step_law:
            return
        self.steps_ms += gap_ms
        self.law_steps_ms += steps * estimator.law.step_ms(len(self.sends))
        if self.law_steps_ms < MIN_COMPARED_STEPS_MS:
            return
        self.speed.record(
            "steps",
            math.log(max(1.0, self.steps_ms) / self.law_steps_ms)
            + estimator.step_level,
            deviation=TIMING_MS / self.law_steps_ms,
            began_at=now - self.steps_ms * MILLISECOND,
            now=now,
        )
        self.steps_ms = self.law_steps_ms = 0.0

    def remove(self, key: object) -> None:
        """Remove a request that has ended; unknown keys are ignored."""
        sent = self.sends.pop(key, None)
        if sent is None:
            return
        if not sent.is_decoding:
            # What was prefilled of it isn't known.
            self.compared_at = None
        self._remove_waiting(key)
        _decrement(self.streams, sent.targets)
        self.own_tokens -= sent.demand.own_tokens
        self.output_tokens -= sent.demand.output_estimate

    def _remove_waiting(self, key: object) -> None:
        sent = self.waiting.pop(key, None)
        if sent is not None:
            self.waiting_ms -= sent.prefill_ms
        if not self.waiting:
            self.waiting_ms = 0.0

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
