"""Model of one engine: prompts it has yet to read, and the parts that it holds."""

from collections import OrderedDict
from collections.abc import Iterable

from .prompts import Demand, PromptPart

__all__ = ["EngineModel"]

PARTS_SHARE = 0.7
"""Share of an engine's memory that is taken to hold parts; the rest is for running
requests, and least recently used parts yield."""


class EngineModel:
    """What one engine is expected to hold and to have in front of it.

    Parameters
    ----------
    memory_tokens : int
        Tokens that the engine holds.

    Attributes
    ----------
    unread : dict of int
        Prompt tokens still to be read, by request.
    running : dict of int
        Output tokens expected, by request that has begun.
    """

    __slots__ = ("memory_tokens", "unread", "running", "held", "held_tokens")

    def __init__(self, *, memory_tokens: int):
        self.memory_tokens = memory_tokens
        self.unread: dict[str, int] = {}
        self.running: dict[str, int] = {}
        self.held: OrderedDict[str, int] = OrderedDict()
        self.held_tokens = 0

    @property
    def backlog(self) -> int:
        """Prompt tokens that are to be read before a new request's."""
        return sum(self.unread.values())

    @property
    def in_flight(self) -> int:
        """Requests that wait, are read or generate."""
        return len(self.unread) + len(self.running)

    def tokens_to_read(self, demand: Demand) -> int:
        """Return the prompt tokens that the engine does not hold."""
        held = 0
        for name, part in _chain(demand.parts):
            if name not in self.held:
                break
            held += part.tokens
        return max(1, demand.prompt_tokens - held)

    def add(self, request: str, demand: Demand) -> None:
        """Note a request that is sent to the engine."""
        self.unread[request] = self.tokens_to_read(demand)
        for name, part in _chain(demand.parts):
            if name in self.held:
                self.held.move_to_end(name)
                continue
            self.held[name] = part.tokens
            self.held_tokens += part.tokens
        self._yield_parts()

    def note_begun(self, request: str, demand: Demand) -> None:
        """Note that a request's first token has come."""
        if self.unread.pop(request, None) is not None:
            self.running[request] = demand.output_guess

    def remove(self, request: str) -> None:
        """Note that a request has ended."""
        self.unread.pop(request, None)
        self.running.pop(request, None)

    def _yield_parts(self) -> None:
        limit = self.memory_tokens * PARTS_SHARE
        while self.held_tokens > limit and self.held:
            _, tokens = self.held.popitem(last=False)
            self.held_tokens -= tokens


def _chain(parts: Iterable[PromptPart]) -> list[tuple[str, PromptPart]]:
    """Name each part by itself and all before it: only a whole beginning counts."""
    chain = []
    name = ""
    for part in parts:
        name = f"{name}/{part.name}"
        chain.append((name, part))
    return chain
