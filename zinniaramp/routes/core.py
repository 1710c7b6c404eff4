"""What a configuration says, in types."""

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
    """What may be done with a request whose fate is not known."""

    NEVER = "never"
    RESUME = "resume"
    ANY = "any"


@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceShare:
    """A service and the weight of its part of a route's requests."""

    service: str
    weight: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Route:
    """Requests of one host name below one path prefix.

    Parameters
    ----------
    name, host, prefix : str
        Name; the ``Host`` without port, in lower case; path prefix from slash to
        slash.
    shares : tuple of ServiceShare
        Services that the requests go to.
    repeat : RetryPolicy
        What may be repeated.
    streams : bool
        Whether answers are streams of events.
    timeout : timedelta
        Longest time from a request to the end of its answer.
    target : timedelta
        Time to the answer, or to a stream's first event, that is on time.
    gap_target : timedelta
        Longest pause between events that is on time; zero where there are none.
    max_attempts : int
        Endpoints to which one request may be sent.
    priority : int
        Rank; 0 is the most urgent.
    public : bool
        Whether requests need no key.
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


@dataclass(slots=True, kw_only=True, frozen=True)
class Service:
    """A group of endpoints that serve the same requests.

    Parameters
    ----------
    name : str
        Name.
    kv_capacity_tokens : int
        Tokens that a model engine of it holds; 0 if it is a plain service.
    tokens_per_event : int
        Tokens of one event of a stream; 0 if it is not known.
    """

    name: str
    kv_capacity_tokens: int = 0
    tokens_per_event: int = 0

    @property
    def is_engine(self) -> bool:
        """Whether its endpoints are model engines."""
        return self.kv_capacity_tokens > 0


@dataclass(slots=True, kw_only=True, frozen=True)
class Workspace:
    """A caller's account.

    Parameters
    ----------
    name : str
        Name that endpoints receive.
    priority : int or None
        Rank that goes before the route's.
    """

    name: str
    priority: int | None


@dataclass(slots=True, kw_only=True, frozen=True, order=True)
class PriorityPair:
    """What orders requests; smaller is more urgent.

    Parameters
    ----------
    first : int
        The workspace's priority, or the route's if the workspace has none.
    second : int
        The route's priority.
    """

    first: int
    second: int


@dataclass(slots=True, kw_only=True, frozen=True)
class ClientLimits:
    """What a client may send, and how long it may take."""

    header_bytes: int
    body_bytes: int
    idle_timeout: timedelta


@dataclass(slots=True, kw_only=True, frozen=True)
class Configuration:
    """One version of all routes, services, workspaces and limits.

    Parameters
    ----------
    version : int
        Number that grows from one version to the next.
    routes : dict
        Routes of each host name, longest prefix first.
    services : dict
        Services by name.
    workspaces : dict
        Workspaces by key.
    needs_key : bool
        Whether requests on routes that aren't public need a key.
    limits : ClientLimits
        Limits of clients' connections.
    priority_pairs : tuple of PriorityPair
        Distinct ranks of requests to model engines, most urgent first.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    workspaces: dict[str, Workspace] = field(repr=False)
    needs_key: bool
    limits: ClientLimits
    priority_pairs: tuple[PriorityPair, ...] = ()
