"""Hosts of the fleet, and the latest list of them that this process has."""

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
        Data centre of the host.
    role : str
        Role of the process on the host: ``entry`` or ``endpoint``.
    address : str
        IP address and port of its stream listener; empty for entries.
    state : HostState
        Whether the host is live or leaving.
    serves : tuple of str
        Names of the models and plain services that it serves.
    """

    name: str
    data_centre: str
    role: str
    address: str
    state: HostState = HostState.LIVE
    serves: tuple[str, ...] = ()


@dataclass(slots=True, kw_only=True)
class HostView:
    """Holds the latest list of hosts and notifies subscribers of each change.

    Parameters
    ----------
    hosts : dict of Host
        Hosts by name; empty until the first list arrives.
    subscribers : list of callable
        Functions called with the hosts by name.
    """

    hosts: dict[str, Host] = field(default_factory=dict)
    subscribers: list[Callable[[dict[str, Host]], None]] = field(default_factory=list)

    def subscribe(self, subscriber: Callable[[dict[str, Host]], None]) -> None:
        """Call a function with the hosts by name, now and after each change."""
        self.subscribers.append(subscriber)
        subscriber(self.hosts)

    def replace(self, hosts: dict[str, Host]) -> None:
        """Replace the hosts and notify all subscribers."""
        self.hosts = hosts
        for subscriber in self.subscribers:
            subscriber(hosts)
