"""Cost of leaving the data centre, and selection among plain endpoints by it."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from random import Random

from ..observability import emit
from ..placement.prompts import Demand
from ..placement.view import EndpointView, Prediction
from .events import SPILL_BEGAN, SPILL_ENDED
from .metrics import PRESSURE, REMOTE_BYTES, REMOTE_SENDS
from .paths import PathLatencies
from .pressure import CALM_SHARE, Pressure, used_share
from .responses import ResponseTimes

__all__ = ["DEFAULT_PRICE", "Locality"]

DEFAULT_PRICE = 2.4
"""Default price of 1,000 bytes between data centres, in milliseconds of waiting that
are worth the same.  A long prompt of 17 KB then costs 40 ms, as the flat cost of an
engine in another data centre did before."""

DEFAULT_TARGET_MS = 1000.0
"""Target that is assumed for a route without one, in milliseconds."""

DEFAULT_BYTES_PER_TOKEN = 40.0
"""Bytes of an answer per output token before the first answer of a service."""

SIZE_WEIGHT = 0.05
"""Weight of one answer in the average size of a service's answers."""

TARGET_MEMORY = timedelta(seconds=10)
"""Time for which the target of a request counts; bursts of a class are that far apart
at most."""

TIE_MS = 0.5
"""Random cost below which endpoints count as equal, in milliseconds."""

BEGIN_PRESSURE, END_PRESSURE = 0.1, 0.05
"""Pressures at which a spill counts as begun and as ended."""

QUIET_TIME = timedelta(seconds=2)
"""Time without a request that leaves, after which a spill counts as ended.  A gateway
may get only one request a second for a plain service."""

MILLISECOND = timedelta(milliseconds=1)
"""Unit of costs."""


@dataclass(slots=True, kw_only=True)
class _Spill:
    """A time in which requests for a service leave the data centre."""

    began_at: datetime
    last_at: datetime
    requests: int = 0
    sent_bytes: int = 0


@dataclass(slots=True, kw_only=True)
class _ServiceState:
    """What is known of one service's traffic.

    Parameters
    ----------
    pressure : Pressure
        Pressure of the home data centre.
    targets : dict
        Time of the latest request by its target in milliseconds.
    responses : ResponseTimes
        Response times, if its endpoints are plain.
    answer_bytes : float or None
        Average size of an answer, per output token if its endpoints are engines.
    spill : _Spill or None
        The spill that goes on; None if there is none.
    """

    pressure: Pressure = field(default_factory=Pressure)
    targets: dict[float, datetime] = field(default_factory=dict)
    responses: ResponseTimes = field(default_factory=ResponseTimes)
    answer_bytes: float | None = None
    spill: _Spill | None = None

    def tightest_ms(self, target_ms: float, now: datetime) -> float:
        """Return the shortest target of the latest requests, including a new one.

        A request that waits delays those behind it, whose targets may be shorter.
        """
        self.targets[target_ms] = now
        since = now - TARGET_MEMORY
        return min(ms for ms, seen_at in self.targets.items() if seen_at >= since)


@dataclass(slots=True, kw_only=True)
class _Decision:
    """Selection of an endpoint that is in progress.

    Parameters
    ----------
    target_ms : float
        Shortest target of the service's latest requests.
    gap_ms : float
        Gap target of the request; 0 if there is none.
    may_leave : bool
        Whether it may leave although the wait at home is short.
    fixed_ms : float
        Cost of any endpoint elsewhere, without the latency of its path.
    extra_ms : dict of float
        Latency of the paths that were looked up, by data centre.
    home_share : float or None
        Lowest `used_share` among the endpoints at home; None without endpoints.
    """

    target_ms: float
    gap_ms: float
    may_leave: bool
    fixed_ms: float
    extra_ms: dict[str, float] = field(default_factory=dict)
    home_share: float | None = None


class Locality:
    """Decides for each request whether leaving the data centre pays.

    A request leaves if an endpoint elsewhere is better for its caller by more than the
    price of its bytes and the latency of the path.  While waiting at home threatens no
    target, the endpoint has to be better by `CALM_SHARE` of the target as well.

    Parameters
    ----------
    data_center : str
        The process's data centre.
    price : callable
        Returns the price of 1,000 bytes between data centres, in milliseconds.
    random : Random
        Source of the decisions which requests may leave.

    Attributes
    ----------
    paths : PathLatencies
        Measured latencies of the paths to the data centres.
    services : dict
        What is known of the traffic of each service.
    decision : _Decision or None
        The selection in progress.
    """

    __slots__ = ("data_center", "price", "random", "paths", "services", "decision")

    def __init__(self, *, data_center: str, price: Callable[[], float], random: Random):
        self.data_center = data_center
        self.price = price
        self.random = random
        self.paths = PathLatencies(data_center=data_center)
        self.services: dict[str, _ServiceState] = {}
        self.decision: _Decision | None = None

    def service(self, name: str) -> _ServiceState:
        """Return what is known of a service's traffic."""
        if name not in self.services:
            self.services[name] = _ServiceState()
        return self.services[name]

    def begin(self, service: str, demand: Demand, now: datetime) -> None:
        """Begin the selection of an engine; `finish` ends it.

        Parameters
        ----------
        service : str
            Name of the service.
        demand : Demand
            Resource demand of the request.
        now : datetime
            Current time.
        """
        state = self.service(service)
        per_token = state.answer_bytes
        if per_token is None:
            per_token = DEFAULT_BYTES_PER_TOKEN
        transfer = demand.transfer_bytes + demand.output_estimate * per_token
        self.decision = self._make_decision(
            state,
            target_ms=demand.target / MILLISECOND,
            gap_ms=demand.gap_target / MILLISECOND,
            transfer_bytes=transfer,
            now=now,
        )

    def cost_ms(
        self, demand: Demand, view: EndpointView, predicted: Prediction, now: datetime
    ) -> float:
        """Return the cost of leaving the data centre; a `CostTerm`.

        Without a selection that was begun, the cost is that of a request that has no
        reason to leave.
        """
        decision = self.decision
        if decision is None:
            if not view.is_remote:
                return 0.0
            target_ms = demand.target / MILLISECOND or DEFAULT_TARGET_MS
            price_ms = self.price() * demand.transfer_bytes / 1000
            return price_ms + CALM_SHARE * target_ms
        if view.is_remote:
            return decision.fixed_ms + self._extra_ms(decision, view.data_center, now)
        share = used_share(predicted.wait_ms, 0.0, decision.target_ms)
        if decision.gap_ms:
            # Prompts that wait delay the tokens of the streams on the engine.
            share = max(share, predicted.wait_ms / decision.gap_ms)
        if decision.home_share is None or share < decision.home_share:
            decision.home_share = share
        return 0.0

    def finish(
        self, service: str, selected: EndpointView, sent_bytes: int, now: datetime
    ) -> None:
        """End a selection: update the pressure and the record of what leaves.

        Parameters
        ----------
        service : str
            Name of the service.
        selected : EndpointView
            The endpoint selected.
        sent_bytes : int
            Size of the request's body.
        now : datetime
            Current time.
        """
        state, decision = self.service(service), self.decision
        self.decision = None
        share = 1.0 if decision.home_share is None else decision.home_share
        state.pressure.record(share, now)
        PRESSURE.labels(service, self.data_center).set(state.pressure.value)
        if selected.is_remote:
            REMOTE_SENDS.labels(service, selected.data_center).inc()
            REMOTE_BYTES.labels(service, "sent").inc(sent_bytes)
        self._update_spill(service, state, selected, sent_bytes, now)

    def choose_plain(
        self,
        service: str,
        candidates: Sequence[EndpointView],
        *,
        slots: Mapping[str, int],
        target: timedelta,
        sent_bytes: int,
        now: datetime,
    ) -> EndpointView:
        """Return the plain endpoint with the lowest cost.

        Parameters
        ----------
        service : str
            Name of the service.
        candidates : sequence of EndpointView
            Eligible endpoints; must not be empty.
        slots : mapping of int
            Requests that each endpoint runs concurrently, by name.
        target : timedelta
            Latency target of the request; 0 if there is none.
        sent_bytes : int
            Size of the request's body.
        now : datetime
            Current time.
        """
        state = self.service(service)
        responses = state.responses
        decision = self.decision = self._make_decision(
            state,
            target_ms=target / MILLISECOND,
            gap_ms=0.0,
            transfer_bytes=sent_bytes + (state.answer_bytes or 0.0),
            now=now,
        )
        counts = {view.name: slots.get(view.name, 1) for view in candidates}
        # Under pressure the slots are full, so that each of this gateway's requests in
        # flight is a sign of a queue; 24 of 27,189 were late without this, 4 with it.
        spreads = {
            name: responses.spread_ms(name, 1 if decision.may_leave else count)
            for name, count in counts.items()
        }
        # Free slots elsewhere are a reason to leave only under pressure.
        home = (spreads[view.name] for view in candidates if not view.is_remote)
        lowest_spread_ms = 0.0 if decision.may_leave else min(home, default=0.0)
        selected, lowest_ms = candidates[0], float("inf")
        for view in candidates:
            wait_ms = responses.wait_ms(view.name, counts[view.name], now)
            cost_ms = wait_ms + spreads[view.name]
            cost_ms += TIE_MS * self.random.random()
            if view.is_remote:
                cost_ms += decision.fixed_ms
                cost_ms += self._extra_ms(decision, view.data_center, now)
            else:
                cost_ms -= lowest_spread_ms
                share = used_share(wait_ms, responses.best_ms, decision.target_ms)
                if decision.home_share is None or share < decision.home_share:
                    decision.home_share = share
            if cost_ms < lowest_ms:
                selected, lowest_ms = view, cost_ms
        self.finish(service, selected, sent_bytes, now)
        return selected

    def record_answer_size(
        self, service: str, size: int, *, is_remote: bool, output_tokens: int | None
    ) -> None:
        """Record the size of a complete answer.

        Parameters
        ----------
        service : str
            Name of the service.
        size : int
            Bytes of its body.
        is_remote : bool
            Whether it came from another data centre.
        output_tokens : int or None
            Estimated output tokens, 1 if the endpoint is plain; None if the answer is
            not counted in the average.
        """
        if is_remote:
            REMOTE_BYTES.labels(service, "received").inc(size)
        if output_tokens is None:
            return
        state = self.service(service)
        sample = size / max(1, output_tokens)
        if state.answer_bytes is None:
            state.answer_bytes = sample
        state.answer_bytes += SIZE_WEIGHT * (sample - state.answer_bytes)

    def record_rejection(self, service: str, endpoint: str, now: datetime) -> None:
        """Record that a plain endpoint gave no usable response.

        It counts as a wait as long as the service's shortest target.
        """
        state = self.service(service)
        wait_ms = min(state.targets, default=DEFAULT_TARGET_MS)
        state.responses.record_rejection(endpoint, wait_ms, now)

    def keep(self, endpoints: Mapping[str, object]) -> None:
        """Remove what is known of all endpoints except the given ones."""
        for state in self.services.values():
            state.responses.keep(endpoints)

    def _make_decision(
        self,
        state: _ServiceState,
        *,
        target_ms: float,
        gap_ms: float,
        transfer_bytes: float,
        now: datetime,
    ) -> _Decision:
        target_ms = state.tightest_ms(target_ms or DEFAULT_TARGET_MS, now)
        fixed_ms = self.price() * transfer_bytes / 1000
        may_leave = self.random.random() < state.pressure.value
        # Each gateway lets a random share of its requests leave.  Gateways that decide
        # at the same time on the same load don't all send their requests away.
        if not may_leave:
            fixed_ms += CALM_SHARE * target_ms
        return _Decision(
            target_ms=target_ms,
            gap_ms=gap_ms,
            may_leave=may_leave,
            fixed_ms=fixed_ms,
        )

    def _extra_ms(self, decision: _Decision, data_center: str, now: datetime) -> float:
        known = decision.extra_ms.get(data_center)
        if known is None:
            known = self.paths.extra_ms(data_center, now)
            decision.extra_ms[data_center] = known
        return known

    def _update_spill(
        self,
        service: str,
        state: _ServiceState,
        selected: EndpointView,
        sent_bytes: int,
        now: datetime,
    ) -> None:
        pressure, spill = state.pressure.value, state.spill
        if selected.is_remote:
            if spill is None and pressure >= BEGIN_PRESSURE:
                spill = state.spill = _Spill(began_at=now, last_at=now)
                emit(
                    SPILL_BEGAN,
                    service=service,
                    data_center=self.data_center,
                    pressure=round(pressure, 2),
                )
            if spill is not None:
                spill.last_at = now
                spill.requests += 1
                spill.sent_bytes += sent_bytes
        if spill is None or pressure > END_PRESSURE:
            return
        if now - spill.last_at >= QUIET_TIME:
            state.spill = None
            emit(
                SPILL_ENDED,
                service=service,
                data_center=self.data_center,
                seconds=round((now - spill.began_at).total_seconds(), 1),
                requests=spill.requests,
                sent_bytes=spill.sent_bytes,
            )
