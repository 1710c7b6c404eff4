"""Hosts, data centres and the platform's list of them."""

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
