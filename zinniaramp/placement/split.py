"""Split of the engines between short prompts and long ones, by the load asked."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta

from ..routing.rendezvous import rank

__all__ = ["EngineSplit", "SplitSizer", "is_short"]

SHORT_PROMPT_TOKENS = 6000
"""Prompts up to this size are kept apart from longer ones, whose chunks of 4,096
tokens make pauses in the streams beside them."""

WINDOW = timedelta(seconds=4)
"""Time over which the load asked is measured; bursts of the sheets last 2 s to 9 s."""

SHORT_WEIGHT = 2.0
"""Weight of short prompts' reading against long ones': engines that keep short
streams have to be idle half of the time, so that no pause runs into the next."""

SPLIT_KEY = b"short-prompts"
"""Key by which all processes rank the engines for short prompts."""


def is_short(prompt_tokens: int) -> bool:
    """Whether a prompt belongs to the engines that keep short streams."""
    return prompt_tokens <= SHORT_PROMPT_TOKENS


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineSplit:
    """Engines for short prompts and for long ones; both hold one that is alone."""

    short: tuple[str, ...]
    long: tuple[str, ...]


@dataclass(slots=True, kw_only=True, frozen=True)
class Asked:
    """Tokens that one request had read, and when it was sent."""

    at: datetime
    tokens: int
    is_short: bool


class SplitSizer:
    """Measures the load asked and splits the engines by it.

    Attributes
    ----------
    asked : deque of Asked
        What was sent in the last `WINDOW`, by all processes as far as known.
    """

    __slots__ = ("asked", "short_tokens", "long_tokens")

    def __init__(self):
        self.asked: deque[Asked] = deque()
        self.short_tokens = 0
        self.long_tokens = 0

    def note(self, *, prompt_tokens: int, to_read: int, now: datetime) -> None:
        """Note a request that was sent."""
        short = is_short(prompt_tokens)
        self.asked.append(Asked(at=now, tokens=to_read, is_short=short))
        if short:
            self.short_tokens += to_read
        else:
            self.long_tokens += to_read
        self._drop_old(now)

    def split(self, names: Sequence[str], now: datetime) -> EngineSplit:
        """Return the split of some engines.

        Notes
        -----
        The order of the engines is a function of their names, so that processes
        that have seen the same load have the same split, and a change of the load
        moves the engines at the border alone.
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
        while self.asked and self.asked[0].at < now - WINDOW:
            old = self.asked.popleft()
            if old.is_short:
                self.short_tokens -= old.tokens
            else:
                self.long_tokens -= old.tokens
