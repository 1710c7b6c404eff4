"""The messages that processes exchange over a stream.

An entry process connects to an endpoint process.  The endpoint process sends a
`Challenge`, the entry process answers with a `Hello` that proves possession of the
fleet's key, and the endpoint process answers with a `Welcome`.  The stream then
carries any number of concurrent attempts.
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

SHORT_DIGEST_LENGTH = 8
"""Hexadecimal digits of a revision's digest in heartbeats."""

_message_class = dataclass(
    slots=True,
    kw_only=True,
    frozen=True,
    config=ConfigDict(strict=True, allow_inf_nan=False),
)


class Outcome(StrEnum):
    """Outcome of a request or an attempt.

    ``NOT_RUN`` guarantees that no engine or service has run the request.
    ``UNKNOWN`` means that it may have run, completely or in part.
    """

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RefusalReason(StrEnum):
    """Reason why an endpoint process refused an attempt, a `Resume` or a ticket.

    Notes
    -----
    A refused attempt has not run and never will.  ``ATTEMPT_UNKNOWN`` and
    ``ANSWER_DISCARDED`` refuse a `Resume`; the attempt may have run.

    ``TICKET_INVALID`` does not indicate whether anything ran under the ticket at the
    incarnation that issued it.  Any other refusal of an attempt with a ticket
    guarantees that nothing has run under the ticket and nothing ever will.
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


@_message_class
class Load:
    """Summary of the load of an endpoint process.

    Parameters
    ----------
    running : int
        Number of requests that occupy a slot of the engine.
    width : int
        Total number of slots of the engine.
    queued : int
        Number of requests that wait for a slot.
    queue_s : float
        Predicted wait of a new request of the lowest priority, in seconds.
    urgent_s : float
        Predicted wait of a new request of the highest priority, in seconds.
    tokens_per_s : float
        Observed throughput of the engine over all slots, in tokens per second.
    """

    running: int
    width: int
    queued: int
    queue_s: float
    urgent_s: float
    tokens_per_s: float


@_message_class
class RevisionId:
    """Identity of one published configuration.

    Parameters
    ----------
    index : int
        Index that the configuration service gave the revision.
    digest : str
        SHA-256 digest of the content in hexadecimal, or the beginning of it; empty
        if only the index is known.
    """

    index: int
    digest: str

    def with_short_digest(self) -> "RevisionId":
        """Return the identity with a shortened digest, for heartbeats."""
        return RevisionId(index=self.index, digest=self.digest[:SHORT_DIGEST_LENGTH])

    def matches(self, other: "RevisionId") -> bool:
        """Return whether two identities may name the same revision.

        Either digest may be shortened; only their common length is compared.
        """
        length = min(len(self.digest), len(other.digest))
        return (
            self.index == other.index and self.digest[:length] == other.digest[:length]
        )


@_message_class
class Challenge:
    """First message on a stream, sent by the listening process.

    Parameters
    ----------
    nonce : bytes
        Random bytes, from which the connecting process computes its proof.
    """

    nonce: bytes


@_message_class
class Hello:
    """The connecting process's answer to `Challenge`.

    Parameters
    ----------
    incarnation : str
        Incarnation of the connecting process.
    role : str
        Role of the connecting process.
    revision : RevisionId
        Revision in force at the connecting process.
    proof : bytes
        Result of `zinniaramp.links.handshake.compute_proof`.
    """

    incarnation: str
    role: str
    revision: RevisionId
    proof: bytes


@_message_class
class Welcome:
    """The listening process's answer to `Hello`, which opens the stream.

    Parameters
    ----------
    incarnation : str
        Incarnation of the listening process.
    revision : RevisionId
        Revision in force at the listening process.
    leaving : bool
        Whether the listening process is draining and refuses new attempts.
    load : Load
        Load of the listening process.
    serves : list of str
        Names of the models and plain services that it serves.
    """

    incarnation: str
    revision: RevisionId
    leaving: bool
    load: Load
    serves: list[str]


@_message_class
class Offer:
    """Requests that an endpoint process run one attempt.

    Parameters
    ----------
    attempt_id : str
        Identifier that is unique in the fleet; see `zinniaramp.answers.AttemptId`.
    target : str
        Name of the model, or of the plain service.
    class_name, workspace : str
        Names of the class and the workspace in the declarations.
    revision_index : int
        Index of the revision under which the entry process handles the request.
    deadline_s : float
        Remaining time until the request's deadline, in seconds.
    ticket : str
        Signed ticket; empty for a repeatable request.
    method, path : str
        HTTP method and path of the request to the engine or service.
    headers : list of list of str
        Name and value pairs of the headers to forward.
    body : bytes
        Body to forward.
    credit : int
        Number of chunks that may be sent before more `Credit` arrives.
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


@_message_class
class Accepted:
    """The endpoint process accepted the attempt and runs it unless it is cancelled.

    Parameters
    ----------
    attempt_id : str
        The attempt.
    wait_s : float
        Predicted wait until the attempt starts, in seconds.
    load : Load
        Load of the endpoint process.
    """

    attempt_id: str
    wait_s: float
    load: Load


@_message_class
class Refused:
    """The endpoint process refused an attempt, a `Resume` or a `TicketRequest`.

    `RefusalReason` defines what a refusal guarantees about the attempt.

    Parameters
    ----------
    attempt_id : str
        Identifier of the attempt, or the ``request_id`` of the `TicketRequest`.
    reason : str
        A value of `RefusalReason`.
    retry_after_s : float
        Time after which a retry may succeed, in seconds.
    load : Load
        Load of the endpoint process.
    """

    attempt_id: str
    reason: str
    retry_after_s: float
    load: Load


@_message_class
class Head:
    """Status and headers of the engine's or service's response."""

    attempt_id: str
    status: int
    headers: list[list[str]]


@_message_class
class Chunk:
    """One chunk of an answer.

    Parameters
    ----------
    attempt_id : str
        The attempt.
    sequence : int
        Sequence number; numbers start at 0 and have no gaps.
    payload : bytes
        For chat completions, the data of one or more server-sent events, joined by
        newlines; for plain services, a part of the body.
    tokens : int
        Number of tokens in the payload.
    """

    attempt_id: str
    sequence: int
    payload: bytes
    tokens: int


@_message_class
class End:
    """Last message of an attempt that was accepted.

    Parameters
    ----------
    attempt_id : str
        The attempt.
    count : int
        Total number of chunks of the answer.
    checksum : int
        CRC-32 of the payloads in order.
    outcome : str
        A value of `Outcome`.
    detail : str
        Reason if the outcome is not ``done``; empty otherwise.
    retry_after_s : float
        Time after which to retry an attempt that was shed or expired while queued,
        in seconds; 0 otherwise.
    """

    attempt_id: str
    count: int
    checksum: int
    outcome: str
    detail: str
    retry_after_s: float


@_message_class
class Credit:
    """Permits the sending of chunks with sequence numbers below ``limit``."""

    attempt_id: str
    limit: int


@_message_class
class Resume:
    """Requests an attempt's answer again, starting at a sequence number.

    Parameters
    ----------
    attempt_id : str
        The attempt.
    from_sequence : int
        Sequence number of the first chunk to send.
    credit : int
        Number of chunks that may be sent before more `Credit` arrives.
    """

    attempt_id: str
    from_sequence: int
    credit: int


@_message_class
class Cancel:
    """Requests that the endpoint process cancel an attempt."""

    attempt_id: str


@_message_class
class Cancelled:
    """Answers `Cancel`.

    Parameters
    ----------
    attempt_id : str
        The attempt.
    ran : bool
        False only if the attempt has not started and never will; true if it has
        started or may have.
    """

    attempt_id: str
    ran: bool


@_message_class
class Leaving:
    """The sender is draining and refuses new attempts."""

    incarnation: str


@_message_class
class Ping:
    """Heartbeat; `Pong` answers it with the same number."""

    number: int
    revision: RevisionId


@_message_class
class Pong:
    """Answers `Ping` with the sender's revision and load."""

    number: int
    revision: RevisionId
    load: Load


@_message_class
class TicketRequest:
    """Requests a ticket for one non-repeatable request."""

    request_id: str
    class_name: str
    workspace: str


@_message_class
class TicketIssued:
    """Answers `TicketRequest`.

    Parameters
    ----------
    request_id : str
        Identifier from the `TicketRequest`.
    ticket : str
        Signed ticket.
    expires_s : float
        Remaining lifetime of the ticket, in seconds.
    """

    request_id: str
    ticket: str
    expires_s: float


@_message_class
class SectionsRequest:
    """Requests the sections of a peer's revision that the sender lacks.

    Parameters
    ----------
    known_digests : list of str
        Shortened digests of the sections that the sender has.
    """

    known_digests: list[str]


@_message_class
class SectionsReply:
    """Answers `SectionsRequest` with the revision in force at the sender.

    Parameters
    ----------
    revision : RevisionId
        Identity of the revision, with the full digest.
    digests : list of str
        Shortened digests of all sections in order.
    texts : list of str
        Texts of the sections that the request does not list, in order.
    """

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
