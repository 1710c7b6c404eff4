"""Which engine reads a prompt."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta

from ..routing.rendezvous import rank
from .engine import EngineModel
from .prompts import Demand, PromptPart
from .reading import reading_time
from .split import SplitSizer, is_short

__all__ = ["Candidate", "Choice", "Placement"]

READ_WEIGHT = 3.5
"""Weight of reading against waiting: while an engine reads, all its streams pause, and
a part that some engine held already is priced."""

FAR_PENALTY = timedelta(milliseconds=40)
"""What an engine in another data centre is set back by: bytes between them are
priced, some 17 KB a long prompt."""

CROSSING_SHORT = timedelta(milliseconds=150)
"""What a short prompt is set back by on an engine for long ones: the reading of two
chunks, as long prompts are yet to come there."""

CROSSING_LONG = timedelta(milliseconds=400)
"""What a long prompt is set back by on an engine for short ones: the reading of 20,000
tokens.  It is more than for a short one, which holds up its own stream alone."""

HELD_UP_PENALTY = timedelta(milliseconds=600)
"""What each stream that would pause too long sets an engine back by: the reading of two
long prompts."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Candidate:
    """An engine that may take a request.

    Parameters
    ----------
    name : str
        Its name, the same in all processes.
    is_far : bool
        Whether it is in another data centre.
    """

    name: str
    is_far: bool


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
    cost : timedelta
        What it was chosen by.
    """

    engine: str
    wait: timedelta
    to_read: int
    cost: timedelta


class Placement:
    """Places prompts on engines by the parts that they hold and their backlog.

    Attributes
    ----------
    engines : dict of EngineModel
        Model of each engine by name.
    engine_of : dict of str
        Engine of each send in flight, this process's and other entries'.
    sizer : SplitSizer
        Split between short prompts and long ones.
    """

    __slots__ = ("engines", "engine_of", "sizer")

    def __init__(self):
        self.engines: dict[str, EngineModel] = {}
        self.engine_of: dict[object, str] = {}
        self.sizer = SplitSizer()

    def keep(self, names: Iterable[str]) -> None:
        """Forget the models of engines that are gone."""
        listed = set(names)
        for name in [one for one in self.engines if one not in listed]:
            del self.engines[name]

    def choose(
        self,
        demand: Demand,
        candidates: Sequence[Candidate],
        *,
        memory_tokens: int,
        now: datetime,
    ) -> Choice:
        """Return the engine for a request.

        Parameters
        ----------
        demand : Demand
            The request's tokens.
        candidates : sequence of Candidate
            Engines that may take it, at least one.
        memory_tokens : int
            Tokens that one engine holds.
        now : datetime
            The time.
        """
        by_name = {one.name: one for one in candidates}
        split = self.sizer.split(list(by_name), now)
        short = is_short(demand.prompt_tokens)
        own_side = split.short if short else split.long
        crossing = CROSSING_SHORT if short else CROSSING_LONG
        choices = []
        for name in rank(demand.affinity_key(), tuple(by_name)):
            extra = timedelta() if name in own_side else crossing
            candidate = by_name[name]
            choices.append(self._choice(demand, candidate, memory_tokens, now, extra))
        return min(choices, key=lambda choice: choice.cost)

    def add(
        self,
        key: object,
        engine: str,
        demand: Demand,
        *,
        memory_tokens: int,
        now: datetime,
    ) -> None:
        """Note a send, of this process or of another entry."""
        model = self._model(engine, memory_tokens)
        to_read = model.tokens_to_read(demand)
        self.sizer.note(prompt_tokens=demand.prompt_tokens, to_read=to_read, now=now)
        model.add(key, demand, now)
        self.engine_of[key] = engine

    def hold(
        self, engine: str, parts: Iterable[PromptPart], *, memory_tokens: int
    ) -> None:
        """Note what an engine says that it holds."""
        self._model(engine, memory_tokens).hold(parts)

    def note_begun(self, key: object, now: datetime) -> None:
        """Note that the first event of a send has come."""
        model = self.engines.get(self.engine_of.get(key, ""))
        if model is not None:
            model.note_begun(key, now)

    def remove(self, key: object) -> None:
        """Note that a send has ended."""
        model = self.engines.get(self.engine_of.pop(key, ""))
        if model is not None:
            model.remove(key)

    def _model(self, name: str, memory_tokens: int) -> EngineModel:
        if name not in self.engines:
            self.engines[name] = EngineModel(memory_tokens=memory_tokens)
        return self.engines[name]

    def _choice(
        self,
        demand: Demand,
        candidate: Candidate,
        memory: int,
        now: datetime,
        extra: timedelta,
    ) -> Choice:
        model = self._model(candidate.name, memory)
        to_read = model.tokens_to_read(demand)
        backlog = reading_time(model.backlog(now))
        reading = reading_time(to_read)
        cost = extra + backlog + READ_WEIGHT * reading
        cost += model.streams_held_up(demand, now) * HELD_UP_PENALTY
        if candidate.is_far:
            cost += FAR_PENALTY
        return Choice(
            engine=candidate.name,
            wait=backlog + reading,
            to_read=to_read,
            cost=cost,
        )
