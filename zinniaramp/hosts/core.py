"""What this process believes about the hosts of the fleet."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

__all__ = ["Host", "HostState", "HostView"]


class HostState(StrEnum):
    """State of a host in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(slots=True, kw_only=True, frozen=True)
class Host:
    """One host of the platform's list.

    Parameters
    ----------
    name : str
        Name of the host, unique in the fleet.
    data_centre : str
        Where it stands.
    role : str
        Role of the process on it: ``entry`` or ``endpoint``.
    address : str
        IP number and port of its stream listener; empty for entries.
    state : HostState
        Whether it is leaving.
    serves : tuple of str
        Models and plain services behind it.
    """

    name: str
    data_centre: str
    role: str
    address: str
    state: HostState = HostState.LIVE
    serves: tuple[str, ...] = ()


@dataclass(slots=True, kw_only=True)
class HostView:
    """The latest list of hosts, with subscribers to its changes."""

    hosts: dict[str, Host] = field(default_factory=dict)
    subscribers: list[Callable[[dict[str, Host]], None]] = field(default_factory=list)

    def subscribe(self, subscriber: Callable[[dict[str, Host]], None]) -> None:
        """Call a function with the hosts by name, now and after each change."""
        self.subscribers.append(subscriber)
        subscriber(self.hosts)

    def replace(self, hosts: dict[str, Host]) -> None:
        """Take a new list into use."""
        self.hosts = hosts
        for subscriber in self.subscribers:
            subscriber(hosts)
