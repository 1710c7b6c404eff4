"""Values that the gateway reads from headers and writes to them.

The names of the headers belong to the platform, which supplies a `HeaderCodec`.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from tornado.httputil import HTTPHeaders

from ..placement.prompts import Demand

__all__ = ["AnswerMetadata", "RequestMetadata", "UpstreamMetadata", "HeaderCodec"]


@dataclass(slots=True, kw_only=True, frozen=True)
class RequestMetadata:
    """Values of a caller's request headers.

    Parameters
    ----------
    id : str
        Id of the request; empty if the header is missing.
    host : str
        ``Host`` header.
    key : str
        API key of a workspace; empty if the header is missing.
    time_left : timedelta or None
        Time until the caller's deadline; None if it sets none.
    last_event_id : str or None
        Id of the last event that the caller received in an earlier answer.
    resumes : str or None
        Id of the caller's request that brought the first event of the stream; None if
        the caller names none.
    demand : Demand or None
        Token counts and prompt segments, if the request is for a model engine.
    """

    id: str
    host: str
    key: str
    time_left: timedelta | None
    last_event_id: str | None
    resumes: str | None
    demand: Demand | None


@dataclass(slots=True, kw_only=True, frozen=True)
class UpstreamMetadata:
    """Values of the headers that the gateway sets on one send.

    Parameters
    ----------
    endpoint_id : str
        Id of the endpoint that the request is for; other endpoints reject it.
    time_left : timedelta
        Time until the endpoint must stop the request.
    workspace : str
        Name of the caller's workspace; empty on a public route.
    urgency : int or None
        Priority rank among the endpoint's requests, 0 the most urgent; None for
        requests without token counts.
    last_event_id : str or None
        Id of the last event that was forwarded, after which the stream is resumed;
        None if there is none.
    """

    endpoint_id: str
    time_left: timedelta
    workspace: str
    urgency: int | None
    last_event_id: str | None


@dataclass(slots=True, kw_only=True, frozen=True)
class AnswerMetadata:
    """Values of an endpoint's answer headers.

    Parameters
    ----------
    request_id : str
        Id of the answered request; empty if the header is missing.
    is_signed : bool
        Whether the answer carries the endpoint's signature.
    reports_not_run : bool
        Whether the endpoint states that it has not run the request.
    reports_leaving : bool
        Whether the addressed endpoint states that it is leaving.
    retry_after : timedelta or None
        Time for which the addressed endpoint, which has shed the request, asks to get
        nothing more from this process; None if it asks for none.
    limit : float or None
        Requests per second that the addressed endpoint takes from all processes
        together; None if it names no limit, or none that can be understood.
    states_no_limit : bool
        Whether the answer is from the addressed endpoint and names no limit.
    cold_remaining : timedelta
        How much longer the addressed endpoint stays cold; 0 if it does not say so.
    """

    request_id: str
    is_signed: bool
    reports_not_run: bool
    reports_leaving: bool = False
    retry_after: timedelta | None = None
    limit: float | None = None
    states_no_limit: bool = False
    cold_remaining: timedelta = timedelta()


@dataclass(slots=True, kw_only=True, frozen=True)
class HeaderCodec:
    """Functions that read and write a platform's headers.

    Parameters
    ----------
    read_request : callable
        Parses the headers of a caller's request.
    write_request : callable
        Returns the headers of a send from the caller's headers.
    read_answer : callable
        Parses the status and headers of an endpoint's answer.
    protected_headers : frozenset of str
        Lower-case names of headers that are forwarded even if the caller's
        ``Connection`` lists them.
    """

    read_request: Callable[[HTTPHeaders], RequestMetadata]
    write_request: Callable[[HTTPHeaders, UpstreamMetadata], HTTPHeaders]
    read_answer: Callable[[int, HTTPHeaders], AnswerMetadata]
    protected_headers: frozenset[str]
