"""What endpoints may be sent: what they ask for, and what a cold one bears."""

from collections.abc import Callable, Sequence
from datetime import timedelta
from random import Random

from ..clock import Clock
from ..observability import emit
from ..peers import EndpointLimited, EndpointUsed, LoadEvent
from ..registry import Endpoint, Registry
from ..routing.cooldown import Cooldowns
from ..routing.shared_limits import LimitReport, SharedLimits
from ..warmup import ColdAllowance, ColdBounds, WarmUps
from ..warmup.core import NO_TIME
from ..warmup.events import ENDPOINT_COLD
from .events import ENDPOINT_COOLDOWN, ENDPOINT_LIMITED
from .messages import AnswerMetadata
from .metrics import COLD_SENDS

__all__ = ["EndpointRestrictions"]


class EndpointRestrictions:
    """Cooldowns and request rates that endpoints have asked for, and cold endpoints.

    Parameters
    ----------
    registry : Registry
        Known endpoints.
    clock : Clock
        The process's clock.
    random : Random
        Source of jitter.
    visible_share : callable
        Returns the share of the gateways whose load events arrive here.
    broadcast : callable
        Sends a load event to the other gateway processes.
    own_address : str
        Address of this gateway among the members.
    members : callable
        Returns the addresses of the known gateways; None if too few may be known.
    cold_bounds : callable
        Returns the bounds on the requests to a cold endpoint.

    Attributes
    ----------
    cooldowns : Cooldowns
        Endpoints that asked to be left alone for some time.
    shared_limits : SharedLimits
        Request rates that endpoints have named for all gateways together.
    warm_ups : WarmUps
        Which endpoints are cold.
    cold_allowance : ColdAllowance
        What this gateway may send to them.
    kept_names : sequence of str
        Incarnations named in the last call of `keep`.
    """

    __slots__ = (
        "registry",
        "broadcast",
        "cooldowns",
        "shared_limits",
        "warm_ups",
        "cold_allowance",
        "kept_names",
    )

    def __init__(
        self,
        *,
        registry: Registry,
        clock: Clock,
        random: Random,
        visible_share: Callable[[], float],
        broadcast: Callable[[LoadEvent], None],
        own_address: str,
        members: Callable[[], frozenset[str] | None],
        cold_bounds: Callable[[], ColdBounds],
    ):
        self.registry = registry
        self.broadcast = broadcast
        self.cooldowns = Cooldowns(clock=clock)
        self.shared_limits = SharedLimits(
            clock=clock, random=random, visible_share=visible_share
        )
        self.warm_ups = WarmUps(clock=clock)
        self.cold_allowance = ColdAllowance(
            clock=clock,
            random=random,
            own_address=own_address,
            members=members,
            bounds=cold_bounds,
        )
        self.kept_names: Sequence[str] = ()
        registry.on_entry.append(self._record_entry)
        registry.on_revoked.append(self._record_revoked)

    def usable(self, names: Sequence[str]) -> list[str]:
        """Return the endpoints that take a request now, in the same order."""
        open_names = self.shared_limits.usable(self.cooldowns.usable(names))
        return [name for name in open_names if not self._cold_wait(name)]

    def cold_time(self, name: str) -> timedelta:
        """Return how much longer an endpoint is cold; 0 if it is warm."""
        if not self.warm_ups.may_be_cold(name):
            return NO_TIME
        endpoint = self.registry.by_incarnation(name)
        configuration = self.registry.configuration
        if endpoint is None or configuration is None:
            return NO_TIME
        service = configuration.services.get(endpoint.service)
        if service is None or not service.cold_rate:
            return NO_TIME
        return self.warm_ups.time_left(name, service.cold_start)

    def _cold_wait(self, name: str) -> timedelta:
        """Return the time until a cold endpoint is warm or takes a request."""
        cold_time = self.cold_time(name)
        if not cold_time:
            return cold_time
        opens_in = self.cold_allowance.opens_in(name, self._cold_rate(name))
        return cold_time if opens_in is None else min(opens_in, cold_time)

    def _cold_rate(self, name: str) -> float:
        service = self.registry.incarnations[name].service
        return self.registry.configuration.services[service].cold_rate

    def _record_entry(self, endpoint: Endpoint, is_first_read: bool) -> None:
        name, remaining = endpoint.incarnation, endpoint.cold_remaining
        was_reported = name in self.warm_ups.reported_until
        is_start = self.warm_ups.record_entry(
            name, remaining, is_first_read=is_first_read
        )
        if is_start:
            self._log_cold(endpoint, "listing")
        elif remaining and not was_reported:
            self._log_cold(endpoint, "entry")

    def _record_revoked(self, data_center: str) -> None:
        for endpoint in self.registry.endpoints.values():
            if endpoint.data_center == data_center:
                self.warm_ups.record_revoked(endpoint.incarnation)
                self._log_cold(endpoint, "evacuation")

    def _log_cold(self, endpoint: Endpoint, cause: str) -> None:
        """Log that an endpoint is cold if its service is known to have cold ones."""
        configuration = self.registry.configuration
        service = configuration and configuration.services.get(endpoint.service)
        if not service or not service.cold_rate:
            return
        name = endpoint.incarnation
        left = self.warm_ups.time_left(name, service.cold_start)
        seconds = left.total_seconds()
        emit(ENDPOINT_COLD, endpoint=name, seconds=seconds, cause=cause)

    def cold_names(self) -> list[str]:
        """Return the incarnations of the registered endpoints that are cold."""
        return [name for name in self.registry.incarnations if self.cold_time(name)]

    def keep(self, names: Sequence[str]) -> None:
        """Forget all endpoints except the named ones."""
        self.shared_limits.keep(names)
        if names == self.kept_names:
            # Entries are written about every second, mostly of the same endpoints.
            return
        self.kept_names = names
        self.warm_ups.keep(frozenset(names))
        self.cold_allowance.keep(frozenset(self.cold_names()))

    def may_probe(self, name: str) -> bool:
        """Return whether an endpoint takes requests that are not those of callers."""
        is_limited = self.shared_limits.is_limited(name) or self.cold_time(name)
        is_called = self.registry.may_call(name) and not is_limited
        return is_called and not self.cooldowns.is_active(name)

    def record_probe(self, name: str) -> None:
        """Count a connection attempt that carries no request."""
        if self.cold_time(name):
            self.cold_allowance.record_call(name)

    def time_closed(self, names: Sequence[str]) -> timedelta:
        """Return the time until the first of the endpoints takes a request.

        It is 0 if one takes it now, or if there are no endpoints.
        """
        return min(map(self._time_closed, names), default=timedelta())

    def _time_closed(self, name: str) -> timedelta:
        times = (
            self.cooldowns.time_left([name]),
            self.shared_limits.time_left([name]),
            self._cold_wait(name),
        )
        return max(time or timedelta() for time in times)

    def record_heard(self, name: str) -> None:
        """Count a send of another process."""
        self.shared_limits.record(name)
        self.cold_allowance.record_heard(name)

    def record_send(self, number: object, name: str, *, is_announced: bool) -> None:
        """Count a send of this process.

        Parameters
        ----------
        number : object
            Key of the send, for `ColdAllowance.finish`.
        name : str
            Incarnation of the endpoint.
        is_announced : bool
            Whether the other processes hear of each send to this endpoint.
        """
        self.shared_limits.record(name)
        is_cold = bool(self.cold_time(name))
        if is_cold:
            self.cold_allowance.begin(number, name)
            COLD_SENDS.inc()
        is_limited = is_cold or self.shared_limits.is_limited(name)
        if not is_announced and is_limited:
            self.broadcast(EndpointUsed(endpoint=name))

    def apply_answer(
        self, name: str, metadata: AnswerMetadata, *, request_id: str
    ) -> None:
        """Apply what an endpoint asks for in the headers of an answer.

        Only an answer with the id of the request shows that a limit is lifted.
        """
        is_lifted = metadata.states_no_limit and metadata.request_id == request_id
        if metadata.limit is not None or is_lifted:
            self._apply_named_limit(name, metadata.limit)
        if self.warm_ups.record_report(name, metadata.cold_remaining):
            endpoint = self.registry.by_incarnation(name)
            if endpoint is not None:
                self._log_cold(endpoint, "answer")
        if metadata.retry_after is not None:
            self.start_cooldown(name, metadata.retry_after)

    def _apply_named_limit(self, name: str, rate: float | None) -> None:
        is_registered = self.registry.by_incarnation(name) is not None
        if is_registered and self.shared_limits.apply(name, rate):
            emit(ENDPOINT_LIMITED, endpoint=name, per_s=rate, peer="")
            report = self.shared_limits.report(name)
            self.broadcast(EndpointLimited(report=report))

    def apply_report(self, report: LimitReport, *, peer: str) -> None:
        """Apply another gateway's report about a limit, and pass it on if it is new.

        Parameters
        ----------
        report : LimitReport
            The report, by the endpoint's incarnation.
        peer : str
            Gateway that sent it.
        """
        before = self.shared_limits.report(report.name)
        is_registered = self.registry.by_incarnation(report.name) is not None
        if not is_registered or not self.shared_limits.apply_report(report):
            return
        if report.rate != before.rate:
            emit(ENDPOINT_LIMITED, endpoint=report.name, per_s=report.rate, peer=peer)
        self.broadcast(EndpointLimited(report=report))

    def start_cooldown(self, name: str, duration: timedelta) -> None:
        """Send nothing to an endpoint for some time, which it asked for."""
        if self.cooldowns.start(name, duration):
            seconds = duration.total_seconds()
            emit(ENDPOINT_COOLDOWN, endpoint=name, seconds=seconds)
