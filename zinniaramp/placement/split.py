"""Partition of the engines between short and long prompts, sized by recent load."""

from collections import deque
from collections.abc import Sequence
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
    limit_ms : float
        Time that prefill may take before the request, or its stream, is late.
    target_ms : float
        Target of the time to the first event; 0 if there is none.
    is_short : bool
        Whether the prompt counts as short.
    """

    at: datetime
    work_ms: float
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
        Sums of the work in the samples of short and of long prompts.
    limits : deque of PrefillSample
        Samples that may become the tightest one of the window, tightest first.
    """

    __slots__ = ("samples", "short_ms", "long_ms", "limits", "order")

    def __init__(self):
        self.samples: deque[PrefillSample] = deque()
        self.limits: deque[PrefillSample] = deque()
        self.short_ms = 0.0
        self.long_ms = 0.0
        self.order: tuple[tuple[str, ...], list[str]] = ((), [])

    def record(
        self,
        *,
        work_ms: float,
        prompt_ms: float,
        limit_ms: float,
        target_ms: float,
        now: datetime,
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
        """
        self._drop_old(now)
        short = self.is_short(prompt_ms, limit_ms)
        sample = PrefillSample(
            at=now,
            work_ms=work_ms,
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
        else:
            self.long_ms += work_ms

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

    def split(self, names: Sequence[str], now: datetime) -> EngineSplit:
        """Return the split of the named engines for the current load.

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
        count = self._short_count(len(ordered))
        return EngineSplit(short=tuple(ordered[:count]), long=tuple(ordered[count:]))

    def _order(self, names: tuple[str, ...]) -> list[str]:
        if self.order[0] != names:
            self.order = (names, rank(SPLIT_KEY, names))
        return self.order[1]

    def _short_count(self, engines: int) -> int:
        """Return the number of engines for short prompts."""
        weighted = SHORT_WEIGHT * self.short_ms
        share = weighted / (weighted + self.long_ms)
        return min(engines - 1, max(1, round(engines * share)))

    def _drop_old(self, now: datetime) -> None:
        oldest = now - WINDOW
        while self.limits and self.limits[0].at < oldest:
            self.limits.popleft()
        while self.samples and self.samples[0].at < oldest:
            old = self.samples.popleft()
            if old.is_short:
                self.short_ms -= old.work_ms
            else:
                self.long_ms -= old.work_ms
        if not self.samples:
            self.short_ms = self.long_ms = 0.0
