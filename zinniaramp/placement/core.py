"""Which engine reads a prompt."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from ..routing.rendezvous import rank
from .engine import EngineModel
from .prompts import Demand

__all__ = ["Choice", "EngineRequest", "Placement"]

READ_TOKENS_PER_MS = 55.0
"""Prompt tokens that an engine reads in a millisecond; sheets name 54.6 and 63.9."""

SHORT_PROMPT_TOKENS = 6000
"""Prompts up to this size are kept apart from longer ones, whose chunks of 4,096
tokens make pauses in the streams beside them."""

SHORT_SHARE = 0.25
"""Share of the engines that take short prompts."""

TARGET_SHARE = 0.6
"""Share of the target that a request may wait at the engine that holds its parts
before another one reads them as well."""

SPLIT_KEY = b"short-prompts"
"""Key by which all processes rank the engines for short prompts."""


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineRequest:
    """One request to be placed.

    Parameters
    ----------
    id : str
        Name of the request in the model.
    demand : Demand
        Its tokens.
    target : timedelta
        Time to the first event that is on time.
    """

    id: str
    demand: Demand
    target: timedelta


@dataclass(slots=True, kw_only=True, frozen=True)
class Choice:
    """The engine for a request.

    Parameters
    ----------
    engine : str
        Its name.
    wait : timedelta
        Predicted time to the first token.
    to_read : int
        Prompt tokens that it has to read.
    """

    engine: str
    wait: timedelta
    to_read: int


class Placement:
    """Places prompts on engines by the parts that they hold and their backlog.

    Attributes
    ----------
    engines : dict of EngineModel
        Model of each engine by name.
    """

    __slots__ = ("engines",)

    def __init__(self):
        self.engines: dict[str, EngineModel] = {}

    def model(self, name: str, memory_tokens: int) -> EngineModel:
        """Return the model of an engine, a fresh one if it is new."""
        if name not in self.engines:
            self.engines[name] = EngineModel(memory_tokens=memory_tokens)
        return self.engines[name]

    def keep(self, names: Sequence[str]) -> None:
        """Forget the models of engines that are gone."""
        listed = set(names)
        self.engines = {n: m for n, m in self.engines.items() if n in listed}

    def choose(
        self, request: EngineRequest, names: Sequence[str], memory_tokens: int
    ) -> Choice | None:
        """Return the engine for a request, or None without a candidate.

        Parameters
        ----------
        request : EngineRequest
            The request.
        names : sequence of str
            Engines that may take it.
        memory_tokens : int
            Tokens that one engine holds.
        """
        allowed = split(request.demand, names)
        if not allowed:
            return None
        ordered = rank(request.demand.affinity_key(), allowed)
        choices = [self._choice(request, name, memory_tokens) for name in ordered]
        limit = request.target * TARGET_SHARE
        if choices[0].wait <= limit:
            return choices[0]
        return min(choices, key=lambda choice: choice.wait)

    def _choice(self, request: EngineRequest, name: str, memory: int) -> Choice:
        model = self.model(name, memory)
        to_read = model.tokens_to_read(request.demand)
        milliseconds = (model.backlog + to_read) / READ_TOKENS_PER_MS
        wait = timedelta(milliseconds=milliseconds)
        return Choice(engine=name, wait=wait, to_read=to_read)


def split(demand: Demand, names: Sequence[str]) -> list[str]:
    """Return the engines for prompts of a request's size.

    Notes
    -----
    The split is a function of the names, so that every process has the same one.
    With one engine left, it takes all prompts.
    """
    if len(names) < 2:
        return list(names)
    ordered = rank(SPLIT_KEY, names)
    short = max(1, round(len(ordered) * SHORT_SHARE))
    if demand.prompt_tokens <= SHORT_PROMPT_TOKENS:
        return ordered[:short]
    return ordered[short:]
