"""The hosts of the fleet and their data centres, read from the platform's list."""

from .core import Host, HostState, HostView
from .follower import HostListFollower
from .listing import HostList, MalformedEntry, parse_host_list

__all__ = [
    "Host",
    "HostList",
    "HostListFollower",
    "HostState",
    "HostView",
    "MalformedEntry",
    "parse_host_list",
]
