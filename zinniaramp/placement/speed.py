"""Speed of single engines, learned from the times of their events."""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta
from statistics import median

__all__ = ["EngineSpeed", "SpeedChange", "ServiceSpeed"]

PRIOR_SD = 0.45
"""Standard deviation of the logarithm of an engine's factor before any sample.  Engines
of one service have run at 0.7 to 1.7 times its law, of which this is about the
spread."""

PRIOR_WEIGHT = PRIOR_SD**-2
"""Weight of the prior: the inverse of its variance."""

MAX_WEIGHT = 400.0
"""Weight at which older samples are forgotten: a standard deviation of 0.05."""

RATIO_SD = 0.12
"""Standard deviation of the logarithm of a sample, however long it took: prefill beside
decode steps and quadratic attention deviate from the law by about as much."""

OUTLIER_SDS = 2.5
"""Deviation of a sample, in standard deviations, from which it is no evidence of the
lasting factor until others confirm it."""

NOISE_TIME = timedelta(seconds=0.6)
"""Longest duration of noise: a deviation that ends within it is no change."""

MIN_CHANGE_SAMPLES = 3
"""Samples that confirm a change of the factor."""

MIN_REFERENCE_ENGINES = 3
"""Engines with samples below which no sample is an outlier: the median isn't known."""

MAX_STEP_DEVIATION = 0.2
"""Uncertainty of an engine's level down to which decode steps reduce it.  The law of
steps fits less well than that of prefill, as it depends on the streams, and beyond that
only a change in the steps' time is evidence."""

UPDATE_INTERVAL = timedelta(milliseconds=200)
"""Shortest time between two computations of the median."""

MAX_RESIDUALS, MIN_RESIDUALS = 128, 8
"""Samples of a kind from which its offset follows; as long as there are only a few, it
follows each of them."""

MIN_RETURN_SAMPLES = 2
"""Samples that confirm that a disturbance has ended.  A return to the lasting factor
needs fewer than a change: it is expected."""

DISTURBANCE_LIFETIME = timedelta(seconds=5)
"""Time after the last sample in which a disturbance is forgotten; the platform's
disturbances last some seconds, and an engine that gets no work can't show its end."""

LASTING_TIME = timedelta(seconds=10)
"""Time after which a disturbance counts as the engine's lasting factor."""

MAX_LOG_FACTOR = math.log(12.0)
"""Bound of the logarithm of a sample relative to the service's median."""

LOGGED_FACTOR = 1.3
"""Factor by which an engine's speed has to differ from the last logged one."""


@dataclass(slots=True, kw_only=True, frozen=True)
class SpeedSample:
    """Deviation that may be noise or the start of a change.

    Parameters
    ----------
    began_at : datetime
        Start of the measured time.
    value : float
        Logarithm of measured by predicted time.
    """

    began_at: datetime
    value: float


@dataclass(slots=True, kw_only=True, frozen=True)
class SpeedChange:
    """Change of an engine's factor, for the log.

    Parameters
    ----------
    factor : float
        Time of the engine relative to that of the service's median engine.
    lasting : float
        The same without the present disturbance.
    deviation : float
        Standard deviation of the logarithm of `lasting`.
    """

    factor: float
    lasting: float
    deviation: float


class ServiceSpeed:
    """Reference of the factors of one service's engines.

    A sample is the sum of an offset of its kind (prefill or decode steps), which all
    engines share, of its engine's level and of noise.  The offsets follow from the
    samples and the levels' median is 0, so that whatever all engines have in common
    is left to the law and doesn't change the factors.

    Attributes
    ----------
    engines : dict of EngineSpeed
        Engines that have samples, by name.
    residuals : dict of deque
        Latest samples of each kind less the levels of their engines.
    offsets : dict of float
        Medians of the residuals.
    deviation : float
        Median of the engines' uncertainty.
    updated_at : datetime or None
        When the medians were computed last.
    """

    __slots__ = ("engines", "residuals", "offsets", "deviation", "updated_at")

    def __init__(self):
        self.engines: dict[str, EngineSpeed] = {}
        self.residuals: dict[str, deque[float]] = {}
        self.offsets: dict[str, float] = {}
        self.deviation = PRIOR_SD
        self.updated_at: datetime | None = None

    def keep(self, listed: Iterable[str]) -> None:
        """Forget all engines except those listed."""
        names = set(listed)
        self.engines = {n: one for n, one in self.engines.items() if n in names}

    def relative(self, kind: str, value: float, level: float) -> float:
        """Return a sample less the offset of its kind, to which it contributes."""
        residuals = self.residuals.get(kind)
        if residuals is None:
            residuals = self.residuals[kind] = deque(maxlen=MAX_RESIDUALS)
            self.offsets[kind] = value - level
        residuals.append(value - level)
        if len(residuals) <= MIN_RESIDUALS:
            self.offsets[kind] = median(residuals)
        return value - self.offsets[kind]

    def update(self, now: datetime) -> None:
        """Compute the medians again if the interval since the last time is over."""
        if self.updated_at is not None and now < self.updated_at + UPDATE_INTERVAL:
            return
        self.updated_at = now
        for kind, residuals in self.residuals.items():
            self.offsets[kind] = median(residuals)
        if len(self.engines) < MIN_REFERENCE_ENGINES:
            return
        self.deviation = median(one.deviation for one in self.engines.values())
        common = median(one.mean for one in self.engines.values())
        for one in self.engines.values():
            one.shift(common)
        for residuals in self.residuals.values():
            residuals.extend([value + common for value in residuals])
        for kind in self.offsets:
            self.offsets[kind] += common


class EngineSpeed:
    """Factor on the law's times of one engine, with its uncertainty.

    The lasting factor follows from the weighted mean of the samples and from the
    service's median as a prior.  Samples that deviate from it are noise unless several
    deviate in the same direction over more than `NOISE_TIME`; then the engine is
    disturbed, and their mean is its present factor until samples return, or none arrive
    for `DISTURBANCE_LIFETIME`.

    Parameters
    ----------
    name : str
        Name of the engine.
    service : ServiceSpeed
        Reference of the service's engines.

    Attributes
    ----------
    weight, mean : float
        Sum of the samples' weights (inverse variances), and their weighted mean.
    pending : list of SpeedSample
        Latest samples that deviate in the same direction.
    disturbed_by : float or None
        Logarithm of the present factor if it isn't the lasting one.
    disturbed_at, sampled_at : datetime or None
        Start of the disturbance, and the time of the last sample.
    returned : int
        Latest samples that agree with the lasting factor during a disturbance.
    logged : float
        Factor that `take_change` returned last.
    """

    __slots__ = (
        "name",
        "service",
        "weight",
        "mean",
        "pending",
        "disturbed_by",
        "disturbed_at",
        "sampled_at",
        "returned",
        "logged",
    )

    def __init__(self, *, name: str, service: ServiceSpeed):
        self.name = name
        self.service = service
        self.weight = 0.0
        self.mean = 0.0
        self.pending: list[SpeedSample] = []
        self.disturbed_by: float | None = None
        self.disturbed_at: datetime | None = None
        self.sampled_at: datetime | None = None
        self.returned = 0
        self.logged = 1.0

    @property
    def level(self) -> float:
        """Logarithm of the lasting factor relative to the service's median engine."""
        return self.weight * self.mean / (self.weight + PRIOR_WEIGHT)

    def shift(self, common: float) -> None:
        """Subtract from the level what all engines have in common."""
        self.mean -= common
        if self.disturbed_by is not None:
            self.disturbed_by -= common

    @property
    def deviation(self) -> float:
        """Standard deviation of the logarithm of the lasting factor."""
        return (self.weight + PRIOR_WEIGHT) ** -0.5

    @property
    def excess_deviation(self) -> float:
        """Uncertainty beyond that of the service's other engines."""
        return max(0.0, self.deviation - self.service.deviation)

    def lasting_factor(self) -> float:
        """Return the lasting factor relative to the service's median engine.

        Differences from the median within the uncertainty count as none, so that equal
        engines are treated as equal.
        """
        level = self.level
        certain = max(0.0, abs(level) - self.deviation)
        return math.exp(math.copysign(certain, level))

    def is_disturbed(self, now: datetime) -> bool:
        """Return whether the present factor differs from the lasting one."""
        return (
            self.disturbed_by is not None
            and now <= self.sampled_at + DISTURBANCE_LIFETIME
        )

    def factor(self, now: datetime) -> float:
        """Return the present factor relative to the service's median engine."""
        if self.is_disturbed(now):
            return math.exp(self.disturbed_by)
        return self.lasting_factor()

    def record(
        self,
        kind: str,
        value: float,
        *,
        deviation: float,
        began_at: datetime,
        now: datetime,
        may_be_cached: bool = False,
    ) -> bool:
        """Record a sample; return whether it agrees with the lasting factor.

        Parameters
        ----------
        kind : str
            Kind of the work.
        value : float
            Logarithm of the measured over the predicted time.
        deviation : float
            Standard deviation of the measured time relative to the predicted one.
        began_at, now : datetime
            Start and end of the measured time.
        may_be_cached : bool
            Whether the engine may have had cached, unknown to this process, what it was
            expected to prefill.  The sample then can't show that it is fast.
        """
        value = self.service.relative(kind, value, self.level)
        value = min(MAX_LOG_FACTOR, max(-MAX_LOG_FACTOR, value))
        sd = math.hypot(RATIO_SD, deviation)
        if not self.is_disturbed(now):
            self.disturbed_by = None
        self.sampled_at = now
        excess = value - self.level
        bound = OUTLIER_SDS * math.hypot(sd, self.deviation)
        has_reference = len(self.service.engines) >= MIN_REFERENCE_ENGINES
        is_outlier = has_reference and abs(excess) > bound
        if is_outlier and excess < 0 and may_be_cached:
            return False
        if self.disturbed_by is not None:
            self._record_disturbed(value, sd, is_outlier, now)
        elif is_outlier:
            self._record_outlier(value, excess, began_at, now)
        else:
            self.pending.clear()
            if kind != "steps" or self.deviation > MAX_STEP_DEVIATION:
                self._add(value, sd)
        return not is_outlier

    def _add(self, value: float, sd: float) -> None:
        weight = sd**-2
        total = min(MAX_WEIGHT, self.weight + weight)
        self.mean += min(1.0, weight / total) * (value - self.mean)
        if not self.weight:
            self.service.engines[self.name] = self
        self.weight = total

    def _record_outlier(
        self, value: float, excess: float, began_at: datetime, now: datetime
    ) -> None:
        if self.pending and (self.pending[0].value > self.level) != (excess > 0):
            self.pending.clear()
        self.pending.append(SpeedSample(began_at=began_at, value=value))
        is_long = now - self.pending[0].began_at > NOISE_TIME
        if is_long and len(self.pending) >= MIN_CHANGE_SAMPLES:
            values = [one.value for one in self.pending]
            self.disturbed_by = median(values)
            self.disturbed_at = now
            self.returned = 0
            self.pending.clear()

    def _record_disturbed(
        self, value: float, sd: float, is_outlier: bool, now: datetime
    ) -> None:
        if not is_outlier:
            self.returned += 1
            if self.returned >= MIN_RETURN_SAMPLES:
                self.disturbed_by = None
                self._add(value, sd)
            return
        self.returned = 0
        self.disturbed_by += 0.4 * (value - self.disturbed_by)
        if now > self.disturbed_at + LASTING_TIME or not self.weight:
            # The lasting factor starts again from the disturbed one.
            self.mean, self.weight = self.disturbed_by, sd**-2
            self.service.engines[self.name] = self
            self.disturbed_by = None

    def take_change(self, now: datetime) -> SpeedChange | None:
        """Return the factor if it differs much from the last one that was returned."""
        factor = self.factor(now)
        if max(factor, self.logged) < LOGGED_FACTOR * min(factor, self.logged):
            return None
        self.logged = factor
        return SpeedChange(
            factor=factor, lasting=self.lasting_factor(), deviation=self.deviation
        )
