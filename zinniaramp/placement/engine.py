"""Model of one engine: prompts it has yet to read, and the parts that it holds."""

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

from .prompts import Demand, PromptPart
from .reading import CHUNK_TOKENS, READ_TOKENS_PER_MS

__all__ = ["EngineModel", "Send"]

PARTS_SHARE = 0.7
"""Share of an engine's memory that is taken to hold parts; the rest is for running
requests, and least recently used parts yield."""

CREDIT_SHARE = 0.9
"""Most of the first waiting prompt that is taken to be read before its first event."""

MILLISECOND = timedelta(milliseconds=1)
"""Unit of reading times."""


@dataclass(slots=True, kw_only=True)
class Send:
    """One request that was sent to an engine.

    Parameters
    ----------
    to_read : int
        Prompt tokens that the engine did not hold.
    output : int
        Output tokens expected.
    most_chunks : int or None
        Whole chunks that may be read in a row beside its stream.
    has_begun : bool
        Whether its first event has come.
    """

    to_read: int
    output: int
    most_chunks: int | None = None
    has_begun: bool = False


class EngineModel:
    """What one engine is expected to hold and to have in front of it.

    Parameters
    ----------
    memory_tokens : int
        Tokens that the engine holds.

    Attributes
    ----------
    sends : dict of Send
        Requests in flight, in the order in which they were sent.
    held : OrderedDict of int
        Tokens of each held part, the least recently used one first.
    progress_at : datetime or None
        When the engine last finished a prompt, or got one while it had none.
    """

    __slots__ = ("memory_tokens", "sends", "held", "held_tokens", "progress_at")

    def __init__(self, *, memory_tokens: int):
        self.memory_tokens = memory_tokens
        self.sends: dict[object, Send] = {}
        self.held: OrderedDict[str, int] = OrderedDict()
        self.held_tokens = 0
        self.progress_at: datetime | None = None

    def backlog(self, now: datetime) -> float:
        """Return the prompt tokens that are to be read before a new request's."""
        waiting = [one.to_read for one in self.sends.values() if not one.has_begun]
        if not waiting:
            return 0.0
        since = (now - self.progress_at) / MILLISECOND if self.progress_at else 0.0
        credit = min(CREDIT_SHARE * waiting[0], since * READ_TOKENS_PER_MS)
        return sum(waiting) - credit

    def streams_held_up(self, demand: Demand, now: datetime) -> int:
        """Return how many streams a request would make pause too long, its own too.

        Notes
        -----
        What is read one chunk after another delays each step of the streams beside
        it.  Streams that pause too long already are not counted.
        """
        unread = self.backlog(now)
        before = math.ceil(unread / CHUNK_TOKENS)
        after = math.ceil((unread + self.tokens_to_read(demand)) / CHUNK_TOKENS)
        limits = [one.most_chunks for one in self.sends.values()]
        others = sum(one is not None and before <= one < after for one in limits)
        own = demand.most_chunks is not None and before > demand.most_chunks
        return others + own

    @property
    def running(self) -> int:
        """Requests whose first event has come."""
        return sum(one.has_begun for one in self.sends.values())

    def tokens_to_read(self, demand: Demand) -> int:
        """Return the prompt tokens that the engine does not hold."""
        held = 0
        for part in demand.parts:
            # A part counts only if all parts before it are held too.
            if part.name not in self.held:
                break
            held += part.tokens
        return max(1, demand.prompt_tokens - held)

    def add(self, key: object, demand: Demand, now: datetime) -> None:
        """Note a request that is sent to the engine."""
        if all(one.has_begun for one in self.sends.values()):
            self.progress_at = now
        to_read = self.tokens_to_read(demand)
        self.sends[key] = Send(
            to_read=to_read, output=demand.output_guess, most_chunks=demand.most_chunks
        )
        self.hold(demand.parts)

    def hold(self, parts: Iterable[PromptPart]) -> None:
        """Note parts that the engine holds, the most recently used one last."""
        for part in parts:
            if part.name in self.held:
                self.held.move_to_end(part.name)
                continue
            self.held[part.name] = part.tokens
            self.held_tokens += part.tokens
        self._yield_parts()

    def note_begun(self, key: object, now: datetime) -> None:
        """Note that a request's first event has come."""
        if key in self.sends:
            self.sends[key].has_begun = True
            self.progress_at = now

    def remove(self, key: object) -> None:
        """Note that a request has ended."""
        self.sends.pop(key, None)

    def _yield_parts(self) -> None:
        limit = self.memory_tokens * PARTS_SHARE
        while self.held_tokens > limit and self.held:
            _, tokens = self.held.popitem(last=False)
            self.held_tokens -= tokens
