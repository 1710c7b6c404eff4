"""Cost-based selection of the engine that serves a prompt."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta

from ..routing.rendezvous import rank
from .engine import MILLISECOND, EngineModel, stream_targets
from .law import EngineTraits
from .learning import LawEstimator
from .prompts import Demand, PromptSegment
from .split import EngineSplit, SplitSizer
from .view import CostTerm, EndpointView, Prediction

__all__ = ["EngineChoice", "Placement"]

PREFILL_WEIGHT = 3.5
"""Weight of a request's own prefill time relative to its wait in the queue.

Prefill stalls all streams of the engine, and the prefill of a segment that another
engine has already cached is billed."""

SHORT_ON_LONG_SHARE = 0.3
"""Cost added for a short prompt on an engine for long prompts, in latency targets of
the request with the tightest limit: a further long prompt makes about as large a share
of such requests late."""

LONG_ON_SHORT_SHARE = 0.8
"""Cost added for a long prompt on an engine for short prompts, in the same unit.  It is
larger than `SHORT_ON_LONG_SHARE` because a misplaced short prompt delays only its own
stream."""


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
    cost_ms : float
        Total cost, lowest among the candidates, in milliseconds of harm to callers.
    """

    engine: str
    predicted_ttft: timedelta
    prefill_tokens: int
    cost_ms: float


class Placement:
    """Assigns prompts to engines by their cached prefixes and prefill backlogs.

    Parameters
    ----------
    cost_terms : sequence of CostTerm
        Costs that are added to those of an engine's backlog and prefill.

    Attributes
    ----------
    engines : dict of EngineModel
        Model of each engine by name.
    estimators : dict of LawEstimator
        Law of the engines by service.
    engine_by_send : dict of str
        Engine of each send in flight by the send's key, including the sends of
        other gateway processes.
    sizers : dict of SplitSizer
        Divides the engines between short and long prompts, by service.
    """

    __slots__ = ("cost_terms", "engines", "estimators", "engine_by_send", "sizers")

    def __init__(self, *, cost_terms: Sequence[CostTerm] = ()):
        self.cost_terms = tuple(cost_terms)
        self.engines: dict[str, EngineModel] = {}
        self.estimators: dict[str, LawEstimator] = {}
        self.engine_by_send: dict[object, str] = {}
        self.sizers: dict[str, SplitSizer] = {}

    def keep(self, names: Iterable[str]) -> None:
        """Remove the models of all engines except the named ones."""
        listed = set(names)
        for name in [engine for engine in self.engines if engine not in listed]:
            del self.engines[name]

    def estimator(self, service: str) -> LawEstimator:
        """Return the estimated law of a service's engines."""
        if service not in self.estimators:
            self.estimators[service] = LawEstimator(service=service)
        return self.estimators[service]

    def sizer(self, service: str) -> SplitSizer:
        """Return what divides a service's engines."""
        return self.sizers.setdefault(service, SplitSizer())

    def choose(
        self,
        demand: Demand,
        candidates: Sequence[EndpointView],
        *,
        traits: EngineTraits,
        now: datetime,
    ) -> EngineChoice:
        """Return the candidate with the lowest cost.

        Ties are broken by rendezvous hashing of the prompt's shared prefix.

        Parameters
        ----------
        demand : Demand
            Resource demand of the request.
        candidates : sequence of EndpointView
            Eligible engines; must not be empty.
        traits : EngineTraits
            Published properties of the engines.
        now : datetime
            Current time.
        """
        estimator = self.estimator(traits.service)
        estimator.update(now)
        by_name = {one.name: one for one in candidates}
        limit_ms = self._limit_ms(demand, traits)
        prompt_ms = self._prompt_ms(demand, traits)
        is_short = self.sizer(traits.service).is_short(prompt_ms, limit_ms)
        mismatch_ms = self._mismatch_costs(is_short, tuple(by_name), traits, now)
        choices = [
            self._evaluate(demand, by_name[name], traits, now, mismatch_ms[name])
            for name in rank(demand.affinity_key(), tuple(by_name))
        ]
        return min(choices, key=lambda choice: choice.cost_ms)

    def add(
        self,
        key: object,
        engine: str,
        demand: Demand,
        *,
        traits: EngineTraits,
        now: datetime,
    ) -> timedelta:
        """Record a send by this or another gateway process to an engine.

        Parameters
        ----------
        key : hashable
            Identity of the send, unique among those in flight.
        engine : str
            Name of the engine.
        demand : Demand
            Resource demand of the request.
        traits : EngineTraits
            Published properties of the engine.
        now : datetime
            Current time.

        Returns
        -------
        timedelta
            Predicted time of its prefill.
        """
        sent = self._model(engine, traits).add(key, demand, now)
        self.sizer(traits.service).record(
            work_ms=sent.prefill_ms,
            prompt_ms=self._prompt_ms(demand, traits),
            limit_ms=self._limit_ms(demand, traits),
            target_ms=stream_targets(demand).first_ms,
            now=now,
        )
        self.engine_by_send[key] = engine
        return sent.prefill_ms * MILLISECOND

    def record_cached(
        self, engine: str, parts: Iterable[PromptSegment], *, traits: EngineTraits
    ) -> None:
        """Record the prompt segments that an engine reports as cached."""
        self._model(engine, traits).record_cached(parts)

    def record_first_event(self, key: object, now: datetime) -> None:
        """Record the first event of a send; unknown keys are ignored."""
        model = self.engines.get(self.engine_by_send.get(key, ""))
        if model is not None:
            model.record_first_event(key, now)

    def record_event(self, key: object, gap: timedelta, now: datetime) -> None:
        """Record a further event of a send, and the time since the one before."""
        model = self.engines.get(self.engine_by_send.get(key, ""))
        if model is not None:
            model.record_event(key, gap / MILLISECOND, now)

    def remove(self, key: object) -> None:
        """Remove a send that has ended; unknown keys are ignored."""
        model = self.engines.get(self.engine_by_send.pop(key, ""))
        if model is not None:
            model.remove(key)

    def _model(self, name: str, traits: EngineTraits) -> EngineModel:
        if name not in self.engines:
            estimator = self.estimator(traits.service)
            self.engines[name] = EngineModel(traits=traits, estimator=estimator)
        return self.engines[name]

    def _prompt_ms(self, demand: Demand, traits: EngineTraits) -> float:
        """Return the time to prefill a whole prompt."""
        law = self.estimator(traits.service).law
        return law.prefill_ms(demand.prompt_tokens)

    def _limit_ms(self, demand: Demand, traits: EngineTraits) -> float:
        """Return how long prefill may take until a request or its stream is late."""
        law = self.estimator(traits.service).law
        targets = stream_targets(demand)
        stall_ms = law.stall_limit_ms(targets.gap_ms, traits.tokens_per_event)
        limits = [ms for ms in (stall_ms, targets.first_ms) if ms]
        return min(limits, default=float("inf"))

    def _mismatch_costs(
        self,
        is_short: bool,
        names: tuple[str, ...],
        traits: EngineTraits,
        now: datetime,
    ) -> dict[str, float]:
        """Return the cost of each engine for the side of the split that it is on."""
        sizer = self.sizer(traits.service)
        split: EngineSplit = sizer.split(names, now)
        preferred = set(split.short if is_short else split.long)
        share = SHORT_ON_LONG_SHARE if is_short else LONG_ON_SHORT_SHARE
        cost_ms = share * sizer.tightest_target_ms
        return {name: 0.0 if name in preferred else cost_ms for name in names}

    def _evaluate(
        self,
        demand: Demand,
        candidate: EndpointView,
        traits: EngineTraits,
        now: datetime,
        mismatch_ms: float,
    ) -> EngineChoice:
        model = self._model(candidate.name, traits)
        predicted = Prediction(
            wait_ms=model.backlog_ms(now),
            prefill_ms=model.prefill_ms(demand, now),
            prefill_tokens=model.uncached_tokens(demand),
        )
        cost_ms = mismatch_ms + predicted.wait_ms
        cost_ms += PREFILL_WEIGHT * predicted.prefill_ms
        cost_ms += model.stall_harm_ms(demand, predicted.wait_ms, predicted.prefill_ms)
        for term in self.cost_terms:
            cost_ms += term(demand, candidate, predicted, now)
        return EngineChoice(
            engine=candidate.name,
            predicted_ttft=predicted.ttft_ms * MILLISECOND,
            prefill_tokens=predicted.prefill_tokens,
            cost_ms=cost_ms,
        )
