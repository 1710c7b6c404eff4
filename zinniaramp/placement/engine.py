"""Model of one engine's prefill backlog and KV cache."""

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

from .prompts import Demand, PromptSegment
from .reading import CHUNK_TOKENS, PREFILL_TOKENS_PER_MS

__all__ = ["EngineModel", "SentRequest"]

CACHED_SEGMENTS_SHARE = 0.7
"""Share of the KV cache that is assumed to be available for cached prompt segments.

Running requests occupy the rest.  The least recently used segments are evicted."""

MAX_PREFILL_PROGRESS = 0.9
"""Largest share of the first waiting prompt that is assumed to be prefilled before its
first event arrives."""

MILLISECOND = timedelta(milliseconds=1)
"""Unit of time of `PREFILL_TOKENS_PER_MS`."""


@dataclass(slots=True, kw_only=True)
class SentRequest:
    """A request that was sent to an engine and has not ended.

    Parameters
    ----------
    prefill_tokens : int
        Prompt tokens to prefill, which are those not cached when it was sent.
    output_estimate : int
        Estimated number of output tokens.
    max_consecutive_chunks : int or None
        Prefill chunks that may run consecutively while its stream is decoded; None
        if unlimited.
    is_decoding : bool
        Whether its first event has arrived, so that its prefill is done.
    """

    prefill_tokens: int
    output_estimate: int
    max_consecutive_chunks: int | None = None
    is_decoding: bool = False


class EngineModel:
    """Estimated state of one engine, derived from the requests sent to it.

    Parameters
    ----------
    kv_capacity_tokens : int
        Capacity of the engine's KV cache, in tokens.

    Attributes
    ----------
    sends : dict of SentRequest
        Requests in flight, in the order in which they were sent.
    held : OrderedDict of int
        Tokens of each cached prompt segment by name, least recently used first.
    held_tokens : int
        Sum of the tokens in `held`.
    prefill_started_at : datetime or None
        Assumed start of the prefill of the first waiting prompt: when a send's first
        event last arrived, or when a request was sent while none was waiting.
    """

    __slots__ = (
        "kv_capacity_tokens",
        "sends",
        "held",
        "held_tokens",
        "prefill_started_at",
    )

    def __init__(self, *, kv_capacity_tokens: int):
        self.kv_capacity_tokens = kv_capacity_tokens
        self.sends: dict[object, SentRequest] = {}
        self.held: OrderedDict[str, int] = OrderedDict()
        self.held_tokens = 0
        self.prefill_started_at: datetime | None = None

    def backlog(self, now: datetime) -> float:
        """Return the prompt tokens that are prefilled before those of a new request."""
        waiting = [
            one.prefill_tokens for one in self.sends.values() if not one.is_decoding
        ]
        if not waiting:
            return 0.0
        elapsed_ms = (
            (now - self.prefill_started_at) / MILLISECOND
            if self.prefill_started_at
            else 0.0
        )
        prefilled = min(
            MAX_PREFILL_PROGRESS * waiting[0], elapsed_ms * PREFILL_TOKENS_PER_MS
        )
        return sum(waiting) - prefilled

    def delayed_streams(self, demand: Demand, now: datetime) -> int:
        """Return how many streams exceed their gap target only with a new request.

        Parameters
        ----------
        demand : Demand
            Resource demand of the new request; its own stream counts as well.
        now : datetime
            Current time.

        Notes
        -----
        Every prefill chunk delays the decode steps of all streams on the engine.
        Streams that exceed their gap target without the request are not counted.
        """
        backlog = self.backlog(now)
        before = math.ceil(backlog / CHUNK_TOKENS)
        after = math.ceil((backlog + self.uncached_tokens(demand)) / CHUNK_TOKENS)
        limits = [one.max_consecutive_chunks for one in self.sends.values()]
        others = sum(one is not None and before <= one < after for one in limits)
        is_own_delayed = (
            demand.max_consecutive_chunks is not None
            and before > demand.max_consecutive_chunks
        )
        return others + is_own_delayed

    @property
    def running(self) -> int:
        """Number of requests that are past their prefill."""
        return sum(one.is_decoding for one in self.sends.values())

    def uncached_tokens(self, demand: Demand) -> int:
        """Return the prompt tokens not in the KV cache; at least 1."""
        held = 0
        for segment in demand.parts:
            # A cached segment is usable only if all before it are cached too.
            if segment.name not in self.held:
                break
            held += segment.tokens
        return max(1, demand.prompt_tokens - held)

    def add(self, key: object, demand: Demand, now: datetime) -> None:
        """Record a request that was sent to the engine."""
        if all(one.is_decoding for one in self.sends.values()):
            self.prefill_started_at = now
        prefill_tokens = self.uncached_tokens(demand)
        self.sends[key] = SentRequest(
            prefill_tokens=prefill_tokens,
            output_estimate=demand.output_estimate,
            max_consecutive_chunks=demand.max_consecutive_chunks,
        )
        self.record_cached(demand.parts)

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
        if key in self.sends:
            self.sends[key].is_decoding = True
            self.prefill_started_at = now

    def remove(self, key: object) -> None:
        """Remove a request that has ended; unknown keys are ignored."""
        self.sends.pop(key, None)

    def _evict_segments(self) -> None:
        limit = self.kv_capacity_tokens * CACHED_SEGMENTS_SHARE
        while self.held_tokens > limit and self.held:
            _, tokens = self.held.popitem(last=False)
            self.held_tokens -= tokens
