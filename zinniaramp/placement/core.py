"""Cost-based selection of the engine that serves a prompt."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta

from ..routing.rendezvous import rank
from .engine import EngineModel
from .prompts import Demand, PromptPart
from .reading import prefill_time
from .split import SplitSizer, is_short

__all__ = ["Candidate", "Choice", "Placement"]

PREFILL_WEIGHT = 3.5
"""Weight of a request's own prefill time relative to its wait in the queue.

Prefill stalls all streams of the engine, and a segment that is prefilled although
another engine has it cached is billed."""

REMOTE_PENALTY = timedelta(milliseconds=40)
"""Cost added for an engine in another data centre.

Traffic between data centres is billed; a long prompt has about 17 KB."""

SHORT_ON_LONG_PENALTY = timedelta(milliseconds=150)
"""Cost added for a short prompt on an engine for long prompts.

It equals the prefill time of two chunks, because long prompts are still expected on
that engine."""

LONG_ON_SHORT_PENALTY = timedelta(milliseconds=400)
"""Cost added for a long prompt on an engine for short prompts.

It equals the prefill time of 20,000 tokens.  It is larger than
`SHORT_ON_LONG_PENALTY` because a misplaced short prompt delays only its own stream."""

DELAYED_STREAM_PENALTY = timedelta(milliseconds=600)
"""Cost added for each stream whose gap between events would exceed its target.

It equals the prefill time of two long prompts."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Candidate:
    """An engine that is eligible for a request.

    Parameters
    ----------
    name : str
        Name of the engine, identical in all processes.
    is_far : bool
        Whether the engine is in another data centre.
    """

    name: str
    is_far: bool


@dataclass(slots=True, kw_only=True, frozen=True)
class Choice:
    """The engine selected for a request.

    Parameters
    ----------
    engine : str
        Name of the engine.
    wait : timedelta
        Predicted time to first token.
    to_read : int
        Prompt tokens to prefill, which are those not in the engine's KV cache.
    cost : timedelta
        Total cost, lowest among the candidates.
    """

    engine: str
    wait: timedelta
    to_read: int
    cost: timedelta


class Placement:
    """Assigns prompts to engines by their cached prefixes and prefill backlogs.

    Attributes
    ----------
    engines : dict of EngineModel
        Model of each engine by name.
    engine_of : dict of str
        Engine of each send in flight by the send's key, including the sends of
        other entry processes.
    sizer : SplitSizer
        Divides the engines between short and long prompts.
    """

    __slots__ = ("engines", "engine_of", "sizer")

    def __init__(self):
        self.engines: dict[str, EngineModel] = {}
        self.engine_of: dict[object, str] = {}
        self.sizer = SplitSizer()

    def keep(self, names: Iterable[str]) -> None:
        """Remove the models of all engines except the named ones."""
        listed = set(names)
        for name in [engine for engine in self.engines if engine not in listed]:
            del self.engines[name]

    def choose(
        self,
        demand: Demand,
        candidates: Sequence[Candidate],
        *,
        memory_tokens: int,
        now: datetime,
    ) -> Choice:
        """Return the candidate with the lowest cost.

        Equal costs are decided by rendezvous hashing of the prompt's shared prefix.

        Parameters
        ----------
        demand : Demand
            Resource demand of the request.
        candidates : sequence of Candidate
            Eligible engines; must not be empty.
        memory_tokens : int
            Capacity of one engine's KV cache, in tokens.
        now : datetime
            Current time.
        """
        by_name = {one.name: one for one in candidates}
        split = self.sizer.split(list(by_name), now)
        short = is_short(demand.prompt_tokens)
        preferred = split.short if short else split.long
        mismatch_penalty = SHORT_ON_LONG_PENALTY if short else LONG_ON_SHORT_PENALTY
        choices = []
        for name in rank(demand.affinity_key(), tuple(by_name)):
            extra = timedelta() if name in preferred else mismatch_penalty
            candidate = by_name[name]
            choices.append(self._evaluate(demand, candidate, memory_tokens, now, extra))
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
        """Record a send to an engine, of this or of another entry process.

        Parameters
        ----------
        key : hashable
            Identity of the send, unique among those in flight.
        engine : str
            Name of the engine.
        demand : Demand
            Resource demand of the request.
        memory_tokens : int
            Capacity of the engine's KV cache, in tokens.
        now : datetime
            Current time.
        """
        model = self._model(engine, memory_tokens)
        to_read = model.uncached_tokens(demand)
        self.sizer.record(prompt_tokens=demand.prompt_tokens, to_read=to_read, now=now)
        model.add(key, demand, now)
        self.engine_of[key] = engine

    def hold(
        self, engine: str, parts: Iterable[PromptPart], *, memory_tokens: int
    ) -> None:
        """Record the prompt segments that an engine reports as cached."""
        self._model(engine, memory_tokens).hold(parts)

    def note_begun(self, key: object, now: datetime) -> None:
        """Record the first event of a send; unknown keys are ignored."""
        model = self.engines.get(self.engine_of.get(key, ""))
        if model is not None:
            model.note_begun(key, now)

    def remove(self, key: object) -> None:
        """Remove a send that has ended; unknown keys are ignored."""
        model = self.engines.get(self.engine_of.pop(key, ""))
        if model is not None:
            model.remove(key)

    def _model(self, name: str, memory_tokens: int) -> EngineModel:
        if name not in self.engines:
            self.engines[name] = EngineModel(memory_tokens=memory_tokens)
        return self.engines[name]

    def _evaluate(
        self,
        demand: Demand,
        candidate: Candidate,
        memory_tokens: int,
        now: datetime,
        extra: timedelta,
    ) -> Choice:
        model = self._model(candidate.name, memory_tokens)
        to_read = model.uncached_tokens(demand)
        backlog = prefill_time(model.backlog(now))
        prefill = prefill_time(to_read)
        cost = extra + backlog + PREFILL_WEIGHT * prefill
        cost += model.delayed_streams(demand, now) * DELAYED_STREAM_PENALTY
        if candidate.is_far:
            cost += REMOTE_PENALTY
        return Choice(
            engine=candidate.name,
            wait=backlog + prefill,
            to_read=to_read,
            cost=cost,
        )
