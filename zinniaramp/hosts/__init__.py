"""Hosts, data centres and the platform's list of them."""

from .core import Host, HostState, HostView
from .follower import HostListFollower
from .listing import HostList, MalformedEntry, read_list

__all__ = [
    "Host",
    "HostList",
    "HostListFollower",
    "HostState",
    "HostView",
    "MalformedEntry",
    "read_list",
]
