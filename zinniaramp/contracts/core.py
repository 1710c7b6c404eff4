"""The messages that processes exchange over a stream.

An entry process dials an endpoint process.  The endpoint process speaks first
with a `Challenge`; the entry proves that it holds the fleet's key in `Hello`;
the endpoint process answers `Welcome`.  Attempts follow, any number at a time.
"""

from enum import StrEnum

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

__all__ = [
    "Accepted",
    "Cancel",
    "Cancelled",
    "Challenge",
    "Chunk",
    "Credit",
    "End",
    "Head",
    "Hello",
    "Leaving",
    "Load",
    "Message",
    "Offer",
    "Outcome",
    "Ping",
    "Pong",
    "RefusalReason",
    "Refused",
    "Resume",
    "RevisionId",
    "SectionsReply",
    "SectionsRequest",
    "TicketIssued",
    "TicketRequest",
    "Welcome",
]

BRIEF_DIGEST_LENGTH = 8
"""Hexadecimal digits of a digest that heartbeats carry."""

_message = dataclass(
    slots=True,
    kw_only=True,
    frozen=True,
    config=ConfigDict(strict=True, allow_inf_nan=False),
)


class Outcome(StrEnum):
    """What became of a request."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RefusalReason(StrEnum):
    """Why an endpoint process did not take an attempt or a `Resume`.

    Notes
    -----
    The refused attempt itself never runs, but for ``ATTEMPT_UNKNOWN`` and
    ``ANSWER_DISCARDED``, which refuse a `Resume` and prove nothing.
    ``TICKET_INVALID`` says nothing about what ran under the ticket at its own
    incarnation.  Any other refusal of an attempt with a ticket also says that
    nothing ran under the ticket and nothing ever will.
    """

    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    LEAVING = "leaving"
    PAUSED = "paused"
    REVISION = "revision"
    NOT_SERVED = "not-served"
    TICKET_INVALID = "ticket-invalid"
    TICKET_EXPIRED = "ticket-expired"
    TICKET_TABLE_FULL = "ticket-table-full"
    ATTEMPT_UNKNOWN = "attempt-unknown"
    ANSWER_DISCARDED = "answer-discarded"
    CANCELLED_BEFORE = "cancelled-before"
    ENGINE_UNAVAILABLE = "engine-unavailable"


@_message
class Load:
    """Digest of how busy an endpoint process is.

    Parameters
    ----------
    running : int
        Requests that hold a slot of the engine.
    width : int
        Slots of the engine in all.
    queued : int
        Requests that wait for a slot.
    queue_s : float
        Predicted seconds until a new request of the lowest priority starts.
    urgent_s : float
        Predicted seconds until a new request of the highest priority starts.
    tokens_per_s : float
        Observed speed of the engine, over all its slots.
    """

    running: int
    width: int
    queued: int
    queue_s: float
    urgent_s: float
    tokens_per_s: float


@_message
class RevisionId:
    """Identity of one published configuration.

    Parameters
    ----------
    index : int
        Index of the configuration service.
    digest : str
        SHA-256 of the content in hexadecimal, or the beginning of it.
    """

    index: int
    digest: str

    def with_short_digest(self) -> "RevisionId":
        """Return the identity with the beginning of its digest, for heartbeats."""
        return RevisionId(index=self.index, digest=self.digest[:BRIEF_DIGEST_LENGTH])

    def matches(self, other: "RevisionId") -> bool:
        """Tell whether two identities, whole or brief, may be of one revision."""
        length = min(len(self.digest), len(other.digest))
        return (
            self.index == other.index and self.digest[:length] == other.digest[:length]
        )


@_message
class Challenge:
    """First message on a stream, from the listening process."""

    nonce: bytes


@_message
class Hello:
    """The dialling process's answer to `Challenge`."""

    incarnation: str
    role: str
    revision: RevisionId
    proof: bytes


@_message
class Welcome:
    """The listening process's answer to `Hello`; the stream is then open."""

    incarnation: str
    revision: RevisionId
    leaving: bool
    load: Load
    serves: list[str]


@_message
class Offer:
    """Asks an endpoint process to run one attempt.

    Parameters
    ----------
    attempt_id : str
        Unique in the fleet; see `zinniaramp.answers.AttemptId`.
    target : str
        Name of the model, or of the plain service.
    class_name, workspace : str
        Names from the declarations.
    revision_index : int
        Revision under which the entry handles the request.
    deadline_s : float
        Seconds that remain until the request is given up.
    ticket : str
        Signed ticket, or empty for a repeatable request.
    method, path : str
        HTTP method and path at the engine or service.
    headers : list of list of str
        Name and value pairs to pass on.
    body : bytes
        Body to pass on.
    credit : int
        Number of chunks that may be sent before more credit arrives.
    """

    attempt_id: str
    target: str
    class_name: str
    workspace: str
    revision_index: int
    deadline_s: float
    ticket: str
    method: str
    path: str
    headers: list[list[str]]
    body: bytes
    credit: int


@_message
class Accepted:
    """The endpoint process will run the attempt unless it is cancelled."""

    attempt_id: str
    wait_s: float
    load: Load


@_message
class Refused:
    """The endpoint process has not started the attempt and never will."""

    attempt_id: str
    reason: str
    retry_after_s: float
    load: Load


@_message
class Head:
    """Status and headers of the engine's or service's answer."""

    attempt_id: str
    status: int
    headers: list[list[str]]


@_message
class Chunk:
    """One piece of an answer; sequence numbers start at 0 and have no gaps.

    For chat completions the payload is the data of one or more server-sent
    events, joined by newlines; for plain services it is a piece of the body.
    """

    attempt_id: str
    sequence: int
    payload: bytes
    tokens: int


@_message
class End:
    """Last message of an attempt that was accepted.

    Parameters
    ----------
    attempt_id : str
        The attempt.
    count : int
        Number of chunks of the whole answer.
    checksum : int
        CRC-32 of the payloads in order.
    outcome : str
        A value of `Outcome`.
    detail : str
        Why the outcome is not ``done``; empty otherwise.
    retry_after_s : float
        Seconds after which to come back with work that was shed or expired while
        it waited; 0 otherwise.
    """

    attempt_id: str
    count: int
    checksum: int
    outcome: str
    detail: str
    retry_after_s: float


@_message
class Credit:
    """Allows chunks with a sequence number below ``limit``."""

    attempt_id: str
    limit: int


@_message
class Resume:
    """Asks for an attempt's answer again, from a sequence number on."""

    attempt_id: str
    from_sequence: int
    credit: int


@_message
class Cancel:
    """Asks the endpoint process to stop an attempt."""

    attempt_id: str


@_message
class Cancelled:
    """Answers `Cancel`; ``ran`` is false if the attempt never will start."""

    attempt_id: str
    ran: bool


@_message
class Leaving:
    """The sender takes no new attempts from now on."""

    incarnation: str


@_message
class Ping:
    """Heartbeat."""

    number: int
    revision: RevisionId


@_message
class Pong:
    """Answer to a heartbeat."""

    number: int
    revision: RevisionId
    load: Load


@_message
class TicketRequest:
    """Asks for a ticket for one non-repeatable request."""

    request_id: str
    class_name: str
    workspace: str


@_message
class TicketIssued:
    """Answers `TicketRequest`."""

    request_id: str
    ticket: str
    expires_s: float


@_message
class SectionsRequest:
    """Asks a peer for the sections of its revision that the sender lacks."""

    known_digests: list[str]


@_message
class SectionsReply:
    """The peer's revision: all section digests in order, and the missing texts."""

    revision: RevisionId
    digests: list[str]
    texts: list[str]


Message = (
    Challenge
    | Hello
    | Welcome
    | Offer
    | Accepted
    | Refused
    | Head
    | Chunk
    | End
    | Credit
    | Resume
    | Cancel
    | Cancelled
    | Leaving
    | Ping
    | Pong
    | TicketRequest
    | TicketIssued
    | SectionsRequest
    | SectionsReply
)
