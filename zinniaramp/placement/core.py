"""Cost-based selection of the engine that serves a prompt."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta

from ..routing.rendezvous import rank
from .engine import EngineModel
from .prompts import Demand, PromptSegment
from .reading import prefill_time
from .split import SplitSizer, is_short

__all__ = ["EngineCandidate", "EngineChoice", "Placement"]

PREFILL_WEIGHT = 3.5
"""Weight of a request's own prefill time relative to its wait in the queue.

Prefill stalls all streams of the engine, and the prefill of a segment that another
engine has already cached is billed."""

REMOTE_PENALTY = timedelta(milliseconds=40)
"""Cost added for an engine in another data centre.

Traffic between data centres is billed: about 17 KB for a long prompt."""

SHORT_ON_LONG_PENALTY = timedelta(milliseconds=150)
"""Cost added for a short prompt on an engine for long prompts.

It is about the prefill time of two chunks, because further long prompts are expected on
that engine."""

LONG_ON_SHORT_PENALTY = timedelta(milliseconds=400)
"""Cost added for a long prompt on an engine for short prompts.

It equals the prefill time of 20,000 tokens.  It is larger than
`SHORT_ON_LONG_PENALTY` because a misplaced short prompt delays only its own stream."""

DELAYED_STREAM_PENALTY = timedelta(milliseconds=600)
"""Cost added for each stream whose gap between events would exceed its target.

It is about the prefill time of two long prompts."""


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineCandidate:
    """An engine that is eligible for a request.

    Parameters
    ----------
    name : str
        Name of the engine, identical in all processes.
    is_remote : bool
        Whether the engine is in another data centre.
    """

    name: str
    is_remote: bool


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineChoice:
    """The engine selected for a request.

    Parameters
    ----------
    engine : str
        Name of the engine.
    predicted_ttft : timedelta
        Predicted time to first token.
    prefill_tokens : int
        Prompt tokens to prefill, which are those not in the engine's KV cache.
    cost : timedelta
        Total cost, lowest among the candidates.
    """

    engine: str
    predicted_ttft: timedelta
    prefill_tokens: int
    cost: timedelta


class Placement:
    """Assigns prompts to engines by their cached prefixes and prefill backlogs.

    Attributes
    ----------
    engines : dict of EngineModel
        Model of each engine by name.
    engine_by_send : dict of str
        Engine of each send in flight by the send's key, including the sends of
        other gateway processes.
    sizer : SplitSizer
        Divides the engines between short and long prompts.
    """

    __slots__ = ("engines", "engine_by_send", "sizer")

    def __init__(self):
        self.engines: dict[str, EngineModel] = {}
        self.engine_by_send: dict[object, str] = {}
        self.sizer = SplitSizer()

    def keep(self, names: Iterable[str]) -> None:
        """Remove the models of all engines except the named ones."""
        listed = set(names)
        for name in [engine for engine in self.engines if engine not in listed]:
            del self.engines[name]

    def choose(
        self,
        demand: Demand,
        candidates: Sequence[EngineCandidate],
        *,
        kv_capacity_tokens: int,
        now: datetime,
    ) -> EngineChoice:
        """Return the candidate with the lowest cost.

        Ties are broken by rendezvous hashing of the prompt's shared prefix.

        Parameters
        ----------
        demand : Demand
            Resource demand of the request.
        candidates : sequence of EngineCandidate
            Eligible engines; must not be empty.
        kv_capacity_tokens : int
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
            choices.append(
                self._evaluate(demand, candidate, kv_capacity_tokens, now, extra)
            )
        return min(choices, key=lambda choice: choice.cost)

    def add(
        self,
        key: object,
        engine: str,
        demand: Demand,
        *,
        kv_capacity_tokens: int,
        now: datetime,
    ) -> None:
        """Record a send by this or another gateway process to an engine.

        Parameters
        ----------
        key : hashable
            Identity of the send, unique among those in flight.
        engine : str
            Name of the engine.
        demand : Demand
            Resource demand of the request.
        kv_capacity_tokens : int
            Capacity of the engine's KV cache, in tokens.
        now : datetime
            Current time.
        """
        model = self._model(engine, kv_capacity_tokens)
        prefill_tokens = model.uncached_tokens(demand)
        self.sizer.record(
            prompt_tokens=demand.prompt_tokens, prefill_tokens=prefill_tokens, now=now
        )
        model.add(key, demand, now)
        self.engine_by_send[key] = engine

    def record_cached(
        self, engine: str, parts: Iterable[PromptSegment], *, kv_capacity_tokens: int
    ) -> None:
        """Record the prompt segments that an engine reports as cached."""
        self._model(engine, kv_capacity_tokens).record_cached(parts)

    def record_first_event(self, key: object, now: datetime) -> None:
        """Record the first event of a send; unknown keys are ignored."""
        model = self.engines.get(self.engine_by_send.get(key, ""))
        if model is not None:
            model.record_first_event(key, now)

    def remove(self, key: object) -> None:
        """Remove a send that has ended; unknown keys are ignored."""
        model = self.engines.get(self.engine_by_send.pop(key, ""))
        if model is not None:
            model.remove(key)

    def _model(self, name: str, kv_capacity_tokens: int) -> EngineModel:
        if name not in self.engines:
            self.engines[name] = EngineModel(kv_capacity_tokens=kv_capacity_tokens)
        return self.engines[name]

    def _evaluate(
        self,
        demand: Demand,
        candidate: EngineCandidate,
        kv_capacity_tokens: int,
        now: datetime,
        extra: timedelta,
    ) -> EngineChoice:
        model = self._model(candidate.name, kv_capacity_tokens)
        prefill_tokens = model.uncached_tokens(demand)
        backlog = prefill_time(model.backlog(now))
        prefill = prefill_time(prefill_tokens)
        cost = extra + backlog + PREFILL_WEIGHT * prefill
        cost += model.delayed_streams(demand, now) * DELAYED_STREAM_PENALTY
        if candidate.is_remote:
            cost += REMOTE_PENALTY
        return EngineChoice(
            engine=candidate.name,
            predicted_ttft=backlog + prefill,
            prefill_tokens=prefill_tokens,
            cost=cost,
        )
