"""Estimation of the engines' law from the times of their events."""

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, fields, replace
from datetime import datetime, timedelta
from statistics import median

from ..observability import emit
from .events import ENGINE_LAW_CHANGED
from .law import DEFAULT_LAW, EngineLaw

__all__ = ["LawEstimator"]

MAX_SAMPLES = 256
"""Samples of each kind on which an estimate is based; older ones are dropped."""

MIN_SAMPLES = 12
"""Samples of a kind below which its parameters keep their default values."""

UPDATE_INTERVAL = timedelta(seconds=1)
"""Shortest time between two changes of the law in use."""

MAX_CHANGE = 1.25
"""Factor by which one update changes a parameter at most, so that no short
disturbance of the engines replaces the law."""

MAX_DEVIATION = 25.0
"""Factor between a parameter and its default value at most."""

LOGGED_CHANGE = 1.1
"""Factor by which a parameter has to differ from the last logged one to be logged."""

RESIDUAL_MS = 4.0
"""Residual below which a sample of the time to first event has its full weight."""

RESIDUAL_SHARE = 0.05
"""Share of a sample's time that is added to `RESIDUAL_MS`."""

REWEIGHTINGS = 5
"""Iterations of the robust regression."""

OVERHEAD_SCALE_MS = 10.0
"""Scale of the overhead's prior distribution."""

MIN_CHUNK_SAMPLES = 60
"""Chunk samples below which the default chunk is kept.  An underestimate would let long
prompts delay all streams."""

CHUNK_QUANTILE = 0.95
"""Quantile of the observed chunk sizes that is used.  Events in which not every step
had a full chunk show a smaller one than the engine's.  For the same reason no estimate
below the default is used."""


@dataclass(slots=True, kw_only=True, frozen=True)
class PrefillSample:
    """Time to first event of a request that found no other prefill on its engine.

    Parameters
    ----------
    tokens : float
        Prompt tokens to prefill.
    ms : float
        Time from the send to the first event.
    """

    tokens: float
    ms: float


@dataclass(slots=True, kw_only=True, frozen=True)
class StepSample:
    """Mean time of the decode steps of one event, without any prefill beside them."""

    streams: int
    ms: float


class LawEstimator:
    """Law of the engines of one service, estimated from what this process sees.

    It answers deployments whose engines are unlike the default law.  Samples come from
    all gateway processes, so that each comes to much the same law without a
    coordinator.

    Parameters
    ----------
    service : str
        Name of the service, for the log.
    law : EngineLaw
        Law in use until there are enough samples.

    Attributes
    ----------
    law : EngineLaw
        Law in use.
    logged : EngineLaw
        Law that was logged last.
    prefills : deque of PrefillSample
    steps : deque of StepSample
    chunks : deque of float
        Observed numbers of tokens in one chunk.
    updated_at : datetime or None
        Time of the last update.
    has_news : bool
        Whether there are samples since the last update.
    """

    __slots__ = (
        "service",
        "default",
        "law",
        "logged",
        "prefills",
        "steps",
        "chunks",
        "updated_at",
        "has_news",
    )

    def __init__(self, *, service: str, law: EngineLaw = DEFAULT_LAW):
        self.service = service
        self.default = law
        self.law = law
        self.logged = law
        self.prefills: deque[PrefillSample] = deque(maxlen=MAX_SAMPLES)
        self.steps: deque[StepSample] = deque(maxlen=MAX_SAMPLES)
        self.chunks: deque[float] = deque(maxlen=MAX_SAMPLES)
        self.updated_at: datetime | None = None
        self.has_news = False

    def record_prefill(self, *, tokens: float, ms: float) -> None:
        """Record the time to first event of a request without others before it."""
        self.prefills.append(PrefillSample(tokens=tokens, ms=ms))
        self.has_news = True

    def record_step(self, *, streams: int, ms: float) -> None:
        """Record the mean time of the steps of an event without prefill beside them."""
        self.steps.append(StepSample(streams=streams, ms=ms))
        self.has_news = True

    def record_chunk_step(self, *, ms: float) -> None:
        """Record the mean time of the steps of an event that all had a chunk."""
        self.chunks.append(ms * self.law.prefill_tokens_per_ms)
        self.has_news = True

    def update(self, now: datetime) -> None:
        """Estimate the law again if there are samples and the interval is over."""
        is_due = self.updated_at is None or now >= self.updated_at + UPDATE_INTERVAL
        if not self.has_news or not is_due:
            return
        self.updated_at = now
        self.has_news = False
        estimate = self._estimate_steps(self._estimate_prefill(self.law))
        estimate = replace(estimate, chunk_tokens=self._estimate_chunk())
        self.law = _limit_change(self.law, estimate, self.default)
        self._log_change()

    def _estimate_prefill(self, law: EngineLaw) -> EngineLaw:
        if len(self.prefills) < MIN_SAMPLES:
            return law
        overhead, per_token = _fit_prefill(self.prefills, self.default)
        if per_token <= 0:
            return law
        return replace(
            law, overhead_ms=max(0.0, overhead), prefill_tokens_per_ms=1 / per_token
        )

    def _estimate_steps(self, law: EngineLaw) -> EngineLaw:
        """Fit a line through the medians of the smaller and of the larger batches."""
        if len(self.steps) < MIN_SAMPLES:
            return law
        ordered = sorted(self.steps, key=lambda step: step.streams)
        half = len(ordered) // 2
        small, large = ordered[:half], ordered[-half:]
        streams_low, streams_high = _median_streams(small), _median_streams(large)
        ms_low, ms_high = _median_ms(small), _median_ms(large)
        slope = 0.0
        if streams_high > streams_low:
            slope = max(0.0, (ms_high - ms_low) / (streams_high - streams_low))
        base = max(ms_low - slope * streams_low, 0.1 * ms_low)
        return replace(law, decode_ms=base, decode_ms_per_stream=slope)

    def _estimate_chunk(self) -> float:
        default = self.default.chunk_tokens
        if len(self.chunks) < MIN_CHUNK_SAMPLES:
            return default
        ordered = sorted(self.chunks)
        estimate = ordered[math.floor(CHUNK_QUANTILE * (len(ordered) - 1))]
        return max(default, estimate)

    @property
    def has_prefill_law(self) -> bool:
        """Whether the law of the prefill is based on samples."""
        return len(self.prefills) >= MIN_SAMPLES

    def _log_change(self) -> None:
        has_changed = any(
            _factor(getattr(self.law, one.name), getattr(self.logged, one.name))
            > LOGGED_CHANGE
            for one in fields(EngineLaw)
        )
        if not has_changed:
            return
        self.logged = self.law
        values = {
            one.name: round(getattr(self.law, one.name), 4) for one in fields(EngineLaw)
        }
        emit(
            ENGINE_LAW_CHANGED,
            service=self.service,
            prefills=len(self.prefills),
            steps=len(self.steps),
            chunks=len(self.chunks),
            **values,
        )


def _median_streams(steps: Sequence[StepSample]) -> float:
    return median(step.streams for step in steps)


def _median_ms(steps: Sequence[StepSample]) -> float:
    return median(step.ms for step in steps)


def _factor(first: float, second: float) -> float:
    """Return the factor between two values; 1 if both are negligible."""
    low, high = sorted((first, second))
    return high / low if low > 0 else 1.0 if high < 1e-3 else math.inf


def _limit_change(law: EngineLaw, estimate: EngineLaw, default: EngineLaw) -> EngineLaw:
    """Return the estimate, no farther from the law in use than one update allows."""
    limited = {}
    for one in fields(EngineLaw):
        name = one.name
        value, current = getattr(estimate, name), getattr(law, name)
        normal = getattr(default, name)
        if current > 0:
            value = min(current * MAX_CHANGE, max(current / MAX_CHANGE, value))
        if normal > 0:
            value = min(normal * MAX_DEVIATION, max(normal / MAX_DEVIATION, value))
        limited[name] = value
    return EngineLaw(**limited)


def _fit_prefill(
    samples: Sequence[PrefillSample], default: EngineLaw
) -> tuple[float, float]:
    """Return the overhead and the time per token by robust regression.

    Samples far from the fit get less weight, so a minority of slow engines or of
    requests that waited for an unknown prefill does not move it.
    """
    weights = [1.0] * len(samples)
    overhead, per_token = default.overhead_ms, 1 / default.prefill_tokens_per_ms
    for _ in range(REWEIGHTINGS):
        overhead, per_token = _fit_weighted(samples, weights, default)
        weights = [
            min(1.0, bound / residual) if residual > bound else 1.0
            for bound, residual in (
                # Longer prefills may deviate more.
                (
                    RESIDUAL_MS + RESIDUAL_SHARE * one.ms,
                    abs(one.ms - overhead - per_token * one.tokens),
                )
                for one in samples
            )
        ]
    return overhead, per_token


def _fit_weighted(
    samples: Sequence[PrefillSample], weights: Sequence[float], default: EngineLaw
) -> tuple[float, float]:
    """Return the weighted least-squares line with a normal prior around the default."""
    prior_per_token = 1 / default.prefill_tokens_per_ms
    # The residual of a good sample is the unit of the prior as well.
    count = (RESIDUAL_MS / OVERHEAD_SCALE_MS) ** 2
    squares = (RESIDUAL_MS / prior_per_token) ** 2
    sum_ms = count * default.overhead_ms
    sum_products = squares * prior_per_token
    sum_tokens = 0.0
    for sample, weight in zip(samples, weights, strict=True):
        count += weight
        sum_tokens += weight * sample.tokens
        squares += weight * sample.tokens**2
        sum_ms += weight * sample.ms
        sum_products += weight * sample.tokens * sample.ms
    determinant = count * squares - sum_tokens**2
    overhead = (squares * sum_ms - sum_tokens * sum_products) / determinant
    per_token = (count * sum_products - sum_tokens * sum_ms) / determinant
    return overhead, per_token
