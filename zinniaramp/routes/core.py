"""Data types of the gateway's configuration."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

__all__ = [
    "ClientLimits",
    "Configuration",
    "PriorityPair",
    "RetryPolicy",
    "Route",
    "Service",
    "ServiceShare",
    "Workspace",
]


class RetryPolicy(Enum):
    """Which retries a route allows after a send with an unknown outcome.

    Attributes
    ----------
    NEVER
        No retry, because the request may have been executed.
    RESUME
        The request may be sent again to resume its stream of events.
    ANY
        The request may be sent again.
    """

    NEVER = "never"
    RESUME = "resume"
    ANY = "any"


@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceShare:
    """A service and the weight of its share of a route's requests.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : int
        Weight relative to the other services of the route.
    """

    service: str
    weight: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Route:
    """Handling of the requests for one host name and path prefix.

    Parameters
    ----------
    name : str
        Name of the route.
    host : str
        ``Host`` header without port, in lower case.
    prefix : str
        Path prefix, with a slash at the start and the end.
    shares : tuple of ServiceShare
        Services among which the requests are divided.
    repeat : RetryPolicy
        Which retries are allowed.
    streams : bool
        Whether responses are streams of events.
    timeout : timedelta
        Maximum time from a request to the end of its response.
    target : timedelta
        Latency target: time to the response, or to the first event of a stream.
    gap_target : timedelta
        Target for the gap between two events of a stream; 0 if there is none.
    max_attempts : int
        Maximum number of endpoints to which one request is sent.
    priority : int
        Priority of the requests; 0 is the most urgent.
    public : bool
        Whether requests are accepted without an API key.
    allowed_regions : frozenset of str or None
        Regions to whose endpoints requests may be sent; None for all.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[ServiceShare, ...]
    repeat: RetryPolicy
    streams: bool
    timeout: timedelta
    target: timedelta
    gap_target: timedelta
    max_attempts: int
    priority: int
    public: bool
    allowed_regions: frozenset[str] | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class Service:
    """A group of endpoints that serve the same requests.

    Parameters
    ----------
    name : str
        Name of the service.
    kv_capacity_tokens : int
        Capacity of the KV cache of one model engine, in tokens; 0 if the endpoints
        are not model engines.
    slots : int
        Requests in one batch of a model engine; 0 if unknown.
    tokens_per_event : int
        Tokens in one event of a stream; 0 if unknown.
    cold_start : timedelta
        Time for which an endpoint is cold after its start; 0 if it never is.
    cold_rate : float
        Requests per second that a cold endpoint bears; 0 if it is never cold.
    """

    name: str
    kv_capacity_tokens: int = 0
    slots: int = 0
    tokens_per_event: int = 0
    cold_start: timedelta = timedelta()
    cold_rate: float = 0.0

    @property
    def is_engine(self) -> bool:
        """Whether its endpoints are model engines."""
        return self.kv_capacity_tokens > 0


@dataclass(slots=True, kw_only=True, frozen=True)
class Workspace:
    """Account to which callers belong, identified by their API keys.

    Parameters
    ----------
    name : str
        Name that is sent to endpoints.
    priority : int or None
        Priority that takes precedence over the route's; None if not set.
    allowed_regions : frozenset of str or None
        Regions to whose endpoints requests may be sent; None for all.
    """

    name: str
    priority: int | None
    allowed_regions: frozenset[str] | None = None


@dataclass(slots=True, kw_only=True, frozen=True, order=True)
class PriorityPair:
    """Sort key of requests; the smaller pair is more urgent.

    Parameters
    ----------
    workspace_priority : int
        The workspace's priority, or the route's if the workspace has none.
    route_priority : int
        The route's priority.
    """

    workspace_priority: int
    route_priority: int


@dataclass(slots=True, kw_only=True, frozen=True)
class ClientLimits:
    """Limits of client connections.

    Parameters
    ----------
    header_bytes : int
        Maximum size of the request headers.
    body_bytes : int
        Maximum size of the request body.
    idle_timeout : timedelta
        Time in which a client has to send the headers of its next request; its
        connection is closed after that.
    """

    header_bytes: int
    body_bytes: int
    idle_timeout: timedelta


@dataclass(slots=True, kw_only=True, frozen=True)
class Configuration:
    """One version of all routes, services, workspaces and limits.

    Parameters
    ----------
    version : int
        Version number; it increases with every version.
    routes : dict
        Routes by host name, sorted by descending length of the prefix.
    services : dict
        Services by name.
    workspaces : dict
        Workspaces by API key.
    needs_key : bool
        Whether requests need an API key, except on public routes.
    limits : ClientLimits
        Limits of client connections.
    priority_pairs : tuple of PriorityPair
        Distinct priority pairs of requests to streaming routes, most urgent first.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    workspaces: dict[str, Workspace] = field(repr=False)
    needs_key: bool
    limits: ClientLimits
    priority_pairs: tuple[PriorityPair, ...] = ()
