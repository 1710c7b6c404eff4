"""What the gateway learns from headers and says in them."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from tornado.httputil import HTTPHeaders

from ..placement.prompts import Demand

__all__ = ["AnswerFacts", "RequestFacts", "SendOrders", "Wire"]


@dataclass(slots=True, kw_only=True, frozen=True)
class RequestFacts:
    """What a caller's headers say.

    Parameters
    ----------
    id : str
        Id of this request; empty if there is none.
    host : str
        ``Host`` header.
    key : str
        Key of a workspace; empty if there is none.
    time_left : timedelta or None
        Time that the caller will wait.
    last_event : str or None
        Id of the last event that the caller has of an earlier answer.
    demand : Demand or None
        Tokens, if the request is for a model engine.
    """

    id: str
    host: str
    key: str
    time_left: timedelta | None
    last_event: str | None
    demand: Demand | None


@dataclass(slots=True, kw_only=True, frozen=True)
class SendOrders:
    """What one send tells the endpoint.

    Parameters
    ----------
    endpoint_id : str
        The only endpoint that may run it.
    time_left : timedelta
        Time after which the endpoint stops.
    workspace : str
        Name of the caller's workspace; empty on a public route.
    urgency : int or None
        Rank among the endpoint's requests; 0 is first.
    last_event : str or None
        Id of the last event that the caller has.
    """

    endpoint_id: str
    time_left: timedelta
    workspace: str
    urgency: int | None
    last_event: str | None


@dataclass(slots=True, kw_only=True, frozen=True)
class AnswerFacts:
    """What an endpoint's headers say.

    Parameters
    ----------
    request_id : str
        Id of the request that it answers; empty if there is none.
    is_signed : bool
        Whether the endpoint has signed it.
    says_not_run : bool
        Whether it states that the request has not run.
    """

    request_id: str
    is_signed: bool
    says_not_run: bool


@dataclass(slots=True, kw_only=True, frozen=True)
class Wire:
    """Functions that read and write a platform's headers.

    Parameters
    ----------
    read_request : callable
        Reads a caller's headers.
    write_request : callable
        Returns the headers of one send, from the caller's.
    read_answer : callable
        Reads an endpoint's status and headers.
    kept_headers : frozenset of str
        Names in lower case that a caller's ``Connection`` can't take out.
    """

    read_request: Callable[[HTTPHeaders], RequestFacts]
    write_request: Callable[[HTTPHeaders, SendOrders], HTTPHeaders]
    read_answer: Callable[[int, HTTPHeaders], AnswerFacts]
    kept_headers: frozenset[str]
