"""Cost-based selection of the engine that serves a prompt."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta

from ..observability import emit
from ..routing.rendezvous import rank
from .engine import MILLISECOND, EngineModel, stream_targets
from .events import ENGINE_SPEED_CHANGED
from .law import EngineTraits
from .learning import LawEstimator
from .metrics import SPEED_CHANGES
from .prompts import Demand, PromptSegment
from .speed import EngineSpeed, ServiceSpeed
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

CAUTION = 0.5
"""Standard deviations by which the backlog of an engine of uncertain speed is taken to
last longer than expected, so that none gets a pile of work before it has shown its
speed.  Only uncertainty beyond that of the service's other engines counts."""

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
    speeds : dict of ServiceSpeed
        Reference of the speeds of the engines by service.
    engine_by_send : dict of str
        Engine of each send in flight by the send's key, including the sends of
        other gateway processes.
    sizers : dict of SplitSizer
        Divides the engines between short and long prompts, by service.
    """

    __slots__ = (
        "cost_terms",
        "engines",
        "estimators",
        "speeds",
        "engine_by_send",
        "sizers",
    )

    def __init__(self, *, cost_terms: Sequence[CostTerm] = ()):
        self.cost_terms = tuple(cost_terms)
        self.engines: dict[str, EngineModel] = {}
        self.estimators: dict[str, LawEstimator] = {}
        self.speeds: dict[str, ServiceSpeed] = {}
        self.engine_by_send: dict[object, str] = {}
        self.sizers: dict[str, SplitSizer] = {}

    def keep(self, names: Iterable[str]) -> None:
        """Remove the models of all engines except the named ones."""
        listed = set(names)
        for name in [engine for engine in self.engines if engine not in listed]:
            del self.engines[name]
        for speed in self.speeds.values():
            speed.keep(listed)

    def estimator(self, service: str) -> LawEstimator:
        """Return the estimated law of a service's engines."""
        if service not in self.estimators:
            self.estimators[service] = LawEstimator(service=service)
        return self.estimators[service]

    def speed(self, service: str) -> ServiceSpeed:
        """Return the reference of the speeds of a service's engines."""
        return self.speeds.setdefault(service, ServiceSpeed())

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
        self.speed(traits.service).update(now)
        limit_ms = self._limit_ms(demand, traits)
        prompt_ms = self._prompt_ms(demand, traits)
        is_short = self.sizer(traits.service).is_short(prompt_ms, limit_ms)
        models = {one.name: self._model(one.name, traits) for one in candidates}
        factors = {name: model.speed.factor(now) for name, model in models.items()}
        preferred, mismatch_ms = self._preferred(is_short, factors, traits, now)
        costs = {}
        for view in candidates:
            name = view.name
            predicted, cost_ms = self._evaluate(
                demand, view, models[name], factors[name], now
            )
            if name not in preferred:
                cost_ms += mismatch_ms
            costs[name] = (cost_ms, predicted)
        least_ms = min(cost_ms for cost_ms, _ in costs.values())
        tied = [name for name, (cost_ms, _) in costs.items() if cost_ms == least_ms]
        name = tied[0] if len(tied) == 1 else rank(demand.affinity_key(), tied)[0]
        predicted = costs[name][1]
        return EngineChoice(
            engine=name,
            predicted_ttft=predicted.ttft_ms * MILLISECOND,
            prefill_tokens=predicted.prefill_tokens,
            cost_ms=least_ms,
        )

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
        model = self._model(engine, traits)
        sent = model.add(key, demand, now)
        self.sizer(traits.service).record(
            work_ms=sent.prefill_ms,
            prompt_ms=self._prompt_ms(demand, traits),
            limit_ms=self._limit_ms(demand, traits),
            target_ms=stream_targets(demand).first_ms,
            now=now,
            stream_ms=self._stream_ms(demand, traits),
        )
        self.engine_by_send[key] = engine
        return sent.prefill_ms * model.speed.factor(now) * MILLISECOND

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
            self._log_speed(model, now)

    def record_event(self, key: object, gap: timedelta, now: datetime) -> None:
        """Record a further event of a send, and the time since the one before."""
        model = self.engines.get(self.engine_by_send.get(key, ""))
        if model is not None:
            model.record_event(key, gap / MILLISECOND, now)
            self._log_speed(model, now)

    def remove(self, key: object) -> None:
        """Remove a send that has ended; unknown keys are ignored."""
        model = self.engines.get(self.engine_by_send.pop(key, ""))
        if model is not None:
            model.remove(key)

    def _model(self, name: str, traits: EngineTraits) -> EngineModel:
        if name not in self.engines:
            estimator = self.estimator(traits.service)
            speed = EngineSpeed(name=name, service=self.speed(traits.service))
            self.engines[name] = EngineModel(
                traits=traits, estimator=estimator, speed=speed
            )
        return self.engines[name]

    def _log_speed(self, model: EngineModel, now: datetime) -> None:
        change = model.speed.take_change(now)
        if change is not None:
            SPEED_CHANGES.labels(model.traits.service).inc()
            emit(
                ENGINE_SPEED_CHANGED,
                service=model.traits.service,
                engine=model.speed.name,
                factor=round(change.factor, 3),
                lasting=round(change.lasting, 3),
                deviation=round(change.deviation, 3),
            )

    def _prompt_ms(self, demand: Demand, traits: EngineTraits) -> float:
        """Return the time to prefill a whole prompt."""
        law = self.estimator(traits.service).law
        return law.prefill_ms(demand.prompt_tokens)

    def _stream_ms(self, demand: Demand, traits: EngineTraits) -> float:
        """Return the time of a stream's steps in a half-full batch, for each slot."""
        if not traits.slots:
            return 0.0
        law = self.estimator(traits.service).law
        return demand.output_estimate * law.step_ms(traits.slots // 2) / traits.slots

    def _limit_ms(self, demand: Demand, traits: EngineTraits) -> float:
        """Return how long prefill may take until a request or its stream is late."""
        law = self.estimator(traits.service).law
        targets = stream_targets(demand)
        stall_ms = law.stall_limit_ms(targets.gap_ms, traits.tokens_per_event)
        limits = [ms for ms in (stall_ms, targets.first_ms) if ms]
        return min(limits, default=float("inf"))

    def _preferred(
        self,
        is_short: bool,
        factors: dict[str, float],
        traits: EngineTraits,
        now: datetime,
    ) -> tuple[frozenset[str], float]:
        """Return the engines on a prompt's side of the split, and the others' cost."""
        sizer = self.sizer(traits.service)
        split: EngineSplit = sizer.split(tuple(factors), now, factors)
        preferred = frozenset(split.short if is_short else split.long)
        share = SHORT_ON_LONG_SHARE if is_short else LONG_ON_SHORT_SHARE
        return preferred, share * sizer.tightest_target_ms

    def _evaluate(
        self,
        demand: Demand,
        candidate: EndpointView,
        model: EngineModel,
        factor: float,
        now: datetime,
    ) -> tuple[Prediction, float]:
        """Return the predicted course, and the cost without that of the split."""
        tokens = model.uncached_tokens(demand)
        law_ms = model.estimator.law.prefill_ms(tokens)
        backlog_ms = model.backlog_ms(now, factor)
        predicted = Prediction(
            wait_ms=backlog_ms + model.batch_wait_ms(demand, factor),
            prefill_ms=factor * law_ms,
            prefill_tokens=tokens,
        )
        cost_ms = predicted.prefill_ms + (PREFILL_WEIGHT - 1) * law_ms
        cost_ms += predicted.wait_ms * (1 + CAUTION * model.speed.excess_deviation)
        cost_ms += model.stall_harm_ms(demand, backlog_ms, predicted.prefill_ms, factor)
        for term in self.cost_terms:
            cost_ms += term(demand, candidate, predicted, now)
        return predicted, cost_ms
