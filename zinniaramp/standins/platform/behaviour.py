"""Behaviours of the server stand-in, its answers, and what it records."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["Arrival", "ServerBehaviour", "expected_body", "expected_events"]


class ServerBehaviour(Enum):
    """Behaviour of a server for one request.

    A signed answer has the request's id and the server's stamp in its headers.
    """

    ANSWER = "answer"
    """Answers normally."""

    FAIL = "fail"
    """Executes the request and answers a signed 500."""

    SHED = "shed"
    """Answers 503 and reports that the request was not executed."""

    SHED_AGAIN = "shed-again"
    """Like `SHED`, and writes the refusal once more on the connection."""

    SHED_AGAIN_NAMELESS = "shed-again-nameless"
    """Like `SHED_AGAIN`; the second refusal names no request."""

    UNAVAILABLE = "unavailable"
    """Executes the request and answers a signed 503."""

    CLOSE = "close"
    """Executes the request and closes the connection without an answer."""

    TEAR = "tear"
    """Closes the connection within the body or within an event of the stream."""

    FOREIGN = "foreign"
    """Answers with the id of another request."""

    UNSIGNED = "unsigned"
    """Answers without the server's stamp."""

    ENCODED = "encoded"
    """Declares a content encoding that the body does not have."""

    GARBAGE = "garbage"
    """Executes the request and sends bytes that are not an HTTP answer."""

    EXTRA = "extra"
    """Sends the answer twice on the connection."""

    UNFRAMED = "unframed"
    """Answers without a length; the end of the connection ends the body."""

    UNFRAMED_TEAR = "unframed-tear"
    """Like `UNFRAMED`, but a stream ends within its second event."""

    UNFRAMED_EMPTY = "unframed-empty"
    """Like `UNFRAMED`, but the connection ends after the headers."""

    UNFRAMED_ERROR = "unframed-error"
    """Like `UNFRAMED_TEAR`, and writes an answer with an error after it."""

    UNFRAMED_LATE_ERROR = "unframed-late-error"
    """Like `UNFRAMED_ERROR`, but after a complete event."""

    FAIL_IN_EVENTS = "fail-in-events"
    """Answers a signed 500 whose body looks like an event."""

    FAIL_UNFRAMED = "fail-unframed"
    """Like `FAIL_IN_EVENTS`, without a length."""

    SUCCESS_WITH_ERROR = "success-with-error"
    """Answers a signed 200 whose body is a JSON error and a blank line."""

    REDIRECT = "redirect"
    """Answers a signed 302 whose body looks like an event."""

    NO_CONTENT = "no-content"
    """Answers a signed 204."""

    ENDLESS_HEAD = "endless-head"
    """Sends bytes without a blank line until the caller closes the connection."""

    ENDLESS_BODY = "endless-body"
    """Sends headers, and bytes without a line break until the caller closes."""

    ENDLESS_FIELDS = "endless-fields"
    """Sends short header fields without a blank line until the caller closes."""

    MANY_FIELDS = "many-fields"
    """Like `ENDLESS_BODY`, with headers that have thousands of short fields."""

    RESET = "reset"
    """Sends an incomplete answer without a length and resets the connection."""

    EARLY = "early"
    """Answers a signed 500 before the body has been received."""

    HOLD = "hold"
    """Delays the answer until ``ServerStandin.released`` is set."""

    STALL = "stall"
    """Stops within an event of the stream; the connection stays open."""

    ODD_ID = "odd-id"
    """Writes ``ServerStandin.odd_id`` as the id of one event of the stream."""

    REPEAT = "repeat"
    """Sends one event of the stream twice."""


@dataclass(slots=True, kw_only=True)
class Arrival:
    """One request that reached the server.

    Parameters
    ----------
    received_at : float
        Time of arrival on the monotonic clock, in seconds.
    method, target : str
        HTTP method and request target.
    headers : dict of str
        Headers of the request.
    body : bytes
        Body of the request.
    was_executed : bool
        Whether the server started to execute the request.
    ended : bool
        Whether the server has finished the answer.
    was_disconnected : bool
        Whether the caller closed its connection before the answer ended.
    """

    received_at: float
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    was_executed: bool = False
    ended: bool = False
    was_disconnected: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class CrashRequest:
    """Content of a request that ends each server which begins to run it.

    Parameters
    ----------
    target : str
        Request target.
    workspace : str
        Name of the caller's workspace.
    body : bytes
        Body of the request.
    seconds : float
        Time from the beginning of the run until the server ends.
    """

    target: str
    workspace: str
    body: bytes
    seconds: float

    def matches(self, arrival: Arrival) -> bool:
        """Return whether a request that reached the server is this one."""
        workspace = arrival.headers.get("Zinniaramp-Tenant", "")
        received = (arrival.target, workspace, arrival.body)
        return received == (self.target, self.workspace, self.body)


def expected_body(request_id: str) -> bytes:
    """Return the body of the plain answer to a request."""
    return f"result of {request_id}\n".encode()


def expected_events(request_id: str, first: int, last: int) -> bytes:
    """Return the server-sent events of a streamed answer, from `first` to `last`.

    Parameters
    ----------
    request_id : str
        Id of the request.
    first, last : int
        Ids of the first and the last event, counted from 1.
    """
    return b"".join(
        f"id: {number}\ndata: {request_id}.{number}\n\n".encode()
        for number in range(first, last + 1)
    )
