"""What endpoints ask for in their answers: to get nothing, or only so much."""

from collections.abc import Callable, Sequence
from datetime import timedelta
from random import Random

from ..clock import Clock
from ..observability import emit
from ..peers import EndpointLimited, EndpointUsed, LoadEvent
from ..registry import Registry
from ..routing.cooldown import Cooldowns
from ..routing.shared_limits import LimitReport, SharedLimits
from .events import ENDPOINT_COOLDOWN, ENDPOINT_LIMITED
from .messages import AnswerMetadata

__all__ = ["EndpointRestrictions"]


class EndpointRestrictions:
    """Cooldowns and request rates that endpoints have asked for.

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

    Attributes
    ----------
    cooldowns : Cooldowns
        Endpoints that asked to be left alone for some time.
    shared_limits : SharedLimits
        Request rates that endpoints have named for all gateways together.
    """

    __slots__ = ("registry", "broadcast", "cooldowns", "shared_limits")

    def __init__(
        self,
        *,
        registry: Registry,
        clock: Clock,
        random: Random,
        visible_share: Callable[[], float],
        broadcast: Callable[[LoadEvent], None],
    ):
        self.registry = registry
        self.broadcast = broadcast
        self.cooldowns = Cooldowns(clock=clock)
        self.shared_limits = SharedLimits(
            clock=clock, random=random, visible_share=visible_share
        )

    def usable(self, names: Sequence[str]) -> list[str]:
        """Return the endpoints that take a request now, in the same order."""
        return self.shared_limits.usable(self.cooldowns.usable(names))

    def may_probe(self, name: str) -> bool:
        """Return whether an endpoint takes requests that are not those of callers."""
        is_limited = self.shared_limits.is_limited(name)
        return not self.cooldowns.is_active(name) and not is_limited

    def time_closed(self, names: Sequence[str]) -> timedelta:
        """Return the time until the first of the endpoints takes a request.

        It is 0 if one takes it now, or if there are no endpoints.
        """
        return min(map(self._time_closed, names), default=timedelta())

    def _time_closed(self, name: str) -> timedelta:
        times = (self.cooldowns.time_left([name]), self.shared_limits.time_left([name]))
        return max(time or timedelta() for time in times)

    def record_send(self, name: str, *, is_announced: bool) -> None:
        """Count a send of this process.

        Parameters
        ----------
        name : str
            Incarnation of the endpoint.
        is_announced : bool
            Whether the other processes hear of each send to this endpoint.
        """
        self.shared_limits.record(name)
        if not is_announced and self.shared_limits.is_limited(name):
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
