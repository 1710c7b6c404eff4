"""Messages between gateway processes."""

from dataclasses import dataclass
from datetime import timedelta

from ..placement.prompts import PromptSegment
from ..registry.items import Snapshot, StoreRevision
from ..resumption import StreamOrigin
from ..routing.shared_limits import LimitReport

__all__ = [
    "CauseQuarantined",
    "CauseReleased",
    "CrashEvent",
    "EndpointCrashed",
    "EndpointLimited",
    "EndpointUsed",
    "Heartbeat",
    "Hello",
    "ItemsRequest",
    "LimitEvent",
    "LoadEvent",
    "Message",
    "OriginAnswer",
    "OriginMessage",
    "OriginRequest",
    "RequestSurvived",
    "SendEnded",
    "SendFirstEvent",
    "SendStarted",
    "StreamBegan",
]


@dataclass(slots=True, kw_only=True, frozen=True)
class Hello:
    """First message on a connection, which identifies the sender.

    Parameters
    ----------
    address : str
        Address at which the sender accepts connections of its peers.
    data_center : str
        Data centre of the sender.
    known_peers : tuple of str
        Addresses of all gateway processes that the sender has heard of.
    link_mbps : float or None
        Rate of the link of the sender's host in Mbit/s; None if it is not known.
    """

    address: str
    data_center: str
    known_peers: tuple[str, ...]
    link_mbps: float | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class Heartbeat:
    """Periodic message with the sender's revision of the store.

    Parameters
    ----------
    revision : StoreRevision
        Revision of the store up to which the sender has all items.
    age : timedelta or None
        Time since the store was last known to have no later revision, in whole
        milliseconds; None if the sender has not had an answer of the store.
    """

    revision: StoreRevision
    age: timedelta | None


@dataclass(slots=True, kw_only=True, frozen=True)
class ItemsRequest:
    """Requests the items that changed after a revision of the store.

    Parameters
    ----------
    after : StoreRevision
        Highest revision that the sender has.
    """

    after: StoreRevision


@dataclass(slots=True, kw_only=True, frozen=True)
class SendStarted:
    """Load event: a request is being sent to an engine.

    Parameters
    ----------
    number : int
        Number that identifies the send among those of its gateway process.
    engine : str
        Incarnation of the engine.
    prompt_tokens, output_estimate : int
        Tokens in the prompt, and estimated number of output tokens.
    parts : tuple of PromptSegment
        Segments of the prompt, in order.
    target, gap_target : timedelta
        Targets of the time to the first event and of the gap between two events, in
        whole milliseconds; 0 if there is none.
    workspace : str
        Workspace of the caller; empty if there is none, or if the sender doesn't say.
    urgency : int
        Rank among the requests of all routes; 0 is the most urgent.
    """

    number: int
    engine: str
    prompt_tokens: int
    output_estimate: int
    parts: tuple[PromptSegment, ...]
    target: timedelta
    gap_target: timedelta
    workspace: str = ""
    urgency: int = 0


@dataclass(slots=True, kw_only=True, frozen=True)
class SendFirstEvent:
    """Load event: the first event of a send's answer has arrived.

    Parameters
    ----------
    number : int
        Number of the send, as in `SendStarted`.
    """

    number: int


@dataclass(slots=True, kw_only=True, frozen=True)
class SendEnded:
    """Load event: a send has ended, successfully or not.

    Parameters
    ----------
    number : int
        Number of the send, as in `SendStarted`.
    """

    number: int


@dataclass(slots=True, kw_only=True, frozen=True)
class EndpointCrashed:
    """Load event: an endpoint closed its connections and refuses new ones.

    Parameters
    ----------
    endpoint : str
        Incarnation of the endpoint.
    fingerprints : tuple of str
        Requests of the sender that the endpoint may have begun just before.
    """

    endpoint: str
    fingerprints: tuple[str, ...]


@dataclass(slots=True, kw_only=True, frozen=True)
class RequestSurvived:
    """Load event: a request that was suspected of a crash has been answered.

    Parameters
    ----------
    fingerprint : str
        Fingerprint of the request.
    """

    fingerprint: str


@dataclass(slots=True, kw_only=True, frozen=True)
class CauseQuarantined:
    """Load event: endpoints crash under a prompt segment or a request.

    Parameters
    ----------
    name : str
        Name of the segment, or fingerprint of the request.
    left : timedelta
        Remaining time of its quarantine, in whole milliseconds.
    relapses : int
        Number of earlier quarantines that a crash followed.
    """

    name: str
    left: timedelta
    relapses: int


@dataclass(slots=True, kw_only=True, frozen=True)
class CauseReleased:
    """Load event: a quarantined segment or request is no cause of crashes.

    Parameters
    ----------
    name : str
        Name of the segment, or fingerprint of the request.
    """

    name: str


@dataclass(slots=True, kw_only=True, frozen=True)
class EndpointLimited:
    """Load event: the limit of an endpoint for all gateways has changed.

    Parameters
    ----------
    report : LimitReport
        The limit, by the endpoint's incarnation.
    """

    report: LimitReport


@dataclass(slots=True, kw_only=True, frozen=True)
class EndpointUsed:
    """Load event: a request without a prompt is sent to an endpoint with a limit.

    Parameters
    ----------
    endpoint : str
        Incarnation of the endpoint.
    """

    endpoint: str


@dataclass(slots=True, kw_only=True, frozen=True)
class StreamBegan:
    """Load event: the first event of a stream has been forwarded.

    Parameters
    ----------
    key : bytes
        Key of the stream, from `origin_key`.
    origin : StreamOrigin
        Service and software version that began it.
    """

    key: bytes
    origin: StreamOrigin


@dataclass(slots=True, kw_only=True, frozen=True)
class OriginRequest:
    """Asks where a stream began.

    Parameters
    ----------
    key : bytes
        Key of the stream.
    """

    key: bytes


@dataclass(slots=True, kw_only=True, frozen=True)
class OriginAnswer:
    """Answer to an `OriginRequest`.

    Parameters
    ----------
    key : bytes
        Key of the stream.
    origin : StreamOrigin or None
        Where it began; None if the sender doesn't know.
    """

    key: bytes
    origin: StreamOrigin | None


LimitEvent = EndpointLimited | EndpointUsed
CrashEvent = EndpointCrashed | RequestSurvived | CauseQuarantined | CauseReleased
SendEvent = SendStarted | SendFirstEvent | SendEnded
LoadEvent = SendEvent | CrashEvent | LimitEvent | StreamBegan
OriginMessage = OriginRequest | OriginAnswer
Message = Hello | Heartbeat | ItemsRequest | Snapshot | OriginMessage | LoadEvent
