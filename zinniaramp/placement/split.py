"""Partition of the engines between short and long prompts, sized by recent load."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta

from ..routing.rendezvous import rank

__all__ = ["EngineSplit", "SplitSizer", "is_short"]

SHORT_PROMPT_TOKENS = 6000
"""Largest prompt that counts as short, in tokens.

Longer prompts are sent to other engines, because their prefill chunks of 4,096 tokens
stall the streams on the same engine."""

WINDOW = timedelta(seconds=4)
"""Time over which the load is measured; bursts in the platform's specification last
2 s to 9 s."""

SHORT_WEIGHT = 2.0
"""Weight of the prefill of short prompts relative to that of long ones.

Engines for short prompts should run prefill only half of the time, so that their
streams are not stalled twice in a row."""

SPLIT_KEY = b"short-prompts"
"""Key of the rendezvous hashing by which all processes order the engines."""


def is_short(prompt_tokens: int) -> bool:
    """Return whether a prompt counts as short."""
    return prompt_tokens <= SHORT_PROMPT_TOKENS


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineSplit:
    """Names of the engines for short and for long prompts.

    The two groups are disjoint, except that a single engine is in both.
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
    tokens : int
        Prompt tokens to prefill.
    is_short : bool
        Whether the prompt counts as short.
    """

    at: datetime
    tokens: int
    is_short: bool


class SplitSizer:
    """Measures the prefill load and splits the engines in proportion to it.

    Attributes
    ----------
    samples : deque of PrefillSample
        Requests that this process sent in the last `WINDOW`, and those that other
        gateway processes reported.
    short_tokens, long_tokens : int
        Sums of the tokens in the samples of short and of long prompts.
    """

    __slots__ = ("samples", "short_tokens", "long_tokens")

    def __init__(self):
        self.samples: deque[PrefillSample] = deque()
        self.short_tokens = 0
        self.long_tokens = 0

    def record(self, *, prompt_tokens: int, prefill_tokens: int, now: datetime) -> None:
        """Record a request that was sent.

        Parameters
        ----------
        prompt_tokens : int
            Tokens in the prompt.
        prefill_tokens : int
            Prompt tokens to prefill, which are those not cached by the engine.
        now : datetime
            Current time.
        """
        short = is_short(prompt_tokens)
        self.samples.append(
            PrefillSample(at=now, tokens=prefill_tokens, is_short=short)
        )
        if short:
            self.short_tokens += prefill_tokens
        else:
            self.long_tokens += prefill_tokens
        self._drop_old(now)

    def split(self, names: Sequence[str], now: datetime) -> EngineSplit:
        """Return the split of the named engines for the current load.

        Notes
        -----
        The order of the engines depends only on their names.  Processes with the
        same samples therefore compute the same split, and a change of the load
        reassigns only the engines next to the boundary.
        """
        self._drop_old(now)
        ordered = rank(SPLIT_KEY, names)
        if len(ordered) < 2:
            return EngineSplit(short=tuple(ordered), long=tuple(ordered))
        count = self._short_count(len(ordered))
        return EngineSplit(short=tuple(ordered[:count]), long=tuple(ordered[count:]))

    def _short_count(self, engines: int) -> int:
        weighted = SHORT_WEIGHT * self.short_tokens
        total = weighted + self.long_tokens
        share = weighted / total if total else 0.0
        return min(engines - 1, max(1, round(engines * share)))

    def _drop_old(self, now: datetime) -> None:
        while self.samples and self.samples[0].at < now - WINDOW:
            old = self.samples.popleft()
            if old.is_short:
                self.short_tokens -= old.tokens
            else:
                self.long_tokens -= old.tokens
