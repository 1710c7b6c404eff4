"""Partition of the engines between short and long prompts, sized by recent load."""

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta

from ..routing.rendezvous import rank

__all__ = ["EngineSplit", "SplitSizer"]

WINDOW = timedelta(seconds=4)
"""Time over which the load is measured; bursts in the platform's specification last
2 s to 9 s."""

BOUNDARY_SHARE = 0.8
"""Longest prefill of a short prompt, as a share of the tightest limit."""

SHORT_WEIGHT = 2.0
"""Weight of the prefill of short prompts relative to that of long ones.

Engines for short prompts should run prefill only half of the time, so that their
streams are not stalled twice in a row."""

STALL = 1.0
"""Weight of a stream's time in the batch, relative to its decode steps alone.  Chunks
of prefill stall it, but 2.0 left long prompts too few engines."""

MAX_UTILIZATION = 0.6
"""Share of the time in which engines for long prompts may prefill; above it their
queues grow long."""

MIN_WINDOW = timedelta(seconds=1)
"""Shortest time from which the rate of prefill is derived."""

MILLISECOND = timedelta(milliseconds=1)

SPLIT_KEY = b"short-prompts"
"""Key of the rendezvous hashing by which all processes order the engines."""


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineSplit:
    """Names of the engines for short and for long prompts.

    The two groups are disjoint, except that all engines are in both while there is
    only one, or only load of one side.
    """

    short: tuple[str, ...]
    long: tuple[str, ...]


@dataclass(slots=True, kw_only=True, frozen=True)
class PrefillSample:
    """Prefill load of one request.

    Parameters
    ----------
    at : datetime
        When the request was sent.
    work_ms : float
        Time to prefill what its engine had not cached.
    stream_ms : float
        Time of its decode steps, divided by the requests in a batch.
    limit_ms : float
        Time that prefill may take before the request, or its stream, is late.
    target_ms : float
        Target of the time to the first event; 0 if there is none.
    is_short : bool
        Whether the prompt counts as short.
    """

    at: datetime
    work_ms: float
    stream_ms: float
    limit_ms: float
    target_ms: float
    is_short: bool


class SplitSizer:
    """Measures the prefill load and splits the engines in proportion to it.

    It answers long prompts beside streams with short gap targets: an engine that
    prefills long prompts delays all its streams.

    Attributes
    ----------
    samples : deque of PrefillSample
        Requests that this process sent in the last `WINDOW`, and those that other
        gateway processes reported.
    short_ms, long_ms : float
        Sums of the prefill in the samples of short and of long prompts.
    short_stream_ms, long_stream_ms : float
        Sums of their time in the batch.
    limits : deque of PrefillSample
        Samples that may become the tightest one of the window, tightest first.
    """

    __slots__ = (
        "samples",
        "short_ms",
        "long_ms",
        "short_stream_ms",
        "long_stream_ms",
        "limits",
        "order",
    )

    def __init__(self):
        self.samples: deque[PrefillSample] = deque()
        self.limits: deque[PrefillSample] = deque()
        self.short_ms = 0.0
        self.long_ms = 0.0
        self.short_stream_ms = 0.0
        self.long_stream_ms = 0.0
        self.order: tuple[tuple[str, ...], list[str]] = ((), [])

    def record(
        self,
        *,
        work_ms: float,
        prompt_ms: float,
        limit_ms: float,
        target_ms: float,
        now: datetime,
        stream_ms: float = 0.0,
    ) -> None:
        """Record a request that was sent.

        Parameters
        ----------
        work_ms, prompt_ms : float
            Time to prefill what its engine had not cached, and the whole prompt.
        limit_ms : float
            Time that prefill may take before the request, or its stream, is late.
        target_ms : float
            Target of the time to the first event; 0 if there is none.
        now : datetime
            Current time.
        stream_ms : float
            Time of its decode steps, divided by the requests in a batch.
        """
        self._drop_old(now)
        short = self.is_short(prompt_ms, limit_ms)
        sample = PrefillSample(
            at=now,
            work_ms=work_ms,
            stream_ms=stream_ms,
            limit_ms=limit_ms,
            target_ms=target_ms,
            is_short=short,
        )
        self.samples.append(sample)
        while self.limits and self.limits[-1].limit_ms >= limit_ms:
            self.limits.pop()
        self.limits.append(sample)
        if short:
            self.short_ms += work_ms
            self.short_stream_ms += stream_ms
        else:
            self.long_ms += work_ms
            self.long_stream_ms += stream_ms

    def is_short(self, prompt_ms: float, limit_ms: float) -> bool:
        """Return whether a prompt counts as short beside the requests of the window.

        Parameters
        ----------
        prompt_ms : float
            Time to prefill the whole prompt.
        limit_ms : float
            Time that prefill may take before the request, or its stream, is late.
        """
        return prompt_ms <= BOUNDARY_SHARE * min(self.tightest_ms, limit_ms)

    @property
    def tightest_ms(self) -> float:
        """Tightest limit of the window; infinite without samples."""
        return self.limits[0].limit_ms if self.limits else float("inf")

    @property
    def tightest_target_ms(self) -> float:
        """Target of the request with the tightest limit; 0 without samples."""
        return self.limits[0].target_ms if self.limits else 0.0

    def split(
        self,
        names: Sequence[str],
        now: datetime,
        factors: Mapping[str, float] | None = None,
    ) -> EngineSplit:
        """Return the split of the named engines for the current load.

        Parameters
        ----------
        names : sequence of str
            Engines.
        now : datetime
            Current time.
        factors : mapping of float or None
            Times of the engines relative to the law's; 1 if None.

        Notes
        -----
        The order of the engines depends only on their names.  Processes with the
        same samples therefore compute the same split, and a change of the load
        reassigns only the engines next to the boundary.
        """
        self._drop_old(now)
        ordered = self._order(tuple(names))
        if len(ordered) < 2 or not self.short_ms or not self.long_ms:
            return EngineSplit(short=tuple(ordered), long=tuple(ordered))
        count = self._short_count(ordered, factors, now)
        return EngineSplit(short=tuple(ordered[:count]), long=tuple(ordered[count:]))

    def _order(self, names: tuple[str, ...]) -> list[str]:
        if self.order[0] != names:
            self.order = (names, rank(SPLIT_KEY, names))
        return self.order[1]

    def _short_count(
        self, ordered: list[str], factors: Mapping[str, float] | None, now: datetime
    ) -> int:
        """Return the number of engines whose capacity short prompts need."""
        if factors is None:
            capacities = [1.0] * len(ordered)
        else:
            capacities = [1 / factors[name] for name in ordered]
        needed = self._short_capacity(sum(capacities), now)
        count = 0
        # An engine counts if more than half of it is needed.
        while count < len(ordered) and needed > capacities[count] / 2:
            needed -= capacities[count]
            count += 1
        return min(len(ordered) - 1, max(1, count))

    def _short_capacity(self, capacity: float, now: datetime) -> float:
        """Return the capacity for short prompts, of a capacity in engines.

        It is in proportion to the prefill.  More is given to streams only as far as
        the prefill of long prompts leaves it over: late streams are worth less than
        long prompts that miss their deadline.
        """
        weighted = SHORT_WEIGHT * self.short_ms
        by_prefill = capacity * weighted / (weighted + self.long_ms)
        weighted += SHORT_WEIGHT * STALL * self.short_stream_ms
        long_ms = self.long_ms + STALL * self.long_stream_ms
        by_streams = capacity * weighted / (weighted + long_ms)
        elapsed_ms = max(MIN_WINDOW, now - self.samples[0].at) / MILLISECOND
        long_engines = self.long_ms / elapsed_ms / MAX_UTILIZATION
        return max(by_prefill, min(by_streams, capacity - long_engines))

    def _drop_old(self, now: datetime) -> None:
        oldest = now - WINDOW
        while self.limits and self.limits[0].at < oldest:
            self.limits.popleft()
        while self.samples and self.samples[0].at < oldest:
            old = self.samples.popleft()
            if old.is_short:
                self.short_ms -= old.work_ms
                self.short_stream_ms -= old.stream_ms
            else:
                self.long_ms -= old.work_ms
                self.long_stream_ms -= old.stream_ms
        if not self.samples:
            self.short_ms = self.long_ms = 0.0
            self.short_stream_ms = self.long_stream_ms = 0.0
