"""Application of the load events of other gateway processes."""

from collections.abc import Iterable

from ..peers import (
    CauseQuarantined,
    CauseReleased,
    CrashEvent,
    EndpointCrashed,
    EndpointLimited,
    EndpointUsed,
    LimitEvent,
    LoadEvent,
    RequestSurvived,
    SendEnded,
    SendFirstEvent,
    SendStarted,
    StreamBegan,
)
from ..placement import Demand
from .pool import EndpointPool

__all__ = ["PeerEvents"]


class PeerEvents:
    """Updates the pool with the load events of other gateway processes.

    Parameters
    ----------
    pool : EndpointPool
        State that all requests of this process share.

    Attributes
    ----------
    sends : dict of set
        Keys of the sends in flight of each other gateway process.
    """

    __slots__ = ("pool", "sends")

    def __init__(self, *, pool: EndpointPool):
        self.pool = pool
        self.sends: dict[str, set] = {}

    def apply(self, peer: str, event: LoadEvent | None) -> None:
        """Apply a load event of another gateway process.

        Parameters
        ----------
        peer : str
            Connection of the other process, as ``ip:port``.
        event : LoadEvent or None
            The event; None when the peer is gone, which removes all its sends.
        """
        pool = self.pool
        match event:
            case None:
                for key in self.sends.pop(peer, set()):
                    pool.remove_send(key)
            case SendStarted():
                self._add_send(peer, event)
            case SendFirstEvent(number=number):
                pool.record_first_event_of((peer, number))
            case SendEnded(number=number):
                pool.remove_send((peer, number))
                self.sends.get(peer, set()).discard((peer, number))
            case StreamBegan():
                pool.resumption.record_told(event)
            case _:
                self._apply_report(peer, event)

    def _apply_report(self, peer: str, event: CrashEvent | LimitEvent) -> None:
        """Apply what another process has found out about an endpoint or a request."""
        pool = self.pool
        match event:
            case EndpointCrashed():
                pool.crash_watch.apply_report(event)
            case RequestSurvived(fingerprint=fingerprint):
                pool.crash_watch.quarantine.clear(fingerprint)
            case CauseQuarantined(name=name, left=left, relapses=relapses):
                pool.crash_watch.quarantine.impose(name, left, relapses, peer)
            case CauseReleased(name=name):
                pool.crash_watch.quarantine.release(name)
            case EndpointLimited(report=report):
                pool.restrictions.apply_report(report, peer=peer)
            case EndpointUsed(endpoint=endpoint):
                pool.restrictions.record_heard(endpoint)

    def current(self) -> Iterable[LoadEvent]:
        """Return the events that a newly connected process has to learn of."""
        now = self.pool.clock()
        for quarantine in self.pool.crash_watch.quarantine.active():
            yield CauseQuarantined(
                name=quarantine.name,
                left=quarantine.until - now,
                relapses=quarantine.relapses,
            )
        for report in self.pool.restrictions.shared_limits.reports():
            yield EndpointLimited(report=report)
        yield from self.pool.resumption.own_streams()

    def _add_send(self, peer: str, event: SendStarted) -> None:
        self.pool.restrictions.record_heard(event.engine)
        endpoint = self.pool.registry.by_incarnation(event.engine)
        traits = endpoint and self.pool.engine_traits(endpoint.service)
        if not traits:
            return
        key = (peer, event.number)
        demand = Demand(
            prompt_tokens=event.prompt_tokens,
            output_limit=event.output_estimate,
            output_estimate=event.output_estimate,
            parts=event.parts,
            target=event.target,
            gap_target=event.gap_target,
            workspace=event.workspace,
            urgency=event.urgency,
        )
        self.sends.setdefault(peer, set()).add(key)
        self.pool.add_send(key, event.engine, demand, traits=traits)
