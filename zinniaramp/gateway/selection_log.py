"""Logging of the choice of an endpoint for a send."""

from datetime import timedelta

from ..observability import emit
from .events import ENDPOINT_CHOSEN
from .matching import CallerRequest, MatchedRequest
from .pool import EndpointPool, Selection

__all__ = ["MILLISECOND", "log_selection"]

MILLISECOND = timedelta(milliseconds=1)
"""Unit of durations in the log."""


def log_selection(
    pool: EndpointPool,
    request: CallerRequest,
    matched: MatchedRequest,
    selection: Selection,
    *,
    send: int,
    after_event: str | None,
) -> None:
    """Log the choice of an endpoint, and what is known of the store at that time.

    Parameters
    ----------
    pool : EndpointPool
        Endpoints, load and retry budgets that all requests share.
    request, matched : CallerRequest, MatchedRequest
        The request.
    selection : Selection
        The choice.
    send : int
        Number of the send, counted from 1.
    after_event : str or None
        Id of the event after which a stream goes on.
    """
    demand = matched.metadata.demand
    freshness, cache = pool.registry.freshness, pool.registry.cache
    confirmed = freshness.age()
    emit(
        ENDPOINT_CHOSEN,
        request=matched.metadata.id,
        route=matched.route.name,
        endpoint=selection.endpoint.incarnation,
        software=selection.endpoint.version,
        send=send,
        after_event=after_event,
        resumes=matched.metadata.resumes,
        version=matched.configuration.version,
        era=cache.revision.era,
        revision=cache.revision.number,
        confirmed_ms=None if confirmed is None else confirmed // MILLISECOND,
        ready=selection.ready,
        waited_ms=(pool.clock() - request.received) // MILLISECOND,
        left_ms=(matched.deadline - pool.clock()) // MILLISECOND,
        wait_ms=selection.predicted_ttft // MILLISECOND,
        to_read=selection.prefill_tokens,
        segments=demand.shared_names if demand else (),
        fingerprint=matched.fingerprint,
    )
